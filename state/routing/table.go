package routing

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/ident"
)

// Kind tells what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Once marks requests that run at most once.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks answers that are a series of events; they run at most once unless they may be resumed.
	Stream
)

// Target is one service of a route with its weight.
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
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer has its full value.
	Goal time.Duration
	// Engines bounds the endpoints on which one request may run.
	Engines   int
	Priority  int
	Resumable bool
	Targets   []Target
}

// Service is one service of the configuration.
type Service struct {
	Name        ident.Service
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine says what the engines of a service can hold.
type Engine struct {
	Adapters int
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory for running requests and kept prompt parts.
	CacheTokens ident.Tokens
	Models      []ident.BaseModel
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	Idle        time.Duration
}

// Table is one configuration; it is not changed once built.
type Table struct {
	Version  int64
	Services map[ident.Service]Service
	Limits   Limits
	routes   map[string][]Route
	count    int
}

// New returns a table of the given routes.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: make(map[ident.Service]Service, len(services)), routes: make(map[string][]Route), count: len(routes)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Match returns the route of the host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (r Route, ok bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Pick returns the target for a draw from 0 up to 1.
func (r Route) Pick(draw float64) (s ident.Service, ok bool) {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	rest := draw * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if rest -= t.Weight; rest < 0 {
			return t.Service, true
		}
	}
	return "", false
}
