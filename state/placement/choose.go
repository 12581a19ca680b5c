package placement

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	// maxComparedHolders bounds the holders whose cost is compared for one request.
	maxComparedHolders = 6
	// emptyBatchCostMilli is the cost of joining an empty batch.
	emptyBatchCostMilli = 120.0
	// defaultAffinityMilli is the default cost of an endpoint that is not preferred for an adapter that it would have to load.
	defaultAffinityMilli = 20.0
	// defaultDisplacedLoads is the default number of later loads that a replica beyond the planned number costs, because it takes a
	// slot from a rarely used adapter.
	defaultDisplacedLoads = 12.0
	// previousHolderLoadFraction is the fraction of the load time that an engine needs if it held the adapter recently.
	previousHolderLoadFraction = 0.1
	// previousHolderExpirySeconds is the time for which an engine is assumed to cache an adapter that it has dropped: it caches
	// some dozens of them.
	previousHolderExpirySeconds = 60.0
	// scarcityFactor raises the cost of another replica of an adapter as free slots run out: another adapter then waits for the slot.
	scarcityFactor = 3.0
	// defaultSamples is the default number of random endpoints that are compared for loading an adapter.
	defaultSamples = 2
	// extraReplicaCostMilli is the cost of using a holder beyond the planned replicas, so that its replica becomes idle.
	extraReplicaCostMilli = 40.0
)

// choice is the state of one decision: seconds is the time of the decision on the table's scale, prefix the key of the prompt
// prefix, bestCost the cost of the best endpoint so far in milliseconds.
type choice struct {
	table    *Table
	query    *Query
	seconds  float64
	prefix   uint64
	best     *endpoint
	bestCost float64
}

// Selection is an endpoint that was chosen for a request.
type Selection struct {
	Endpoint ident.Endpoint
	// Cost is what was compared: the wait of the request and what it costs others.
	Cost time.Duration
	// Wait is the expected time until an engine has loaded the adapter and read the prompt; for other endpoints it is the time in the queue.
	Wait time.Duration
	// Streams is the number of running requests of an engine that produce output.
	Streams int
}

// Choose returns the endpoint with the lowest cost; ok is false if none can accept the request.
func (t *Table) Choose(now time.Time, q Query) (name ident.Endpoint, ok bool) {
	s, ok := t.Select(now, q)
	return s.Endpoint, ok
}

// Select is like Choose and also returns the cost of the endpoint and the expected wait of the request there.
func (t *Table) Select(now time.Time, q Query) (s Selection, ok bool) {
	c := choice{table: t, query: &q, seconds: t.seconds(now)}
	if p := t.pools[q.poolKey()]; q.isPlain() {
		c.compareInstances(p)
	} else {
		c.compareEngines(p)
	}
	if c.best == nil {
		return Selection{}, false
	}
	return c.selection(), true
}

// Serves reports whether an endpoint can run a request, though it may take none now.
func (t *Table) Serves(name ident.Endpoint, q Query) bool {
	e := t.endpoints[name]
	return e != nil && e.serves(q)
}

// compareInstances compares random instances of a plain service, two anywhere and one in the entry's zone, and all of them if neither accepts the request.
func (c *choice) compareInstances(p *pool) {
	if p == nil || len(p.endpoints) == 0 {
		return
	}
	if local := c.localEndpoints(p); len(local) > 0 {
		c.consider(local[c.table.random.IntN(len(local))], c.seconds, 0)
	}
	for range 2 {
		c.consider(p.endpoints[c.table.random.IntN(len(p.endpoints))], c.seconds, 0)
	}
	if c.best == nil {
		for _, e := range p.endpoints {
			c.consider(e, c.seconds, 0)
		}
	}
}

// localEndpoints returns the endpoints in the zone of the entry; none without ZoneTerm.
func (c *choice) localEndpoints(p *pool) []*endpoint {
	if !c.table.hasTerm(ZoneTerm) {
		return nil
	}
	return p.zones[c.query.Zone]
}

// compareEngines compares holders of the adapter and engines that could load it, and all engines of the pool if none of these
// accepts the request.
func (c *choice) compareEngines(p *pool) {
	if p == nil || len(p.endpoints) == 0 {
		return
	}
	if c.query.Adapter.IsZero() {
		c.compareForBaseModel(p)
		return
	}
	a := c.table.adapters[c.query.adapterKey()]
	hash := uint64(0)
	if a != nil {
		hash = a.hash
	} else {
		hash = adapterHash(c.query.Adapter)
	}
	c.prefix = prefixKey(hash, c.query.Prefix)
	c.compareHolders(a)
	c.compareNonHolders(p, a, hash)
	if c.best == nil {
		for _, e := range p.endpoints {
			c.consider(e, c.seconds, c.table.stallCost(c.table.loadDelayAt(e, 0)))
		}
	}
}

