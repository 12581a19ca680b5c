package report

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"shallotring.dev/bench/workload"
)

// Guards against a result that depends on map order or on the scheduling of goroutines.
func TestSameOutputEachRun(t *testing.T) {
	specs := workload.Specs()[4:5]
	first, second := Matrix(specs, []float64{0.5}, Policies()), Matrix(specs, []float64{0.5}, Policies())
	for key, r := range first {
		if !reflect.DeepEqual(r, second[key]) {
			t.Errorf("%v: two runs differ: %v %v", key, r.Mean(), second[key].Mean())
		}
	}
}

// Guards against a policy that meets its targets by exceeding the load budget or by losing requests.
func TestRunsKeepTheBudgetAndCountEveryRequest(t *testing.T) {
	for _, s := range []workload.Spec{workload.Specs()[5]} {
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
			if n := r.MostLoads(10 * time.Second); n > loadsInTenSeconds || r.MostInFlight > 8 {
				t.Errorf("%v: %d loads in ten seconds, %d in flight", key, n, r.MostInFlight)
			}
			if f := r.Fill(); f <= 0 || f > 1 {
				t.Errorf("%v: fill %v", key, f)
			}
		}
	}
}

// Guards against a change of the fixed format of the last lines.
func TestLastLines(t *testing.T) {
	specs := workload.Specs()[:1]
	all := make(Runs)
	r := Matrix(specs, []float64{0.05}, Policies()[:1])[Key{"lusolito", "random-lru", 0.05}]
	for _, s := range workload.Specs() {
		for _, p := range Policies() {
			for _, load := range Loads {
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
				t.Fatalf("line %q lacks %s", l, n)
			}
		}
	}
}

// Guards against a target that passes when it is missed.
func TestTargetMet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		x := random.Float64()
		if (target{figure: x, limit: 0.5}).met() != (x <= 0.5) || (target{figure: x, limit: 0.5, atLeast: true}).met() != (x >= 0.5) {
			t.Fatalf("wrong verdict for %v", x)
		}
	}
}
