package gate

import (
	"cmp"
	"slices"
	"strconv"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/slots"
)

func (g *Gate) reportViolation(v Violation) { g.emit(v) }

// checkStart asserts G1, G4, G5 and G6 immediately before a try starts.
func (g *Gate) checkStart(t *try) (v Violation, ok bool) {
	v = Violation{ID: t.ID, Adapter: t.Adapter}
	switch {
	case t.outcome == outcome.NotRun || t.state == tombstoned:
		v.Guarantee, v.Detail = G4, "a try that was reported as not run would start"
	case t.state != waiting:
		v.Guarantee, v.Detail = G5, "a try would start twice"
	case t.ID.Incarnation != g.Incarnation:
		v.Guarantee, v.Detail = G5, "a try of another incarnation would start"
	case t.Key != "" && g.keyUsed(t.Run):
		v.Guarantee, v.Detail = G5, "a second try with the same key would start"
	case g.graceExpired():
		v.Guarantee, v.Detail = G6, "a try would start at an endpoint that is leaving"
	case !g.Service && g.slots.State(t.Adapter) != slots.Resident:
		v.Guarantee, v.Detail = G1, "the adapter of a try is not resident"
	case !g.Service && g.adapters[t.Adapter].digest != t.Declaration.Digest:
		v.Guarantee, v.Detail = G1, "the resident weights are not the declared ones"
	default:
		return v, true
	}
	return v, false
}

// checkUnload asserts G2 from the tries themselves, independently of the use counts of the slots.
func (g *Gate) checkUnload(av ident.AdapterVersion) (v Violation, ok bool) {
	v = Violation{Guarantee: G2, Adapter: av, Detail: "an adapter in use would be evicted"}
	for _, t := range g.runningTries() {
		if t.Adapter == av {
			v.ID = t.ID
			return v, false
		}
	}
	for _, a := range g.adopted {
		if a == av {
			return v, false
		}
	}
	for _, u := range g.unresolvedTries {
		if u.adapter == av {
			return v, false
		}
	}
	return v, true
}

// checkRunning asserts after each step that each running try still has its adapter.
func (g *Gate) checkRunning() {
	if g.Service || !g.synced {
		return
	}
	for _, t := range g.runningTries() {
		if g.slots.State(t.Adapter) != slots.Resident || g.adapters[t.Adapter] == nil {
			g.reportViolation(Violation{Guarantee: G2, ID: t.ID, Adapter: t.Adapter, Detail: "a running try has lost its adapter", Fatal: true})
			continue
		}
		if g.adapters[t.Adapter].digest != t.Declaration.Digest {
			g.reportViolation(Violation{Guarantee: G1, ID: t.ID, Adapter: t.Adapter, Detail: "the weights of a running try have changed", Fatal: true})
		}
	}
}

// runningTries returns the running tries in a fixed order.
func (g *Gate) runningTries() (list []*try) {
	for _, t := range g.active {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *try) int {
		return cmp.Or(
			cmp.Compare(a.ID.RequestID, b.ID.RequestID),
			cmp.Compare(a.ID.Try, b.ID.Try),
			cmp.Compare(a.ID.Incarnation, b.ID.Incarnation),
		)
	})
	return list
}

// engineRequestID returns the id under which an engine lists a try.
func engineRequestID(id ident.TryID) string {
	return string(id.RequestID) + "/" + strconv.FormatUint(uint64(id.Try), 10)
}
