package policy

import (
	"time"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/slots"
)

// stepSeconds is the time of one step of a full batch.
const stepSeconds = 0.038

// loadCost is the cost of a load in seconds of waiting: besides the wait itself it takes a slot from another adapter.
const loadCost = 2

// Clairvoyant knows all arrivals and the true state of the engines. It loads on demand within the same budget as the others
// and evicts the adapter whose next use is furthest away.
type Clairvoyant struct {
	Baseline
	arrivals map[ident.AdapterVersion][]time.Duration
}

// Start indexes the arrivals.
func (c *Clairvoyant) Start(f *fleet.Fleet) {
	c.Baseline.Start(f)
	c.arrivals = make(map[ident.AdapterVersion][]time.Duration)
	for _, r := range f.Arrival {
		c.arrivals[r.Adapter] = append(c.arrivals[r.Adapter], r.At)
	}
}

// Queue orders loads by stalled work, as the project's policy does, and accepts whatever the queue can hold.
func (c *Clairvoyant) Queue() fleet.Queue { return admission.New(fleet.QueueLimit) }

// Permit ranks loads by stalled work.
func (c *Clairvoyant) Permit(e *fleet.Engine, stalled float64) bool {
	now := c.fleet.Clock.Now()
	if !c.budget.TakeFor(now, e.Name, stalled) {
		return false
	}
	c.budget.Begin(now, e.Name)
	return true
}

// nextUse returns the time of the next arrival, after one for each other engine that has the adapter and room.
func (c *Clairvoyant) nextUse(e *fleet.Engine, av ident.AdapterVersion) float64 {
	ahead := 0
	for _, x := range c.fleet.Engines {
		if x != e && x.Slots.State(av) == slots.Resident && x.Outstanding() < workload.BatchSize {
			ahead++
		}
	}
	now := c.fleet.Clock.Since()
	list := c.arrivals[av]
	for len(list) > 0 && list[0] <= now {
		list = list[1:]
	}
	c.arrivals[av] = list
	if ahead >= len(list) {
		return float64(workload.End) * 2
	}
	return float64(list[ahead])
}

// Victim evicts the adapter whose next use is furthest away.
func (c *Clairvoyant) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	return least(e, func(x ident.AdapterVersion) float64 {
		if c.awaited(e, x) {
			return 0
		}
		return -c.nextUse(e, x)
	})
}

func (c *Clairvoyant) awaited(e *fleet.Engine, av ident.AdapterVersion) (found bool) {
	e.Queue.Each(func(it admission.Item) { found = found || it.Adapter == av })
	return found
}

// pending counts the adapters that wait for a slot of an engine.
func (c *Clairvoyant) pending(e *fleet.Engine) int {
	wanted := make(map[ident.AdapterVersion]bool)
	e.Queue.Each(func(it admission.Item) {
		if e.Slots.State(it.Adapter) == slots.Absent {
			wanted[it.Adapter] = true
		}
	})
	return len(wanted)
}

// Route picks the emptiest engine that has the adapter and room; if none has, the one that evicts what is needed last, unless
// waiting is cheaper.
func (c *Clairvoyant) Route(p *fleet.Request) (engine int, ok bool) {
	best := 0.0
	for i, e := range c.fleet.Engines {
		if !c.takes(p, i) {
			continue
		}
		if cost := c.cost(e, p); !ok || cost < best {
			engine, best, ok = i, cost, true
		}
	}
	return engine, ok
}

// cost is in seconds.
func (c *Clairvoyant) cost(e *fleet.Engine, p *fleet.Request) float64 {
	out := e.Outstanding()
	over := max(out+1-workload.BatchSize, 0)
	cost := float64(over) * float64(p.Output) * stepSeconds / workload.BatchSize
	cost += 0.001 * float64(min(out, workload.BatchSize))
	switch e.Slots.State(p.Adapter) {
	case slots.Resident:
		return cost
	case slots.Loading:
		return cost + 0.1
	}
	pending, room := c.pending(e), e.Slots.Capacity()-e.Slots.Pinned()
	if pending > room || (pending == room && !c.awaited(e, p.Adapter)) {
		return cost + float64(p.Output)*stepSeconds
	}
	if c.awaited(e, p.Adapter) {
		return cost + loadCost/2
	}
	cost += loadCost + c.budget.Wait(c.fleet.Clock.Now()).Seconds()
	if e.Slots.Free() > 0 {
		return cost
	}
	victim, ok := c.Victim(e)
	if !ok {
		return cost + float64(p.Output)*stepSeconds
	}
	away := c.nextUse(e, victim)/float64(time.Second) - c.fleet.Clock.Since().Seconds()
	return cost + 1/(1+max(away, 0))
}
