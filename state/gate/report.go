package gate

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/slots"
)

// AdapterReport describes one adapter in a report.
type AdapterReport struct {
	Adapter ident.AdapterVersion
	Loading bool
	Running int
	Failing bool
}

// Report is the load report of an endpoint.
type Report struct {
	Incarnation ident.Incarnation
	Leaving     bool
	Drained     bool
	Running     int
	Queued      int
	BatchSize   int
	Slots       int
	Remembered  int
	Adapters    []AdapterReport
	// Wait is the expected wait of a new try.
	Wait time.Duration
}

// Report returns the load at the time of the last step.
func (g *Gate) Report() (r Report) {
	r = Report{
		Incarnation: g.Incarnation, Leaving: g.leaving, Drained: g.drained, Running: len(g.active), Queued: g.queue.Len(),
		BatchSize: g.BatchSize, Slots: g.slots.Capacity(), Remembered: len(g.tries),
	}
	g.slots.Each(func(av ident.AdapterVersion, s slots.State, n int) {
		if s != slots.Unloading {
			r.Adapters = append(r.Adapters, AdapterReport{Adapter: av, Loading: s == slots.Loading, Running: n})
		}
	})
	for av, a := range g.adapters {
		if a.failing(g.now) {
			r.Adapters = append(r.Adapters, AdapterReport{Adapter: av, Failing: true})
		}
	}
	slices.SortFunc(r.Adapters, func(a, b AdapterReport) int { return strings.Compare(a.Adapter.String(), b.Adapter.String()) })
	if g.queue.Len() > 0 {
		r.Wait = g.queue.RetryAfter(g.now)
	}
	return r
}
