package fleet

import (
	"time"

	"shallotring.dev/protocol/engine"
	"shallotring.dev/soak/backend"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/resource"
)

// send checks the claim, lets the time between check and send pass, and hands the order to the network. It calls arrive
// at the endpoint, and effect at the agent if the connection fails.
func (a *agent) send(arrive func(o backend.Order), failed func(engine.Effect)) {
	f := a.fleet
	if !a.claim.allows() {
		a.later(0, func() { failed(engine.NoEffect) })
		return
	}
	o := backend.Order{Incarnation: a.claim.incarnation, Sender: a.id, Checked: f.clock.Now()}
	if a.pauseNext > 0 {
		d := a.pauseNext
		a.pauseNext = 0
		f.clock.After(0, func() { a.pause(d) })
		f.succeed(a.site, d)
	}
	a.later(f.clock.Between(time.Microsecond, time.Millisecond), func() {
		o.Sent = f.clock.Now()
		o.Paused = o.Sent.Sub(o.Checked) > time.Second
		a.transmit(o, arrive, failed)
	})
}

func (a *agent) transmit(o backend.Order, arrive func(o backend.Order), failed func(engine.Effect)) {
	f := a.fleet
	delay := f.latency()
	switch x := f.fate(); {
	case x == cutBefore || a.site.down:
		a.later(f.latency(), func() { failed(engine.NoEffect) })
		return
	case x == cutVanished:
		a.later(f.clock.Between(0, time.Second), func() { failed(engine.MayHaveEffect) })
		return
	case x == cutLate:
		a.later(f.latency(), func() { failed(engine.MayHaveEffect) })
		delay = f.clock.Between(0, lateBound)
	case x == cutAfter:
		a.later(f.clock.Between(0, time.Second), func() { failed(engine.MayHaveEffect) })
	}
	start := a.site.backend.StartID
	f.clock.After(delay, func() {
		// What is in the buffers of a process that has ended is gone.
		if !a.site.down && a.site.backend.StartID == start {
			arrive(o)
			return
		}
		a.later(f.latency(), func() { failed(engine.MayHaveEffect) })
	})
}

// reply is the answer of the endpoint to a command.
type reply struct {
	answer backend.Answer
	digest string
	start  ident.StartID
}

// command sends a command; done gets its answer, or its effect if there is none.
func (a *agent) command(timeout time.Duration, act func(o backend.Order, answer func(backend.Answer, string)), done func(r reply, e engine.Effect)) {
	once := false
	finish := func(r reply, e engine.Effect) {
		if once {
			return
		}
		once = true
		if r.start != "" {
			a.step(gate.StartIDObserved{StartID: r.start})
		}
		if e == engine.Done && r.answer == backend.Fenced {
			e = engine.NoEffect
			a.claim.invalidate()
		}
		if e == engine.Done && r.answer == backend.Failed {
			e = engine.MayHaveEffect
		}
		done(r, e)
	}
	a.later(timeout, func() { finish(reply{}, engine.MayHaveEffect) })
	a.send(func(o backend.Order) {
		start := a.site.backend.StartID
		act(o, func(x backend.Answer, digest string) {
			if a.site.backend.StartID != start {
				return // the process that got the command has ended
			}
			a.later(a.fleet.latency(), func() { finish(reply{answer: x, digest: digest, start: start}, engine.Done) })
		})
	}, func(e engine.Effect) { finish(reply{}, e) })
}

func (a *agent) load(x gate.Load) {
	a.fleet.log.Add([3]string{string(a.site.name), x.Adapter.String()}, "%s loads %s", a.id, x.Path)
	a.command(loadTimeout, func(o backend.Order, answer func(backend.Answer, string)) {
		a.site.backend.Load(o, x.Adapter, x.Path, answer)
	}, func(r reply, e engine.Effect) {
		a.fleet.log.Add([3]string{string(a.site.name), x.Adapter.String()}, "%s: load ends, effect %d", a.id, e)
		a.step(gate.LoadEnded{Number: x.Number, Digest: r.digest, Failed: e != engine.Done, NoEffect: e == engine.NoEffect})
	})
}

