package resource

import (
	"slices"
	"strings"

	"shallotring.dev/state/ident"
)

// Shard is the content of one shard value; it is stored as JSON.
type Shard struct {
	// WriteID identifies the write that stored the value, so that a writer whose response was lost can recognise its own write.
	WriteID   string
	Adapters  []Adapter  `json:",omitempty"`
	Routes    []Route    `json:",omitempty"`
	Endpoints []Endpoint `json:",omitempty"`
	Policies  []Policy   `json:",omitempty"`
	Callers   []Caller   `json:",omitempty"`
	// Revisions holds the revision at which each resource, under the key "Kind/name", was last changed.
	// The resource that the latest write changed is absent; its revision is that of the shard.
	Revisions map[string]ident.Revision `json:",omitempty"`
}

// Set is a configuration: all resources of all shards. It is immutable; Apply returns a new set that shares the unchanged shards.
type Set struct {
	adapters  map[ident.Adapter]*Adapter
	endpoints map[ident.Endpoint]*Endpoint
	routes    []*Route
	policies  map[string]*Policy
	callers   map[ident.Caller]*Caller
	shards    [ShardCount]*Shard
	revisions [ShardCount]ident.Revision
	newest    ident.Revision // the newest revision of all shards
}

// NewSet returns an empty set.
func NewSet() *Set { return (&Set{}).rebuild() }

// Apply returns the set with one shard replaced, or the same set if the revision is not newer.
// The revision of a shard never decreases, so that an accepted configuration never reverts (guarantee G8).
func (s *Set) Apply(number int, revision ident.Revision, shard *Shard) *Set {
	if number < 0 || number >= ShardCount || revision <= s.revisions[number] {
		return s
	}
	next := &Set{shards: s.shards, revisions: s.revisions, newest: max(s.newest, revision)}
	next.shards[number] = shard
	next.revisions[number] = revision
	return next.rebuild()
}

func (s *Set) rebuild() *Set {
	s.adapters = make(map[ident.Adapter]*Adapter)
	s.endpoints = make(map[ident.Endpoint]*Endpoint)
	s.policies = make(map[string]*Policy)
	s.callers = make(map[ident.Caller]*Caller)
	for _, sh := range s.shards {
		if sh == nil {
			continue
		}
		for i := range sh.Adapters {
			s.adapters[sh.Adapters[i].Name] = &sh.Adapters[i]
		}
		for i := range sh.Endpoints {
			s.endpoints[sh.Endpoints[i].Name] = &sh.Endpoints[i]
		}
		for i := range sh.Routes {
			s.routes = append(s.routes, &sh.Routes[i])
		}
		for i := range sh.Policies {
			s.policies[sh.Policies[i].Name] = &sh.Policies[i]
		}
		for i := range sh.Callers {
			s.callers[sh.Callers[i].Name] = &sh.Callers[i]
		}
	}
	// Route returns the first match, so longer prefixes come first.
	slices.SortFunc(s.routes, func(a, b *Route) int {
		if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
	return s
}

// Adapter returns the named adapter.
func (s *Set) Adapter(name ident.Adapter) (a *Adapter, ok bool) {
	a, ok = s.adapters[name]
	return a, ok
}

// Adapters returns all adapters in order of name.
func (s *Set) Adapters() []*Adapter {
	return sorted(s.adapters)
}

// Endpoint returns the named endpoint.
func (s *Set) Endpoint(name ident.Endpoint) (e *Endpoint, ok bool) {
	e, ok = s.endpoints[name]
	return e, ok
}

// Endpoints returns all endpoints in order of name.
func (s *Set) Endpoints() []*Endpoint {
	return sorted(s.endpoints)
}

// Callers returns all callers in order of name.
func (s *Set) Callers() []*Caller {
	return sorted(s.callers)
}

// Policy returns the policy named "default", or the built-in policy if none is declared.
func (s *Set) Policy() Policy {
	p, ok := s.policies[DefaultPolicyName]
	if !ok {
		return DefaultPolicy()
	}
	policy := *p
	if policy.LoadTime == 0 {
		policy.LoadTime = DefaultPolicy().LoadTime
	}
	return policy
}

// Route returns the route with the longest matching prefix; ok is false if none matches.
func (s *Set) Route(service ident.Service, method, path string) (r *Route, ok bool) {
	for _, x := range s.routes {
		if x.Service != service || !strings.HasPrefix(path, x.PathPrefix) {
			continue
		}
		if len(x.Methods) == 0 || slices.Contains(x.Methods, method) {
			return x, true
		}
	}
	return nil, false
}

// ShardRevision returns the revision of the shard to which the resource belongs; zero if that shard was never written.
func (s *Set) ShardRevision(n Name) ident.Revision { return s.revisions[n.Shard()] }

// ResourceRevision returns the revision at which the resource last changed; zero if it is not declared.
func (s *Set) ResourceRevision(n Name) ident.Revision {
	number := n.Shard()
	sh := s.shards[number]
	if sh == nil || !sh.has(n) {
		return 0
	}
	if r, ok := sh.Revisions[n.String()]; ok {
		return r
	}
	return s.revisions[number]
}

// Shard returns a shard and its revision; the shard is nil if it was never written.
func (s *Set) Shard(number int) (sh *Shard, revision ident.Revision) {
	return s.shards[number], s.revisions[number]
}

// Generation returns the newest revision of all shards in force, which is the generation of the configuration.
func (s *Set) Generation() ident.Revision { return s.newest }

func sorted[K ~string, V any](m map[K]*V) []*V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	list := make([]*V, len(keys))
	for i, k := range keys {
		list[i] = m[k]
	}
	return list
}
