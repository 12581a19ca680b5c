package sidecar

import (
	"log/slog"
	"slices"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/quarantine"
)

const (
	// interruptionExpiry is the time after which interrupted requests of an engine that is still up are forgotten: single connections break, too.
	interruptionExpiry = 2 * time.Second
	// survivalTime is the time after interrupted requests after which an engine that responds to a call has survived them: an engine that ends may
	// accept calls for a moment after it has closed other connections.
	survivalTime = 250 * time.Millisecond
	// crashExpiry is the time for which a crash is reported to entries.
	crashExpiry = 10 * time.Minute
	// maxIncarnations bounds the incarnations that are known.
	maxIncarnations = 8
)

// incarnation is one incarnation of the engine.
type incarnation struct {
	endpoint   ident.Endpoint
	startMilli int64
	// ended is set once it is known to be down, leaving if it had announced that it leaves.
	ended   bool
	leaving bool
	// interruptedAt is the time at which the first of its interrupted requests was broken off, and lastInterruptedAt that of the last report of some.
	interruptedAt, lastInterruptedAt time.Time
	reportedAt                       time.Time
	requests                         int
	suspects                         []quarantine.Suspect
}

// crashed reports whether the incarnation ended unexpectedly with requests in progress.
func (i *incarnation) crashed() bool { return i.ended && !i.leaving && i.requests > 0 }

// forget drops interrupted requests that the incarnation has survived.
func (i *incarnation) forget() { i.requests, i.suspects, i.interruptedAt = 0, nil, time.Time{} }

// recordIncarnation records that the engine's current incarnation was up at a time.
func (s *Sidecar) recordIncarnation(at time.Time, leaving bool) {
	n := len(s.incarnations)
	if n > 0 && s.incarnations[n-1].startMilli == s.startMilli && s.incarnations[n-1].endpoint == s.endpoint {
		i := s.incarnations[n-1]
		if i.ended, i.leaving = false, leaving; at.Sub(i.lastInterruptedAt) > survivalTime {
			i.forget()
		}
		return
	}
	s.endIncarnation()
	s.incarnations = append(s.incarnations, &incarnation{endpoint: s.endpoint, startMilli: s.startMilli, leaving: leaving})
	if n++; n > maxIncarnations {
		s.incarnations = slices.Delete(s.incarnations, 0, n-maxIncarnations)
	}
}

// endIncarnation records that the engine's last known incarnation is down.
func (s *Sidecar) endIncarnation() {
	n := len(s.incarnations)
	if n == 0 || s.incarnations[n-1].ended {
		return
	}
	i := s.incarnations[n-1]
	i.ended = true
	if s.clock.Since(i.reportedAt) > interruptionExpiry {
		i.forget()
	}
	s.logCrash(i)
}

// recordInterruption records requests of an entry that an incarnation broke off. They count once the incarnation is known to have ended.
func (s *Sidecar) recordInterruption(now time.Time, host ident.Host, startMilli int64, r *control.Interruption) {
	var i *incarnation
	for _, x := range s.incarnations {
		if x.startMilli == startMilli {
			i = x
		}
	}
	if i == nil {
		if startMilli == 0 || s.startMilli == 0 || startMilli == s.startMilli {
			return
		}
		// This agent has started after the end of the incarnation.
		i = &incarnation{startMilli: startMilli, ended: true}
		s.incarnations = slices.Insert(s.incarnations, 0, i)
	}
	if !i.ended && now.Sub(i.reportedAt) > interruptionExpiry {
		i.forget()
	}
	i.reportedAt = now
	at := now.Add(-time.Duration(r.AgeMilli) * time.Millisecond)
	if i.interruptedAt.IsZero() || at.Before(i.interruptedAt) {
		i.interruptedAt = at
	}
	if at.After(i.lastInterruptedAt) {
		i.lastInterruptedAt = at
	}
	i.requests += r.Requests
	i.suspects = quarantine.MergeSuspects(i.suspects, r.Suspects)
	s.log.Info("entry reports interrupted requests", slog.String("Entry", string(host)), slog.Int64("Born", startMilli), slog.Int("Requests", r.Requests),
		slog.Int("Parts", len(r.Suspects)), slog.Int64("AgeMilli", r.AgeMilli), slog.Bool("Ended", i.ended))
	s.logCrash(i)
}

func (s *Sidecar) logCrash(i *incarnation) {
	if i.crashed() {
		s.log.Warn("engine crashed with requests in progress", slog.String("Endpoint", string(i.endpoint)), slog.Int64("Born", i.startMilli),
			slog.Int("Requests", i.requests), slog.Int("Parts", len(i.suspects)))
	}
}

// crashes returns what is reported to entries.
func (s *Sidecar) crashes(now time.Time) *control.Crashes {
	var c control.Crashes
	for _, i := range s.incarnations {
		if i.crashed() && now.Sub(i.interruptedAt) < crashExpiry && now.Sub(i.interruptedAt) >= 0 {
			c.List = append(c.List, control.Crash{Endpoint: i.endpoint, Born: i.startMilli, Interruption: control.Interruption{
				AgeMilli: now.Sub(i.interruptedAt).Milliseconds(), Requests: i.requests, Suspects: slices.Clone(i.suspects),
			}})
		}
	}
	if len(c.List) == 0 {
		return nil
	}
	return &c
}
