package gate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// BenchmarkTry takes whole tries through the gate while it remembers many, and reports the memory of one.
func BenchmarkTry(b *testing.B) {
	for _, remembered := range []int{0, 5_000, 150_000} {
		b.Run(fmt.Sprintf("remembered=%d", remembered), func(b *testing.B) {
			g := newGate(b, func(c *Config) {
				c.MaxRemembered, c.MaxAnswers, c.SurveyEvery = 1<<30, 4096, time.Hour
			})
			before := heap()
			for i := range remembered {
				run(b, g, fmt.Sprintf("before-%024d", i))
			}
			perTry := float64(heap()-before) / float64(max(remembered, 1))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				run(b, g, fmt.Sprintf("now-%024d", i))
			}
			if remembered > 0 {
				b.ReportMetric(perTry, "B/remembered")
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// run takes one try with a key from its admission to its end.
func run(b *testing.B, g *Gate, name string) {
	r := try1(name, a1)
	r.Key = ident.Key(name)
	if c := g.Step(begin, r); len(c) != 2 {
		b.Fatalf("try %s: %v", name, names(c))
	}
	g.Step(begin, Ended{ID: r.ID, Outcome: outcome.Completed, Answer: &Answer{Status: 200, Body: []byte("a small response")}})
	g.Report()
}
