package frontend

import (
	"log/slog"
	"strings"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/routing"
)

// routeKey returns what the route of a request is matched by.
func (x *request) routeKey() (host, path string) {
	path, _, _ = strings.Cut(x.target, "?")
	host, _, _ = strings.Cut(strings.ToLower(x.host), ":")
	return host, path
}

// allows reports whether a route leads to a service.
func allows(r routing.Route, s ident.Service) bool {
	for _, t := range r.Targets {
		if t.Service == s && t.Weight > 0 {
			return true
		}
	}
	return false
}

// followRoute makes a request that has not been sent yet, or is to be sent again, follow the configuration in force: it keeps its service if its route
// still leads there, and gets another one of the route's otherwise. The lock is held.
func (f *Frontend) followRoute(x *request) (refusal *outcome.Refusal) {
	routes := f.routes.Load()
	if routes.Version == x.configuration {
		return f.unconfirmedRefusal(x)
	}
	route, ok := routes.Match(x.routeKey())
	if !ok {
		return &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: unavailableRetryAfter, Detail: "the route was removed while the request waited"}
	}
	former := x.service
	if !allows(route, x.service) {
		if x.service, ok = route.Pick(f.random.Float64()); !ok {
			return &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: unavailableRetryAfter, Detail: "the route has no service"}
		}
		f.retryBudget(x.service).RecordFirstTry(f.clock.Now())
	}
	f.log.Info("request follows a new configuration", x.id(), slog.Int64("Configuration", routes.Version), slog.Int64("FormerConfiguration", x.configuration),
		slog.String("Service", string(x.service)), slog.String("FormerService", string(former)), slog.Int("Sends", x.sends), slog.Int64("AgeMilli", f.clock.Since(x.arrived).Milliseconds()))
	x.route, x.configuration = route, routes.Version
	if refusal := f.authorize(routes, x); refusal != nil {
		return refusal
	}
	if x.runs > 0 && !x.repeatable() {
		return &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: unavailableRetryAfter, Detail: "the route does not allow another run any more"}
	}
	return nil
}

// mayStillBeSent reports whether a request that has waited may be sent to an endpoint: meanwhile its route may have moved, the endpoint may have begun
// to leave or asked for a pause, its key may have been taken away, the time may have run out, the request may have been put in quarantine, or the entry has begun to stop.
func (f *Frontend) mayStillBeSent(x *request, e *endpoint) bool {
	if f.isQuarantined(x) || f.endsTooLate(x) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	routes := f.routes.Load()
	reason := ""
	switch {
	case routes.Version != x.configuration && !f.routeAllows(routes, x):
		reason = "route"
	case x.tenant != nil && !f.confirmation.Admits(f.confirmation.age()):
		reason = "configuration not confirmed"
	case f.endpoints[e.name] != e:
		reason = "endpoint removed"
	case e.closed(now) || f.barred(e):
		reason = "endpoint closed"
	case x.deadline.Sub(now) < minRemaining:
		reason = "time"
	default:
		return true
	}
	f.log.Info("request is not sent after its wait", x.id(), slog.String("Endpoint", string(e.name)), slog.String("Reason", reason),
		slog.Int64("PauseMilli", max(e.pausedUntil.Sub(now), 0).Milliseconds()), slog.Int64("AgeMilli", now.Sub(x.arrived).Milliseconds()))
	return false
}

// routeAllows reports whether the route of a request leads to its service in a configuration and is open to its key as one of the same tenant.
func (f *Frontend) routeAllows(t *routing.Table, x *request) bool {
	r, ok := t.Match(x.routeKey())
	if !ok || !allows(r, x.service) {
		return false
	}
	holder, open := tenantOf(t, r, x)
	return open && holder.Same(x.tenant) && x.withholdsCredentials == (t.Tenants != nil)
}
