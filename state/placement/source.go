package placement

import (
	"time"

	"shallotring.dev/state/ident"
)

// minFetchTokens is the length of a prompt prefix in tokens from which it is fetched: fetching a shorter one saves less than the
// call costs.
const minFetchTokens = 1000

// Source returns another endpoint that has cached the prompt prefix under the same weights, from which the named endpoint can fetch it in
// a fraction of the time; ok is false if the named endpoint has cached it itself or no endpoint has.
func (t *Table) Source(now time.Time, name ident.Endpoint, q Query) (source ident.Endpoint, ok bool) {
	e, a := t.endpoints[name], t.adapters[q.adapterKey()]
	if e == nil || a == nil || q.PrefixTokens < minFetchTokens {
		return "", false
	}
	seconds, key := t.seconds(now), prefixKey(a.hash, q.Prefix)
	if key == 0 || e.hasPrefix(seconds, key) {
		return "", false
	}
	// Each entry receives only a part of the requests: a holder that this entry has not used has most likely cached what requests for
	// the adapter share, too.
	newest := -1.0
	for _, x := range a.holders {
		if !x.canSupply(e, a) {
			continue
		}
		readAt := 0.0
		if x.hasPrefix(seconds, key) {
			readAt = x.cachedPrefixes[key%maxCachedPrefixes].at
		}
		if readAt > newest {
			source, newest, ok = x.Endpoint, readAt, true
		}
	}
	return source, ok
}

// CanSupply reports whether the source holds the adapter and the same weights as the named endpoint, so that the prompts that it has cached
// for the adapter are valid there.
func (t *Table) CanSupply(source, name ident.Endpoint, av ident.AdapterVersion) bool {
	x, e := t.endpoints[source], t.endpoints[name]
	if x == nil || e == nil {
		return false
	}
	a := t.adapters[adapterKey{e.Service, av}]
	return a != nil && x.canSupply(e, a)
}

// canSupply reports whether prompts that x has cached for an adapter are valid at e: a cached prompt depends on the weights of the base
// model and of the adapter that read it. An unknown version is equal to none.
func (x *endpoint) canSupply(e *endpoint, a *adapter) bool {
	if x == e || x.Leaving || x.BaseModel != e.BaseModel || x.BaseVersion == "" || x.BaseVersion != e.BaseVersion {
		return false
	}
	h := x.holdingOf(a)
	return h != nil && !h.loading
}
