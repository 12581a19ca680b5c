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
	// unreportedLoadExpirySeconds is the time after which a load that no report has shown is no longer expected.
	unreportedLoadExpirySeconds = 2.0
)

// Report is the state of an endpoint according to the agent's latest load report.
type Report struct {
	Endpoint  ident.Endpoint
	Kind      resource.EndpointKind
	BaseModel ident.BaseModel
	// BaseVersion is the version of the base model's weights; empty if it is not known.
	BaseVersion ident.Version
	Service     ident.Service
	Zone        ident.Zone
	Leaving     bool
	Running     int
	Queued      int
	BatchSize   int
	Slots       int
	// Pinned is the number of slots that are not to be had now; it exceeds Slots if more adapters are waited for.
	Pinned   int
	Resident []ident.AdapterVersion
	// Loading lists the loads in flight and those that wait for a permit.
	Loading []ident.AdapterVersion
	// Failing lists the adapters whose loads have failed repeatedly.
	Failing []ident.AdapterVersion
	// QueueWait is the expected wait of a new request.
	QueueWait time.Duration
	// Starting is the number of requests whose prompt is not read yet.
	Starting int
	// OthersUnread is the number of prompt tokens of other entries that the endpoint has not read yet. It counts instead of Starting if
	// KnowsUnread is set.
	OthersUnread ident.Tokens
	KnowsUnread  bool
	// PromptRate is the number of prompt tokens per second that all entries send to the endpoint.
	PromptRate float64
	// Fixed means that the endpoint can load and unload no adapters now.
	Fixed bool
	// Penalty is a cost for recent failures.
	Penalty time.Duration
}

// Query describes one request to place.
type Query struct {
	// BaseModel and Adapter are set for model requests.
	BaseModel ident.BaseModel
	Adapter   ident.AdapterVersion
	// Service is the service whose endpoints may run the request. It is empty for model requests where services do not divide the engines.
	Service ident.Service
	// Prefix is a hash of the prompt prefix; zero if the prompt is short.
	Prefix uint64
	// PrefixTokens is an estimate of the length of the prefix; zero means the whole prompt.
	PrefixTokens ident.Tokens
	// PromptTokens and OutputTokens are estimates.
	PromptTokens ident.Tokens
	OutputTokens ident.Tokens
	// Bytes is the size of the request.
	Bytes int
	// Zone is the availability zone of the entry.
	Zone ident.Zone
	// Exclude lists endpoints that have refused or failed this request.
	Exclude []ident.Endpoint
}

// isPlain reports whether the request is for a plain service.
func (q *Query) isPlain() bool { return q.Service != "" && q.BaseModel == "" && q.Adapter.IsZero() }

func (q *Query) adapterKey() adapterKey { return adapterKey{q.Service, q.Adapter} }

// poolKey returns the key of the endpoints that may run the request.
func (q *Query) poolKey() poolKey {
	if q.isPlain() {
		return poolKey{kind: resource.Service, service: q.Service}
	}
	return poolKey{kind: resource.Engine, base: q.BaseModel, service: q.Service}
}

// Table is an entry's state of all endpoints and of the demand for adapters. It is not safe for concurrent use.
type Table struct {
	weights          Weights
	terms            Terms
	random           *rand.Rand
	loadsPerSecond   float64
	maxLoadsInFlight int
	loadMilli        float64
	prefillMilli     float64
	stepMilli        float64
	zoneMilliPerKiB  float64
	affinityMilli    float64
	displacedLoads   float64
	streamWeight     float64
	samples          int
	// meanPrompt is the moving mean of the prompt tokens that an endpoint has to read for one request, over promptCount requests.
	meanPrompt  float64
	promptCount int
	// epoch is the time of the first event, at which the table's time scale starts.
	epoch     time.Time
	endpoints map[ident.Endpoint]*endpoint
	pools     map[poolKey]*pool
	// adapters has the adapters of each service: a service does not use the engines of another one, so its demand and holders are its own.
	adapters    map[adapterKey]*adapter
	adapterList []*adapter
	// sweepIndex is the index in adapterList of the adapter that was last checked for removal.
	sweepIndex int
	// totalLoads, totalSlots and totalPinned are sums over all endpoints.
	totalLoads  int
	totalSlots  int
	totalPinned int
	meter       serviceMeter
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		weights: Weights{LoadStall: 1, BatchEfficiency: 1}, terms: AllTerms,
		loadsPerSecond: defaultLoadsPerSecond, maxLoadsInFlight: defaultLoadsInFlight, loadMilli: milli(defaultLoadTime),
		prefillMilli: milli(defaultPrefill), affinityMilli: defaultAffinityMilli, displacedLoads: defaultDisplacedLoads, samples: defaultSamples, streamWeight: defaultStreamWeight,
		meter:     serviceMeter{assumedTime: defaultServiceTime.Seconds(), trafficRatio: 1},
		endpoints: make(map[ident.Endpoint]*endpoint), pools: make(map[poolKey]*pool),
		adapters: make(map[adapterKey]*adapter),
	}
	t.Configure(options...)
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(1, 1))
	}
	return t
}

