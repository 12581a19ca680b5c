package gate

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/slots"
)

// AdapterReport describes one adapter in a report.
type AdapterReport struct {
	Adapter ident.AdapterVersion
	// Loading is set for loads in flight and for those that wait for a permit or a slot.
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
	// Pinned is the number of slots whose adapter cannot be evicted now.
	Pinned     int
	Remembered int
	Adapters   []AdapterReport
	// Wait is the expected wait of a new try whose adapter is resident.
	Wait time.Duration
}

// Report returns the load at the time of the last step.
func (g *Gate) Report() (r Report) {
	r = Report{
		Incarnation: g.Incarnation, Leaving: g.leaving, Drained: g.drained, Running: len(g.active), Queued: g.queue.Len(),
		BatchSize: g.BatchSize, Slots: g.slots.Capacity(), Remembered: len(g.tries),
		Pinned: g.slots.Pinned(),
	}
	g.slots.Each(func(av ident.AdapterVersion, s slots.State, n int) {
		if s != slots.Unloading {
			r.Adapters = append(r.Adapters, AdapterReport{Adapter: av, Loading: s == slots.Loading, Running: n})
		}
	})
	for av := range g.awaitingLoad() {
		r.Adapters = append(r.Adapters, AdapterReport{Adapter: av, Loading: true})
	}
	for av, a := range g.adapters {
		if a.failing(g.now) {
			r.Adapters = append(r.Adapters, AdapterReport{Adapter: av, Failing: true})
		}
	}
	slices.SortFunc(r.Adapters, func(a, b AdapterReport) int { return strings.Compare(a.Adapter.String(), b.Adapter.String()) })
	r.Wait = g.queue.ExpectedWait(g.now)
	return r
}

// awaitingLoad returns the adapters that tries wait for and whose load has not started.
func (g *Gate) awaitingLoad() (list map[ident.AdapterVersion]bool) {
	list = make(map[ident.AdapterVersion]bool)
	g.queue.Each(func(it admission.Item) {
		if s := g.slots.State(it.Adapter); !g.Service && (s == slots.Absent || s == slots.Unloading) {
			list[it.Adapter] = true
		}
	})
	return list
}
