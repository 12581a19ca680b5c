package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/slots"
)

// adapter is the gate's record of one adapter at its engine.
type adapter struct {
	// digest is what the engine lists for a resident adapter.
	digest    string
	attempts  int
	notBefore time.Time
	broken    bool
	detail    string
	// unloading is set while an unload is to be sent, not before unloadAt.
	unloading bool
	unloadAt  time.Time
	// quarantine is the time until which an unload whose effect was unclear may still evict the adapter.
	quarantine time.Time
}

func (a *adapter) failing(now time.Time) bool { return a.broken && now.Before(a.notBefore) }

// order is one load or unload in flight.
type order struct {
	adapter ident.AdapterVersion
	digest  string
	load    bool
	// stale is set on orders to an engine whose view has been dropped since.
	stale bool
}

type permitState struct {
	held  int
	until time.Time
	asked bool
	retry time.Time
	// likely is when the holder expected to have a permit for one more load.
	likely time.Time
}

// loadPlan is what one pass over the waiting tries has found and prepared.
type loadPlan struct {
	// missing holds the declared weights of the adapters that tries wait for and that are not resident with them.
	missing map[ident.AdapterVersion]Known
	// awaited holds the resident adapters that waiting tries are about to use.
	awaited map[ident.AdapterVersion]bool
	// planned holds the loads that have a permit and wait for an unload.
	planned map[ident.AdapterVersion]bool
	// emptying is the number of slots that an unload is about to free.
	emptying int
	// former is the victim that was reserved before this step.
	former ident.AdapterVersion
}

func (g *Gate) record(av ident.AdapterVersion) *adapter {
	a, ok := g.adapters[av]
	if !ok {
		a = &adapter{}
		g.adapters[av] = a
	}
	return a
}

// newPlan sorts the waiting tries by what they wait for; one whose key is used by another try waits for no adapter.
func (g *Gate) newPlan() (p loadPlan) {
	p.missing = make(map[ident.AdapterVersion]Known)
	p.awaited = make(map[ident.AdapterVersion]bool)
	p.planned = make(map[ident.AdapterVersion]bool)
	p.emptying = g.unloads()
	g.queue.Each(func(it admission.Item) {
		t := g.tries[it.ID]
		if t == nil || (t.Key != "" && g.keyUsed(t.Run)) {
			return
		}
		if g.resident(t.Run) {
			p.awaited[it.Adapter] = true
		} else if _, ok := p.missing[it.Adapter]; !ok {
			p.missing[it.Adapter] = t.Known
		}
	})
	return p
}

// resident reports whether the adapter of a try is loaded with the declared weights.
func (g *Gate) resident(r Run) bool {
	return g.slots.State(r.Adapter) == slots.Resident && g.adapters[r.Adapter].digest == r.Known.Digest
}

// loadWait is the expected time until the adapter of a new try is resident.
func (g *Gate) loadWait(r Run) time.Duration {
	switch {
	case g.Service || g.resident(r):
		return 0
	case g.slots.State(r.Adapter) == slots.Loading:
		return g.LoadTime
	}
	return max(g.permits.likely.Sub(g.now), 0) + g.LoadTime
}

func (g *Gate) planLoads() {
	former := g.reserved
	g.reserved = ident.AdapterVersion{}
	if g.blocked() || g.pastGrace() {
		return
	}
	p := g.newPlan()
	p.former = former
	for av := range p.missing {
		a := g.record(av)
		switch g.slots.State(av) {
		case slots.Resident: // another digest than the declared one
			g.evict(av)
			p.emptying = g.unloads()
		case slots.Absent:
			if g.now.Before(a.notBefore) {
				g.wake(a.notBefore)
			}
		case slots.Loading, slots.Unloading:
		}
	}
	for g.planLoad(&p) {
	}
}

// planLoad begins or prepares the load with the most stalled work; it reports whether another one may follow.
func (g *Gate) planLoad(p *loadPlan) (more bool) {
	av, stalled, ok := g.queue.NextLoad(g.now, func(av ident.AdapterVersion) bool {
		_, missing := p.missing[av]
		return missing && !p.planned[av] && g.slots.State(av) == slots.Absent && !g.now.Before(g.record(av).notBefore)
	})
	if !ok {
		return false
	}
	if held := g.permitsHeld(); held <= len(p.planned) {
		if held == 0 && g.reserve(p) {
			g.askPermits(stalled)
		}
		return false
	}
	if g.slots.Free() > 0 {
		return g.load(av, p.missing[av])
	}
	p.planned[av] = true
	return g.makeRoom(p)
}

func (g *Gate) load(av ident.AdapterVersion, k Known) (begun bool) {
	if !g.takePermit() || !g.slots.BeginLoad(g.now, av) {
		return false
	}
	g.record(av).attempts++
	g.number++
	g.orders[g.number] = &order{adapter: av, digest: k.Digest, load: true}
	g.emit(Load{Number: g.number, Adapter: av, Path: k.Path, Digest: k.Digest})
	return true
}

// reserve chooses the victim of the load that a permit is asked for; it reports false if no slot can be made free, so that
// no permit is held for a load that cannot begin. No try starts on the victim, or the load would lose its slot.
func (g *Gate) reserve(p *loadPlan) (ok bool) {
	if g.slots.Free() > 0 || p.emptying > 0 {
		return true
	}
	g.reserved, ok = g.victim(p)
	return ok
}

