package policy

import (
	"time"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/slots"
)

// fullStepSeconds is the time of one step of a full batch without prefill: workload.StepBase and StepPerSequence for each of BatchSize
// sequences.
const fullStepSeconds = 0.038

// loadCostSeconds is the cost of a load in seconds of waiting. Besides the wait itself, a load takes a slot from another adapter.
const loadCostSeconds = 2

// Clairvoyant knows all future requests and the current state of the engines. It loads on demand within the same budget as the
// other policies and evicts the adapter whose next use is latest.
type Clairvoyant struct {
	Baseline
	arrivals map[ident.AdapterVersion][]time.Duration
}

// Start indexes the arrival times by adapter.
func (c *Clairvoyant) Start(f *fleet.Fleet) {
	c.Baseline.Start(f)
	c.arrivals = make(map[ident.AdapterVersion][]time.Duration)
	for _, r := range f.Arrivals {
		c.arrivals[r.Adapter] = append(c.arrivals[r.Adapter], r.At)
	}
}

// Queue returns the queue of the project's policy, which orders loads by stalled work.
func (c *Clairvoyant) Queue() fleet.Queue { return admission.New(fleet.QueueLimit) }

// Permit takes a permit of the shared load budget, which prefers the load with the most stalled work.
func (c *Clairvoyant) Permit(e *fleet.Engine, stalled float64) bool {
	now := c.fleet.Clock.Now()
	if !c.budget.TakeFor(now, e.Name, stalled) {
		return false
	}
	c.budget.Begin(now, e.Name)
	return true
}

// nextUse returns the time of the next request for an adapter that an engine would receive. One request is skipped for each other
// engine that has the adapter and a free batch slot.
func (c *Clairvoyant) nextUse(e *fleet.Engine, av ident.AdapterVersion) float64 {
	otherEngines := 0
	for _, x := range c.fleet.Engines {
		if x != e && x.Slots.State(av) == slots.Resident && x.Outstanding() < workload.BatchSize {
			otherEngines++
		}
	}
	now := c.fleet.Clock.Since()
	list := c.arrivals[av]
	for len(list) > 0 && list[0] <= now {
		list = list[1:]
	}
	c.arrivals[av] = list
	if otherEngines >= len(list) {
		return float64(workload.End) * 2
	}
	return float64(list[otherEngines])
}

// Victim returns the adapter whose next use is latest; adapters that waiting requests need come last.
func (c *Clairvoyant) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	return lowestEvictable(e, func(x ident.AdapterVersion) float64 {
		if c.queuedFor(e, x) {
			return 0
		}
		return -c.nextUse(e, x)
	})
}

// queuedFor reports whether a request for the adapter waits at the engine.
func (c *Clairvoyant) queuedFor(e *fleet.Engine, av ident.AdapterVersion) (found bool) {
	e.Queue.Each(func(it admission.Item) { found = found || it.Adapter == av })
	return found
}

// pendingLoads returns the number of adapters that waiting requests need and that have no slot at the engine.
func (c *Clairvoyant) pendingLoads(e *fleet.Engine) int {
	absent := make(map[ident.AdapterVersion]bool)
	e.Queue.Each(func(it admission.Item) {
		if e.Slots.State(it.Adapter) == slots.Absent {
			absent[it.Adapter] = true
		}
	})
	return len(absent)
}

// Route picks the engine with the lowest cost: the one with the fewest requests among those that have the adapter and a free batch
// slot, or else the one that evicts the adapter with the latest next use, unless waiting is cheaper.
func (c *Clairvoyant) Route(p *fleet.Request) (engine int, ok bool) {
	best := 0.0
	for i, e := range c.fleet.Engines {
		if !c.mayRoute(p, i) {
			continue
		}
		if cost := c.costSeconds(e, p); !ok || cost < best {
			engine, best, ok = i, cost, true
		}
	}
	return engine, ok
}

// costSeconds returns the cost of running a request at an engine, expressed in seconds of waiting.
func (c *Clairvoyant) costSeconds(e *fleet.Engine, p *fleet.Request) float64 {
	outstanding := e.Outstanding()
	beyondBatch := max(outstanding+1-workload.BatchSize, 0)
	cost := float64(beyondBatch) * float64(p.OutputTokens) * fullStepSeconds / workload.BatchSize
	// Among engines with a free batch slot, the one with the fewest requests is preferred.
	cost += 0.001 * float64(min(outstanding, workload.BatchSize))
	switch e.Slots.State(p.Adapter) {
	case slots.Resident:
		return cost
	case slots.Loading:
		return cost + 0.1
	}
	pending, available := c.pendingLoads(e), e.Slots.Capacity()-e.Slots.Pinned()
	if pending > available || (pending == available && !c.queuedFor(e, p.Adapter)) {
		return cost + float64(p.OutputTokens)*fullStepSeconds
	}
	if c.queuedFor(e, p.Adapter) {
		return cost + loadCostSeconds/2
	}
	cost += loadCostSeconds + c.budget.Wait(c.fleet.Clock.Now()).Seconds()
	if e.Slots.Free() > 0 {
		return cost
	}
	victim, ok := c.Victim(e)
	if !ok {
		return cost + float64(p.OutputTokens)*fullStepSeconds
	}
	untilNextUse := c.nextUse(e, victim)/float64(time.Second) - c.fleet.Clock.Since().Seconds()
	return cost + 1/(1+max(untilNextUse, 0))
}
