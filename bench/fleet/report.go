package fleet

import (
	"cmp"
	"slices"

	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/slots"
)

// EngineState is a load report as the entries receive it.
type EngineState struct{ Report placement.Report }

// addAdapters adds the adapters of the engine's slots, the ones that its queue waits for and the ones whose loads fail.
func (r *EngineState) addAdapters(e *Engine) {
	e.Slots.Each(func(av ident.AdapterVersion, state slots.State, _ int) {
		if state == slots.Resident {
			r.Report.Resident = append(r.Report.Resident, av)
		} else {
			r.Report.Loading = append(r.Report.Loading, av)
		}
	})
	e.Queue.Each(func(it admission.Item) {
		if e.Slots.State(it.Adapter) == slots.Absent && !slices.Contains(r.Report.Loading, it.Adapter) {
			r.Report.Loading = append(r.Report.Loading, it.Adapter)
		}
	})
	for av, f := range e.loadFailures {
		if f.count >= maxLoadTries && e.fleet.Clock.Now().Before(f.retryAt) {
			r.Report.Failing = append(r.Report.Failing, av)
		}
	}
	// The order of map iteration differs between runs, and the reports must not.
	for _, list := range [][]ident.AdapterVersion{r.Report.Resident, r.Report.Loading, r.Report.Failing} {
		slices.SortFunc(list, func(x, y ident.AdapterVersion) int { return cmp.Compare(x.Adapter, y.Adapter) })
	}
}

type prefixKey struct {
	adapter  ident.AdapterVersion
	prefixID uint64
}

// prefixCache is the set of cached prompt prefixes, the least recently used first.
type prefixCache struct{ prefixes []prefixKey }

// use reports whether the prefix was cached and makes it the most recently used one. It calls changed for each prefix that enters
// (true) or leaves (false) the cache.
func (c *prefixCache) use(x prefixKey, changed func(prefixKey, bool)) bool {
	if i := slices.Index(c.prefixes, x); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), x)
		return true
	}
	if len(c.prefixes) >= workload.CachedPrefixes {
		changed(c.prefixes[0], false)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, x)
	changed(x, true)
	return false
}