// baseModelHash replaces the adapter's hash in requests for a base model without an adapter.
const baseModelHash = 0x9e3779b97f4a7c15

// compareForBaseModel compares endpoints for a request without an adapter, which any of them can run: those that rank first for
// the prompt prefix and some random ones.
func (c *choice) compareForBaseModel(p *pool) {
	c.prefix = prefixKey(baseModelHash, c.query.Prefix)
	// The extra costs keep requests with the same prefix at the endpoint that ranks first, unless another one is clearly less
	// busy.
	for i, e := range rendezvous(p.endpoints, mix(c.prefix)) {
		if e != nil {
			c.consider(e, c.seconds, float64(i)*emptyBatchCostMilli/10)
		}
	}
	for range maxComparedHolders {
		c.consider(p.endpoints[c.table.random.IntN(len(p.endpoints))], c.seconds, emptyBatchCostMilli/5)
	}
	if c.best == nil {
		for _, e := range p.endpoints {
			c.consider(e, c.seconds, 0)
		}
	}
}

// compareHolders compares the endpoints where the adapter is resident or loading: all of them if they are few, else those in the zone of
// the entry and some others.
func (c *choice) compareHolders(a *adapter) {
	if a == nil || len(a.holders) == 0 {
		return
	}
	n := len(a.holders)
	offset := 0
	if n > maxComparedHolders {
		offset = c.table.random.IntN(n)
		for rank, e := range a.holders {
			if c.table.hasTerm(ZoneTerm) && e.Zone == c.query.Zone {
				c.considerHolder(a, rank)
			}
		}
	}
	for i := range min(n, maxComparedHolders) {
		c.considerHolder(a, (offset+i)%n)
	}
}

// considerHolder considers the holder of an adapter with a rank.
func (c *choice) considerHolder(a *adapter, rank int) {
	e, extra := a.holders[rank], 0.0
	inOwnZone := c.table.hasTerm(ZoneTerm) && e.Zone == c.query.Zone
	if rank >= a.replicas && c.table.hasTerm(ReplicaTerm) && !inOwnZone {
		extra = extraReplicaCostMilli
	}
	if h := e.holdingOf(a); h != nil && h.loading {
		// An overdue load is assumed to finish within 20 ms.
		extra += c.table.stallCost(max(h.readyAt-c.seconds, 0.02) * 1000)
	}
	c.consider(e, c.seconds, extra)
}

// compareNonHolders compares endpoints that would have to load the adapter: recent holders, the preferred ones and some random
// ones.
func (c *choice) compareNonHolders(p *pool, a *adapter, hash uint64) {
	rate := c.table.totalRate(c.seconds, a)
	newReplicaCost := 0.0
	if a != nil && len(a.holders) >= a.replicas && c.table.hasTerm(ReplicaTerm) {
		newReplicaCost = c.table.displacedLoads * c.table.stallCost(c.table.loadDelay(rate)) * (1 + scarcityFactor*c.table.slotUse())
	}
	if a != nil && c.table.hasTerm(PreviousHolderTerm) {
		for _, previous := range a.previousHolders {
			if previous.endpoint != nil && c.seconds-previous.droppedAt < previousHolderExpirySeconds &&
				c.table.endpoints[previous.endpoint.Endpoint] == previous.endpoint && !isHolder(previous.endpoint, a) {
				// The engine still caches the weights: the adapter loads in a fraction of the time and does not use the weight store.
				c.consider(previous.endpoint, c.seconds, c.table.stallCost(c.table.loadDelayAt(previous.endpoint, rate))*previousHolderLoadFraction+newReplicaCost)
			}
		}
	}
	if c.table.hasTerm(AffinityTerm) {
		zone := ident.Zone("")
		if c.table.hasTerm(ZoneTerm) {
			zone = c.query.Zone
		}
		for i, e := range p.preferredFor(a, hash, zone) {
			if e != nil && !isHolder(e, a) {
				c.consider(e, c.seconds, c.table.stallCost(c.table.loadDelayAt(e, rate))+newReplicaCost+float64(i)*c.table.affinityMilli)
			}
		}
	}
	for range c.table.samples {
		if local := c.localEndpoints(p); len(local) > 0 {
			if e := local[c.table.random.IntN(len(local))]; !isHolder(e, a) {
				c.consider(e, c.seconds, c.table.stallCost(c.table.loadDelayAt(e, rate))+newReplicaCost+2*c.table.affinityMilli)
			}
		}
		if e := p.endpoints[c.table.random.IntN(len(p.endpoints))]; !isHolder(e, a) {
			c.consider(e, c.seconds, c.table.stallCost(c.table.loadDelayAt(e, rate))+newReplicaCost+2*c.table.affinityMilli)
		}
	}
}

