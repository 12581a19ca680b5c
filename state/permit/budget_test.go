package permit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotring.dev/state/ident"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against grants above the rate, grants in the wrong order and a load that never gets a permit.
func TestTakeFor(t *testing.T) {
	type step struct {
		ms       int
		endpoint ident.Endpoint
		stalled  float64
		want     bool
	}
	cases := []struct {
		name  string // the failure that the case guards against
		steps []step
	}{
		{"grants before any time has passed, so that each new holder of the budget adds to the rate", []step{{0, "a", 1, false}}},
		{"grants more than the rate", []step{{250, "a", 1, true}, {300, "b", 1, false}, {499, "b", 1, false}, {500, "b", 1, true}}},
		{"serves the first request although another load has more stalled work", []step{
			{100, "a", 1, false}, {110, "b", 5, false}, {250, "a", 1, false}, {260, "b", 5, true}, {510, "a", 1, true},
		}},
		{"starves a load with little stalled work", []step{
			{0, "a", 1, false}, {200, "a", 1, false}, {240, "b", 1.1, false}, {250, "a", 1, true},
		}},
		{"waits for an endpoint that no longer requests a permit", []step{{0, "b", 9, false}, {600, "a", 1, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(4, 8, start) // 4 permits per second, at most 8 in use
			for i, s := range c.steps {
				if got := b.TakeFor(at(s.ms), s.endpoint, s.stalled); got != s.want {
					t.Fatalf("step %d: granted %v, want %v", i, got, s.want)
				}
			}
		})
	}
}

// Guards against a slow load that loses its permit when an unused one would expire: more loads than allowed would then run
// and overload a weight store that is already slow.
func TestRunningLoadKeepsItsPermit(t *testing.T) {
	b := New(4, 2, start)
	for _, e := range []ident.Endpoint{"used", "unused"} {
		if !b.Take(at(1000), e) {
			t.Fatalf("no permit for %s", e)
		}
	}
	b.Begin(at(1000), "used")
	if n := b.InFlight(at(5000)); n != 1 {
		t.Errorf("%d permits held after the expiry of the unused one, want 1", n)
	}
	if n := b.InFlight(at(60_000)); n != 0 {
		t.Errorf("%d permits held for an agent that crashed, want 0", n)
	}
}

// Guards against a budget that exceeds its rate or its limit of loads in flight under some order of events.
func TestBudgetLimitsRateAndLoadsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(4, 8, start)
		ms, granted := 0, 0
		for range 200 {
			ms += rapid.IntRange(0, 200).Draw(t, "ms")
			e := ident.Endpoint(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"))
			if rapid.Bool().Draw(t, "done") {
				b.Done(e)
			} else if b.TakeFor(at(ms), e, rapid.Float64Range(0, 9).Draw(t, "stalled")) {
				granted++
				b.Begin(at(ms), e)
			}
			if n := b.InFlight(at(ms)); n > 8 || float64(granted) > float64(ms)/250+0.001 {
				t.Fatalf("%d in flight, %d granted in %d ms", n, granted, ms)
			}
		}
	})
}
