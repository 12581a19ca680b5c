package placement

import (
	"slices"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	// reportLagSeconds is the age that a load report has on arrival; later changes are not in the report.
	reportLagSeconds = 0.15
	// maxRecentChanges bounds the changes of the request count that are retained across a report.
	maxRecentChanges = 32
	// maxCachedPrefixes is the number of prompt prefixes retained per endpoint; engines cache about as many.
	maxCachedPrefixes = 64
	// prefixExpirySeconds is the time after which a prefix counts as evicted if no event or request has confirmed it.
	prefixExpirySeconds = 30.0
)

// poolKey identifies a pool: endpoints that can replace each other.
type poolKey struct {
	kind    resource.EndpointKind
	base    ident.BaseModel
	service ident.Service
}

func poolKeyOf(r Report) poolKey {
	if r.Kind == resource.Service {
		return poolKey{kind: r.Kind, service: r.Service}
	}
	return poolKey{kind: r.Kind, base: r.BaseModel, service: r.Service}
}

// pool is a set of interchangeable endpoints; its generation rises with each endpoint that joins or leaves.
type pool struct {
	endpoints  []*endpoint
	zones      map[ident.Zone][]*endpoint
	generation uint32
}

func (p *pool) add(e *endpoint) {
	p.endpoints = append(p.endpoints, e)
	p.zones[e.Zone] = append(p.zones[e.Zone], e)
	p.generation++
}

func (p *pool) remove(e *endpoint) {
	isRemoved := func(x *endpoint) bool { return x == e }
	p.endpoints = slices.DeleteFunc(p.endpoints, isRemoved)
	p.zones[e.Zone] = slices.DeleteFunc(p.zones[e.Zone], isRemoved)
	p.generation++
}

// holding is an adapter that is resident at an endpoint or being loaded there.
type holding struct {
	adapter *adapter
	loading bool
	// unreported marks a load that this entry has caused and no report has shown yet.
	unreported  bool
	requestedAt float64
	readyAt     float64
}

// requestCountChange is a change of the number of requests at an endpoint, made by this entry.
type requestCountChange struct {
	at    float64
	delta int32
}

// cachedPrefix is a prompt prefix in an engine's prefix cache, last confirmed at a time in seconds.
type cachedPrefix struct {
	key uint64
	at  float64
}

// endpoint is the table's state of one endpoint: its latest report and what this entry has observed since.
type endpoint struct {
	Report
	hash     uint64
	holdings []holding
	// spareHoldings is an empty slice that the next report reuses for holdings.
	spareHoldings []holding
	// loadCount is the number of adapters that are being loaded.
	loadCount int
	// slots and pinned are what this endpoint contributes to the table's sums.
	slots  int
	pinned int
	// counted is set once a report is part of the sums over all endpoints.
	counted bool
	// delta is the change of the number of requests since the report, as far as this entry has caused it.
	delta int
	// ownStarting is the number of this entry's own requests whose prompt is not read yet, ownPromptTokens the tokens of these
	// prompts.
	ownStarting     int
	ownPromptTokens ident.Tokens
	// sentPromptTokens counts the prompt tokens that were sent since the last report.
	sentPromptTokens float64
	changes          [maxRecentChanges]requestCountChange
	changeCount      int
	cachedPrefixes   [maxCachedPrefixes]cachedPrefix
}

func (e *endpoint) recordChange(seconds float64, delta int32) {
	e.delta += int(delta)
	e.changes[e.changeCount%maxRecentChanges] = requestCountChange{at: seconds, delta: delta}
	e.changeCount++
}

// resetDelta restarts the correction after a report, with the changes that came too late to be in it.
func (e *endpoint) resetDelta(seconds float64) {
	e.delta = 0
	e.sentPromptTokens = 0
	for i := range min(e.changeCount, maxRecentChanges) {
		if c := e.changes[i]; seconds-c.at < reportLagSeconds {
			e.delta += int(c.delta)
		}
	}
}

func (e *endpoint) holdingOf(a *adapter) *holding {
	for i := range e.holdings {
		if e.holdings[i].adapter == a {
			return &e.holdings[i]
		}
	}
	return nil
}

func (e *endpoint) addPrefix(seconds float64, key uint64) {
	if key != 0 {
		e.cachedPrefixes[key%maxCachedPrefixes] = cachedPrefix{key: key, at: seconds}
	}
}

func (e *endpoint) removePrefix(key uint64) {
	if p := &e.cachedPrefixes[key%maxCachedPrefixes]; p.key == key {
		*p = cachedPrefix{}
	}
}

func (e *endpoint) hasPrefix(seconds float64, key uint64) bool {
	p := e.cachedPrefixes[key%maxCachedPrefixes]
	return key != 0 && p.key == key && seconds-p.at < prefixExpirySeconds
}

// accepts reports whether an endpoint may get a request now.
func (e *endpoint) accepts(q Query) bool {
	return !e.Leaving && !contains(q.Exclude, e.Endpoint) && e.serves(q)
}

// serves reports whether an endpoint can run a request, now or later: it belongs to the service and holds the base model.
func (e *endpoint) serves(q Query) bool {
	return e.Service == q.Service && (q.isPlain() || (e.BaseModel == q.BaseModel && !contains(e.Failing, q.Adapter)))
}

func contains[T comparable](list []T, x T) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}
