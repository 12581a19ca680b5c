package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
)

// violated notes that a step which is about to be taken would break a guarantee; its caller does not take it. A violation is a
// fault of the code before that step.
func (f *Frontend) violated(guarantee, text string, more ...slog.Attr) {
	f.metrics.set.GetOrCreateCounter(fmt.Sprintf("shallotring_invariant_violations_total{guarantee=%q}", guarantee)).Inc()
	f.log.LogAttrs(context.Background(), slog.LevelError, "invariant violated", append(more, slog.String("Guarantee", guarantee), slog.String("Detail", text))...)
}

// maySend reports whether the request may be sent to one more endpoint.
func (f *Frontend) maySend(x *request) bool {
	if x.runs > 0 && !x.repeatable() {
		f.violated("G5", "a request that runs once would be sent again", x.id(), slog.Int("Sends", x.sends), slog.Int("Runs", x.runs))
		return false
	}
	return true
}

// promises reports whether a status tells callers that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRefuse reports whether it is true that the request has not run.
func (f *Frontend) mayRefuse(x *request, status int) bool {
	if promises(status) && x.runs > 0 {
		f.violated("G4", "a request that may have run would be refused", x.id(), slog.Int("Status", status), slog.Int("Runs", x.runs))
		return false
	}
	return true
}
