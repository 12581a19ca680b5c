package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/tenant"
)

// Kind states whether the requests of a route may be retried after they may have run.
type Kind int

// Kinds of routes.
const (
	// Once marks requests that run at most once.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks requests whose response is a series of events; they run at most once unless the route is resumable.
	Stream
)

// Target is one service of a route; its weight sets its share of the requests.
type Target struct {
	Service ident.Service
	Weight  float64
}

// Route is one route of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// LatencyGoal is the time within which a response has its full value to the caller.
	LatencyGoal time.Duration
	// MaxPause is the longest pause between events with which a stream has its full value to the caller; 0 if none is set.
	MaxPause time.Duration
	// MaxEndpoints is the maximum number of endpoints on which one request may run.
	MaxEndpoints int
	Priority     int
	// Resumable means that a stream may be retried from the last event that the caller has received.
	Resumable bool
	// Public means that callers need no key, whether or not the configuration has tenants.
	Public  bool
	Targets []Target
}

// Service is one service of the configuration.
type Service struct {
	Name ident.Service
	// Connections is the number of connections that each endpoint accepts from all entries; 0 means no limit.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Table is one configuration; it is immutable.
type Table struct {
	Version  int64
	Services map[ident.Service]Service
	Limits   Limits
	// Tenants is nil if the configuration has none.
	Tenants    *tenant.Directory
	routes     map[string][]Route
	routeCount int
	// leastUrgent has the priority of the least urgent route to each service, which is the highest number.
	leastUrgent map[ident.Service]int
	// limitsPauses is set if a route names a longest pause.
	limitsPauses bool
}

// New returns a table of the given routes, services and limits.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, Services: make(map[ident.Service]Service, len(services)), routes: make(map[string][]Route), routeCount: len(routes),
		leastUrgent: make(map[ident.Service]int),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
		t.limitsPauses = t.limitsPauses || r.MaxPause > 0
		for _, x := range r.Targets {
			t.leastUrgent[x.Service] = max(t.leastUrgent[x.Service], r.Priority)
		}
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Urgent reports whether a service has routes that are less urgent than a route.
func (t *Table) Urgent(r Route, s ident.Service) bool { return r.Priority < t.leastUrgent[s] }

// LimitsPauses reports whether a route names the longest pause that its callers accept.
func (t *Table) LimitsPauses() bool { return t.limitsPauses }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routeCount }

// Routes returns all routes in order of their hosts, those of a host in the order in which they are matched.
func (t *Table) Routes() (list []Route) {
	for _, host := range slices.Sorted(maps.Keys(t.routes)) {
		list = append(list, t.routes[host]...)
	}
	return list
}

// ServiceList returns all services in order of their names.
func (t *Table) ServiceList() (list []Service) {
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		list = append(list, t.Services[name])
	}
	return list
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (r Route, ok bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Pick returns the service that draw, a random number in [0, 1), selects according to the weights; ok is false if no target has a
// positive weight.
func (r Route) Pick(draw float64) (s ident.Service, ok bool) {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if remaining -= t.Weight; remaining < 0 {
			return t.Service, true
		}
	}
	return "", false
}
