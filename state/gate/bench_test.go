package gate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// BenchmarkTry runs tries from admission to end while the gate remembers many, and reports the memory of a remembered try.
func BenchmarkTry(b *testing.B) {
	for _, remembered := range []int{0, 5_000, 150_000} {
		b.Run(fmt.Sprintf("remembered=%d", remembered), func(b *testing.B) {
			g := newGate(b, func(c *Config) {
				c.MaxRemembered, c.MaxAnswers, c.SurveyInterval = 1<<30, 4096, time.Hour
			})
			before := heapBytes()
			for i := range remembered {
				runTry(b, g, fmt.Sprintf("before-%024d", i))
			}
			perTry := float64(heapBytes()-before) / float64(max(remembered, 1))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				runTry(b, g, fmt.Sprintf("now-%024d", i))
			}
			if remembered > 0 {
				b.ReportMetric(perTry, "B/remembered")
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// runTry runs one keyed try from its admission to its end.
func runTry(b *testing.B, g *Gate, name string) {
	r := newRun(name, a1)
	r.Key = ident.Key(name)
	if c := g.Step(startTime, r); len(c) != 2 {
		b.Fatalf("try %s: %v", name, commandNames(c))
	}
	g.Step(startTime, Ended{ID: r.ID, Outcome: outcome.Completed, Answer: &Answer{Status: 200, Body: []byte("a small response")}})
	g.Report()
}
