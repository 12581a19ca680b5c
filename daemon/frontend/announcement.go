package frontend

import (
	"log/slog"
	"time"

	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
)

// maxResumeSpread bounds the random time by which requests to an endpoint start later than it has asked for, so that the entries do not
// return all at once.
const maxResumeSpread = 500 * time.Millisecond

// recordAnnouncement applies what the headers of a response state about the endpoint: that it is leaving, or that it wants no requests
// for a time.
func (f *Frontend) recordAnnouncement(e *endpoint, info call.ResponseInfo) {
	if !info.Leaving && info.RetryAfter <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if info.Leaving {
		f.markLeaving(e, "response")
	}
	if info.RetryAfter > 0 {
		spread := time.Duration(f.random.Float64() * float64(min(maxResumeSpread, info.RetryAfter/4)))
		if until := now.Add(info.RetryAfter + spread); until.After(e.pausedUntil) {
			e.pausedUntil = until
		}
		f.metrics.pauses.Inc()
		f.log.Warn("endpoint wants no requests for a time", slog.String("Endpoint", string(e.name)), slog.Int64("RetryAfterMilli", info.RetryAfter.Milliseconds()),
			slog.Int64("DurationMilli", e.pausedUntil.Sub(now).Milliseconds()))
	}
	f.updatePlacement(e)
}

// markLeaving marks an endpoint as leaving for the rest of its incarnation; source names what announced it. The lock is held.
func (f *Frontend) markLeaving(e *endpoint, source string) {
	if e.Leaving {
		return
	}
	e.Leaving = true
	f.metrics.leavingEndpoints.Inc()
	f.log.Info("endpoint announced that it is leaving", slog.String("Endpoint", string(e.name)), slog.String("Source", source), slog.Int("Running", e.running))
}

// closed reports whether the endpoint must get no new requests; the lock is held.
func (e *endpoint) closed(now time.Time) bool {
	return e.Leaving || e.superseded || now.Before(e.pausedUntil)
}

// resumeDelay returns the time until the first of a service's endpoints that have asked for a pause accepts requests again; 0 if there is
// none. The lock is held.
func (f *Frontend) resumeDelay(now time.Time, s ident.Service) (delay time.Duration) {
	for _, e := range f.endpoints {
		if e.Service != s || e.Leaving || e.superseded || !now.Before(e.pausedUntil) {
			continue
		}
		if d := e.pausedUntil.Sub(now); delay == 0 || d < delay {
			delay = d
		}
	}
	return delay
}
