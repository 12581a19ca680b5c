package placement

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	// scanned bounds the holders whose cost is compared for one request.
	scanned = 6
	// batchCharge is the cost in milliseconds of joining an empty batch.
	batchCharge = 120.0
	// affinity is the default cost in milliseconds of an endpoint that is not preferred for an absent adapter.
	affinity = 20.0
	// displaced is the default number of loads that one more replica than wanted costs later, because it takes a slot of the tail.
	displaced = 12.0
	// formerLoad is the part of the load time that an engine needs which held the adapter lately.
	formerLoad = 0.1
	// formerExpiry is the time in seconds for which an engine is taken to keep a copy: it keeps some dozens of adapters.
	formerExpiry = 60.0
	// scarcity raises the cost of another copy of an adapter as places run out: another adapter then waits for the place.
	scarcity = 3.0
	// samples is the default number of random endpoints that are compared for an absent adapter.
	samples = 2
	// extraReplica is the cost in milliseconds of using a holder beyond the wanted replicas, so that it falls idle.
	extraReplica = 40.0
)

// choice is the state of one decision.
type choice struct {
	t       *Table
	q       *Query
	seconds float64
	prefix  uint64
	best    *endpoint
	cost    float64
}

// Choose returns the endpoint with the least cost; ok is false if none can take the request.
func (t *Table) Choose(now time.Time, q Query) (name ident.Endpoint, ok bool) {
	name, _, ok = t.Cheapest(now, q)
	return name, ok
}

// Cheapest is Choose with the cost in milliseconds of the endpoint it returns.
func (t *Table) Cheapest(now time.Time, q Query) (name ident.Endpoint, cost float64, ok bool) {
	c := choice{t: t, q: &q, seconds: t.seconds(now)}
	if q.Service != "" {
		c.any(t.pools[poolKey{kind: resource.Service, service: q.Service}])
	} else {
		c.engine(t.pools[poolKey{kind: resource.Engine, base: q.BaseModel}])
	}
	if c.best == nil {
		return "", 0, false
	}
	return c.best.Endpoint, c.cost, true
}

// any compares two random endpoints, and all of them if neither takes the request.
func (c *choice) any(p *pool) {
	if p == nil || len(p.members) == 0 {
		return
	}
	for range 2 {
		c.consider(p.members[c.t.random.IntN(len(p.members))], c.seconds, 0)
	}
	if c.best == nil {
		for _, e := range p.members {
			c.consider(e, c.seconds, 0)
		}
	}
}

func (c *choice) engine(p *pool) {
	if p == nil || len(p.members) == 0 {
		return
	}
	if c.q.Adapter.IsZero() {
		c.base(p)
		return
	}
	a := c.t.adapters[c.q.Adapter]
	hash := uint64(0)
	if a != nil {
		hash = a.hash
	} else {
		hash = adapterHash(c.q.Adapter)
	}
	c.prefix = prefixKey(hash, c.q.Prefix)
	c.holders(a)
	c.absent(p, a, hash)
	if c.best == nil {
		for _, e := range p.members {
			c.consider(e, c.seconds, c.t.stall(c.t.absentWait(e, 0)))
		}
	}
}

// baseHash stands for the adapter's hash in requests for a base model alone.
const baseHash = 0x9e3779b97f4a7c15

// base compares endpoints for a request without an adapter, which any of them can run: those that the prompt's beginning
// prefers and some random ones.
func (c *choice) base(p *pool) {
	c.prefix = prefixKey(baseHash, c.q.Prefix)
	for i, e := range p.rendezvous(mix(c.prefix)) {
		if e != nil {
			c.consider(e, c.seconds, float64(i)*batchCharge/10)
		}
	}
	for range scanned {
		c.consider(p.members[c.t.random.IntN(len(p.members))], c.seconds, batchCharge/5)
	}
	if c.best == nil {
		for _, e := range p.members {
			c.consider(e, c.seconds, 0)
		}
	}
}

