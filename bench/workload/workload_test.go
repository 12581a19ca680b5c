package workload

import (
	"math"
	"testing"

	"shallotring.dev/state/ident"
)

// TestRateIsTheFractionOfCapacity guards against a generator whose arrival rate is not the given fraction of the printed capacity.
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
			span -= 30 // the length of the night in seconds, see inNight
		}
		if rate := float64(n) / span; math.Abs(rate/(0.8*s.Capacity())-1) > 0.03 {
			t.Errorf("%s: %.1f requests per second at 80%% of %.1f", s.Name, rate, s.Capacity())
		}
	}
}

// TestWorkloadsContainTheirFaults guards against a workload that lacks the fault of its name (the popularity shift, the flooding
// caller, the night without requests) and against one that has another workload's fault.
func TestWorkloadsContainTheirFaults(t *testing.T) {
	for _, s := range Specs() {
		before, after := map[ident.AdapterVersion]int{}, map[ident.AdapterVersion]int{}
		flooding, other, atNight := 0, 0, 0
		for _, r := range s.Generate(0.8, 1) {
			if r.At < FaultTime {
				before[r.Adapter]++
			} else {
				after[r.Adapter]++
			}
			if r.At >= FaultTime && r.Caller == callerName(0) {
				flooding++
			}
			if r.At >= FaultTime && r.Caller == callerName(1) {
				other++
			}
			if inNight(r.At) {
				atNight++
			}
		}
		popular := adapterOfRank(0)
		if got := after[popular] < before[popular]/10; got != s.Shift {
			t.Errorf("%s: most popular adapter has %d requests before the fault and %d after it", s.Name, before[popular], after[popular])
		}
		if got := float64(flooding)/float64(other) > 8; got != s.Flood {
			t.Errorf("%s: caller 0 has %d requests after the fault, another caller %d", s.Name, flooding, other)
		}
		if s.Night && atNight > 0 {
			t.Errorf("%s: %d requests at night", s.Name, atNight)
		}
	}
}