// Configure changes properties of the table; the state of endpoints and the demand are retained.
func (t *Table) Configure(options ...Option) {
	for _, o := range options {
		o(t)
	}
}

// Weights returns the current weights.
func (t *Table) Weights() Weights { return t.weights }

// seconds returns the time on the table's scale, in seconds since its first event.
func (t *Table) seconds(now time.Time) float64 {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	return now.Sub(t.epoch).Seconds()
}

// Observe replaces the state of an endpoint by a new report.
func (t *Table) Observe(now time.Time, r Report) {
	seconds := t.seconds(now)
	e, ok := t.endpoints[r.Endpoint]
	if ok && (e.Kind != r.Kind || e.BaseModel != r.BaseModel || e.Service != r.Service || e.Zone != r.Zone) {
		t.Remove(r.Endpoint)
		ok = false
	}
	if !ok {
		e = t.add(r)
	}
	if e.BaseVersion != r.BaseVersion {
		// Prompts that were read with other weights cannot be used any more.
		e.cachedPrefixes = [maxCachedPrefixes]cachedPrefix{}
	}
	t.meter.replaceReport(e, r)
	t.totalSlots += r.Slots - e.slots
	t.totalPinned += r.Pinned - e.pinned
	e.slots, e.pinned = r.Slots, r.Pinned
	e.Report = r
	e.resetDelta(seconds)
	t.applyHoldings(seconds, e)
	t.meter.updateTrafficRatio()
}

func (t *Table) add(r Report) *endpoint {
	e := &endpoint{Report: r, hash: stringHash(string(r.Endpoint))}
	t.endpoints[r.Endpoint] = e
	key := poolKeyOf(r)
	p, ok := t.pools[key]
	if !ok {
		p = &pool{zones: make(map[ident.Zone][]*endpoint)}
		t.pools[key] = p
	}
	p.add(e)
	return e
}

// applyHoldings applies the resident and loading adapters of a report, and retains loads that this entry has caused and no report
// can show yet.
func (t *Table) applyHoldings(seconds float64, e *endpoint) {
	old := e.holdings
	e.holdings = e.spareHoldings[:0]
	for _, h := range old {
		if h.unreported && h.loading && seconds-h.requestedAt < unreportedLoadExpirySeconds && !slices.Contains(e.Resident, h.adapter.key.name) {
			e.holdings = append(e.holdings, h)
			continue
		}
		t.removeHolder(h.adapter, e)
	}
	for _, av := range e.Resident {
		t.addHolding(e, holding{adapter: t.ensureAdapter(seconds, adapterKey{e.Service, av})})
	}
	for _, av := range e.Loading {
		t.addHolding(e, holding{adapter: t.ensureAdapter(seconds, adapterKey{e.Service, av}), loading: true, requestedAt: seconds, readyAt: seconds + remainingLoadTime(old, av, seconds, t.loadMilli)})
	}
	for _, h := range old {
		if !h.loading && e.holdingOf(h.adapter) == nil {
			h.adapter.addPreviousHolder(e, seconds)
		}
	}
	e.spareHoldings = old[:0]
	t.updateLoadCount(e)
}

// remainingLoadTime returns the remaining time of a load in seconds, from the earlier estimate if there is one. A load that is
// still in flight at the estimated time is assumed to need another quarter of the load time.
func remainingLoadTime(old []holding, av ident.AdapterVersion, seconds, loadMilli float64) float64 {
	for _, h := range old {
		if h.loading && h.adapter.key.name == av {
			return max(h.readyAt-seconds, loadMilli/4000)
		}
	}
	return loadMilli / 1000
}

func (t *Table) addHolding(e *endpoint, h holding) {
	for i := range e.holdings {
		if e.holdings[i].adapter == h.adapter {
			e.holdings[i].unreported = false
			return
		}
	}
	e.holdings = append(e.holdings, h)
	t.addHolder(h.adapter, e)
}

func (t *Table) updateLoadCount(e *endpoint) {
	n := 0
	for _, h := range e.holdings {
		if h.loading {
			n++
		}
	}
	t.totalLoads += n - e.loadCount
	e.loadCount = n
}

