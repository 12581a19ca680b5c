package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	defaultLoadsPerSecond = 4
	defaultLoadsInFlight  = 8
	defaultLoadTime       = 250 * time.Millisecond
	defaultServiceTime    = 2 * time.Second
	defaultPrefill        = 100 * time.Microsecond
	// pendingExpiry is the time after which a load that no report confirms is no longer expected.
	pendingExpiry = 2.0
)

// Report is what an entry knows of an endpoint from the agent's latest load report.
type Report struct {
	Endpoint  ident.Endpoint
	Kind      resource.EndpointKind
	BaseModel ident.BaseModel
	Service   ident.Service
	Zone      ident.Zone
	Leaving   bool
	Running   int
	Queued    int
	BatchSize int
	Slots     int
	// Pinned is the number of slots that cannot be emptied now.
	Pinned   int
	Resident []ident.AdapterVersion
	// Loading lists the loads in flight and those that wait for a permit.
	Loading   []ident.AdapterVersion
	Failing   []ident.AdapterVersion
	QueueWait time.Duration
	// Starting is the number of requests whose prompt is not read yet.
	Starting int
	// PromptRate is the prompt tokens a second that the endpoint is given to read.
	PromptRate float64
	// Fixed means that nobody can change what the endpoint holds now.
	Fixed bool
	// Penalty is a cost for failures in the recent past.
	Penalty time.Duration
}

// Query describes one request to place.
type Query struct {
	// BaseModel and Adapter are set for model requests, Service for plain services.
	BaseModel ident.BaseModel
	Adapter   ident.AdapterVersion
	Service   ident.Service
	// Prefix is a hash of the beginning of the prompt; zero if the prompt is short.
	Prefix uint64
	// PrefixTokens is an estimate of the length of that beginning; zero means the whole prompt.
	PrefixTokens ident.Tokens
	// PromptTokens is an estimate.
	PromptTokens ident.Tokens
	// OutputTokens is an estimate.
	OutputTokens ident.Tokens
	// Bytes is the size of the request.
	Bytes int
	// Zone is the availability zone of the entry.
	Zone ident.Zone
	// Exclude lists endpoints that refused or failed this request before.
	Exclude []ident.Endpoint
}

// Table is an entry's view of the endpoints; it belongs to one goroutine.
type Table struct {
	weights       Weights
	terms         Terms
	random        *rand.Rand
	loadRate      float64
	loadsInFlight int
	loadTime      float64
	prefill       float64
	step          float64
	zoneCharge    float64
	affinity      float64
	displaced     float64
	samples       int
	// prompt is the moving mean of the prompt tokens that an endpoint has to read for one request.
	prompt   float64
	prompts  int
	epoch    time.Time
	names    map[ident.Endpoint]*endpoint
	pools    map[poolKey]*pool
	adapters map[ident.AdapterVersion]*adapter
	list     []*adapter
	sweep    int
	loads    int
	// places and pinned are the sums of the slots of all endpoints.
	places  int
	pinned  int
	service service
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		weights: Weights{LoadStall: 1, BatchEfficiency: 1}, terms: AllTerms,
		loadRate: defaultLoadsPerSecond, loadsInFlight: defaultLoadsInFlight, loadTime: milli(defaultLoadTime),
		prefill: milli(defaultPrefill), affinity: affinity, displaced: displaced, samples: samples, service: service{assumed: defaultServiceTime.Seconds(), scale: 1},
		names: make(map[ident.Endpoint]*endpoint), pools: make(map[poolKey]*pool),
		adapters: make(map[ident.AdapterVersion]*adapter),
	}
	t.Configure(options...)
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(1, 1))
	}
	return t
}

// Configure changes properties of the table; what it knows of endpoints and demand stays.
func (t *Table) Configure(options ...Option) {
	for _, o := range options {
		o(t)
	}
}

// Weights returns the weights in force.
func (t *Table) Weights() Weights { return t.weights }

// seconds returns the time on the table's own scale, which starts with its first event.
func (t *Table) seconds(now time.Time) float64 {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	return now.Sub(t.epoch).Seconds()
}

// Observe replaces what is known of an endpoint.
func (t *Table) Observe(now time.Time, r Report) {
	s := t.seconds(now)
	e, ok := t.names[r.Endpoint]
	if ok && (e.Kind != r.Kind || e.BaseModel != r.BaseModel || e.Service != r.Service) {
		t.Remove(r.Endpoint)
		ok = false
	}
	if !ok {
		e = t.add(r)
	}
	t.service.reported(e, r)
	t.places += r.Slots - e.slots
	t.pinned += r.Pinned - e.pinned
	e.slots, e.pinned = r.Slots, r.Pinned
	e.Report = r
	e.reported(s)
	t.replaceHolders(s, e)
	t.service.rescale()
}

func (t *Table) add(r Report) *endpoint {
	e := &endpoint{Report: r, hash: hashOf(string(r.Endpoint))}
	t.names[r.Endpoint] = e
	key := keyOf(r)
	p, ok := t.pools[key]
	if !ok {
		p = &pool{}
		t.pools[key] = p
	}
	p.members = append(p.members, e)
	p.generation++
	return e
}

