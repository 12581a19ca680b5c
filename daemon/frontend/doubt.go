package frontend

import (
	"log/slog"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/placement"
)

// DoubtEndpoint marks an endpoint whose discovery entry went missing while those of others stayed. It has probably left, and gets requests only if
// no endpoint of its service is in discovery. UpdateEndpoint or RemoveEndpoint follows.
func (f *Frontend) DoubtEndpoint(id ident.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil || e.doubted {
		return
	}
	e.doubted = true
	f.metrics.doubtedEndpoints.Inc()
	f.log.Info("endpoint is missing from discovery", slog.String("Endpoint", string(id)), slog.Int("Running", e.running), slog.Bool("Used", !f.barred(e)))
	f.updatePlacement(e)
}

// barred reports whether an endpoint gets no requests because it is missing from discovery, where others of its service are. The lock is held.
func (f *Frontend) barred(e *endpoint) bool {
	if !e.doubted {
		return false
	}
	for _, x := range f.endpoints {
		if x.Service == e.Service && !x.doubted && !x.Leaving && !x.superseded {
			return true
		}
	}
	return false
}

// updateDoubted passes the endpoints of a service that are missing from discovery to the placement again. The lock is held.
func (f *Frontend) updateDoubted(s ident.Service) (n int) {
	for _, e := range f.endpoints {
		if e.doubted && e.Service == s {
			f.updatePlacement(e)
			n++
		}
	}
	return n
}

// choose returns the cheapest endpoint for a query of a request; e is nil if there is none. The lock is held.
func (f *Frontend) choose(now time.Time, x *request, q placement.Query) (e *endpoint, s placement.Selection) {
	s, ok := f.placement.Select(now, q)
	if !ok && f.updateDoubted(x.service) > 0 {
		s, ok = f.placement.Select(now, q)
	}
	if !ok {
		return nil, s
	}
	return f.endpoints[s.Endpoint], s
}
