package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

var start = time.Unix(1_000_000, 0)

// TestFixedEndpoint guards against requests that wait for an adapter at an engine that has lost its agent, so that nothing loads it.
func TestFixedEndpoint(t *testing.T) {
	table := New(WithTerms(DirectTerms))
	fixed, other := engine("fixed", 0), engine("other", 50)
	fixed.Fixed = true
	fixed.Resident = []ident.AdapterVersion{version("held")}
	observe(table, 0, fixed)
	observe(table, 0, other)
	for range 20 {
		if name, _ := table.Choose(at(1), query("absent")); name != "other" {
			t.Fatalf("absent adapter at %q, want the engine that can load it", name)
		}
		if name, _ := table.Choose(at(1), query("held")); name != "fixed" {
			t.Fatalf("held adapter at %q, want the engine that holds it", name)
		}
	}
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func version(name string) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(name), Version: "1"}
}

func engine(name string, running int, resident ...string) Report {
	r := Report{Endpoint: ident.Endpoint(name), Kind: resource.Engine, BaseModel: "m", Running: running, BatchSize: 8, Slots: 4}
	for _, x := range resident {
		r.Resident = append(r.Resident, version(x))
	}
	return r
}

func query(adapter string) Query { return Query{BaseModel: "m", Adapter: version(adapter)} }

func observe(t *Table, seconds float64, reports ...Report) {
	for _, r := range reports {
		t.Observe(at(seconds), r)
	}
}