// replaceHolders takes over residency from a report and keeps loads that this entry has caused and no report can show yet.
func (t *Table) replaceHolders(s float64, e *endpoint) {
	old := e.holds
	e.holds = e.spare[:0]
	for _, h := range old {
		if h.own && h.loading && s-h.since < pendingExpiry && !slices.Contains(e.Resident, h.adapter.name) {
			e.holds = append(e.holds, h)
			continue
		}
		t.unlink(h.adapter, e)
	}
	for _, av := range e.Resident {
		t.hold(e, hold{adapter: t.adapter(s, av)})
	}
	for _, av := range e.Loading {
		t.hold(e, hold{adapter: t.adapter(s, av), loading: true, since: s, ready: s + readyOf(old, av, s, t.loadTime)})
	}
	for _, h := range old {
		if !h.loading && e.find(h.adapter) == nil {
			h.adapter.remember(e, s)
		}
	}
	e.spare = old[:0]
	t.countLoads(e)
}

// readyOf returns the remaining time of a load in seconds, from the earlier estimate if there is one.
func readyOf(old []hold, av ident.AdapterVersion, s, loadTime float64) float64 {
	for _, h := range old {
		if h.loading && h.adapter.name == av {
			return max(h.ready-s, loadTime/4000)
		}
	}
	return loadTime / 1000
}

func (t *Table) hold(e *endpoint, h hold) {
	for i := range e.holds {
		if e.holds[i].adapter == h.adapter {
			e.holds[i].own = false
			return
		}
	}
	e.holds = append(e.holds, h)
	t.link(h.adapter, e)
}

func (t *Table) countLoads(e *endpoint) {
	n := 0
	for _, h := range e.holds {
		if h.loading {
			n++
		}
	}
	t.loads += n - e.loads
	e.loads = n
}

// Remove forgets an endpoint.
func (t *Table) Remove(name ident.Endpoint) {
	e, ok := t.names[name]
	if !ok {
		return
	}
	delete(t.names, name)
	for _, h := range e.holds {
		t.unlink(h.adapter, e)
	}
	e.holds = nil
	t.countLoads(e)
	t.service.reported(e, Report{})
	t.places -= e.slots
	t.pinned -= e.pinned
	p := t.pools[keyOf(e.Report)]
	p.members = slices.DeleteFunc(p.members, func(x *endpoint) bool { return x == e })
	p.generation++
}

// Sent corrects the view by a try that was dispatched after the latest report; it returns the prompt tokens that the endpoint
// is expected to read for it.
func (t *Table) Sent(now time.Time, name ident.Endpoint, q Query) (reading ident.Tokens) {
	s := t.seconds(now)
	t.service.began(s)
	e, ok := t.names[name]
	if !ok {
		return 0
	}
	e.changed(s, 1)
	if q.Adapter.IsZero() {
		if q.Service == "" {
			reading = t.starts(s, e, baseHash, q)
			e.remember(s, prefixKey(baseHash, q.Prefix))
		}
		return reading
	}
	a := t.adapter(s, q.Adapter)
	t.demand(s, a, e)
	reading = t.starts(s, e, a.hash, q)
	e.remember(s, prefixKey(a.hash, q.Prefix))
	if e.find(a) == nil {
		ready := s + t.absentWait(e, t.hot(s, a))/1000
		t.hold(e, hold{adapter: a, loading: true, own: true, since: s, ready: ready})
		e.find(a).own = true
		t.countLoads(e)
	}
	return reading
}

// promptStep is the least part of the difference by which the mean prompt follows a request.
const promptStep = 0.02

// starts counts a request whose prompt an endpoint has to read.
func (t *Table) starts(s float64, e *endpoint, hash uint64, q Query) (reading ident.Tokens) {
	reading = q.PromptTokens
	if e.caches(s, prefixKey(hash, q.Prefix)) {
		reading -= min(q.PrefixTokens, reading)
	}
	e.starting++
	e.reading += reading
	e.given += float64(reading)
	t.prompts++
	t.prompt += (float64(reading) - t.prompt) * max(promptStep, 1/float64(t.prompts))
	return reading
}

// Started corrects the view by the first piece of an answer or the end of a try: its prompt has been read or is not to be.
func (t *Table) Started(name ident.Endpoint, reading ident.Tokens) {
	if e, ok := t.names[name]; ok {
		e.starting = max(e.starting-1, 0)
		e.reading -= min(reading, e.reading)
	}
}

// Done corrects the view by a try that has ended.
func (t *Table) Done(now time.Time, name ident.Endpoint, _ Query) {
	s := t.seconds(now)
	t.service.ended(s)
	if e, ok := t.names[name]; ok {
		e.changed(s, -1)
	}
}

// Cached records a cache event of an engine: the beginning of a prompt of an adapter has entered or left its prefix cache.
// Events may be lost; what the entry has sent itself and an expiry make up for the gaps.
func (t *Table) Cached(now time.Time, name ident.Endpoint, av ident.AdapterVersion, prefix uint64, present bool) {
	e, ok := t.names[name]
	if !ok || prefix == 0 {
		return
	}
	key := prefixKey(adapterHash(av), prefix)
	if present {
		e.remember(t.seconds(now), key)
		return
	}
	e.forget(key)
}
