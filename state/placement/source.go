package placement

import (
	"time"

	"shallotring.dev/state/ident"
)

// minFetchTokens is the length of a prompt prefix in tokens from which it is fetched: fetching a shorter one saves less than the
// call costs.
const minFetchTokens = 1000

// Source returns another endpoint that has cached the prompt prefix, from which the named endpoint can fetch it in a fraction of the
// time; ok is false if the named endpoint has cached it itself or no endpoint has.
func (t *Table) Source(now time.Time, name ident.Endpoint, q Query) (source ident.Endpoint, ok bool) {
	e := t.endpoints[name]
	if e == nil || q.Adapter.IsZero() || q.PrefixTokens < minFetchTokens {
		return "", false
	}
	seconds, key := t.seconds(now), prefixKey(adapterHash(q.Adapter), q.Prefix)
	if key == 0 || e.hasPrefix(seconds, key) {
		return "", false
	}
	newest := 0.0
	for _, x := range t.pools[poolKeyOf(e.Report)].endpoints {
		if x != e && !x.Leaving && x.hasPrefix(seconds, key) && (!ok || x.cachedPrefixes[key%maxCachedPrefixes].at > newest) {
			source, newest, ok = x.Endpoint, x.cachedPrefixes[key%maxCachedPrefixes].at, true
		}
	}
	if ok {
		return source, true
	}
	// Each entry receives only a part of the requests; another holder has most likely cached what requests for the adapter share.
	a := t.adapters[q.Adapter]
	if a == nil {
		return "", false
	}
	for _, x := range a.holders {
		if h := x.holdingOf(a); x != e && !x.Leaving && h != nil && !h.loading {
			return x.Endpoint, true
		}
	}
	return "", false
}
