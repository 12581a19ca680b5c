package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/state/ident"
)

const (
	// demandMemory is the time constant of the decaying demand in seconds.
	demandMemory = 20.0
	// quiet is the demand below which the next request counts as the first one.
	quiet = 0.3
	// burst is the demand from which the time since the first request counts: fewer requests say little about a rate.
	burst = 8.0
	// shortestSpan is the least time in seconds over which a rate is taken, so that two requests at once are not a burst.
	shortestSpan = 2.0
	// targetLoad is the part of a batch that one replica is planned to take.
	targetLoad = 0.9
	// hysteresis is the number of replicas that demand must fall by before one is given up.
	hysteresis = 1.3
	// forgotten is the demand below which an adapter without holders is dropped.
	forgotten = 0.001
	// sweepStep is the number of adapters checked for removal at each request.
	sweepStep = 2
)

// adapter is what the table knows of one adapter version.
type adapter struct {
	name ident.AdapterVersion
	hash uint64
	// holders are the endpoints that have it resident or loading, in rendezvous order.
	holders []*endpoint
	demand  float64
	// since is the time at which requests began after a time without any.
	since      float64
	updated    float64
	replicas   int
	preferred  [2]*endpoint
	generation uint32
	// former are the endpoints that held the adapter lately, the newest first.
	former [3]former
}

// former is an endpoint that held an adapter until a time in seconds.
type former struct {
	endpoint *endpoint
	at       float64
}

// remember notes an endpoint that has dropped the adapter.
func (a *adapter) remember(e *endpoint, s float64) {
	i := 0
	for i < len(a.former)-1 && a.former[i].endpoint != e {
		i++
	}
	copy(a.former[1:i+1], a.former[:i])
	a.former[0] = former{endpoint: e, at: s}
}

func adapterHash(av ident.AdapterVersion) uint64 {
	return mix(xxhash.Sum64String(string(av.Adapter)) ^ bitsRotate(xxhash.Sum64String(string(av.Version))))
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

func bitsRotate(x uint64) uint64 { return x<<21 | x>>43 }

// mix is the finaliser of SplitMix64, which spreads all bits of the input.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// prefixKey is zero for a prompt without a beginning worth caching. The cached values depend on the adapter's weights, so the
// same text under another adapter is another entry.
func prefixKey(adapter, prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	return mix(adapter ^ bitsRotate(prefix))
}

func (t *Table) adapter(s float64, av ident.AdapterVersion) *adapter {
	a, ok := t.adapters[av]
	if !ok {
		a = &adapter{name: av, hash: adapterHash(av), updated: s, replicas: 1}
		t.adapters[av] = a
		t.list = append(t.list, a)
	}
	return a
}

func (a *adapter) link(e *endpoint) {
	rank := mix(a.hash ^ e.hash)
	i := 0
	for i < len(a.holders) && mix(a.hash^a.holders[i].hash) >= rank {
		if a.holders[i] == e {
			return
		}
		i++
	}
	a.holders = slices.Insert(a.holders, i, e)
}

func (t *Table) link(a *adapter, e *endpoint) { a.link(e) }

func (t *Table) unlink(a *adapter, e *endpoint) {
	if i := slices.Index(a.holders, e); i >= 0 {
		a.holders = slices.Delete(a.holders, i, i+1)
	}
}

// demand counts a request and adjusts the number of replicas.
func (t *Table) demand(s float64, a *adapter, e *endpoint) {
	if a.demand = a.decayed(s); a.demand < quiet {
		a.since = s
	}
	a.demand++
	a.updated = s
	needed := a.rate(s) * t.service.scale * t.service.time() / (float64(max(e.BatchSize, 1)) * targetLoad)
	switch {
	case needed > float64(a.replicas):
		a.replicas = int(math.Ceil(needed))
	case needed < float64(a.replicas)-hysteresis:
		a.replicas--
	}
	t.forgetIdle(s)
}

// rate is the demand per second over the time since the requests began, so that a new head adapter is seen within seconds.
func (a *adapter) rate(s float64) float64 {
	demand := a.decayed(s)
	if demand < burst {
		return demand / demandMemory
	}
	seen := 1 - math.Exp(-max(s-a.since, shortestSpan)/demandMemory)
	return demand / (demandMemory * seen)
}

func (a *adapter) decayed(s float64) float64 {
	return a.demand * math.Exp(-max(s-a.updated, 0)/demandMemory)
}

// forgetIdle bounds the memory: a few adapters are checked at each request.
func (t *Table) forgetIdle(s float64) {
	for range min(sweepStep, len(t.list)) {
		t.sweep = (t.sweep + 1) % len(t.list)
		if a := t.list[t.sweep]; len(a.holders) == 0 && a.decayed(s) < forgotten {
			delete(t.adapters, a.name)
			last := len(t.list) - 1
			t.list[t.sweep] = t.list[last]
			t.list = t.list[:last]
			if last == 0 {
				return
			}
		}
	}
}

// rendezvous returns the two endpoints of the pool that rank first for an adapter.
func (p *pool) rendezvous(hash uint64) (best [2]*endpoint) {
	var first, second uint64
	for _, e := range p.members {
		if e.Leaving {
			continue
		}
		switch w := mix(hash ^ e.hash); {
		case best[0] == nil || w > first:
			best[1], second = best[0], first
			best[0], first = e, w
		case best[1] == nil || w > second:
			best[1], second = e, w
		}
	}
	return best
}

// prefer returns the preferred endpoints, from the adapter's own copy while the pool has not changed.
func (p *pool) prefer(a *adapter, hash uint64) [2]*endpoint {
	if a == nil {
		return p.rendezvous(hash)
	}
	if a.generation != p.generation {
		a.preferred, a.generation = p.rendezvous(hash), p.generation
	}
	return a.preferred
}
