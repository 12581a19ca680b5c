package frontend

import (
	"log/slog"
	"net/http"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/routing"
	"shallotring.dev/state/tenant"
)

// unreadBodyTimeout bounds the time for which a body is discarded after the refusal of its request: a connection that ends with unread bytes is reset,
// and the refusal may be lost.
const unreadBodyTimeout = 2 * time.Second

// maxKeyRefusalLines bounds the lines of the log about refused keys, per second.
const maxKeyRefusalLines = 5

// tenantName returns the name of the tenant of a request, empty if it has none.
func (x *request) tenantName() ident.Tenant {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// tenantOf returns the tenant of a request on a route, nil if none is needed; open is false if the route needs a key and none of a tenant is presented.
func tenantOf(t *routing.Table, r routing.Route, x *request) (holder *tenant.Tenant, open bool) {
	if t.Tenants == nil || r.Public {
		return nil, true
	}
	return t.Tenants.Find(x.call.Key)
}

// authorize sets what a request gets from its tenant, or returns why its key does not open its route. It is called for each configuration that the
// request comes under, after its route has been set.
func (f *Frontend) authorize(t *routing.Table, x *request) *outcome.Refusal {
	holder, open := tenantOf(t, x.route, x)
	if x.tenant = holder; t.Tenants == nil {
		return nil
	}
	// The fingerprints of requests leave the process, and no key may be derived from them.
	x.withholdsCredentials, x.call.Caller = true, ""
	if x.route.Public {
		return nil
	}
	if v := f.confirmation.Decide(open, f.confirmation.age()); v != tenant.Admitted {
		return f.refuseKey(x, v)
	}
	x.call.Caller = ident.Caller(holder.Name)
	if holder.Priority != nil {
		x.route.Priority = *holder.Priority
	}
	return nil
}

// refuseKey returns the refusal for a verdict.
func (f *Frontend) refuseKey(x *request, v tenant.Verdict) *outcome.Refusal {
	x.keyRefused = true
	if v == tenant.Unknown {
		f.metrics.unknownKeys.Inc()
		return &outcome.Refusal{Reason: outcome.KeyUnknown, Detail: "no tenant holds the key"}
	}
	f.metrics.unconfirmedKeys.Inc()
	return &outcome.Refusal{Reason: outcome.Isolated, RetryAfter: unavailableRetryAfter, Detail: "the configuration is not confirmed to be in force still"}
}

// refusalStatus returns the status of a refusal.
func refusalStatus(r *outcome.Refusal) int {
	if r.Reason == outcome.KeyUnknown {
		return http.StatusUnauthorized
	}
	return http.StatusServiceUnavailable
}

// leaveBodyUnread lets a refusal be sent before the body of its request has arrived. The connection ends with it: the server would read the body first
// to use it again, and fails on the next request if it is told to respond while it reads (Go 1.26, "invalid concurrent Body.Read call").
func (f *Frontend) leaveBodyUnread(w http.ResponseWriter, r *http.Request, x *request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)); err != nil {
		f.log.Warn("setting the read deadline failed; a caller that does not send its body is not disconnected", x.id(), slog.Any("Error", err))
	}
}