func with(r Report, change func(*Report)) Report {
	change(&r)
	return r
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name    string // the failure that the case guards against
		weights Weights
		prepare func(t *Table)
		query   Query
		want    ident.Endpoint
	}{
		{"loads an adapter again although it is resident elsewhere", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0), engine("b", 6, "x"))
		}, query("x"), "b"},
		{"queues for seconds where a load takes a quarter of one", Weights{1, 0}, func(t *Table) {
			observe(t, 0, engine("a", 0), with(engine("b", 8, "x"), func(r *Report) { r.Queued, r.QueueWait = 20, 5*time.Second }))
		}, query("x"), "a"},
		{"starts a second load while the first is in flight", Weights{1, 0}, func(t *Table) {
			observe(t, 0, engine("a", 0), engine("b", 0), engine("c", 0))
			t.Sent(at(0.5), "b", query("x"))
		}, query("x"), "b"},
		{"waits for a load that the endpoint has lost", Weights{1, 0}, func(t *Table) {
			observe(t, -5, engine("a", 0, "x"), engine("b", 0))
			t.Sent(at(-4.9), "b", query("x"))
			observe(t, 0.9, engine("b", 0))
		}, query("x"), "a"},
		{"spreads work over batches that are half empty", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x"), engine("b", 7, "x"))
		}, query("x"), "b"},
		{"ignores the weight of batch efficiency", Weights{1, 0}, func(t *Table) {
			observe(t, 0, engine("a", 5, "x"), with(engine("b", 8, "x"), func(r *Report) { r.Queued = 1 }))
		}, query("x"), "a"},
		{"ignores the prompt prefix in an endpoint's cache", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x"), engine("b", 7, "x"))
			t.RecordCacheEvent(at(0), "a", version("x"), 7, true)
		}, Query{BaseModel: "m", Adapter: version("x"), Prefix: 7, PrefixTokens: 2000}, "a"},
		{"assumes a prefix that has left the endpoint's cache", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x"), engine("b", 7, "x"))
			t.RecordCacheEvent(at(0), "a", version("x"), 7, true)
			t.RecordCacheEvent(at(0.5), "a", version("x"), 7, false)
		}, Query{BaseModel: "m", Adapter: version("x"), Prefix: 7, PrefixTokens: 2000}, "b"},
		{"uses a prefix that was cached for another adapter", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x", "y"), engine("b", 7, "x", "y"))
			t.RecordCacheEvent(at(0), "a", version("y"), 7, true)
		}, Query{BaseModel: "m", Adapter: version("x"), Prefix: 7, PrefixTokens: 2000}, "b"},
		{"follows a stale report after sending a burst", Weights{1, 0}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x"), engine("b", 7, "x"))
			for range 12 {
				t.Sent(at(0.5), "a", query("x"))
			}
		}, query("x"), "b"},
		{"loads where every slot is pinned", Weights{1, 0}, func(t *Table) {
			observe(t, 0, with(engine("a", 0), func(r *Report) { r.Pinned = 4 }), engine("b", 0))
		}, query("x"), "b"},
		{"sends to an endpoint that is leaving", Weights{1, 1}, func(t *Table) {
			observe(t, 0, with(engine("a", 0, "x"), func(r *Report) { r.Leaving = true }), engine("b", 0))
		}, query("x"), "b"},
		{"sends to an endpoint where the load fails", Weights{1, 1}, func(t *Table) {
			observe(t, 0, with(engine("a", 0), func(r *Report) { r.Failing = append(r.Failing, version("x")) }), engine("b", 8))
		}, query("x"), "b"},
		{"sends to an endpoint that has refused the request", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x"), engine("b", 8))
		}, Query{BaseModel: "m", Adapter: version("x"), Exclude: []ident.Endpoint{"a"}}, "b"},
		{"misses the only endpoint in a large pool that is not leaving", Weights{1, 1}, func(t *Table) {
			for i := range 50 {
				observe(t, 0, with(engine(fmt.Sprint("l", i), 0), func(r *Report) { r.Leaving = i != 20 }))
			}
		}, query("x"), "l20"},
		{"sends to another base model", Weights{1, 1}, func(t *Table) {
			observe(t, 0, with(engine("a", 0, "x"), func(r *Report) { r.BaseModel = "other" }), engine("b", 8))
		}, query("x"), "b"},
		{"sends a service call to an engine", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0), Report{Endpoint: "s", Kind: resource.Service, Service: "custody"})
		}, Query{Service: "custody"}, "s"},
		{"sends to an endpoint that was removed", Weights{1, 1}, func(t *Table) {
			observe(t, 0, engine("a", 0, "x"), engine("b", 8))
			t.Remove("a")
		}, query("x"), "b"},
		{"chooses an endpoint although there is none", Weights{1, 1}, func(*Table) {}, query("x"), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(WithWeights(c.weights), WithRandom(rand.New(rand.NewPCG(1, 1))))
			c.prepare(table)
			if got, ok := table.Choose(at(1), c.query); got != c.want || ok != (c.want != "") {
				t.Errorf("chose %q %v, want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against rarely used adapters that move between endpoints, and against moving adapters of other endpoints when one is removed.
func TestPreferredEndpointIsStable(t *testing.T) {
	table := New()
	for i := range 20 {
		observe(table, 0, engine(fmt.Sprint("e", i), 0))
	}
	before := map[string]ident.Endpoint{}
	counts := map[ident.Endpoint]int{}
	for i := range 1000 {
		name := fmt.Sprint("x", i)
		before[name], _ = table.Choose(at(1), query(name))
		counts[before[name]]++
	}
	for e, n := range counts {
		if n > 100 {
			t.Errorf("%s is preferred for %d of 1000 adapters", e, n)
		}
	}
	table.Remove("e7")
	for name, e := range before {
		if got, _ := table.Choose(at(1), query(name)); got != e && e != "e7" {
			t.Errorf("%s moved from %s to %s", name, e, got)
		}
	}
}

// Guards against a number of replicas that changes with each burst or stays high after the demand has ended.
func TestReplicasFollowDemandWithHysteresis(t *testing.T) {
	table := New(WithServiceTime(2 * time.Second))
	observe(table, 0, engine("a", 0, "x"))
	send := func(from, to, perSecond float64) int {
		for s := from; s < to; s += 1 / perSecond {
			table.Sent(at(s), "a", query("x"))
		}
		return table.adapters[adapterKey{name: version("x")}].replicas
	}
	if n := send(0, 200, 10); n < 3 || n > 4 {
		t.Errorf("%d replicas for 20 running requests in batches of 8 that are filled to nine tenths, want 3 or 4", n)
	}
	high := send(200, 300, 9)
	if again := send(300, 400, 10); again != high {
		t.Errorf("number of replicas went from %d to %d when the demand changed by a tenth", high, again)
	}
	if n := send(400, 700, 0.5); n > 2 {
		t.Errorf("%d replicas after the demand has fallen, want at most 2", n)
	}
}

// Guards against an adapter that becomes popular and gets its replicas only after the whole averaging period, and against extra
// replicas for two simultaneous requests.
func TestReplicasOfNewlyPopularAdapter(t *testing.T) {
	table := New(WithServiceTime(2 * time.Second))
	observe(table, 0, engine("a", 0, "x"))
	for i := range 2 {
		table.Sent(at(100+float64(i)/100), "a", query("y"))
	}
	if n := table.adapters[adapterKey{name: version("y")}].replicas; n != 1 {
		t.Errorf("%d replicas after two requests, want 1", n)
	}
	for i := range 60 {
		table.Sent(at(100+float64(i)/20), "a", query("x"))
	}
	if n := table.adapters[adapterKey{name: version("x")}].replicas; n < 5 {
		t.Errorf("%d replicas after three seconds at 20 requests per second, want at least 5", n)
	}
}

// Guards against memory that grows with every adapter ever requested.
func TestIdleAdaptersAreRemoved(t *testing.T) {
	table := New()
	observe(table, 0, engine("a", 0))
	for i := range 40_000 {
		table.Sent(at(float64(i)/10), "a", query(fmt.Sprint("x", i)))
		if i%50 == 0 {
			observe(table, float64(i)/10, engine("a", 0))
		}
	}
	// At 10 new adapters per second, the demand for each falls below minRetainedDemand after about 140 s.
	if n := len(table.adapters); n > 5000 || n != len(table.adapterList) {
		t.Errorf("%d adapters in the map, %d in the list", n, len(table.adapterList))
	}
}

// Guards against all entries choosing the same endpoint from the same reports.
func TestEntriesSpreadTheirChoices(t *testing.T) {
	chosen := map[ident.Endpoint]int{}
	for i := range 40 {
		table := New(WithRandom(rand.New(rand.NewPCG(uint64(i), 1))))
		for e := range 20 {
			observe(table, 0, engine(fmt.Sprint("e", e), 4, "x"))
		}
		for range 20 {
			table.Sent(at(0.1), "e0", query("x"))
		}
		name, _ := table.Choose(at(0.2), query("x"))
		chosen[name]++
	}
	for e, n := range chosen {
		if n > 20 {
			t.Errorf("%d of 40 entries chose %s", n, e)
		}
	}
}

// Guards against allocations in each decision, which would cause garbage collection pauses in a large deployment.
func TestChooseDoesNotAllocate(t *testing.T) {
	table := New()
	for e := range 100 {
		observe(table, 0, engine(fmt.Sprint("e", e), 4, "x"))
	}
	resident, absent := query("x"), query("y")
	if n := testing.AllocsPerRun(100, func() {
		table.Choose(at(1), resident)
		table.Choose(at(1), absent)
	}); n != 0 {
		t.Errorf("%v allocations, want none", n)
	}
}

// Guards against a table that ignores the weights, load budget and load time of a new policy.
func TestConfigure(t *testing.T) {
	table := New()
	if got := table.loadDelay(0); got != 250 {
		t.Errorf("load delay %v ms by default, want 250", got)
	}
	w := Weights{LoadStall: 2, BatchEfficiency: 3}
	table.Configure(WithWeights(w), WithLoadBudget(2, 1), WithLoadTime(time.Second))
	if table.Weights() != w || table.loadDelay(0) != 1000 {
		t.Errorf("weights %v, load delay %v ms", table.Weights(), table.loadDelay(0))
	}
	table.totalLoads = 3
	// Two loads go first at two per second; then four loads share a store that takes one second for each.
	if got := table.loadDelay(0); got != 5000 {
		t.Errorf("load delay behind three loads: %v ms, want 5000", got)
	}
}

// Guards against requests for a plain service that all go to one instance, so that the loss of its agent leaves all their outcomes
// unknown.
func TestRequestsSpreadOverServiceInstances(t *testing.T) {
	table := New(WithRandom(rand.New(rand.NewPCG(1, 2))))
	for i := range 4 {
		table.Observe(at(0), Report{
			Endpoint: ident.Endpoint(fmt.Sprint("s", i)), Kind: resource.Service, Service: "custody", BatchSize: 32,
		})
	}
	q := Query{Service: "custody"}
	chosen := map[ident.Endpoint]int{}
	for range 40 {
		name, _ := table.Choose(at(0.1), q)
		table.Sent(at(0.1), name, q)
		chosen[name]++
	}
	for i := range 4 {
		if n := chosen[ident.Endpoint(fmt.Sprint("s", i))]; n < 7 || n > 13 {
			t.Errorf("choices %v, want about 10 at each instance", chosen)
		}
	}
}
