package placement

import (
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	// reportLag is the age that a load report has on arrival; changes within it are not in the report.
	reportLag = 0.15
	// recentChanges bounds the changes that are remembered across a report.
	recentChanges = 32
	// prefixes is the number of prompt beginnings remembered per endpoint; engines keep about as many.
	prefixes = 64
	// prefixExpiry drops a beginning that neither an event nor a request has confirmed.
	prefixExpiry = 30.0
)

// poolKey names the endpoints that can stand in for each other.
type poolKey struct {
	kind    resource.EndpointKind
	base    ident.BaseModel
	service ident.Service
}

func keyOf(r Report) poolKey {
	if r.Kind == resource.Service {
		return poolKey{kind: r.Kind, service: r.Service}
	}
	return poolKey{kind: r.Kind, base: r.BaseModel}
}

type pool struct {
	members    []*endpoint
	generation uint32
}

// hold is an adapter that is resident at an endpoint or being loaded there.
type hold struct {
	adapter *adapter
	loading bool
	// own marks a load that this entry has caused and no report has shown yet.
	own   bool
	since float64
	ready float64
}

type change struct {
	at    float64
	delta int32
}

type prefix struct {
	key uint64
	at  float64
}

type endpoint struct {
	Report
	hash  uint64
	holds []hold
	spare []hold
	loads int
	// slots and pinned are the part of the table's sums that is this endpoint's.
	slots  int
	pinned int
	// known is set once a report is part of the sums over all endpoints.
	known bool
	// delta is the difference between the report and what the entry knows to have changed since.
	delta int
	// starting is the number of this entry's own requests whose prompt is not read yet, reading the tokens of these prompts.
	starting int
	reading  ident.Tokens
	// given counts the prompt tokens that were sent since the last report.
	given    float64
	recent   [recentChanges]change
	next     int
	prefixes [prefixes]prefix
}

func (e *endpoint) changed(s float64, delta int32) {
	e.delta += int(delta)
	e.recent[e.next%recentChanges] = change{at: s, delta: delta}
	e.next++
}

// reported starts a new correction with the changes that are too late for the report.
func (e *endpoint) reported(s float64) {
	e.delta = 0
	e.given = 0
	for i := range min(e.next, recentChanges) {
		if c := e.recent[i]; s-c.at < reportLag {
			e.delta += int(c.delta)
		}
	}
}

func (e *endpoint) find(a *adapter) *hold {
	for i := range e.holds {
		if e.holds[i].adapter == a {
			return &e.holds[i]
		}
	}
	return nil
}

func (e *endpoint) remember(s float64, key uint64) {
	if key != 0 {
		e.prefixes[key%prefixes] = prefix{key: key, at: s}
	}
}

func (e *endpoint) forget(key uint64) {
	if p := &e.prefixes[key%prefixes]; p.key == key {
		*p = prefix{}
	}
}

func (e *endpoint) caches(s float64, key uint64) bool {
	p := e.prefixes[key%prefixes]
	return key != 0 && p.key == key && s-p.at < prefixExpiry
}

func (e *endpoint) takes(q Query) bool {
	if e.Leaving || contains(q.Exclude, e.Endpoint) {
		return false
	}
	return q.Service != "" || (e.BaseModel == q.BaseModel && !contains(e.Failing, q.Adapter))
}

func contains[T comparable](list []T, x T) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}
