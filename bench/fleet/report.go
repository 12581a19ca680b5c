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

func (r *EngineState) fill(e *Engine) {
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
	for av, f := range e.failed {
		if f.count >= loadTries && e.fleet.Clock.Now().Before(f.until) {
			r.Report.Failing = append(r.Report.Failing, av)
		}
	}
	// Map order would differ between runs.
	for _, list := range [][]ident.AdapterVersion{r.Report.Resident, r.Report.Loading, r.Report.Failing} {
		slices.SortFunc(list, func(x, y ident.AdapterVersion) int { return cmp.Compare(x.Adapter, y.Adapter) })
	}
}

type prefixOf struct {
	adapter ident.AdapterVersion
	manual  uint64
}

// prefixCache holds the prompt beginnings used last.
type prefixCache struct{ list []prefixOf }

// use reports whether the beginning was cached, makes it the newest and tells changed what entered and left.
func (c *prefixCache) use(x prefixOf, changed func(prefixOf, bool)) bool {
	if i := slices.Index(c.list, x); i >= 0 {
		c.list = append(slices.Delete(c.list, i, i+1), x)
		return true
	}
	if len(c.list) >= workload.CachedPrefixes {
		changed(c.list[0], false)
		c.list = slices.Delete(c.list, 0, 1)
	}
	c.list = append(c.list, x)
	changed(x, true)
	return false
}
