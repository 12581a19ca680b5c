package gate

import (
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// unansweredSurveys is the number of surveys in which a load that was not answered may show before the tries that wait for it are refused.
const unansweredSurveys = 2

// holdUnanswered keeps the slot of a load that was not answered until it must have ended: an unload that overtakes it would free a slot that
// it takes afterwards.
func (g *Gate) holdUnanswered(o *order) {
	a := g.adapterRecord(o.adapter)
	a.unloadPending, a.unanswered, a.refuseAt = true, true, g.now.Add(unansweredSurveys*g.SurveyInterval)
	a.unloadNotBefore = later(g.now, o.sentAt.Add(g.LoadTimeout)).Add(g.QuarantineDuration)
}

// refuseUnanswered returns the tries that wait for an adapter whose load was not answered and that the engine does not list: they can run elsewhere.
func (g *Gate) refuseUnanswered(av ident.AdapterVersion, a *adapter) {
	switch {
	case !a.unanswered:
	case g.now.Before(a.refuseAt):
		g.wakeBy(a.refuseAt)
	default:
		a.exhausted, a.failureDetail = true, "the engine has not answered the load"
		a.loadNotBefore = g.now.Add(min(g.FailingDuration, a.unloadNotBefore.Sub(g.now)))
		g.returnWaiting(outcome.LoadFailed, func(t *try) bool { return t.Adapter == av })
	}
}

// keepUnanswered returns a function that takes the slots of unanswered loads again after the view of the engine was reset.
func (g *Gate) keepUnanswered() (restore func()) {
	kept := make(map[ident.AdapterVersion]*adapter)
	for av, a := range g.adapters {
		if a.unanswered {
			kept[av] = a
		}
	}
	return func() {
		for av, a := range kept {
			g.slots.Reserve(g.now, av)
			g.adapters[av] = a
		}
	}
}

// adoptLoad makes an adapter resident whose load was not answered and has taken effect before it was to be unloaded.
func (g *Gate) adoptLoad(av ident.AdapterVersion, digest string) {
	if a := g.adapters[av]; a == nil || !a.unanswered || !a.unloadPending {
		return
	}
	g.slots.Loaded(g.now, av)
	g.queue.Loaded(g.now, av)
	g.adapters[av] = &adapter{digest: digest}
}
