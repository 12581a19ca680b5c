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
	// digest is the digest that the engine lists for a resident adapter.
	digest string
	// loadAttempts counts the loads since the adapter was last resident or marked as failing.
	loadAttempts  int
	loadNotBefore time.Time
	// exhausted is set after the last load attempt has failed.
	exhausted     bool
	failureDetail string
	// unloadPending is set while an unload is to be sent, though not before unloadNotBefore.
	unloadPending   bool
	unloadNotBefore time.Time
	// unanswered is set while a load that was not answered may still take effect; from refuseAt on, tries do not wait for that.
	unanswered bool
	refuseAt   time.Time
	// quarantineUntil is the time until which an unload with an unknown effect may still evict the adapter.
	quarantineUntil time.Time
}

func (a *adapter) failing(now time.Time) bool { return a.exhausted && now.Before(a.loadNotBefore) }

// order is one load or unload in flight.
type order struct {
	adapter ident.AdapterVersion
	digest  string
	load    bool
	sentAt  time.Time
	// startID is the process of the engine that got the order.
	startID ident.StartID
	// stale is set once the view of the engine has been reset since the order was sent.
	stale bool
}

// permitState holds the load permits and the request for more of them.
type permitState struct {
	held      int
	expiry    time.Time
	requested bool
	retryAt   time.Time
	// expectedAt is the time at which the holder of the budget expects to have a permit for one more load.
	expectedAt time.Time
}

// loadPlan is the state of one pass that plans loads for the waiting tries.
type loadPlan struct {
	// missing holds the adapters that tries wait for and that are not resident with the declared weights, with these weights.
	missing map[ident.AdapterVersion]Declaration
	// awaited holds the resident adapters that waiting tries are about to use.
	awaited map[ident.AdapterVersion]bool
	// planned holds the loads that have a permit and wait for an unload.
	planned map[ident.AdapterVersion]bool
	// unloadingSlots is the number of slots that an unload is about to free.
	unloadingSlots int
	// previousVictim is the adapter that was reserved for eviction before this step.
	previousVictim ident.AdapterVersion
}

// adapterRecord returns the record of an adapter and creates it if there is none.
func (g *Gate) adapterRecord(av ident.AdapterVersion) *adapter {
	a, ok := g.adapters[av]
	if !ok {
		a = &adapter{}
		g.adapters[av] = a
	}
	return a
}

// newLoadPlan collects the adapters that the waiting tries need; a try whose key is used by another try needs none.
func (g *Gate) newLoadPlan() (p loadPlan) {
	p.missing = make(map[ident.AdapterVersion]Declaration)
	p.awaited = make(map[ident.AdapterVersion]bool)
	p.planned = make(map[ident.AdapterVersion]bool)
	p.unloadingSlots = g.countUnloading()
	g.queue.Each(func(it admission.Item) {
		t := g.tries[it.ID]
		if t == nil || (t.Key != "" && g.keyUsed(t.Run)) {
			return
		}
		if g.resident(t.Run) {
			p.awaited[it.Adapter] = true
		} else if _, ok := p.missing[it.Adapter]; !ok {
			p.missing[it.Adapter] = t.Declaration
		}
	})
	return p
}

// resident reports whether the adapter of a try is loaded with the declared weights.
func (g *Gate) resident(r Run) bool {
	return g.slots.State(r.Adapter) == slots.Resident && g.adapters[r.Adapter].digest == r.Declaration.Digest
}

// loadWait returns the expected time until the adapter of a new try is resident.
func (g *Gate) loadWait(r Run) time.Duration {
	switch {
	case g.Service || g.resident(r):
		return 0
	case g.slots.State(r.Adapter) == slots.Loading:
		return g.LoadTime
	}
	return max(g.permits.expectedAt.Sub(g.now), 0) + g.LoadTime
}

func (g *Gate) planLoads() {
	previous := g.reservedVictim
	g.reservedVictim = ident.AdapterVersion{}
	if g.takeoverPending() || g.graceExpired() {
		return
	}
	p := g.newLoadPlan()
	p.previousVictim = previous
	for av := range p.missing {
		a := g.adapterRecord(av)
		switch g.slots.State(av) {
		case slots.Resident: // with a digest other than the declared one
			g.evict(av)
			p.unloadingSlots = g.countUnloading()
		case slots.Absent:
			if g.now.Before(a.loadNotBefore) {
				g.wakeBy(a.loadNotBefore)
			}
		case slots.Loading:
			g.refuseUnanswered(av, a)
		case slots.Unloading:
		}
	}
	for g.planLoad(&p) {
	}
}

