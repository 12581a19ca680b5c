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
}

// demand is the work that waits for one absent adapter.
type demand struct {
	adapter ident.AdapterVersion
	known   Known
	stalled time.Duration
}

func (g *Gate) record(av ident.AdapterVersion) *adapter {
	a, ok := g.adapters[av]
	if !ok {
		a = &adapter{}
		g.adapters[av] = a
	}
	return a
}

// demands returns the absent adapters that tries wait for, the one with the most stalled work first.
// Summed waiting time ages by itself, so an adapter with few requests is not passed over for ever.
func (g *Gate) demands() (list []demand) {
	index := make(map[ident.AdapterVersion]int)
	g.queue.Each(func(it admission.Item) {
		t := g.tries[it.ID]
		if t == nil || (t.Key != "" && g.keyUsed(t.Run)) {
			return
		}
		g.slots.Demand(g.now, it.Adapter)
		if g.slots.State(it.Adapter) == slots.Resident && g.adapters[it.Adapter].digest == t.Known.Digest {
			return
		}
		i, ok := index[it.Adapter]
		if !ok {
			i = len(list)
			index[it.Adapter] = i
			list = append(list, demand{adapter: it.Adapter, known: t.Known})
		}
		list[i].stalled += g.now.Sub(it.Arrived) + time.Millisecond
	})
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && list[j].stalled > list[j-1].stalled; j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list
}

func (g *Gate) planLoads() {
	if g.blocked() || g.pastGrace() {
		return
	}
	wanted := 0
	for _, d := range g.demands() {
		a := g.record(d.adapter)
		switch g.slots.State(d.adapter) {
		case slots.Resident: // another digest than the declared one
			g.evict(d.adapter)
			continue
		case slots.Loading, slots.Unloading:
			continue
		case slots.Absent:
		}
		if g.now.Before(a.notBefore) {
			g.wake(a.notBefore)
			continue
		}
		if g.slots.Free() <= 0 {
			if g.makeRoom(wanted) {
				wanted++
			}
			continue
		}
		wanted++
		g.load(d, a)
	}
	g.askPermits(wanted)
}

func (g *Gate) load(d demand, a *adapter) {
	if !g.takePermit() || !g.slots.BeginLoad(g.now, d.adapter) {
		return
	}
	a.attempts++
	g.number++
	g.orders[g.number] = &order{adapter: d.adapter, digest: d.known.Digest, load: true}
	g.emit(Load{Number: g.number, Adapter: d.adapter, Path: d.known.Path, Digest: d.known.Digest})
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

func (g *Gate) askPermits(wanted int) {
	p := &g.permits
	if wanted == 0 || p.asked || g.permitsHeld() > 0 {
		return
	}
	if g.now.Before(p.retry) {
		g.wake(p.retry)
		return
	}
	p.asked = true
	g.emit(AskPermits{Wanted: wanted})
}

func (g *Gate) permitted(p Permits) {
	g.permits.asked = false
	g.permits.held, g.permits.until = p.Granted, p.Until
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

// makeRoom evicts for one more load if the unloads in flight are not enough; it reports false if no slot can be made free,
// so that no permit is held for a load that cannot begin. Nothing is evicted before there is a permit to use the slot.
func (g *Gate) makeRoom(wanted int) bool {
	n := g.unloads()
	if n > wanted {
		return true
	}
	av, ok := g.slots.Victim(g.now)
	if ok && n < g.permitsHeld() {
		g.evict(av)
	}
	return ok
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