// holders compares the endpoints that have the adapter or are loading it.
func (c *choice) holders(a *adapter) {
	if a == nil || len(a.holders) == 0 {
		return
	}
	n := len(a.holders)
	offset := 0
	if n > scanned {
		offset = c.t.random.IntN(n)
	}
	for i := range min(n, scanned) {
		rank := (offset + i) % n
		e := a.holders[rank]
		extra := 0.0
		if rank >= a.replicas && c.t.has(ReplicaTerm) {
			extra = extraReplica
		}
		if h := e.find(a); h != nil && h.loading {
			extra += c.t.stall(max(h.ready-c.seconds, 0.02) * 1000)
		}
		c.consider(e, c.seconds, extra)
	}
}

// absent compares endpoints that would have to load the adapter: the preferred ones and two random ones.
func (c *choice) absent(p *pool, a *adapter, hash uint64) {
	hot := c.t.hot(c.seconds, a)
	duplicate := 0.0
	if a != nil && len(a.holders) >= a.replicas && c.t.has(ReplicaTerm) {
		duplicate = c.t.displaced * c.t.stall(c.t.absentTime(hot)) * (1 + scarcity*c.t.pressure())
	}
	if a != nil && c.t.has(FormerTerm) {
		for _, f := range a.former {
			if f.endpoint != nil && c.seconds-f.at < formerExpiry && c.t.names[f.endpoint.Endpoint] == f.endpoint && !holds(f.endpoint, a) {
				// The copy that the engine keeps loads in a fraction of the time and does not use the weight store.
				c.consider(f.endpoint, c.seconds, c.t.stall(c.t.absentWait(f.endpoint, hot))*formerLoad+duplicate)
			}
		}
	}
	if c.t.has(AffinityTerm) {
		for i, e := range p.prefer(a, hash) {
			if e != nil && !holds(e, a) {
				c.consider(e, c.seconds, c.t.stall(c.t.absentWait(e, hot))+duplicate+float64(i)*c.t.affinity)
			}
		}
	}
	for range c.t.samples {
		if e := p.members[c.t.random.IntN(len(p.members))]; !holds(e, a) {
			c.consider(e, c.seconds, c.t.stall(c.t.absentWait(e, hot))+duplicate+2*c.t.affinity)
		}
	}
}

func holds(e *endpoint, a *adapter) bool { return a != nil && e.find(a) != nil }

// consider keeps the endpoint if it is cheaper than the best so far; extra is the part of the cost that depends on the adapter.
func (c *choice) consider(e *endpoint, s, extra float64) {
	if !e.takes(*c.q) || (e.Fixed && c.q.Service == "" && !c.q.Adapter.IsZero() && !holds(e, c.t.adapters[c.q.Adapter])) {
		return
	}
	cost := extra + c.t.queueCost(e) + milli(e.Penalty)
	if e.Kind == resource.Engine {
		cost += c.t.batchCost(e) + c.t.backlogCost(e) + c.t.paceCost(c.q, e)
	} else {
		cost += c.t.occupancyCost(e)
	}
	if c.t.has(ZoneTerm) && e.Zone != c.q.Zone {
		cost += c.t.zoneCharge * float64(c.q.Bytes) / 1024
	}
	if c.t.has(PrefixTerm) && e.caches(s, c.prefix) {
		cost -= c.t.prefixGain(c.q)
	}
	if c.best == nil || cost < c.cost {
		c.best, c.cost = e, cost
	}
}

func (t *Table) has(term Terms) bool { return t.terms&term != 0 }

// stall weighs a wait for an adapter in milliseconds.
func (t *Table) stall(wait float64) float64 {
	if !t.has(StallTerm) {
		return 0
	}
	return t.weights.LoadStall * wait
}

// hot is the demand for an adapter at all entries in requests per second.
func (t *Table) hot(s float64, a *adapter) float64 {
	if a == nil {
		return 0
	}
	return a.rate(s) * t.service.scale
}

// absentTime is the wait for the load budget and the load itself, in milliseconds. Loads with more stalled work go first, so
// the wait for the budget shrinks with the demand.
func (t *Table) absentTime(hot float64) float64 {
	crowd := max(1, float64(t.loads+1)/float64(t.loadsInFlight))
	return max(float64(t.loads)-1, 0)/(1+hot)/t.loadRate*1000 + t.loadTime*crowd
}

