package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/state/ident"
)

const (
	// demandTimeConstantSeconds is the time constant with which the demand decays.
	demandTimeConstantSeconds = 20.0
	// idleDemand is the demand below which the next request counts as the first one.
	idleDemand = 0.3
	// burstDemand is the demand from which the rate is taken over the time since the first request: with fewer requests, that
	// time says little about the rate.
	burstDemand = 8.0
	// minRateSpanSeconds is the shortest time over which a rate is taken, so that two simultaneous requests are not a burst.
	minRateSpanSeconds = 2.0
	// targetBatchFill is the planned fraction of an endpoint's batch that requests for one replica fill.
	targetBatchFill = 0.9
	// replicaHysteresis is how far the number of replicas needed must fall below the planned number before one is given up.
	replicaHysteresis = 1.3
	// minRetainedDemand is the demand below which an adapter without holders is removed from the table.
	minRetainedDemand = 0.001
	// adaptersPerSweep is the number of adapters checked for removal at each request.
	adaptersPerSweep = 2
)

// adapterKey identifies an adapter of a service; the service is empty where services do not divide the engines.
type adapterKey struct {
	service ident.Service
	name    ident.AdapterVersion
}

// adapter is the table's state of one adapter version. All times are in seconds on the table's scale.
type adapter struct {
	key  adapterKey
	hash uint64
	// holders are the endpoints that have it resident or loading, in rendezvous order.
	holders []*endpoint
	// demand is the decaying number of requests as of updated.
	demand float64
	// demandSince is the time of the first request after an idle period.
	demandSince float64
	updated     float64
	replicas    int
	// preferred caches the pool's rendezvous result as of poolGeneration.
	preferred      [2]*endpoint
	poolGeneration uint32
	// previousHolders are the endpoints that held the adapter until recently, the latest first.
	previousHolders [3]previousHolder
}

// previousHolder is an endpoint that held an adapter until droppedAt, in seconds.
type previousHolder struct {
	endpoint  *endpoint
	droppedAt float64
}

// addPreviousHolder records an endpoint that has dropped the adapter.
func (a *adapter) addPreviousHolder(e *endpoint, seconds float64) {
	i := 0
	for i < len(a.previousHolders)-1 && a.previousHolders[i].endpoint != e {
		i++
	}
	copy(a.previousHolders[1:i+1], a.previousHolders[:i])
	a.previousHolders[0] = previousHolder{endpoint: e, droppedAt: seconds}
}

func adapterHash(av ident.AdapterVersion) uint64 {
	return mix(xxhash.Sum64String(string(av.Adapter)) ^ rotate21(xxhash.Sum64String(string(av.Version))))
}

func stringHash(s string) uint64 { return xxhash.Sum64String(s) }

func rotate21(x uint64) uint64 { return x<<21 | x>>43 }

// mix is the finaliser of SplitMix64, which spreads all bits of the input.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// prefixKey returns the key of a prompt prefix under an adapter; it is zero if the prompt has no prefix worth caching. The
// cached values depend on the adapter's weights, so the same text under another adapter has another key.
func prefixKey(adapter, prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	return mix(adapter ^ rotate21(prefix))
}

// ensureAdapter returns the state of an adapter and adds it to the table if it is new.
func (t *Table) ensureAdapter(seconds float64, key adapterKey) *adapter {
	a, ok := t.adapters[key]
	if !ok {
		a = &adapter{key: key, hash: adapterHash(key.name), updated: seconds, replicas: 1}
		t.adapters[key] = a
		t.adapterList = append(t.adapterList, a)
	}
	return a
}

// addHolder inserts an endpoint in rendezvous order, unless it is a holder already.
func (a *adapter) addHolder(e *endpoint) {
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

func (t *Table) addHolder(a *adapter, e *endpoint) { a.addHolder(e) }

func (t *Table) removeHolder(a *adapter, e *endpoint) {
	if i := slices.Index(a.holders, e); i >= 0 {
		a.holders = slices.Delete(a.holders, i, i+1)
	}
}

// recordDemand counts a request and adjusts the number of replicas.
func (t *Table) recordDemand(seconds float64, a *adapter, e *endpoint) {
	if a.demand = a.decayedDemand(seconds); a.demand < idleDemand {
		a.demandSince = seconds
	}
	a.demand++
	a.updated = seconds
	needed := a.demandRate(seconds) * t.meter.trafficRatio * t.meter.requestTime() / (float64(max(e.BatchSize, 1)) * targetBatchFill)
	switch {
	case needed > float64(a.replicas):
		a.replicas = int(math.Ceil(needed))
	case needed < float64(a.replicas)-replicaHysteresis:
		a.replicas--
	}
	t.removeIdleAdapters(seconds)
}

// demandRate returns the requests per second. In a burst it is taken over the time since the first request, so that an adapter
// that becomes popular is detected within seconds.
func (a *adapter) demandRate(seconds float64) float64 {
	demand := a.decayedDemand(seconds)
	if demand < burstDemand {
		return demand / demandTimeConstantSeconds
	}
	observedFraction := 1 - math.Exp(-max(seconds-a.demandSince, minRateSpanSeconds)/demandTimeConstantSeconds)
	return demand / (demandTimeConstantSeconds * observedFraction)
}

// decayedDemand returns the demand as of seconds.
func (a *adapter) decayedDemand(seconds float64) float64 {
	return a.demand * math.Exp(-max(seconds-a.updated, 0)/demandTimeConstantSeconds)
}

// wasHeldRecently reports whether an endpoint may still cache the weights of the adapter.
func (a *adapter) wasHeldRecently(seconds float64) bool {
	return a.previousHolders[0].endpoint != nil && seconds-a.previousHolders[0].droppedAt < previousHolderExpirySeconds
}

// removeIdleAdapters bounds the memory: it checks a few adapters at each request.
func (t *Table) removeIdleAdapters(seconds float64) {
	for range min(adaptersPerSweep, len(t.adapterList)) {
		t.sweepIndex = (t.sweepIndex + 1) % len(t.adapterList)
		if a := t.adapterList[t.sweepIndex]; len(a.holders) == 0 && a.decayedDemand(seconds) < minRetainedDemand && !a.wasHeldRecently(seconds) {
			delete(t.adapters, a.key)
			last := len(t.adapterList) - 1
			t.adapterList[t.sweepIndex] = t.adapterList[last]
			t.adapterList = t.adapterList[:last]
			if last == 0 {
				return
			}
		}
	}
}

// rendezvous returns the two of the endpoints that rank first for an adapter.
func rendezvous(endpoints []*endpoint, hash uint64) (best [2]*endpoint) {
	var first, second uint64
	for _, e := range endpoints {
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

// preferredFor returns the preferred endpoints, from the cached result while the pool has not changed; a may be nil. They are in the
// given availability zone, or anywhere if it is empty or has none. All queries of one table name the same zone.
func (p *pool) preferredFor(a *adapter, hash uint64, zone ident.Zone) (best [2]*endpoint) {
	if a != nil && a.poolGeneration == p.generation {
		return a.preferred
	}
	if zone != "" {
		best = rendezvous(p.zones[zone], hash)
	}
	if best[0] == nil {
		best = rendezvous(p.endpoints, hash)
	}
	if a != nil {
		a.preferred, a.poolGeneration = best, p.generation
	}
	return best
}
