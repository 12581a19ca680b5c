package policy

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/slots"
)

const (
	loadsPerSecond = 4
	loadsInFlight  = 8
	// boundFactor is the multiple of the mean load that bounded-load hashing allows an engine.
	boundFactor = 1.25
)

// Route picks an engine for a request from the fleet's true state.
type Route func(b *Baseline, p *fleet.Request) (engine int, ok bool)

// Baseline routes by a simple rule, queues in order of arrival and evicts the adapter used longest ago. It sees the engines
// without delay, which favours it.
type Baseline struct {
	Rule   Route
	Seed   uint64
	fleet  *fleet.Fleet
	budget *permit.Budget
	random *rand.Rand
	used   lastUse
}

// Start makes the load budget.
func (b *Baseline) Start(f *fleet.Fleet) {
	b.fleet = f
	b.used = make(lastUse)
	b.budget = permit.New(loadsPerSecond, loadsInFlight, f.Clock.Now())
	b.random = rand.New(rand.NewPCG(b.Seed, 300))
}

// Queue returns a bounded queue in order of arrival.
func (b *Baseline) Queue() fleet.Queue { return &fifo{} }

// Route applies the rule.
func (b *Baseline) Route(p *fleet.Request) (engine int, ok bool) { return b.Rule(b, p) }

// Victim evicts the adapter used longest ago.
func (b *Baseline) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	return b.used.victim(e)
}

// Permit asks the shared budget in order of asking.
func (b *Baseline) Permit(e *fleet.Engine, _ float64) bool {
	now := b.fleet.Clock.Now()
	if !b.budget.TakeFor(now, e.Name, 0) {
		return false
	}
	b.budget.Begin(now, e.Name)
	return true
}

// LoadEnded returns the permit.
func (b *Baseline) LoadEnded(e *fleet.Engine, _ time.Duration) { b.budget.Done(e.Name) }

// Sent notes the use.
func (b *Baseline) Sent(p *fleet.Request) { b.used.use(b.fleet, p) }

// Done does nothing.
func (b *Baseline) Done(*fleet.Request) {}

// Reported does nothing: the rules see the true state.
func (b *Baseline) Reported(fleet.EngineState) {}

// Cached does nothing.
func (b *Baseline) Cached(*fleet.Engine, ident.AdapterVersion, uint64, bool) {}

// LoadWait returns nothing: the baselines refuse by queue length only.
func (b *Baseline) LoadWait() time.Duration { return 0 }

func (b *Baseline) takes(p *fleet.Request, engine int) bool {
	return !slices.Contains(p.Excluded, b.fleet.Engines[engine].Name)
}

// Random picks any engine.
func Random(b *Baseline, p *fleet.Request) (engine int, ok bool) {
	for range 20 {
		if engine = b.random.IntN(len(b.fleet.Engines)); b.takes(p, engine) {
			return engine, true
		}
	}
	return 0, false
}

// LeastOutstanding picks the engine with the fewest requests.
func LeastOutstanding(b *Baseline, p *fleet.Request) (engine int, ok bool) {
	first := b.random.IntN(len(b.fleet.Engines))
	for i := range b.fleet.Engines {
		x := (first + i) % len(b.fleet.Engines)
		if b.takes(p, x) && (!ok || b.fleet.Engines[x].Outstanding() < b.fleet.Engines[engine].Outstanding()) {
			engine, ok = x, true
		}
	}
	return engine, ok
}

// BoundedRendezvous picks the first engine in rendezvous order that is not above the bound.
func BoundedRendezvous(b *Baseline, p *fleet.Request) (engine int, ok bool) {
	total := 1
	for _, e := range b.fleet.Engines {
		total += e.Outstanding()
	}
	bound := boundFactor * float64(total) / float64(len(b.fleet.Engines))
	var best uint64
	for i, e := range b.fleet.Engines {
		if !b.takes(p, i) || float64(e.Outstanding()+1) > bound+1 {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(p.Adapter.Adapter))
		h.Write([]byte(e.Name))
		if w := mix(h.Sum64()); !ok || w > best {
			engine, best, ok = i, w, true
		}
	}
	return engine, ok
}

// mix spreads the last bytes of an FNV hash over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

type useKey struct {
	engine  int
	adapter ident.AdapterVersion
}

// lastUse is the time at which each engine was last asked for an adapter.
type lastUse map[useKey]time.Duration

func (l lastUse) use(f *fleet.Fleet, p *fleet.Request) {
	l[useKey{p.Engine, p.Adapter}] = f.Clock.Since()
}

func (l lastUse) victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	return least(e, func(x ident.AdapterVersion) float64 { return float64(l[useKey{e.Index, x}]) })
}

// least returns the evictable adapter with the smallest value.
func least(e *fleet.Engine, value func(ident.AdapterVersion) float64) (av ident.AdapterVersion, ok bool) {
	var lowest float64
	e.Slots.Each(func(x ident.AdapterVersion, state slots.State, inUse int) {
		if state != slots.Resident || inUse > 0 {
			return
		}
		if v := value(x); !ok || v < lowest || (v == lowest && x.Adapter < av.Adapter) {
			av, lowest, ok = x, v, true
		}
	})
	return av, ok
}
