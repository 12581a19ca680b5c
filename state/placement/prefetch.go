package placement

import (
	"time"

	"shallotring.dev/state/ident"
)

const (
	// replicaTrafficKiB is the traffic between zones from which a replica in the own zone pays for its load: it is expected within
	// demandTimeConstantSeconds, and adapters in demand stay resident for longer.
	replicaTrafficKiB = 64.0
	// maxPrefetchSlotUse is the share of slots in use from which no adapter is loaded ahead of its requests.
	maxPrefetchSlotUse = 0.7
)

// Prefetch returns an endpoint in the zone of the entry that should load the adapter of a request, because requests for it go to other
// zones so often that the load costs less; ok is false if there is none. The request itself does not wait for the load.
func (t *Table) Prefetch(now time.Time, q Query) (name ident.Endpoint, ok bool) {
	a := t.adapters[q.adapterKey()]
	p := t.pools[q.poolKey()]
	if !t.hasTerm(ZoneTerm) || a == nil || p == nil || len(p.zones[q.Zone]) == 0 || t.slotUse() > maxPrefetchSlotUse {
		return "", false
	}
	seconds := t.seconds(now)
	// The other entries of the zone are assumed to get as many requests as this one.
	entriesPerZone := max(1, t.meter.trafficRatio/float64(len(p.zones)))
	if a.decayedDemand(seconds)*entriesPerZone*float64(q.Bytes)/1024 < replicaTrafficKiB {
		return "", false
	}
	for _, e := range a.holders {
		if e.Zone == q.Zone {
			return "", false
		}
	}
	for _, e := range p.preferredFor(a, a.hash, q.Zone) {
		if e == nil || e.Zone != q.Zone || e.Leaving || e.Fixed || contains(e.Failing, q.Adapter) || (e.Slots > 0 && e.Pinned+e.loadCount >= e.Slots) {
			continue
		}
		ready := seconds + t.loadDelayAt(e, t.totalRate(seconds, a))/1000
		t.addHolding(e, holding{adapter: a, loading: true, unreported: true, requestedAt: seconds, readyAt: ready})
		t.updateLoadCount(e)
		return e.Endpoint, true
	}
	return "", false
}
