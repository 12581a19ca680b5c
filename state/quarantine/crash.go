package quarantine

import (
	"slices"
	"time"

	"shallotring.dev/state/blame"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
)

// maxSuspects bounds the parts of a crash.
const maxSuspects = 256

// Suspect is a prompt part that interrupted requests of a crashed engine had.
type Suspect struct {
	Part call.PartID
	// Share is the share of the engines that had a request with the part in progress at that moment; 1 if it is not known.
	Share float64
	// Completed of Of complete runs that the reporting entry has counted had the part.
	Completed int `json:",omitempty"`
	Of        int `json:",omitempty"`
}

func (s Suspect) presence() blame.Presence {
	return blame.Presence{Share: s.Share, Completed: s.Completed, Of: s.Of}
}

func newSuspect(p call.PartID, x blame.Presence) Suspect {
	return Suspect{Part: p, Share: x.Share, Completed: x.Completed, Of: x.Of}
}

// Crash is the end of an incarnation of an engine with requests in progress.
type Crash struct {
	Endpoint   ident.Endpoint
	StartMilli int64
	// Service is that of the engine; empty if it is not known.
	Service ident.Service
	At      time.Time
	// Requests is the number of interrupted requests that are known.
	Requests int
	Suspects []Suspect
}

// MergeSuspects adds parts to a list, which has at most 256 parts. Reports of one part are merged.
func MergeSuspects(list, more []Suspect) []Suspect {
	for _, s := range more {
		i := slices.IndexFunc(list, func(x Suspect) bool { return x.Part == s.Part })
		if i < 0 {
			if len(list) < maxSuspects {
				list = append(list, s)
			}
			continue
		}
		list[i] = newSuspect(s.Part, list[i].presence().Merge(s.presence()))
	}
	return list
}