func (a *agent) unload(x gate.Unload) {
	a.fleet.log.Add([3]string{string(a.site.name), x.Adapter.String()}, "%s unloads", a.id)
	if a.pauseUnload > 0 {
		a.pauseNext, a.pauseUnload = a.pauseUnload, 0
	}
	a.command(unloadTimeout, func(o backend.Order, answer func(backend.Answer, string)) {
		answer(a.site.backend.Unload(o, x.Adapter), "")
	}, func(_ reply, e engine.Effect) {
		a.fleet.log.Add([3]string{string(a.site.name), x.Adapter.String()}, "%s: unload ends, effect %d", a.id, e)
		a.step(gate.UnloadEnded{Number: x.Number, Failed: e != engine.Done})
	})
}

func (a *agent) cancelAtEndpoint(name string) {
	a.command(listTimeout, func(o backend.Order, answer func(backend.Answer, string)) {
		answer(a.site.backend.Cancel(o, name), "")
	}, func(reply, engine.Effect) {})
}

// get reads from the endpoint; lists are read without a fencing number.
func (a *agent) get(read func(), done func(ok bool, start ident.StartID)) {
	once := false
	finish := func(ok bool, start ident.StartID) {
		if once {
			return
		}
		once = true
		if ok {
			a.step(gate.StartIDObserved{StartID: start})
		}
		done(ok, start)
	}
	a.later(listTimeout, func() { finish(false, "") })
	f := a.fleet
	if a.site.down || f.fate() != delivered {
		a.later(f.latency(), func() { finish(false, "") })
		return
	}
	f.clock.After(f.latency(), func() {
		read()
		start := a.site.backend.StartID
		a.later(f.latency(), func() { finish(true, start) })
	})
}

// survey reads the requests before the adapters, as daemon/agent does.
func (a *agent) survey(x gate.Survey) {
	result := gate.Surveyed{Number: x.Number}
	if !x.Fence {
		a.lists(result)
		return
	}
	a.command(listTimeout, func(o backend.Order, answer func(backend.Answer, string)) {
		answer(a.site.backend.Cancel(o, "fence"), "")
	}, func(_ reply, e engine.Effect) {
		if e != engine.Done {
			result.Failed = true
			a.step(result)
			return
		}
		a.lists(result)
	})
}

func (a *agent) lists(result gate.Surveyed) {
	a.get(func() { result.Running = a.site.backend.Running() }, func(ok bool, first ident.StartID) {
		if !ok {
			result.Failed = true
			a.step(result)
			return
		}
		a.get(func() { result.Models = a.site.backend.Models() }, func(ok bool, start ident.StartID) {
			result.StartID, result.Failed = start, !ok || first != start
			a.step(result)
		})
	})
}

// askPermits asks the entry that holds the load budget and falls back to the fixed share.
func (a *agent) askPermits(x gate.RequestPermits) {
	f := a.fleet
	asked := f.clock.Now()
	give := func(n int) { a.step(gate.Permits{Granted: n, Until: asked.Add(permit.Expiry)}) }
	holder := f.permitHolder()
	if holder == nil {
		a.later(f.latency(), func() { give(a.fixedShare()) })
		return
	}
	f.call(&a.process, &holder.process, 500*time.Millisecond, func(reply func(any)) {
		reply(holder.grant(a.site.name, x))
	}, func(answer any, s callStatus) {
		if s != answered {
			give(a.fixedShare())
			return
		}
		a.answered = f.clock.Now()
		give(answer.(int))
	})
}

func (a *agent) fixedShare() (n int) {
	now := a.clock().Now()
	if now.Sub(a.answered) < leaseTime {
		return 0
	}
	if a.share == nil {
		engines := 0
		for _, e := range a.set.Endpoints() {
			if e.Kind == resource.Engine {
				engines++
			}
		}
		a.share = permit.New(loadRate/float64(max(engines, 1)), 1, now)
	}
	if a.share.Take(now, a.site.name) {
		n = 1
	}
	return n
}

func (a *agent) returnPermit() {
	if a.share != nil {
		a.share.Done(a.site.name)
	}
	if holder := a.fleet.permitHolder(); holder != nil {
		a.fleet.call(&a.process, &holder.process, time.Second, func(func(any)) { holder.returned(a.site.name) }, func(any, callStatus) {})
	}
}