// victim returns the adapter to evict: one that no waiting try is about to use, or else the reserved one while its permit is
// awaited or held. A refused permit ends the reservation, so that a try that has come for the victim is not held up for
// longer than one call.
func (g *Gate) victim(p *loadPlan) (av ident.AdapterVersion, ok bool) {
	av, ok = g.slots.VictimExcept(g.now, func(av ident.AdapterVersion) bool { return p.awaited[av] })
	if ok {
		return av, true
	}
	wanted := g.permits.asked || g.permitsHeld() > 0
	idle := g.slots.State(p.former) == slots.Resident && g.slots.InUse(p.former) == 0
	if !wanted || !idle {
		return ident.AdapterVersion{}, false
	}
	return p.former, true
}

// makeRoom evicts for the planned loads if the unloads in flight are not enough. Nothing is evicted before there is a permit
// to use the slot.
func (g *Gate) makeRoom(p *loadPlan) (ok bool) {
	if p.emptying >= len(p.planned) {
		return true
	}
	av, ok := g.victim(p)
	if ok {
		g.evict(av)
		p.emptying++
	}
	return ok
}

func (g *Gate) permitsHeld() int {
	if !g.now.Before(g.permits.until) {
		g.permits.held = 0
	}
	return g.permits.held
}

func (g *Gate) takePermit() bool {
	if g.permitsHeld() == 0 {
		return false
	}
	g.permits.held--
	return true
}

// askPermits asks for the load with the most stalled work alone: another one has another place among all engines' loads.
func (g *Gate) askPermits(stalled float64) {
	p := &g.permits
	if p.asked {
		return
	}
	if g.now.Before(p.retry) {
		g.wake(p.retry)
		return
	}
	p.asked = true
	g.emit(AskPermits{Wanted: 1, Stalled: time.Duration(stalled * float64(time.Second))})
}

func (g *Gate) permitted(p Permits) {
	g.permits.asked = false
	g.permits.held, g.permits.until = p.Granted, p.Until
	g.permits.likely = g.now.Add(p.Wait)
	if p.Granted == 0 {
		g.permits.retry = g.now.Add(g.PermitRetry)
	}
}

// unloads returns the number of slots that are about to become free.
func (g *Gate) unloads() (n int) {
	g.slots.Each(func(_ ident.AdapterVersion, s slots.State, _ int) {
		if s == slots.Unloading {
			n++
		}
	})
	return n
}

func (g *Gate) evict(av ident.AdapterVersion) {
	if !g.slots.BeginUnload(av) {
		return
	}
	g.record(av).unloading = true
}

// planUnloads sends the unloads that are needed and not in flight.
func (g *Gate) planUnloads() {
	if g.blocked() {
		return
	}
	var list []ident.AdapterVersion
	g.slots.Each(func(av ident.AdapterVersion, s slots.State, _ int) {
		if s != slots.Resident && g.record(av).unloading {
			list = append(list, av)
		}
	})
	sortAdapters(list)
	for _, av := range list {
		a := g.adapters[av]
		if g.now.Before(a.unloadAt) {
			g.wake(a.unloadAt)
			continue
		}
		g.unload(av, a)
	}
}

func (g *Gate) unload(av ident.AdapterVersion, a *adapter) {
	a.unloading = false
	if v, ok := g.checkUnload(av); !ok {
		g.violate(v)
		return
	}
	g.number++
	g.orders[g.number] = &order{adapter: av}
	g.emit(Unload{Number: g.number, Adapter: av})
}

func (g *Gate) loadEnded(e LoadEnded) {
	o, ok := g.orders[e.Number]
	if !ok || !o.load {
		return
	}
	delete(g.orders, e.Number)
	g.changes++
	g.emit(ReturnPermit{})
	if o.stale {
		return
	}
	a := g.record(o.adapter)
	if !e.Failed && e.Digest == o.digest {
		g.slots.Loaded(g.now, o.adapter)
		g.queue.Loaded(g.now, o.adapter)
		*a = adapter{digest: e.Digest}
		return
	}
	a.detail = e.Detail
	if !e.Failed {
		a.detail = "the engine lists another digest than the declared one"
	}
	g.backOff(o.adapter, a)
	if e.NoEffect {
		g.slots.Drop(o.adapter)
		return
	}
	// The load may still take effect, so the slot stays taken until an unload is confirmed.
	a.unloading = true
}

// backOff sets the time of the next load; after the last attempt the tries that wait for the adapter are returned.
func (g *Gate) backOff(av ident.AdapterVersion, a *adapter) {
	if a.attempts < g.LoadAttempts {
		a.notBefore = g.now.Add(g.LoadBackoff << (a.attempts - 1))
		return
	}
	a.attempts, a.broken = 0, true
	a.notBefore = g.now.Add(g.FailingFor)
	g.returnWaiting(outcome.LoadFailed, func(t *try) bool { return t.Adapter == av })
}

func (g *Gate) unloadEnded(e UnloadEnded) {
	o, ok := g.orders[e.Number]
	if !ok || o.load {
		return
	}
	delete(g.orders, e.Number)
	g.changes++
	if o.stale {
		return
	}
	a := g.record(o.adapter)
	if e.Failed {
		a.unloading = true
		a.unloadAt = g.now.Add(g.LoadBackoff)
		a.quarantine = g.now.Add(g.Quarantine)
		a.notBefore = later(a.notBefore, a.quarantine)
		return
	}
	g.slots.Drop(o.adapter)
	a.digest = ""
	if a.attempts == 0 && !a.broken && !g.now.Before(a.notBefore) {
		delete(g.adapters, o.adapter)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
