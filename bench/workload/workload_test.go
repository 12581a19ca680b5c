package workload

import (
	"math"
	"testing"

	"shallotring.dev/state/ident"
)

// Guards against a load that is a fraction of something else than the stated capacity.
func TestRateIsTheFractionOfCapacity(t *testing.T) {
	for _, s := range Specs() {
		n := 0
		for _, r := range s.Generate(0.8, 1) {
			if !r.Flood {
				n++
			}
		}
		span := End.Seconds()
		if s.Night {
			span -= 30
		}
		if rate := float64(n) / span; math.Abs(rate/(0.8*s.Capacity())-1) > 0.03 {
			t.Errorf("%s: %.1f requests per second at 80%% of %.1f", s.Name, rate, s.Capacity())
		}
	}
}

// Guards against workloads that do not contain what their names say.
func TestFaults(t *testing.T) {
	for _, s := range Specs() {
		before, after := map[ident.AdapterVersion]int{}, map[ident.AdapterVersion]int{}
		flood, calm, nights := 0, 0, 0
		for _, r := range s.Generate(0.8, 1) {
			if r.At < Event {
				before[r.Adapter]++
			} else {
				after[r.Adapter]++
			}
			if r.At >= Event && r.Caller == callerName(0) {
				flood++
			}
			if r.At >= Event && r.Caller == callerName(1) {
				calm++
			}
			if night(r.At) {
				nights++
			}
		}
		head := name(0)
		if got := after[head] < before[head]/10; got != s.Shift {
			t.Errorf("%s: head adapter %d requests before and %d after", s.Name, before[head], after[head])
		}
		if got := float64(flood)/float64(calm) > 8; got != s.Flood {
			t.Errorf("%s: caller 0 has %d requests, another %d", s.Name, flood, calm)
		}
		if s.Night && nights > 0 {
			t.Errorf("%s: %d requests at night", s.Name, nights)
		}
	}
}
