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

// sendOrder checks the claim and sends an order of incarnation i to the endpoint after a short time, in which the agent may be paused. It
// calls arrive at the endpoint, or failed at the agent if the order is not sent or the connection fails.
func (a *agent) sendOrder(i ident.Incarnation, arrive func(o backend.Order), failed func(engine.Effect)) {
	f := a.fleet
	if !a.claim.allowsSend() {
		a.runAfter(0, func() { failed(engine.NoEffect) })
		return
	}
	o := backend.Order{Incarnation: i, Sender: a.id, Checked: f.clock.Now()}
	if a.pauseAtNextOrder > 0 {
		d := a.pauseAtNextOrder
		a.pauseAtNextOrder = 0
		f.clock.After(0, func() { a.pause(d) })
		f.startSuccessor(a.endpoint, d)
	}
	a.runAfter(f.clock.Between(time.Microsecond, time.Millisecond), func() {
		o.Sent = f.clock.Now()
		o.Paused = o.Sent.Sub(o.Checked) > time.Second
		a.transmit(o, arrive, failed)
	})
}

func (a *agent) transmit(o backend.Order, arrive func(o backend.Order), failed func(engine.Effect)) {
	f := a.fleet
	delay := f.latency()
	switch x := f.randomDelivery(); {
	case x == cutBeforeSend || a.endpoint.down:
		a.runAfter(f.latency(), func() { failed(engine.NoEffect) })
		return
	case x == cutAndLost:
		a.runAfter(f.clock.Between(0, time.Second), func() { failed(engine.MayHaveEffect) })
		return
	case x == cutThenDelivered:
		a.runAfter(f.latency(), func() { failed(engine.MayHaveEffect) })
		delay = f.clock.Between(0, maxLateDelivery)
	case x == cutResponse:
		a.runAfter(f.clock.Between(0, time.Second), func() { failed(engine.MayHaveEffect) })
	}
	startID := a.endpoint.backend.StartID
	f.clock.After(delay, func() {
		// A message in the buffers of a process is lost when the process exits.
		if !a.endpoint.down && a.endpoint.backend.StartID == startID {
			arrive(o)
			return
		}
		a.runAfter(f.latency(), func() { failed(engine.MayHaveEffect) })
	})
}

// commandResponse is the response of the endpoint to a command with a fencing number.
type commandResponse struct {
	fencingNumber ident.Incarnation

	result  backend.Result
	digest  string
	startID ident.StartID
}

// sendCommand sends a command as an order of incarnation i; done gets the response, or the possible effect of the command if there is no
// response.
func (a *agent) sendCommand(i ident.Incarnation, timeout time.Duration, run func(o backend.Order, respond func(backend.Result, string)), done func(r commandResponse, e engine.Effect)) {
	finished := false
	finish := func(r commandResponse, e engine.Effect) {
		if finished {
			return
		}
		finished = true
		if r.startID != "" {
			a.step(gate.StartIDObserved{StartID: r.startID})
		}
		if e == engine.Done && r.result == backend.Fenced {
			e = engine.NoEffect
			a.claim.invalidate(r.fencingNumber)
		}
		if e == engine.Done && r.result == backend.Failed {
			e = engine.MayHaveEffect
		}
		done(r, e)
	}
	a.runAfter(timeout, func() { finish(commandResponse{}, engine.MayHaveEffect) })
	a.sendOrder(i, func(o backend.Order) {
		startID := a.endpoint.backend.StartID
		run(o, func(x backend.Result, digest string) {
			if a.endpoint.backend.StartID != startID {
				return // the process that received the command has exited
			}
			a.runAfter(a.fleet.latency(), func() {
				finish(commandResponse{fencingNumber: o.Incarnation, result: x, digest: digest, startID: startID}, engine.Done)
			})
		})
	}, func(e engine.Effect) { finish(commandResponse{}, e) })
}

func (a *agent) load(x gate.Load) {
	a.fleet.log.Add([3]string{string(a.endpoint.name), x.Adapter.String()}, "%s starts to load %s", a.id, x.Path)
	a.sendCommand(x.Incarnation, a.gate.LoadTimeout, func(o backend.Order, respond func(backend.Result, string)) {
		a.endpoint.backend.Load(o, x.Adapter, x.Path, respond)
	}, func(r commandResponse, e engine.Effect) {
		a.fleet.log.Add([3]string{string(a.endpoint.name), x.Adapter.String()}, "%s: load ended, effect %d", a.id, e)
		a.step(gate.LoadEnded{Number: x.Number, Digest: r.digest, Failed: e != engine.Done, NoEffect: e == engine.NoEffect, Unanswered: e == engine.MayHaveEffect && r.startID == ""})
	})
}

