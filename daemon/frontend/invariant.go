package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
)

// recordViolation records that the next action would break a guarantee; the calling function must not perform that action. A
// violation is a programming error in the code that led to the action.
func (f *Frontend) recordViolation(guarantee, text string, attrs ...slog.Attr) {
	f.metrics.set.GetOrCreateCounter(fmt.Sprintf("shallotring_invariant_violations_total{guarantee=%q}", guarantee)).Inc()
	f.log.LogAttrs(context.Background(), slog.LevelError, "invariant violated", append(attrs, slog.String("Guarantee", guarantee), slog.String("Detail", text))...)
}

// maySend reports whether the request may be sent to an endpoint (guarantee G1: it runs at the service that its route names; guarantee G5: a
// non-repeatable request runs at most once).
func (f *Frontend) maySend(x *request, e *endpoint) bool {
	if e.service != x.service || !allows(x.route, x.service) {
		f.recordViolation("G1", "a request was about to be sent to a service that its route does not name", x.id(), slog.String("Route", x.route.Name),
			slog.String("Service", string(x.service)), slog.String("Endpoint", string(e.name)), slog.String("EndpointService", string(e.service)))
		return false
	}
	if x.runs > 0 && !x.repeatable() {
		f.recordViolation("G5", "a request that may run only once was about to be sent again", x.id(), slog.Int("Sends", x.sends), slog.Int("Runs", x.runs))
		return false
	}
	return true
}

// meansNotRun reports whether a status means to callers that the request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRefuse reports whether the response to the request may have the status (guarantee G4: a refused request has not run).
func (f *Frontend) mayRefuse(x *request, status int) bool {
	if meansNotRun(status) && x.runs > 0 {
		f.recordViolation("G4", "a request that may have run was about to be refused", x.id(), slog.Int("Status", status), slog.Int("Runs", x.runs))
		return false
	}
	return true
}