func isHolder(e *endpoint, a *adapter) bool { return a != nil && e.holdingOf(a) != nil }

// consider makes the endpoint the best one if it costs less than the best so far; extra is the part of the cost that depends on
// the adapter.
func (c *choice) consider(e *endpoint, seconds, extra float64) {
	if !e.accepts(*c.query) || (e.Fixed && !c.query.Adapter.IsZero() && !isHolder(e, c.table.adapters[c.query.adapterKey()])) {
		return
	}
	cost := extra + c.table.queueCost(e) + milli(e.Penalty)
	if e.Kind == resource.Engine {
		cost += c.table.batchCost(e) + c.table.backlogCost(e) + c.table.streamDelayCost(c.query, e)
	} else {
		cost += c.table.occupancyCost(e)
	}
	if c.table.hasTerm(ZoneTerm) && e.Zone != c.query.Zone {
		cost += c.table.zoneMilliPerKiB * float64(c.query.Bytes) / 1024
	}
	if c.table.hasTerm(PrefixTerm) && e.hasPrefix(seconds, c.prefix) {
		cost -= c.table.prefixSaving(c.query)
	}
	if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = e, cost
	}
}

// selection returns the best endpoint with the expected wait there. An engine reads the prompts ahead of the request while it loads the adapter.
func (c *choice) selection() Selection {
	t, e := c.table, c.best
	s := Selection{Endpoint: e.Endpoint, Cost: duration(c.bestCost)}
	wait := t.queueCost(e)
	if e.Kind == resource.Engine {
		work := float64(c.query.PromptTokens) * t.prefillMilli
		if e.hasPrefix(c.seconds, c.prefix) {
			work = max(work-t.prefixSaving(c.query), 0)
		}
		wait += max(c.loadWait(e), t.unreadTokens(e)*t.prefillMilli) + work
		s.Streams = t.streams(e)
	}
	s.Wait = duration(wait)
	return s
}

// duration converts milliseconds.
func duration(milli float64) time.Duration { return time.Duration(milli * float64(time.Millisecond)) }

// loadWait returns the time in milliseconds until an engine holds the adapter of the request.
func (c *choice) loadWait(e *endpoint) float64 {
	if c.query.Adapter.IsZero() {
		return 0
	}
	a := c.table.adapters[c.query.adapterKey()]
	if isHolder(e, a) {
		if h := e.holdingOf(a); h.loading {
			return max(h.readyAt-c.seconds, 0) * 1000
		}
		return 0
	}
	return c.table.loadDelayAt(e, c.table.totalRate(c.seconds, a))
}

func (t *Table) hasTerm(term Terms) bool { return t.terms&term != 0 }

// stallCost returns the weighted cost of a wait for an adapter, both in milliseconds.
func (t *Table) stallCost(wait float64) float64 {
	if !t.hasTerm(StallTerm) {
		return 0
	}
	return t.weights.LoadStall * wait
}

// totalRate estimates the demand for an adapter at all entries in requests per second.
func (t *Table) totalRate(seconds float64, a *adapter) float64 {
	if a == nil {
		return 0
	}
	return a.demandRate(seconds) * t.meter.trafficRatio
}

// loadDelay returns the expected wait for the load budget plus the load time, in milliseconds. Loads with more stalled requests
// go first, so the wait for the budget shrinks with the demand rate.
func (t *Table) loadDelay(rate float64) float64 {
	sharing := max(1, float64(t.totalLoads+1)/float64(t.maxLoadsInFlight))
	return max(float64(t.totalLoads)-1, 0)/(1+rate)/t.loadsPerSecond*1000 + t.loadMilli*sharing
}

// slotUse returns the fraction of all adapter slots that are in use or being loaded; it is zero without PreviousHolderTerm.
func (t *Table) slotUse() float64 {
	if t.totalSlots == 0 || !t.hasTerm(PreviousHolderTerm) {
		return 0
	}
	return float64(t.totalPinned+t.totalLoads) / float64(t.totalSlots)
}

// loadDelayAt returns loadDelay plus the wait for a slot if all slots of the endpoint are pinned, in milliseconds: on
// average, half of a request's duration. With BacklogTerm it is that for each load that waits for one: reports count those of all entries then.
func (t *Table) loadDelayAt(e *endpoint, rate float64) float64 {
	wait := t.loadDelay(rate)
	if waiting := e.Pinned + e.loadCount - e.Slots + 1; e.Slots > 0 && waiting > 0 {
		if !t.hasTerm(BacklogTerm) {
			waiting = 1
		}
		wait += float64(waiting) * t.meter.requestTime() * 1000 / 2
	}
	return wait
}

// requestCount returns the running and queued requests of an endpoint, corrected by what this entry has observed since the report.
func (t *Table) requestCount(e *endpoint) int {
	n := e.Running + e.Queued
	if t.hasTerm(CorrectionTerm) {
		n += e.delta
	}
	return max(n, 0)
}

