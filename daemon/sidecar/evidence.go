package sidecar

import (
	"log/slog"
	"slices"
	"time"

	"shallotring.dev/protocol/control"
)

const (
	// maxEvidence bounds the messages of entries that are kept for those that connect later, and the messages that wait to be sent.
	maxEvidence = 256
	// evidenceExpiry is the time for which they are kept.
	evidenceExpiry = 10 * time.Minute
)

// receivedEvidence is a message of an entry.
type receivedEvidence struct {
	control.Evidence
	at time.Time
}

// relayEvidence passes on what an entry has seen to all others. Plain services have no agents, so the evidence need not concern this engine.
func (s *Sidecar) relayEvidence(now time.Time, from *entryLink, v control.Evidence) {
	v.Host = from.host
	s.evidence = slices.DeleteFunc(s.evidence, func(x receivedEvidence) bool { return now.Sub(x.at) > evidenceExpiry })
	if s.evidence = append(s.evidence, receivedEvidence{Evidence: v, at: now}); len(s.evidence) > maxEvidence {
		s.evidence = slices.Delete(s.evidence, 0, 1)
	}
	for x := range s.links {
		if x.host != from.host {
			s.enqueueEvidence(x, v)
		}
	}
}

// sendKnownEvidence sends an entry that has connected what the others have seen before, and what it has seen itself before it restarted.
func (s *Sidecar) sendKnownEvidence(now time.Time, to *entryLink) {
	for _, x := range s.evidence {
		if age := now.Sub(x.at); age <= evidenceExpiry {
			s.enqueueEvidence(to, x.Aged(age))
		}
	}
}

func (s *Sidecar) enqueueEvidence(to *entryLink, v control.Evidence) {
	if !to.takesEvidence {
		return
	}
	select {
	case to.evidence <- v:
	default:
		s.log.Warn("an entry is too slow to take evidence; a message is dropped", slog.String("Entry", string(to.host)), slog.String("From", string(v.Host)))
	}
}
