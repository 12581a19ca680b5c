package resource

import "slices"

func (sh *Shard) has(n Name) bool {
	_, ok := sh.Get(n)
	return ok
}

// Get returns the named resource as a pointer to its type.
func (sh *Shard) Get(n Name) (r any, ok bool) {
	switch n.Kind {
	case KindAdapter:
		return find(sh.Adapters, func(x *Adapter) bool { return string(x.Name) == n.Name })
	case KindEndpoint:
		return find(sh.Endpoints, func(x *Endpoint) bool { return string(x.Name) == n.Name })
	case KindRoute:
		return find(sh.Routes, func(x *Route) bool { return x.Name == n.Name })
	case KindPolicy:
		return find(sh.Policies, func(x *Policy) bool { return x.Name == n.Name })
	case KindCaller:
		return find(sh.Callers, func(x *Caller) bool { return string(x.Name) == n.Name })
	}
	return nil, false
}

func find[T any](list []T, match func(*T) bool) (r any, ok bool) {
	for i := range list {
		if match(&list[i]) {
			return &list[i], true
		}
	}
	return nil, false
}

// Delete removes the named resource.
func (sh *Shard) Delete(n Name) {
	switch n.Kind {
	case KindAdapter:
		sh.Adapters = slices.DeleteFunc(sh.Adapters, func(x Adapter) bool { return string(x.Name) == n.Name })
	case KindEndpoint:
		sh.Endpoints = slices.DeleteFunc(sh.Endpoints, func(x Endpoint) bool { return string(x.Name) == n.Name })
	case KindRoute:
		sh.Routes = slices.DeleteFunc(sh.Routes, func(x Route) bool { return x.Name == n.Name })
	case KindPolicy:
		sh.Policies = slices.DeleteFunc(sh.Policies, func(x Policy) bool { return x.Name == n.Name })
	case KindCaller:
		sh.Callers = slices.DeleteFunc(sh.Callers, func(x Caller) bool { return string(x.Name) == n.Name })
	}
	delete(sh.Revisions, n.String())
}

// Put adds or replaces a resource given as a pointer to its type and returns its name; ok is false for any other type.
func (sh *Shard) Put(r any) (n Name, ok bool) {
	n, ok = NameOf(r)
	if !ok {
		return n, false
	}
	sh.Delete(n)
	switch x := r.(type) {
	case *Adapter:
		sh.Adapters = append(sh.Adapters, *x)
	case *Endpoint:
		sh.Endpoints = append(sh.Endpoints, *x)
	case *Route:
		sh.Routes = append(sh.Routes, *x)
	case *Policy:
		sh.Policies = append(sh.Policies, *x)
	case *Caller:
		sh.Callers = append(sh.Callers, *x)
	}
	return n, true
}

// NameOf returns the name of a resource given as a pointer to its type.
func NameOf(r any) (n Name, ok bool) {
	switch x := r.(type) {
	case *Adapter:
		return Name{KindAdapter, string(x.Name)}, true
	case *Endpoint:
		return Name{KindEndpoint, string(x.Name)}, true
	case *Route:
		return Name{KindRoute, x.Name}, true
	case *Policy:
		return Name{KindPolicy, x.Name}, true
	case *Caller:
		return Name{KindCaller, string(x.Name)}, true
	}
	return Name{}, false
}