// planLoad starts or prepares the load with the most stalled work; it reports whether another one may follow.
func (g *Gate) planLoad(p *loadPlan) (more bool) {
	av, stalled, ok := g.queue.NextLoad(g.now, func(av ident.AdapterVersion) bool {
		_, missing := p.missing[av]
		return missing && !p.planned[av] && g.slots.State(av) == slots.Absent && !g.now.Before(g.adapterRecord(av).loadNotBefore)
	})
	if !ok {
		return false
	}
	if held := g.permitsHeld(); held <= len(p.planned) {
		if held == 0 && g.reserveVictim(p) {
			g.requestPermit(stalled)
		}
		return false
	}
	if g.slots.Free() > 0 {
		return g.sendLoad(av, p.missing[av])
	}
	p.planned[av] = true
	return g.makeRoom(p)
}

func (g *Gate) sendLoad(av ident.AdapterVersion, declared Declaration) (started bool) {
	if !g.takePermit() || !g.slots.BeginLoad(g.now, av) {
		return false
	}
	g.adapterRecord(av).loadAttempts++
	g.lastNumber++
	g.orders[g.lastNumber] = &order{adapter: av, digest: declared.Digest, load: true, sentAt: g.now, startID: g.startID}
	g.emit(Load{Number: g.lastNumber, Incarnation: g.Incarnation, Adapter: av, Path: declared.Path, Digest: declared.Digest})
	return true
}

// reserveVictim chooses the adapter to evict for the load that a permit is requested for. It reports false if no slot can be
// freed, so that no permit is held for a load that cannot start. No try starts on the reserved adapter, because the load would
// lose its slot.
func (g *Gate) reserveVictim(p *loadPlan) (ok bool) {
	if g.slots.Free()+p.unloadingSlots > 0 {
		return true
	}
	g.reservedVictim, ok = g.victim(p)
	return ok
}

// victim returns the adapter to evict: one that no waiting try is about to use, or else the reserved one while its permit is
// requested or held. A refused permit ends the reservation, so that a try for the reserved adapter waits for one permit
// request at most.
func (g *Gate) victim(p *loadPlan) (av ident.AdapterVersion, ok bool) {
	av, ok = g.slots.VictimExcept(g.now, func(av ident.AdapterVersion) bool { return p.awaited[av] })
	if ok {
		return av, true
	}
	pending := g.permits.requested || g.permitsHeld() > 0
	idle := g.slots.State(p.previousVictim) == slots.Resident && g.slots.InUse(p.previousVictim) == 0
	if !pending || !idle {
		return ident.AdapterVersion{}, false
	}
	return p.previousVictim, true
}

// makeRoom evicts adapters if the slots being unloaded are too few for the planned loads: one for each load, and more after the
// number of slots has been lowered. Nothing is evicted before there is a permit to use the slot.
func (g *Gate) makeRoom(p *loadPlan) (ok bool) {
	for g.slots.Free()+p.unloadingSlots < len(p.planned) {
		av, ok := g.victim(p)
		if !ok {
			return false
		}
		g.evict(av)
		p.unloadingSlots++
	}
	return true
}

