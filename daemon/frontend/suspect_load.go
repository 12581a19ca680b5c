package frontend

import (
	"context"
	"log/slog"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/outcome"
)

// loadRefusal returns the refusal of a request whose adapter crashes the engines that load it, nil if it may be loaded.
func (f *Frontend) loadRefusal(ctx context.Context, x *request) (refusal *outcome.Refusal) {
	if !f.suspecting.Load() {
		return nil
	}
	x.loadProbation, refusal = f.verdictRefusal(ctx, x, loadFingerprint(x.adapter), "engines end while they load the adapter")
	return refusal
}

// recordLoad records the end of a wait for an adapter: a load that an engine has survived, or an engine that ended before it was complete. The
// lock is not held.
func (f *Frontend) recordLoad(x *request, e *endpoint, loaded bool, start time.Time) {
	probation := x.loadProbation
	x.loadProbation = fingerprint.Fingerprint{}
	if loaded {
		if f.suspecting.Load() {
			p := loadFingerprint(x.adapter)
			f.recordSurvival(p, probation == p)
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if !f.endedUnannounced(now, e) {
		return
	}
	p := loadFingerprint(x.adapter)
	f.log.Info("engine ended while it loaded an adapter", x.id(), slog.String("Endpoint", string(e.name)), slog.Int64("Born", e.StartMilli), slog.String("Adapter", x.adapter.String()),
		slog.String("Fingerprint", p.String()), slog.Int64("DurationMilli", now.Sub(start).Milliseconds()))
	v := control.EndEvidence{Endpoint: e.name, Born: e.StartMilli, Requests: []control.InterruptedRequest{{Request: p, RanMilli: now.Sub(start).Milliseconds()}}}
	f.observeEnd(now, v)
	f.shareEvidence(now, control.Evidence{Host: f.host, Ends: []control.EndEvidence{v}})
}

// endedUnannounced reports whether an engine is down, or replaced by its next incarnation, without having announced that it leaves; the lock is
// held.
func (f *Frontend) endedUnannounced(now time.Time, e *endpoint) bool {
	s := e.agentState(now)
	if e.Leaving || s != nil && s.Leaving {
		return false
	}
	if s != nil {
		return !s.Up
	}
	l := e.link
	return l != nil && l.state != nil && now.Sub(l.stateAt) <= stateExpiry && (l.state.Endpoint != e.ID || !e.startedAt(l.state.Born))
}
