package fleet

import (
	"time"

	"shallotring.dev/soak/store"
)

// startFaults lets faults occur at random times, so that they overlap and repeat.
func (f *Fleet) startFaults() {
	var kinds []Kind
	for _, k := range Kinds {
		if f.options.on(k) && f.inject(k) != nil {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return
	}
	var next func()
	next = func() {
		if f.calm {
			return
		}
		k := kinds[f.clock.Random().IntN(len(kinds))]
		n := 1
		if f.clock.Chance(200) {
			n = 2
		}
		for range n {
			f.faults++
			f.note("fault", "%s", k)
			f.inject(k)()
		}
		f.clock.After(f.clock.Between(100*time.Millisecond, 3*time.Second), next)
	}
	f.clock.After(3*time.Second, next)
}

// inject returns the function that causes one fault; nil for kinds that the traffic itself carries.
func (f *Fleet) inject(k Kind) func() {
	switch k {
	case KillAgent:
		return func() { f.killAgent(f.anySite()) }
	case KillEntry:
		return f.killEntry
	case RestartEngine:
		return func() { f.anySite().backend.Start() }
	case StopEngine:
		return func() { f.stopEngine(f.anySite()) }
	case CutConnections:
		return func() { f.during(&f.badNetwork, 4*time.Second) }
	case Pause:
		return f.pauseAny
	case PauseAtSend:
		return f.pauseAtSend
	case StoreDown:
		return f.storeDown
	case StoreSlow:
		return func() { f.during(&f.store.Slow, 8*time.Second) }
	case StoreLoses:
		return func() { f.during(&f.store.LosesAnswers, 6*time.Second) }
	case StoreCutOff:
		return f.cutOffAny
	case WatchGaps:
		return func() { f.during(&f.watchGaps, 6*time.Second) }
	case ExpireLease:
		return f.expireLease
	case FailLoads:
		return func() { f.during(&f.failLoads, 6*time.Second) }
	case SlowWeights:
		return func() { f.during(&f.slowWeights, 8*time.Second) }
	case BadFrames:
		return func() { f.during(&f.badFrames, 4*time.Second) }
	case StaleReports:
		return func() { f.during(&f.staleReports, 6*time.Second) }
	case StaleHosts:
		return func() { f.during(&f.staleHosts, 6*time.Second) }
	case Operators:
		return f.operate
	case Rolling:
		return f.roll
	case Leave:
		return func() { f.leaveSite(f.anySite()) }
	}
	return nil
}

// during sets a condition for a random time; a condition that is on already stays on for its own time.
func (f *Fleet) during(on *bool, most time.Duration) {
	if *on {
		return
	}
	*on = true
	f.clock.After(f.clock.Between(200*time.Millisecond, most), func() { *on = false })
}

// killAgent ends an agent; its successor starts at the same or at a new address.
func (f *Fleet) killAgent(s *site) {
	a := f.liveAgent(s)
	if a == nil || a.stopping {
		return
	}
	a.crash()
	address := ""
	if f.clock.Chance(500) {
		address = a.address
	}
	f.clock.After(f.clock.Between(0, 3*time.Second), func() { f.startAgent(s, address) })
}

func (f *Fleet) killEntry() {
	if len(f.entries) == 0 {
		return
	}
	e := f.entries[f.clock.Random().IntN(len(f.entries))]
	if e.dead || e.leaving {
		return
	}
	list := e.exchanges
	e.crash()
	f.callers.broken(list)
	f.clock.After(f.clock.Between(0, 2*time.Second), func() { f.startEntry() })
	f.sweep()
}

func (f *Fleet) stopEngine(s *site) {
	if s.down {
		return
	}
	s.down = true
	s.backend.Start()
	f.clock.After(f.clock.Between(100*time.Millisecond, 4*time.Second), func() {
		s.backend.Start()
		s.down = false
	})
}

// pauseAny pauses a process, often past its lease; beside a paused agent a second one may start.
func (f *Fleet) pauseAny() {
	d := f.clock.Between(50*time.Millisecond, 3*time.Second)
	if f.clock.Chance(400) {
		d = f.clock.Between(8*time.Second, 25*time.Second)
	}
	if f.clock.Chance(300) {
		if e := f.anyEntry(); e != nil && !e.paused() {
			e.pause(d)
		}
		return
	}
	s := f.anySite()
	if a := f.liveAgent(s); a != nil && !a.paused() {
		a.pause(d)
		f.succeed(s, d)
	}
}

// pauseAtSend pauses an agent between the check of its claim and the send of its next order.
func (f *Fleet) pauseAtSend() {
	s := f.anySite()
	if a := f.liveAgent(s); a != nil && !a.paused() {
		d := f.clock.Between(8*time.Second, 25*time.Second)
		if f.clock.Chance(500) {
			a.pauseNext = d
			return
		}
		// The schedule waits for an unload, which is rarer than other orders and does more harm when it is late.
		a.pauseUnload = d
	}
}

func (f *Fleet) succeed(s *site, d time.Duration) {
	if d > leaseTime-keepAlive && len(f.liveAgents(s)) < 3 && f.clock.Chance(800) {
		f.clock.After(f.clock.Between(0, 5*time.Second), func() { f.startAgent(s, "") })
	}
}

func (f *Fleet) storeDown() {
	if !f.store.Unavailable {
		f.store.Outage(f.clock.Between(500*time.Millisecond, 15*time.Second))
	}
}

// cutOffAny cuts a process off from the key-value service, often until its leases have expired while it works on.
func (f *Fleet) cutOffAny() {
	d := f.clock.Between(time.Second, 25*time.Second)
	until := f.clock.Now().Add(d)
	if f.clock.Chance(300) {
		if e := f.anyEntry(); e != nil {
			e.cutOff = until
		}
		return
	}
	s := f.anySite()
	if a := f.liveAgent(s); a != nil {
		f.note(string(s.name), "%s is cut off from the store for %s", a.id, d)
		a.cutOff = until
		f.succeed(s, d)
	}
}

// expireLease ends a lease at the service as if its keep-alives had not arrived for its whole time; agents of endpoints
// that ignore fencing numbers are exempt, because their lease cannot end before they have stopped.
func (f *Fleet) expireLease() {
	s := f.anySite()
	a := f.liveAgent(s)
	if a == nil || !a.claim.held || !a.claim.fenced() {
		return
	}
	lease := a.claim.lease
	f.store.Call(storeCall, func() { f.store.Revoke(lease) }, func(store.Status) {})
}

// operate lets one operator change an adapter, or two race for it.
func (f *Fleet) operate() {
	name := f.anyAdapter()
	f.changeAdapter(f.operators[0], name)
	if f.clock.Chance(500) {
		f.clock.After(f.clock.Between(0, 30*time.Millisecond), func() { f.changeAdapter(f.operators[1], name) })
	}
}

// leaveSite drains an endpoint by its resource and takes it back later.
func (f *Fleet) leaveSite(s *site) {
	f.changeEndpoint(f.operators[0], s.name, true)
	f.clock.After(f.clock.Between(4*time.Second, 12*time.Second), func() { f.changeEndpoint(f.operators[1], s.name, false) })
}

// roll replaces every host in turn by planned stops.
func (f *Fleet) roll() {
	if f.rolling {
		return
	}
	f.rolling = true
	f.rollSite(0)
}

func (f *Fleet) rollSite(i int) {
	if f.calm || i == len(f.sites) {
		f.rollEntry()
		return
	}
	next := func() {
		f.clock.After(f.clock.Between(100*time.Millisecond, time.Second), func() { f.rollSite(i + 1) })
	}
	a := f.liveAgent(f.sites[i])
	if a == nil || a.stopping {
		next()
		return
	}
	once := false
	step := func() {
		if !once {
			once = true
			next()
		}
	}
	f.clock.After(30*time.Second, step) // the host's agent may be killed or paused meanwhile
	a.stop(step)
}

func (f *Fleet) rollEntry() {
	f.rolling = false
	e := f.anyEntry()
	if e == nil || f.readyEntries() < 2 {
		return
	}
	f.clock.After(f.clock.Between(0, time.Second), func() { f.startEntry() })
	e.stop(func() { f.sweep() })
}
