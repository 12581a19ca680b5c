package placement

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
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
	Resident  []ident.AdapterVersion
	Loading   []ident.AdapterVersion
	Failing   []ident.AdapterVersion
	QueueWait time.Duration
}

// Query describes one request to place.
type Query struct {
	// BaseModel and Adapter are set for model requests, Service for plain services.
	BaseModel ident.BaseModel
	Adapter   ident.AdapterVersion
	Service   ident.Service
	// Prefix is a hash of the beginning of the prompt; zero if the prompt is short.
	Prefix uint64
	// PromptTokens is an estimate.
	PromptTokens ident.Tokens
	// Exclude lists endpoints that refused or failed this request before.
	Exclude []ident.Endpoint
}

type endpoint struct {
	Report
	sent int
}

// Table is an entry's view of the endpoints; it belongs to one goroutine.
type Table struct {
	endpoints map[ident.Endpoint]*endpoint
	order     []ident.Endpoint
}

// New returns an empty table.
func New() *Table { return &Table{endpoints: make(map[ident.Endpoint]*endpoint)} }

// Observe replaces what is known of an endpoint.
func (t *Table) Observe(_ time.Time, r Report) {
	if _, ok := t.endpoints[r.Endpoint]; !ok {
		t.order = append(t.order, r.Endpoint)
	}
	t.endpoints[r.Endpoint] = &endpoint{Report: r}
}

// Remove forgets an endpoint.
func (t *Table) Remove(name ident.Endpoint) {
	delete(t.endpoints, name)
	for i, x := range t.order {
		if x == name {
			t.order = append(t.order[:i], t.order[i+1:]...)
			return
		}
	}
}

// Choose returns the endpoint with the least cost; ok is false if none can take the request.
func (t *Table) Choose(_ time.Time, q Query) (name ident.Endpoint, ok bool) {
	best := 0
	for _, x := range t.order {
		e := t.endpoints[x]
		if !e.takes(q) {
			continue
		}
		cost := e.Running + e.Queued + e.sent
		if !contains(e.Resident, q.Adapter) {
			cost += e.BatchSize
		}
		if !ok || cost < best {
			name, best, ok = x, cost, true
		}
	}
	return name, ok
}

// Sent corrects the view by a try that was dispatched after the latest report.
func (t *Table) Sent(_ time.Time, name ident.Endpoint, _ Query) {
	if e, ok := t.endpoints[name]; ok {
		e.sent++
	}
}

// Done corrects the view by a try that has ended.
func (t *Table) Done(_ time.Time, name ident.Endpoint, _ Query) {
	if e, ok := t.endpoints[name]; ok && e.sent > 0 {
		e.sent--
	}
}

func (e *endpoint) takes(q Query) bool {
	if e.Leaving || contains(q.Exclude, e.Endpoint) {
		return false
	}
	if q.Service != "" {
		return e.Kind == resource.Service && e.Service == q.Service
	}
	return e.Kind == resource.Engine && e.BaseModel == q.BaseModel && !contains(e.Failing, q.Adapter)
}

func contains[T comparable](list []T, x T) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}