func (g *Gate) permitsHeld() int {
	if !g.now.Before(g.permits.expiry) {
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

// requestPermit requests a permit for the load with the most stalled work only: another load has its own priority among the
// loads of all engines.
func (g *Gate) requestPermit(stalled float64) {
	p := &g.permits
	if p.requested {
		return
	}
	if g.now.Before(p.retryAt) {
		g.wakeBy(p.retryAt)
		return
	}
	p.requested = true
	g.emit(RequestPermits{Wanted: 1, Stalled: time.Duration(stalled * float64(time.Second))})
}

func (g *Gate) applyPermits(p Permits) {
	g.permits.requested = false
	g.permits.held, g.permits.expiry = p.Granted, p.Until
	g.permits.expectedAt = g.now.Add(p.Wait)
	if p.Granted == 0 {
		g.permits.retryAt = g.now.Add(g.PermitRetryInterval)
	}
}

// countUnloading returns the number of slots whose adapter is being unloaded.
func (g *Gate) countUnloading() (n int) {
	g.slots.Each(func(_ ident.AdapterVersion, s slots.State, _ int) {
		if s == slots.Unloading {
			n++
		}
	})
	return n
}

// evict marks a resident adapter for an unload, which planUnloads sends.
func (g *Gate) evict(av ident.AdapterVersion) {
	if !g.slots.BeginUnload(av) {
		return
	}
	g.adapterRecord(av).unloadPending = true
}

// planUnloads sends the unloads that are needed and not in flight.
func (g *Gate) planUnloads() {
	if g.takeoverPending() {
		return
	}
	var list []ident.AdapterVersion
	g.slots.Each(func(av ident.AdapterVersion, s slots.State, _ int) {
		if s != slots.Resident && g.adapterRecord(av).unloadPending {
			list = append(list, av)
		}
	})
	sortAdapters(list)
	for _, av := range list {
		a := g.adapters[av]
		if g.now.Before(a.unloadNotBefore) {
			g.wakeBy(a.unloadNotBefore)
			continue
		}
		g.sendUnload(av, a)
	}
}

func (g *Gate) sendUnload(av ident.AdapterVersion, a *adapter) {
	a.unloadPending, a.unanswered = false, false
	if v, ok := g.checkUnload(av); !ok {
		g.reportViolation(v)
		return
	}
	g.lastNumber++
	g.orders[g.lastNumber] = &order{adapter: av}
	g.emit(Unload{Number: g.lastNumber, Incarnation: g.Incarnation, Adapter: av})
}

func (g *Gate) loadEnded(e LoadEnded) {
	o, ok := g.orders[e.Number]
	if !ok || !o.load {
		return
	}
	delete(g.orders, e.Number)
	g.viewVersion++
	g.emit(ReturnPermit{})
	if o.stale {
		if e.Unanswered && o.startID == g.startID {
			g.slots.Reserve(g.now, o.adapter)
			g.holdUnanswered(o)
		}
		return
	}
	a := g.adapterRecord(o.adapter)
	if !e.Failed && e.Digest == o.digest {
		g.slots.Loaded(g.now, o.adapter)
		g.queue.Loaded(g.now, o.adapter)
		*a = adapter{digest: e.Digest}
		return
	}
	a.failureDetail = e.Detail
	if !e.Failed {
		a.failureDetail = "the engine lists another digest than the declared one"
	}
	g.backOff(o.adapter, a)
	if e.NoEffect {
		g.slots.Drop(o.adapter)
		return
	}
	// The load may still take effect, so the slot stays taken until an unload is confirmed.
	a.unloadPending = true
	if e.Unanswered {
		g.holdUnanswered(o)
	}
}

// backOff sets the time of the next load; after the last attempt the tries that wait for the adapter are refused.
func (g *Gate) backOff(av ident.AdapterVersion, a *adapter) {
	if a.loadAttempts < g.MaxLoadAttempts {
		a.loadNotBefore = g.now.Add(g.LoadBackoff << (a.loadAttempts - 1))
		return
	}
	a.loadAttempts, a.exhausted = 0, true
	a.loadNotBefore = g.now.Add(g.FailingDuration)
	g.returnWaiting(outcome.LoadFailed, func(t *try) bool { return t.Adapter == av })
}

func (g *Gate) unloadEnded(e UnloadEnded) {
	o, ok := g.orders[e.Number]
	if !ok || o.load {
		return
	}
	delete(g.orders, e.Number)
	g.viewVersion++
	if o.stale {
		return
	}
	a := g.adapterRecord(o.adapter)
	if e.Failed {
		a.unloadPending = true
		a.unloadNotBefore = g.now.Add(g.LoadBackoff)
		a.quarantineUntil = g.now.Add(g.QuarantineDuration)
		a.loadNotBefore = later(a.loadNotBefore, a.quarantineUntil)
		return
	}
	g.slots.Drop(o.adapter)
	a.digest = ""
	if a.loadAttempts == 0 && !a.exhausted && !g.now.Before(a.loadNotBefore) {
		delete(g.adapters, o.adapter)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
