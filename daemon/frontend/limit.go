package frontend

import (
	"log/slog"

	"shallotring.dev/state/call"
)

// recordLimit records the limit that a response names, or that it names none.
func (f *Frontend) recordLimit(x *request, e *endpoint, info call.ResponseInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if info.InvalidLimit {
		f.metrics.invalidLimits.Inc()
		f.log.Warn("endpoint named a limit that cannot be read", x.id(), slog.String("Endpoint", string(e.name)), info.Limit.Attr())
		if !info.Limit.Named {
			return
		}
	}
	if info.Limit == e.limit {
		return
	}
	f.metrics.limitChanges.Inc()
	f.log.Info("limit of an endpoint changed", x.id(), slog.String("Endpoint", string(e.name)), info.Limit.Attr(), slog.Float64("FormerPerSecond", e.limit.PerSecond))
	e.limit = info.Limit
}

// countLimitedSend counts a request to an endpoint that has named a limit.
func (f *Frontend) countLimitedSend(x *request, e *endpoint) {
	f.mu.Lock()
	limit := e.limit
	f.mu.Unlock()
	if !limit.Named {
		return
	}
	f.metrics.limitedSends.Inc()
	f.log.Info("request sent to an endpoint with a limit", x.id(), slog.String("Endpoint", string(e.name)), limit.Attr(), slog.Int("Send", x.sends))
}