// pressure is the share of all places for adapters that are in use or being filled.
func (t *Table) pressure() float64 {
	if t.places == 0 || !t.has(FormerTerm) {
		return 0
	}
	return float64(t.pinned+t.loads) / float64(t.places)
}

// absentWait adds the wait for a slot if all of them are pinned.
func (t *Table) absentWait(e *endpoint, hot float64) float64 {
	wait := t.absentTime(hot)
	if e.Slots > 0 && e.Pinned+e.loads >= e.Slots {
		wait += t.service.time() * 1000 / 2
	}
	return wait
}

func (t *Table) load(e *endpoint) int {
	n := e.Running + e.Queued
	if t.has(CorrectionTerm) {
		n += e.delta
	}
	return max(n, 0)
}

// queueCost is the expected time in the queue in milliseconds.
func (t *Table) queueCost(e *endpoint) float64 {
	if !t.has(QueueTerm) {
		return 0
	}
	ahead := t.load(e) + 1 - e.BatchSize
	if e.BatchSize <= 0 || ahead <= 0 {
		return 0
	}
	each := t.service.time() * 1000 / float64(e.BatchSize)
	if e.QueueWait > 0 && e.Queued > 0 {
		each = max(each, milli(e.QueueWait)/float64(e.Queued))
	}
	return float64(ahead) * each
}

// batchCost charges for the places of the batch that stay empty, which favours filling one batch before starting another.
func (t *Table) batchCost(e *endpoint) float64 {
	if !t.has(BatchTerm) || e.BatchSize <= 0 {
		return 0
	}
	free := max(e.BatchSize-t.load(e)-1, 0)
	return t.weights.BatchEfficiency * batchCharge * float64(free) / float64(e.BatchSize)
}

// runningCharge is the cost in milliseconds of each running request, which slows the steps of the batch.
const runningCharge = 0.5

// backlogCost is the expected time until the prompts that are ahead have been read. A report shows the requests of all entries
// but is late; the entry's own count is not.
func (t *Table) backlogCost(e *endpoint) float64 {
	if !t.has(BacklogTerm) {
		return 0
	}
	others := max(e.Starting-e.starting, 0)
	return (float64(e.reading)+float64(others)*t.prompt)*t.prefill + runningCharge*float64(t.load(e))
}

const (
	// paceWeight is the part of a longer stream's time that counts against a wait for its first piece: streams have seconds
	// to end, and tens of milliseconds a token only matter to the long ones.
	paceWeight = 0.4
	// maxReading bounds the share of its time that an engine is taken to spend on prompts.
	maxReading = 0.95
	// rateMemory is the time in seconds over which an agent averages the rate of prompts.
	rateMemory = 2.0
)

// paceCost is what reading prompts costs the running streams. A batch produces no tokens while it reads a prompt: a stream at an
// engine that reads all the time is many times slower, and a long prompt delays all streams of its engine.
func (t *Table) paceCost(q *Query, e *endpoint) float64 {
	if !t.has(BacklogTerm) || t.step == 0 {
		return 0
	}
	rate := e.PromptRate + e.given/rateMemory
	share := min(rate*t.prefill/1000, maxReading)
	own := float64(q.OutputTokens) * t.step * share / (1 - share)
	others := float64(t.load(e)) * float64(q.PromptTokens) * t.prefill
	return paceWeight * (own + others)
}

// occupancyCost spreads calls over the instances of a plain service, which gain nothing from a full batch. Calls on one
// instance only would all be lost with its agent.
func (t *Table) occupancyCost(e *endpoint) float64 {
	if e.BatchSize <= 0 {
		return 0
	}
	return batchCharge * float64(t.load(e)) / float64(e.BatchSize)
}

func (t *Table) prefixGain(q *Query) float64 {
	tokens := q.PrefixTokens
	if tokens == 0 {
		tokens = q.PromptTokens
	}
	return float64(tokens) * t.prefill
}
