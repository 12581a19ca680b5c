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

// Guards against a decision elsewhere that would send a request a second time, refuse one that may have run, or put an older
// configuration in force: the step is not taken, and it is counted.
func TestInvariants(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, guarantee string
		try             func(t *testing.T, f *Frontend)
	}{
		{"second send", "G5", func(t *testing.T, f *Frontend) {
			x := &request{runs: 1, route: routing.Route{Kind: routing.Once}, deadline: time.Now().Add(time.Second)}
			if done, again := f.offer(t.Context(), httptest.NewRecorder(), x, &endpoint{}); done || again || x.sends > 0 {
				t.Errorf("done %t, again %t, %d sends", done, again, x.sends)
			}
		}},
		{"untrue refusal", "G4", func(t *testing.T, f *Frontend) {
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
			c.try(t, f)
			if n := set.GetOrCreateCounter(`shallotring_invariant_violations_total{guarantee="` + c.guarantee + `"}`).Get(); n != 1 {
				t.Errorf("%d violations are counted", n)
			}
		})
	}
}
