package report

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"shallotring.dev/bench/workload"
)

// TestSameOutputEachRun guards against results that depend on the order of map iteration or on the scheduling of goroutines.
func TestSameOutputEachRun(t *testing.T) {
	specs := workload.Specs()[4:5] // slowstore, in which loads also fail at random
	first, second := Matrix(specs, []float64{0.5}, Policies()), Matrix(specs, []float64{0.5}, Policies())
	for key, r := range first {
		if !reflect.DeepEqual(r, second[key]) {
			t.Errorf("%v: two runs differ: %v %v", key, r.MeanStall(), second[key].MeanStall())
		}
	}
}

// TestRunsKeepTheBudgetAndCountEveryRequest guards against a policy that meets its targets by exceeding the load budget or because
// some requests are not counted.
func TestRunsKeepTheBudgetAndCountEveryRequest(t *testing.T) {
	for _, s := range []workload.Spec{workload.Specs()[5]} { // flood
		arrived := 0
		for _, r := range s.Generate(0.5, seed) {
			if r.At >= workload.WarmUp {
				arrived++
			}
		}
		for key, r := range Matrix([]workload.Spec{s}, []float64{0.5}, Policies()) {
			if r.Completed+r.Refused != arrived {
				t.Errorf("%v: %d completed and %d refused of %d", key, r.Completed, r.Refused, arrived)
			}
			if n := r.MaxLoadsWithin(10 * time.Second); n > maxLoadsInTenSeconds || r.MaxLoadsInFlight > 8 {
				t.Errorf("%v: %d loads in ten seconds, %d in flight", key, n, r.MaxLoadsInFlight)
			}
			if f := r.Fill(); f <= 0 || f > 1 {
				t.Errorf("%v: fill %v", key, f)
			}
		}
	}
}

// TestResultLineFormat guards against a change of the field names or their order in the result lines.
func TestResultLineFormat(t *testing.T) {
	specs := workload.Specs()[:1]
	all := make(Runs)
	r := Matrix(specs, []float64{0.05}, Policies()[:1])[Key{"lusolito", "random-lru", 0.05}]
	for _, s := range workload.Specs() {
		for _, p := range Policies() {
			for _, load := range LoadFractions {
				all[Key{s.Name, p.Name, load}] = r
			}
		}
	}
	var out strings.Builder
	Print(&out, workload.Specs(), all)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	last := lines[len(lines)-len(Policies())*len(workload.Specs()):]
	for _, l := range last {
		fields := strings.Fields(l)
		names := []string{"bench:", "workload", "policy", "stall_ms_mean", "stall_ms_p95", "fill", "completed", "refused"}
		for i, n := range names {
			if len(fields) != len(names) || (i > 0 && !strings.HasPrefix(fields[i], n+"=")) {
				t.Fatalf("line %q does not have the field %s in its place", l, n)
			}
		}
	}
}

// TestTargetMet guards against a comparison in the wrong direction, which would print "met" for a missed target.
func TestTargetMet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		x := random.Float64()
		if (target{value: x, limit: 0.5}).met() != (x <= 0.5) || (target{value: x, limit: 0.5, atLeast: true}).met() != (x >= 0.5) {
			t.Fatalf("met is wrong for the value %v and the limit 0.5", x)
		}
	}
}