// queueCost returns the expected time in the queue in milliseconds.
func (t *Table) queueCost(e *endpoint) float64 {
	if !t.hasTerm(QueueTerm) {
		return 0
	}
	ahead := t.requestCount(e) + 1 - e.BatchSize
	if e.BatchSize <= 0 || ahead <= 0 {
		return 0
	}
	perRequest := t.meter.requestTime() * 1000 / float64(e.BatchSize)
	if e.QueueWait > 0 && e.Queued > 0 {
		perRequest = max(perRequest, milli(e.QueueWait)/float64(e.Queued))
	}
	return float64(ahead) * perRequest
}

// batchCost returns the cost of the batch slots that stay free, in milliseconds, which favours filling one batch before starting
// another.
func (t *Table) batchCost(e *endpoint) float64 {
	if !t.hasTerm(BatchTerm) || e.BatchSize <= 0 {
		return 0
	}
	free := max(e.BatchSize-t.requestCount(e)-1, 0)
	return t.weights.BatchEfficiency * emptyBatchCostMilli * float64(free) / float64(e.BatchSize)
}

// runningRequestCostMilli is the cost of each running request, which slows the steps of the batch.
const runningRequestCostMilli = 0.5

// backlogCost returns the expected time in milliseconds until the engine has read the prompts ahead of this one, plus the cost of
// its running requests. A report covers the requests of all entries but is late; the entry's own count is current.
func (t *Table) backlogCost(e *endpoint) float64 {
	if !t.hasTerm(BacklogTerm) {
		return 0
	}
	return t.unreadTokens(e)*t.prefillMilli + runningRequestCostMilli*float64(t.requestCount(e))
}

// unreadTokens returns the number of prompt tokens of all entries that an endpoint has not read yet.
func (t *Table) unreadTokens(e *endpoint) float64 {
	if e.KnowsUnread {
		return float64(e.ownPromptTokens + e.OthersUnread)
	}
	return float64(e.ownPromptTokens) + float64(max(e.Starting-e.ownStarting, 0))*t.meanPrompt
}

const (
	// defaultStreamWeight is the default weight of the time by which a stream takes longer, relative to a wait for its first chunk: streams have
	// seconds to finish, and tens of milliseconds per token matter only to the long ones. It is higher where callers do not accept their pauses.
	defaultStreamWeight = 0.4
	// maxPromptShare bounds the fraction of its time that an engine is assumed to spend on prompts.
	maxPromptShare = 0.95
	// promptRateWindowSeconds is the time over which an agent averages the rate of prompt tokens.
	promptRateWindowSeconds = 2.0
)

// streamDelayCost returns the cost of the delay that reading prompts causes to running streams, in milliseconds. A batch produces
// no tokens while it reads a prompt: a stream at an engine that reads prompts all the time is many times slower, and a long
// prompt delays all streams of its engine.
func (t *Table) streamDelayCost(q *Query, e *endpoint) float64 {
	if !t.hasTerm(BacklogTerm) || t.stepMilli == 0 {
		return 0
	}
	rate := e.PromptRate + e.sentPromptTokens/promptRateWindowSeconds
	share := min(rate*t.prefillMilli/1000, maxPromptShare)
	own := float64(q.OutputTokens) * t.stepMilli * share / (1 - share)
	// Requests that wait for their prompt to be read are behind this one or counted in the backlog.
	others := float64(t.streams(e)) * float64(q.PromptTokens) * t.prefillMilli
	return t.streamWeight * (own + others)
}

// streams returns the number of running requests that produce output, which are those whose prompt has been read.
func (t *Table) streams(e *endpoint) int {
	return max(t.requestCount(e)-max(e.Starting, e.ownStarting), 0)
}

// occupancyCost returns the cost of the occupied part of a batch, in milliseconds. It spreads requests over the instances of a
// plain service, which gain nothing from a full batch. If all of them ran on one instance, they would all be lost with its agent.
// With ZoneTerm it rises with the square, since instances slow down only when they are nearly full: a few requests at an instance do not
// send the next one to another zone.
func (t *Table) occupancyCost(e *endpoint) float64 {
	if e.BatchSize <= 0 {
		return 0
	}
	share := float64(t.requestCount(e)) / float64(e.BatchSize)
	if t.hasTerm(ZoneTerm) {
		share *= share
	}
	return emptyBatchCostMilli * share
}

// prefixSaving returns the prefill time in milliseconds that a cached prefix saves.
func (t *Table) prefixSaving(q *Query) float64 {
	tokens := q.PrefixTokens
	if tokens == 0 {
		tokens = q.PromptTokens
	}
	return float64(tokens) * t.prefillMilli
}