// Remove removes an endpoint from the table.
func (t *Table) Remove(name ident.Endpoint) {
	e, ok := t.endpoints[name]
	if !ok {
		return
	}
	delete(t.endpoints, name)
	for _, h := range e.holdings {
		t.removeHolder(h.adapter, e)
	}
	e.holdings = nil
	t.updateLoadCount(e)
	t.meter.replaceReport(e, Report{})
	t.totalSlots -= e.slots
	t.totalPinned -= e.pinned
	t.pools[poolKeyOf(e.Report)].remove(e)
}

// Try is one request that was sent to an endpoint.
type Try struct {
	// PromptTokens is the number of prompt tokens that the endpoint is expected to read for the request.
	PromptTokens ident.Tokens
	// endpoint is the incarnation to which the request was sent; nil if it was not in the table.
	endpoint *endpoint
}

// Sent records a try that was dispatched after the latest report.
func (t *Table) Sent(now time.Time, name ident.Endpoint, q Query) (try Try) {
	seconds := t.seconds(now)
	t.meter.recordStart(seconds)
	e, ok := t.endpoints[name]
	if !ok {
		return try
	}
	try.endpoint = e
	e.recordChange(seconds, 1)
	if q.Adapter.IsZero() {
		if !q.isPlain() {
			try.PromptTokens = t.recordPrompt(seconds, e, baseModelHash, q)
			e.addPrefix(seconds, prefixKey(baseModelHash, q.Prefix))
		}
		return try
	}
	a := t.ensureAdapter(seconds, q.adapterKey())
	t.recordDemand(seconds, a, e)
	try.PromptTokens = t.recordPrompt(seconds, e, a.hash, q)
	e.addPrefix(seconds, prefixKey(a.hash, q.Prefix))
	if e.holdingOf(a) == nil {
		ready := seconds + t.loadDelayAt(e, t.totalRate(seconds, a))/1000
		t.addHolding(e, holding{adapter: a, loading: true, unreported: true, requestedAt: seconds, readyAt: ready})
		e.holdingOf(a).unreported = true
		t.updateLoadCount(e)
	}
	return try
}

// minPromptStep is the smallest fraction of the difference by which the mean prompt length moves towards that of a request.
const minPromptStep = 0.02

// recordPrompt counts a request whose prompt an endpoint has to read, and returns the tokens that are not cached there.
func (t *Table) recordPrompt(seconds float64, e *endpoint, hash uint64, q Query) (promptTokens ident.Tokens) {
	promptTokens = q.PromptTokens
	if e.hasPrefix(seconds, prefixKey(hash, q.Prefix)) {
		promptTokens -= min(q.PrefixTokens, promptTokens)
	}
	e.ownStarting++
	e.ownPromptTokens += promptTokens
	e.sentPromptTokens += float64(promptTokens)
	t.promptCount++
	t.meanPrompt += (float64(promptTokens) - t.meanPrompt) * max(minPromptStep, 1/float64(t.promptCount))
	return promptTokens
}

// RecordPromptRead records that the first chunk of a response has arrived or that the try has finished: its prompt no longer
// has to be read.
func (t *Table) RecordPromptRead(try Try) {
	if e := try.endpoint; e != nil {
		e.ownStarting = max(e.ownStarting-1, 0)
		e.ownPromptTokens -= min(try.PromptTokens, e.ownPromptTokens)
	}
}

// Unread returns the number of prompt tokens that this entry has assigned to an endpoint and that the endpoint has not read yet.
func (t *Table) Unread(name ident.Endpoint) ident.Tokens {
	if e := t.endpoints[name]; e != nil {
		return e.ownPromptTokens
	}
	return 0
}

// Done records that a try has finished.
func (t *Table) Done(now time.Time, try Try) {
	seconds := t.seconds(now)
	t.meter.recordEnd(seconds)
	if e := try.endpoint; e != nil {
		e.recordChange(seconds, -1)
	}
}

// RecordCacheEvent records a cache event of an engine: a prompt prefix under an adapter has entered or left its prefix cache. Events may be
// lost; the requests that this entry has sent and prefixExpirySeconds make up for that.
func (t *Table) RecordCacheEvent(now time.Time, name ident.Endpoint, av ident.AdapterVersion, prefix uint64, present bool) {
	e, ok := t.endpoints[name]
	if !ok || prefix == 0 {
		return
	}
	key := prefixKey(adapterHash(av), prefix)
	if present {
		e.addPrefix(t.seconds(now), key)
		return
	}
	e.removePrefix(key)
}
