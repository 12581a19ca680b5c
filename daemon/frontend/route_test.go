package frontend

import (
	"testing"
	"time"

	"shallotring.dev/platform/message"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/routing"
)

// routeTo returns a configuration with one route to some services, none if there are no services.
func routeTo(version int64, kind routing.Kind, services ...ident.Service) *routing.Table {
	var routes []routing.Route
	if len(services) > 0 {
		r := routing.Route{Name: "r", Host: "x", Prefix: "/r/", Kind: kind, Timeout: 2 * time.Second, MaxEndpoints: 2}
		for _, s := range services {
			r.Targets = append(r.Targets, routing.Target{Service: s, Weight: 1})
		}
		routes = append(routes, r)
	}
	return routing.New(version, routes, []routing.Service{{Name: "a"}, {Name: "b"}}, routing.Limits{})
}

// newWaiting returns a frontend with an endpoint of each of two services, and a request that has been routed to service a and not sent yet.
func newWaiting(kind routing.Kind) (f *Frontend, x *request) {
	f = New(message.Headers{}, "edge-1", "z", WithRetryLimit(RetryLimit{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}))
	f.Configure(routeTo(1, kind, "a"))
	for s, address := range map[ident.Service]string{"a": "127.0.0.1:1", "b": "127.0.0.1:3"} {
		f.UpdateEndpoint(inventory.Endpoint{ID: ident.Endpoint("i-" + s), Service: s, Address: address, Zone: "z", BatchSize: 8})
	}
	x = &request{host: "x", target: "/r/1?q=2", service: "a", configuration: 1, arrived: time.Now(), deadline: time.Now().Add(2 * time.Second)}
	x.route, _ = f.routes.Load().Match(x.routeKey())
	return f, x
}

// TestWaitingRequestsFollowTheirRoute guards against a request that runs at a service to which its route does not lead any more, because the route
// moved while the request waited or was about to be repeated.
func TestWaitingRequestsFollowTheirRoute(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     routing.Kind
		services []ident.Service
		runs     int
		// want is the endpoint that the request gets, empty if it is refused.
		want ident.Endpoint
	}{
		{"the route stays", routing.Once, []ident.Service{"a"}, 0, "i-a"},
		{"the route moves", routing.Once, []ident.Service{"b"}, 0, "i-b"},
		{"the route leads to another service too", routing.Once, []ident.Service{"a", "b"}, 0, "i-a"},
		{"the route is removed", routing.Once, nil, 0, ""},
		{"the route leads to a service without endpoints", routing.Once, []ident.Service{"c"}, 0, ""},
		{"a repeated request may not run twice any more", routing.Once, []ident.Service{"b"}, 1, ""},
		{"a repeated request follows", routing.Repeatable, []ident.Service{"b"}, 1, "i-b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, x := newWaiting(routing.Repeatable)
			x.runs = c.runs
			f.Configure(routeTo(2, c.kind, c.services...))
			e, refusal := f.place(t.Context(), x)
			if (refusal != nil) != (c.want == "") {
				t.Fatalf("refusal %+v, want endpoint %q", refusal, c.want)
			}
			if refusal == nil && e.name != c.want {
				t.Errorf("the request goes to %s, want %s", e.name, c.want)
			}
		})
	}
}

// TestRequestsAreExaminedAfterTheirWait guards against a request that is sent although, while it waited for a slot, a load or a send, its endpoint
// began to leave, went missing, asked for a pause or was removed, its route moved or its time ran out.
func TestRequestsAreExaminedAfterTheirWait(t *testing.T) {
	for name, change := range map[string]func(f *Frontend, x *request, e *endpoint){
		"leaves":           func(_ *Frontend, _ *request, e *endpoint) { e.Leaving = true },
		"asks for a pause": func(_ *Frontend, _ *request, e *endpoint) { e.pausedUntil = time.Now().Add(time.Minute) },
		"is removed":       func(f *Frontend, _ *request, _ *endpoint) { f.RemoveEndpoint("i-a") },
		"goes missing": func(f *Frontend, _ *request, _ *endpoint) {
			f.UpdateEndpoint(inventory.Endpoint{ID: "i-a2", Service: "a", Address: "127.0.0.1:2", BatchSize: 8})
			f.DoubtEndpoint("i-a")
		},
		"has no route": func(f *Frontend, _ *request, _ *endpoint) { f.Configure(routeTo(2, routing.Once, "b")) },
		"has no time":  func(_ *Frontend, x *request, _ *endpoint) { x.deadline = time.Now() },
		"stops":        func(f *Frontend, _ *request, _ *endpoint) { f.RefuseStreams(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			f, x := newWaiting(routing.Once)
			e := f.endpoints["i-a"]
			if !f.mayStillBeSent(x, e) {
				t.Fatal("the request may not be sent although nothing has changed")
			}
			if change(f, x, e); f.mayStillBeSent(x, e) {
				t.Error("the request may still be sent")
			}
		})
	}
}

// TestMissingEndpointsAreUsedLast guards against requests to an endpoint that is missing from discovery while another one is there, and against
// requests that are refused because all are missing.
func TestMissingEndpointsAreUsedLast(t *testing.T) {
	f, x := newWaiting(routing.Once)
	other := inventory.Endpoint{ID: "i-a2", Service: "a", Address: "127.0.0.1:2", Zone: "z", BatchSize: 8}
	choose := func() ident.Endpoint {
		e, refusal := f.place(t.Context(), x)
		if refusal != nil {
			return ""
		}
		f.removeRequest(x, e, false)
		return e.name
	}
	f.UpdateEndpoint(other)
	f.DoubtEndpoint("i-a")
	for range 20 {
		if name := choose(); name != "i-a2" {
			t.Fatalf("a request goes to %q, want the endpoint in discovery", name)
		}
	}
	x.excluded = []ident.Endpoint{"i-a2"}
	if name := choose(); name != "" {
		t.Errorf("a repeated request goes to %q", name)
	}
	x.excluded = nil
	f.DoubtEndpoint("i-a2")
	if name := choose(); name == "" {
		t.Error("a request is refused although endpoints may be there")
	}
	f.UpdateEndpoint(other)
	for range 20 {
		if name := choose(); name != "i-a2" {
			t.Fatalf("a request goes to %q, want the endpoint that is back", name)
		}
	}
}

// TestModelRequestsCountAsUses guards against requests to models that agents do not learn of, so that they unload adapters in use, because a request
// that names a service is taken for one to a plain service.
func TestModelRequestsCountAsUses(t *testing.T) {
	f, x := newWaiting(routing.Once)
	e := f.endpoints["i-a"]
	x.call.Model, x.adapter = "m", ident.AdapterVersion{Adapter: "m/a1", Version: "1"}
	q := f.placementQuery(x)
	f.mu.Lock()
	f.addRequest(f.clock.Now(), x, e, q)
	f.mu.Unlock()
	if u := e.uses[x.adapter]; u == nil || u.Running != 1 {
		t.Fatalf("use = %+v, want one running request", u)
	}
	f.removeRequest(x, e, false)
	if u := e.uses[x.adapter]; u == nil || u.Running != 0 {
		t.Errorf("use = %+v after the request, want none running", u)
	}
}
