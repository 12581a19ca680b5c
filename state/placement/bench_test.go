package placement

import (
	"fmt"
	"runtime"
	"testing"

	"shallotring.dev/state/ident"
)

// benchmarkTable returns a table in which all slots of every endpoint are full and every adapter has been requested once, and the
// queries for these adapters.
func benchmarkTable(endpoints, adapters int) (t *Table, queries []Query) {
	const slots = 8
	t = New()
	for e := range endpoints {
		r := engine(fmt.Sprint("engine-", e), e%8)
		for i := range slots {
			r.Resident = append(r.Resident, version(fmt.Sprint("adapter-", (e*slots+i)%adapters)))
		}
		observe(t, 0, r)
	}
	for i := range adapters {
		q := query(fmt.Sprint("adapter-", i))
		q.Prefix, q.PromptTokens = uint64(i+1), 2000
		t.Sent(at(1), ident.Endpoint(fmt.Sprint("engine-", i%endpoints)), q)
		queries = append(queries, q)
	}
	for e := range endpoints {
		r := t.endpoints[ident.Endpoint(fmt.Sprint("engine-", e))].Report
		observe(t, 10, r)
	}
	return t, queries
}

// runSizes runs a benchmark for each number of endpoints and adapters.
func runSizes(b *testing.B, run func(b *testing.B, endpoints, adapters int)) {
	for _, endpoints := range []int{20, 200, 600} {
		for _, adapters := range []int{3000, 40_000} {
			b.Run(fmt.Sprintf("endpoints=%d/adapters=%d", endpoints, adapters), func(b *testing.B) { run(b, endpoints, adapters) })
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	runSizes(b, func(b *testing.B, endpoints, adapters int) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t, queries := benchmarkTable(endpoints, adapters)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			t.Choose(at(11), queries[i%len(queries)])
			i += 7919 // a prime, so that the queries come in no regular order
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	})
}

// BenchmarkRequest measures a decision together with the updates of the table that each request causes.
func BenchmarkRequest(b *testing.B) {
	runSizes(b, func(b *testing.B, endpoints, adapters int) {
		t, queries := benchmarkTable(endpoints, adapters)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			q := queries[i%len(queries)]
			name, _ := t.Choose(at(11), q)
			t.Done(at(11), t.Sent(at(11), name, q))
			i += 7919 // a prime, so that the queries come in no regular order
		}
	})
}
