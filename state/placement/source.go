package placement

import (
	"time"

	"shallotring.dev/state/ident"
)

// leastFetch is the length of a prompt's beginning in tokens from which it is fetched: moving fewer saves less than the call costs.
const leastFetch = 1000

// Source returns another endpoint that has read the beginning of the prompt, from which the one named can fetch it in a fraction of
// the time; ok is false if the endpoint has read it itself or nobody has.
func (t *Table) Source(now time.Time, name ident.Endpoint, q Query) (source ident.Endpoint, ok bool) {
	e := t.names[name]
	if e == nil || q.Adapter.IsZero() || q.PrefixTokens < leastFetch {
		return "", false
	}
	s, key := t.seconds(now), prefixKey(adapterHash(q.Adapter), q.Prefix)
	if key == 0 || e.caches(s, key) {
		return "", false
	}
	newest := 0.0
	for _, x := range t.pools[keyOf(e.Report)].members {
		if x != e && !x.Leaving && x.caches(s, key) && (!ok || x.prefixes[key%prefixes].at > newest) {
			source, newest, ok = x.Endpoint, x.prefixes[key%prefixes].at, true
		}
	}
	if ok {
		return source, true
	}
	// Each entry sees a part of the requests; another holder has most likely read what requests for the adapter share.
	a := t.adapters[q.Adapter]
	if a == nil {
		return "", false
	}
	for _, x := range a.holders {
		if h := x.find(a); x != e && !x.Leaving && h != nil && !h.loading {
			return x.Endpoint, true
		}
	}
	return "", false
}