func (a *agent) unload(x gate.Unload) {
	a.fleet.log.Add([3]string{string(a.endpoint.name), x.Adapter.String()}, "%s starts to unload the adapter", a.id)
	if a.pauseAtNextUnload > 0 {
		a.pauseAtNextOrder, a.pauseAtNextUnload = a.pauseAtNextUnload, 0
	}
	a.sendCommand(x.Incarnation, unloadTimeout, func(o backend.Order, respond func(backend.Result, string)) {
		respond(a.endpoint.backend.Unload(o, x.Adapter), "")
	}, func(_ commandResponse, e engine.Effect) {
		a.fleet.log.Add([3]string{string(a.endpoint.name), x.Adapter.String()}, "%s: unload ended, effect %d", a.id, e)
		a.step(gate.UnloadEnded{Number: x.Number, Failed: e != engine.Done})
	})
}

func (a *agent) cancelAtEndpoint(i ident.Incarnation, name string) {
	a.sendCommand(i, listTimeout, func(o backend.Order, respond func(backend.Result, string)) {
		respond(a.endpoint.backend.Cancel(o, name), "")
	}, func(commandResponse, engine.Effect) {})
}

// readEndpoint reads from the endpoint; reads carry no fencing number.
func (a *agent) readEndpoint(read func(), done func(ok bool, startID ident.StartID)) {
	finished := false
	finish := func(ok bool, startID ident.StartID) {
		if finished {
			return
		}
		finished = true
		if ok {
			a.step(gate.StartIDObserved{StartID: startID})
		}
		done(ok, startID)
	}
	a.runAfter(listTimeout, func() { finish(false, "") })
	f := a.fleet
	if a.endpoint.down || f.randomDelivery() != delivered {
		a.runAfter(f.latency(), func() { finish(false, "") })
		return
	}
	f.clock.After(f.latency(), func() {
		read()
		startID := a.endpoint.backend.StartID
		a.runAfter(f.latency(), func() { finish(true, startID) })
	})
}

// survey reads the running requests and then the loaded adapters, in this order as daemon/agent does.
func (a *agent) survey(x gate.Survey) {
	result := gate.Surveyed{Number: x.Number}
	if !x.Fence {
		a.readLists(result)
		return
	}
	a.sendCommand(x.Incarnation, listTimeout, func(o backend.Order, respond func(backend.Result, string)) {
		respond(a.endpoint.backend.Cancel(o, "fence"), "")
	}, func(_ commandResponse, e engine.Effect) {
		if e != engine.Done {
			result.Failed = true
			a.step(result)
			return
		}
		a.readLists(result)
	})
}

func (a *agent) readLists(result gate.Surveyed) {
	a.readEndpoint(func() { result.Running = a.endpoint.backend.Running() }, func(ok bool, first ident.StartID) {
		if !ok {
			result.Failed = true
			a.step(result)
			return
		}
		a.readEndpoint(func() { result.Adapters = a.endpoint.backend.Models() }, func(ok bool, start ident.StartID) {
			result.StartID, result.Failed = start, !ok || first != start
			a.step(result)
		})
	})
}

// requestPermits requests load permits from the entry that holds the load budget. If that entry cannot be reached, the agent
// uses its fixed share of the budget.
func (a *agent) requestPermits(x gate.RequestPermits) {
	f := a.fleet
	requested := f.clock.Now()
	receivePermits := func(n int) { a.step(gate.Permits{Granted: n, Until: requested.Add(permit.UnusedPermitTimeout)}) }
	holder := f.permitHolder()
	if holder == nil {
		a.runAfter(f.latency(), func() { receivePermits(a.takeFixedShare()) })
		return
	}
	f.call(&a.process, &holder.process, 500*time.Millisecond, func(reply func(any)) {
		reply(holder.grantPermits(a.endpoint.name, x))
	}, func(response any, s callStatus) {
		if s != callAnswered {
			receivePermits(a.takeFixedShare())
			return
		}
		a.lastPermitResponse = f.clock.Now()
		receivePermits(response.(int))
	})
}

// takeFixedShare takes a permit from the agent's own share of the load budget, once no holder has responded for the length of
// a lease.
func (a *agent) takeFixedShare() (n int) {
	now := a.clock().Now()
	if now.Sub(a.lastPermitResponse) < leaseDuration {
		return 0
	}
	if a.fixedPermits == nil {
		engines := 0
		for _, e := range a.resources.Endpoints() {
			if e.Kind == resource.Engine {
				engines++
			}
		}
		a.fixedPermits = permit.New(loadsPerSecond/float64(max(engines, 1)), 1, now)
	}
	if a.fixedPermits.Take(now, a.endpoint.name) {
		n = 1
	}
	return n
}

func (a *agent) returnPermit() {
	if a.fixedPermits != nil {
		a.fixedPermits.Done(a.endpoint.name)
	}
	if holder := a.fleet.permitHolder(); holder != nil {
		a.fleet.call(&a.process, &holder.process, time.Second, func(func(any)) { holder.handleReturnedPermit(a.endpoint.name) }, func(any, callStatus) {})
	}
}
