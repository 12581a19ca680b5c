package frontend

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotring.dev/platform/message"
	"shallotring.dev/state/routing"
)

// TestInvariants guards against an error elsewhere in the frontend that leads to a second send of a request, to a refusal of one that
// may have run, or to an older configuration in force. Such a step must not be taken, and it must be counted as a violation.
func TestInvariants(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, guarantee string
		provoke         func(t *testing.T, f *Frontend)
	}{
		{"second send", "G5", func(t *testing.T, f *Frontend) {
			route := routing.Route{Kind: routing.Once, Targets: []routing.Target{{Service: "s", Weight: 1}}}
			x := &request{runs: 1, route: route, service: "s", deadline: time.Now().Add(time.Second)}
			if done, retry := f.send(t.Context(), httptest.NewRecorder(), x, &endpoint{service: "s"}); done || retry || x.sends > 0 {
				t.Errorf("done %t, retry %t, %d sends", done, retry, x.sends)
			}
		}},
		{"send to another service", "G1", func(t *testing.T, f *Frontend) {
			route := routing.Route{Kind: routing.Once, Targets: []routing.Target{{Service: "s", Weight: 1}}}
			x := &request{route: route, service: "s", deadline: time.Now().Add(time.Second)}
			if done, retry := f.send(t.Context(), httptest.NewRecorder(), x, &endpoint{service: "other"}); done || retry || x.sends > 0 {
				t.Errorf("done %t, retry %t, %d sends", done, retry, x.sends)
			}
		}},
		{"send to a service that the route does not name", "G1", func(t *testing.T, f *Frontend) {
			route := routing.Route{Kind: routing.Once, Targets: []routing.Target{{Service: "s", Weight: 1}, {Service: "unused"}}}
			x := &request{route: route, service: "unused", deadline: time.Now().Add(time.Second)}
			if done, retry := f.send(t.Context(), httptest.NewRecorder(), x, &endpoint{service: "unused"}); done || retry || x.sends > 0 {
				t.Errorf("done %t, retry %t, %d sends", done, retry, x.sends)
			}
		}},
		{"refusal after a run", "G4", func(t *testing.T, f *Frontend) {
			w := httptest.NewRecorder()
			f.refuse(w, &request{runs: 1}, http.StatusServiceUnavailable, "test", time.Second)
			if w.Code != http.StatusBadGateway {
				t.Errorf("status %d", w.Code)
			}
		}},
		{"older configuration", "G8", func(t *testing.T, f *Frontend) {
			for _, version := range []int64{5, 4} {
				f.Configure(routing.New(version, nil, nil, routing.Limits{}))
			}
			if v := f.routes.Load().Version; v != 5 {
				t.Errorf("version %d is in force", v)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			set := metrics.NewSet()
			f := New(message.Headers{}, "edge", "a", WithMetrics(set))
			c.provoke(t, f)
			if n := set.GetOrCreateCounter(`shallotring_invariant_violations_total{guarantee="` + c.guarantee + `"}`).Get(); n != 1 {
				t.Errorf("%d violations were counted, want 1", n)
			}
		})
	}
}
