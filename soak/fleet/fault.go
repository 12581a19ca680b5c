package fleet

import (
	"time"

	"shallotring.dev/soak/store"
)

// startFaults causes random faults at random times; they can overlap and repeat.
func (f *Fleet) startFaults() {
	var kinds []FaultKind
	for _, k := range FaultKinds {
		if f.options.enabled(k) && f.injector(k) != nil {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return
	}
	var next func()
	next = func() {
		if f.faultsStopped {
			return
		}
		k := kinds[f.clock.Random().IntN(len(kinds))]
		n := 1
		if f.clock.Chance(200) {
			n = 2
		}
		for range n {
			f.faultCount++
			f.logEvent("fault", "%s", k)
			f.injector(k)()
		}
		f.clock.After(f.clock.Between(100*time.Millisecond, 3*time.Second), next)
	}
	f.clock.After(3*time.Second, next)
}

// injector returns the function that causes one fault; it is nil for kinds that the callers cause with their requests.
func (f *Fleet) injector(k FaultKind) func() {
	switch k {
	case KillAgent:
		return func() { f.killAgent(f.randomEndpoint()) }
	case KillEntry:
		return f.killEntry
	case RestartEngine:
		return func() { f.randomEndpoint().backend.Start() }
	case StopEngine:
		return func() { f.stopEngine(f.randomEndpoint()) }
	case CutConnections:
		return func() { f.setTemporarily(&f.badNetwork, 4*time.Second) }
	case Pause:
		return f.pauseRandomProcess
	case PauseAtSend:
		return f.pauseAtSend
	case StoreDown:
		return f.storeDown
	case StoreSlow:
		return func() { f.setTemporarily(&f.store.Slow, 8*time.Second) }
	case StoreLosesResponses:
		return func() { f.setTemporarily(&f.store.LosesResponses, 6*time.Second) }
	case StoreCutOff:
		return f.cutOffRandomProcess
	case WatchGaps:
		return func() { f.setTemporarily(&f.watchGaps, 6*time.Second) }
	case ExpireLease:
		return f.expireLease
	case FailLoads:
		return func() { f.setTemporarily(&f.failLoads, 6*time.Second) }
	case SlowWeights:
		return func() { f.setTemporarily(&f.slowWeights, 8*time.Second) }
	case BadFrames:
		return func() { f.setTemporarily(&f.badFrames, 4*time.Second) }
	case StaleReports:
		return func() { f.setTemporarily(&f.staleReports, 6*time.Second) }
	case StaleHosts:
		return func() { f.setTemporarily(&f.staleHosts, 6*time.Second) }
	case Operators:
		return f.changeRandomAdapter
	case RollingRestart:
		return f.rollingRestart
	case DrainEndpoint:
		return func() { f.drainEndpoint(f.randomEndpoint()) }
	}
	return nil
}

// setTemporarily sets a condition for a random time; if it is set already, its end does not change.
func (f *Fleet) setTemporarily(on *bool, maxDuration time.Duration) {
	if *on {
		return
	}
	*on = true
	f.clock.After(f.clock.Between(200*time.Millisecond, maxDuration), func() { *on = false })
}

// killAgent crashes an agent; its successor starts at the same or at a new address.
func (f *Fleet) killAgent(s *endpoint) {
	a := f.randomLiveAgent(s)
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
	if e.exited || e.leaving {
		return
	}
	list := e.exchanges
	e.crash()
	f.callers.handleEntryCrash(list)
	f.clock.After(f.clock.Between(0, 2*time.Second), func() { f.startEntry() })
	f.removeEnded()
}

func (f *Fleet) stopEngine(s *endpoint) {
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

// pauseRandomProcess pauses a process, often past the end of its lease; a second agent may start beside a paused one.
func (f *Fleet) pauseRandomProcess() {
	duration := f.clock.Between(50*time.Millisecond, 3*time.Second)
	if f.clock.Chance(400) {
		duration = f.clock.Between(8*time.Second, 25*time.Second)
	}
	if f.clock.Chance(300) {
		if e := f.randomEntry(); e != nil && !e.paused() {
			e.pause(duration)
		}
		return
	}
	s := f.randomEndpoint()
	if a := f.randomLiveAgent(s); a != nil && !a.paused() {
		a.pause(duration)
		f.startSuccessor(s, duration)
	}
}

// pauseAtSend pauses an agent between the check of its claim and the send of its next order.
func (f *Fleet) pauseAtSend() {
	s := f.randomEndpoint()
	if a := f.randomLiveAgent(s); a != nil && !a.paused() {
		d := f.clock.Between(8*time.Second, 25*time.Second)
		if f.clock.Chance(500) {
			a.pauseAtNextOrder = d
			return
		}
		// The pause waits for an unload, which is rarer than other orders and does more harm when it arrives late.
		a.pauseAtNextUnload = d
	}
}

// startSuccessor often starts a second agent beside one that is paused or cut off for so long that its lease can expire.
func (f *Fleet) startSuccessor(s *endpoint, d time.Duration) {
	if d > leaseDuration-keepAliveInterval && len(f.liveAgents(s)) < 3 && f.clock.Chance(800) {
		f.clock.After(f.clock.Between(0, 5*time.Second), func() { f.startAgent(s, "") })
	}
}

func (f *Fleet) storeDown() {
	if !f.store.Unavailable {
		f.store.StartOutage(f.clock.Between(500*time.Millisecond, 15*time.Second))
	}
}

// cutOffRandomProcess cuts a process off from the key-value service, often until its leases have expired while it continues
// to run.
func (f *Fleet) cutOffRandomProcess() {
	d := f.clock.Between(time.Second, 25*time.Second)
	until := f.clock.Now().Add(d)
	if f.clock.Chance(300) {
		if e := f.randomEntry(); e != nil {
			e.storeCutOffUntil = until
		}
		return
	}
	s := f.randomEndpoint()
	if a := f.randomLiveAgent(s); a != nil {
		f.logEvent(string(s.name), "%s cannot reach the key-value service for %s", a.id, d)
		a.storeCutOffUntil = until
		f.startSuccessor(s, d)
	}
}

// expireLease ends a lease at the service as if its keep-alives had not arrived for its whole time; agents of endpoints
// that ignore fencing numbers are exempt, because their lease cannot end before they have stopped.
func (f *Fleet) expireLease() {
	s := f.randomEndpoint()
	a := f.randomLiveAgent(s)
	if a == nil || !a.claim.held || !a.claim.fencingChecked() {
		return
	}
	lease := a.claim.lease
	f.store.Call(storeTimeout, func() { f.store.Revoke(lease) }, func(store.Status) {})
}

// changeRandomAdapter makes one operator change an adapter, or two operators concurrently.
func (f *Fleet) changeRandomAdapter() {
	name := f.randomAdapter()
	f.changeAdapter(f.operators[0], name)
	if f.clock.Chance(500) {
		f.clock.After(f.clock.Between(0, 30*time.Millisecond), func() { f.changeAdapter(f.operators[1], name) })
	}
}

// drainEndpoint marks an endpoint as leaving in its resource and removes the mark later.
func (f *Fleet) drainEndpoint(s *endpoint) {
	f.changeEndpoint(f.operators[0], s.name, true)
	f.clock.After(f.clock.Between(4*time.Second, 12*time.Second), func() { f.changeEndpoint(f.operators[1], s.name, false) })
}

// rollingRestart stops the agent of each endpoint in turn as planned, and then one entry.
func (f *Fleet) rollingRestart() {
	if f.rolling {
		return
	}
	f.rolling = true
	f.rollEndpoint(0)
}

func (f *Fleet) rollEndpoint(i int) {
	if f.faultsStopped || i == len(f.endpoints) {
		f.rollEntry()
		return
	}
	next := func() {
		f.clock.After(f.clock.Between(100*time.Millisecond, time.Second), func() { f.rollEndpoint(i + 1) })
	}
	a := f.randomLiveAgent(f.endpoints[i])
	if a == nil || a.stopping {
		next()
		return
	}
	proceeded := false
	proceed := func() {
		if !proceeded {
			proceeded = true
			next()
		}
	}
	f.clock.After(30*time.Second, proceed) // the agent may crash or be paused meanwhile
	a.stop(proceed)
}

func (f *Fleet) rollEntry() {
	f.rolling = false
	e := f.randomEntry()
	if e == nil || f.readyEntryCount() < 2 {
		return
	}
	f.clock.After(f.clock.Between(0, time.Second), func() { f.startEntry() })
	e.stop(func() { f.removeEnded() })
}
