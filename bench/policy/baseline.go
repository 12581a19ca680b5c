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
	// loadsPerSecond and loadsInFlight are the load budget that all engines share.
	loadsPerSecond = 4
	loadsInFlight  = 8
	// boundFactor is the multiple of the mean number of requests that bounded-load hashing allows an engine.
	boundFactor = 1.25
)

// RoutingRule picks an engine for a request from the current state of all engines.
type RoutingRule func(b *Baseline, p *fleet.Request) (engine int, ok bool)

// Baseline routes by a simple rule, queues in order of arrival and evicts the least recently used adapter. It reads the state of
// the engines without the delay of load reports, which is an advantage over the project's policy.
type Baseline struct {
	Rule    RoutingRule
	Seed    uint64
	fleet   *fleet.Fleet
	budget  *permit.Budget
	random  *rand.Rand
	lastUse lastUse
}

// Start creates the load budget.
func (b *Baseline) Start(f *fleet.Fleet) {
	b.fleet = f
	b.lastUse = make(lastUse)
	b.budget = permit.New(loadsPerSecond, loadsInFlight, f.Clock.Now())
	b.random = rand.New(rand.NewPCG(b.Seed, 300))
}

// Queue returns a bounded queue in order of arrival.
func (b *Baseline) Queue() fleet.Queue { return &fifo{} }

// Route applies the rule.
func (b *Baseline) Route(p *fleet.Request) (engine int, ok bool) { return b.Rule(b, p) }

// Victim returns the least recently used adapter.
func (b *Baseline) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	return b.lastUse.victim(e)
}

// Permit takes a permit of the shared load budget, which grants them in the order of the requests.
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

// Sent records the use of the adapter.
func (b *Baseline) Sent(p *fleet.Request) { b.lastUse.record(b.fleet, p) }

// Done does nothing.
func (b *Baseline) Done(*fleet.Request) {}

// Reported does nothing, because the rules read the current state of the engines.
func (b *Baseline) Reported(fleet.EngineState) {}

// Cached does nothing.
func (b *Baseline) Cached(*fleet.Engine, ident.AdapterVersion, uint64, bool) {}

// LoadWait returns zero, because the baselines refuse by queue length only.
func (b *Baseline) LoadWait() time.Duration { return 0 }

// mayRoute reports whether the engine has not refused the request before.
func (b *Baseline) mayRoute(p *fleet.Request, engine int) bool {
	return !slices.Contains(p.Excluded, b.fleet.Engines[engine].Name)
}

// Random picks a random engine. It finds none if 20 draws in a row hit engines that have refused the request.
func Random(b *Baseline, p *fleet.Request) (engine int, ok bool) {
	for range 20 {
		if engine = b.random.IntN(len(b.fleet.Engines)); b.mayRoute(p, engine) {
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
		if b.mayRoute(p, x) && (!ok || b.fleet.Engines[x].Outstanding() < b.fleet.Engines[engine].Outstanding()) {
			engine, ok = x, true
		}
	}
	return engine, ok
}

// BoundedRendezvous picks the first engine in the order of rendezvous hashing that has at most boundFactor times the mean
// number of requests.
func BoundedRendezvous(b *Baseline, p *fleet.Request) (engine int, ok bool) {
	total := 1
	for _, e := range b.fleet.Engines {
		total += e.Outstanding()
	}
	bound := boundFactor * float64(total) / float64(len(b.fleet.Engines))
	var best uint64
	for i, e := range b.fleet.Engines {
		if !b.mayRoute(p, i) || float64(e.Outstanding()+1) > bound+1 {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(p.Adapter.Adapter))
		h.Write([]byte(e.Name))
		if w := mixBits(h.Sum64()); !ok || w > best {
			engine, best, ok = i, w, true
		}
	}
	return engine, ok
}

// mixBits spreads the influence of the last bytes of an FNV hash over all bits. It is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

type useKey struct {
	engine  int
	adapter ident.AdapterVersion
}

// lastUse is the time at which each engine last received a request for an adapter.
type lastUse map[useKey]time.Duration

func (l lastUse) record(f *fleet.Fleet, p *fleet.Request) {
	l[useKey{p.Engine, p.Adapter}] = f.Clock.Since()
}

func (l lastUse) victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	return lowestEvictable(e, func(x ident.AdapterVersion) float64 { return float64(l[useKey{e.Index, x}]) })
}

// lowestEvictable returns the evictable adapter with the lowest value.
func lowestEvictable(e *fleet.Engine, value func(ident.AdapterVersion) float64) (av ident.AdapterVersion, ok bool) {
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
