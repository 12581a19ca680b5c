package fleet

import (
	"fmt"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/soak/backend"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/resource"
)

const (
	unloadTimeout         = 10 * time.Second
	listTimeout           = 2 * time.Second
	settleTimeout         = 2 * time.Second
	configurationInterval = 250 * time.Millisecond
)

// endpoint is one endpoint with the agents that run or ran beside it.
type endpoint struct {
	name    ident.Endpoint
	backend *backend.Endpoint
	down    bool
	agents  []*agent
}

// agent executes the commands of a gate (package state/gate) as daemon/agent does.
type agent struct {
	process
	endpoint           *endpoint
	address            string
	claim              claim
	gate               *gate.Gate
	tries              map[ident.TryID]*agentTry
	wakeSerial         int
	drained            bool
	stopping           bool
	onStopped          func()
	appliedResources   *resource.Set
	fixedPermits       *permit.Budget
	lastPermitResponse time.Time
	// pauseAtNextOrder and pauseAtNextUnload are the lengths of the pauses that the next order and the next unload cause;
	// zero causes none.
	pauseAtNextOrder  time.Duration
	pauseAtNextUnload time.Duration
}

// startAgent starts an agent beside an endpoint, at a new address if the given one is empty.
func (f *Fleet) startAgent(s *endpoint, address string) {
	a := &agent{endpoint: s, address: address, tries: make(map[ident.TryID]*agentTry)}
	a.init(f, "agent")
	if a.address == "" {
		a.address = string(a.id)
	}
	f.addresses[a.address] = a
	a.claim.agent = a
	s.agents = append(s.agents, a)
	f.logEvent(string(s.name), "%s started at address %s", a.id, a.address)
	a.start(a.waitForDeclaration)
}

func (a *agent) waitForDeclaration() {
	e, ok := a.resources.Endpoint(a.endpoint.name)
	if !ok || e.Leaving {
		a.runAfter(configurationInterval, a.waitForDeclaration)
		return
	}
	a.claim.acquire(func() {
		if a.stopping {
			a.exit()
			return
		}
		c := gate.DefaultConfig()
		c.Endpoint, c.Service, c.ChecksFencing = e.Name, e.Kind == resource.Service, e.ChecksFencing
		c.Incarnation, c.Slots, c.BatchSize, c.QueueLimit = a.claim.incarnation, a.adapterSlots(e), e.BatchSize, 16
		a.gate = gate.New(c)
		a.claim.gateIncarnation, a.claim.reportedStatus = a.claim.incarnation, gate.ClaimHeld
		a.lastPermitResponse = a.clock().Now()
		a.claim.scheduleRenewal(a.clock().Now().Add(keepAliveInterval))
		a.runEvery(configurationInterval, a.configure)
		a.step(gate.Tick{})
	})
}

// configure applies a changed Endpoint resource to the gate.
func (a *agent) configure() {
	if a.resources == a.appliedResources || a.fleet.options.Without == DrainOnLeaving {
		return
	}
	a.appliedResources = a.resources
	e, ok := a.resources.Endpoint(a.endpoint.name)
	if !ok || e.Leaving {
		a.drain()
		return
	}
	a.step(gate.Configure{BatchSize: e.BatchSize, Slots: a.adapterSlots(e)})
}

// adapterSlots returns the number of adapters that the agent loads into an engine.
func (a *agent) adapterSlots(e *resource.Endpoint) int {
	if a.fleet.options.Without == EngineMemory {
		return e.Slots
	}
	return e.AdapterSlots()
}

// drain makes the gate finish its tries and accept no new ones.
func (a *agent) drain() {
	a.fleet.judge.AgentLeaving(a.id)
	if a.fleet.options.Without != DrainOnLeaving {
		a.step(gate.Drain{})
	}
}

// stop starts a planned stop and calls done when the agent has exited.
func (a *agent) stop(done func()) {
	a.runAfter(0, func() {
		a.stopping, a.onStopped = true, done
		if a.gate == nil {
			if !a.claim.held {
				a.claim.released = true
				a.exit()
			}
			return
		}
		a.drain()
		if a.drained || a.fleet.options.Without == GracefulStop {
			a.exit()
		}
	})
}

// exit ends the agent as planned and releases its claim and its presence key.
func (a *agent) exit() {
	if a.exited {
		return
	}
	if a.gate != nil {
		a.reportStop()
	}
	a.claim.release()
	a.revokePresence()
	a.kill()
	a.abortStreams()
	if a.onStopped != nil {
		a.onStopped()
	}
}

// reportStop reports to the judge the requests at the endpoint that the planned stop interrupts.
func (a *agent) reportStop() {
	var interrupted []string
	for _, r := range a.endpoint.backend.OpenRuns() {
		if r.Order.Sender == a.id && r.Connected {
			interrupted = append(interrupted, string(r.ID.RequestID))
		}
	}
	a.fleet.judge.ProcessStopped(a.id, interrupted)
}

// crash ends the agent abruptly; its requests at the endpoint may continue to run.
func (a *agent) crash() {
	a.kill()
	a.abortStreams()
	for _, r := range append([]*backend.Run(nil), a.endpoint.backend.OpenRuns()...) {
		if r.Order.Sender == a.id {
			r.Connected = false
			a.fleet.noticeDisconnect(r)
		}
	}
}

// abortStreams aborts the streams to the entries in a fixed order, so that schedules are reproducible.
func (a *agent) abortStreams() {
	for _, s := range a.fleet.streamsOf(a) {
		s.abort("the agent exited")
	}
}

func (a *agent) step(e gate.Event) []gate.Command { return a.stepFor(e, nil) }

func (a *agent) stepFor(e gate.Event, t *agentTry) (commands []gate.Command) {
	if a.gate == nil || a.exited {
		return nil
	}
	commands = a.gate.Step(a.clock().Now(), e)
	for _, c := range commands {
		if x, ok := c.(gate.Accept); ok && t != nil {
			a.tries[x.ID] = t
			t.writeAccepted()
		}
		a.execute(c)
	}
	a.scheduleWake()
	return commands
}

func (a *agent) scheduleWake() {
	next := a.gate.NextWake()
	if next.IsZero() {
		return
	}
	a.wakeSerial++
	n := a.wakeSerial
	a.runAfter(max(next.Sub(a.clock().Now()), time.Millisecond), func() {
		if n == a.wakeSerial {
			a.step(gate.Tick{})
		}
	})
}

func (a *agent) execute(c gate.Command) {
	switch x := c.(type) {
	case gate.Start:
		a.logTry(x.ID, "started on %s", x.Adapter)
		if t := a.tries[x.ID]; t != nil {
			t.sendToEndpoint(x)
		}
	case gate.Finish:
		a.logTry(x.ID, "finished as %s: %s", x.Outcome, x.Detail)
		if t := a.tries[x.ID]; t != nil {
			delete(a.tries, x.ID)
			t.finish(x)
		}
	case gate.Refuse:
		a.logTry(x.ID, "refused: %s", x.Refusal.Reason)
	case gate.Cancel:
		if t := a.tries[x.ID]; t != nil {
			t.handleCancel()
		}
		a.cancelAtEndpoint(x.Incarnation, fmt.Sprintf("%s/%d", x.ID.RequestID, x.ID.Try))
	case gate.CancelRequest:
		a.cancelAtEndpoint(x.Incarnation, x.ID)
	case gate.Load:
		a.load(x)
	case gate.Unload:
		a.unload(x)
	case gate.Survey:
		a.survey(x)
	case gate.RequestPermits:
		a.requestPermits(x)
	case gate.ReturnPermit:
		a.returnPermit()
	case gate.Drained:
		a.handleDrained()
	case gate.Violation:
		a.fleet.judge.AssertionFailed([]string{string(x.ID.RequestID), string(a.endpoint.name), x.Adapter.String()}, a.endpoint.name,
			fmt.Sprintf("gate %s: %s", x.Guarantee, x.Detail))
	}
}

func (a *agent) logTry(id ident.TryID, format string, args ...any) {
	a.fleet.log.Add([3]string{string(id.RequestID), string(a.endpoint.name), string(a.id)},
		"%s: try %d "+format, append([]any{a.id, id.Try}, args...)...)
}

// handleDrained ends the agent after its last frames are sent.
func (a *agent) handleDrained() {
	a.drained = true
	a.runAfter(0, a.exit)
}

// declaration looks up the resource that a try names in the configuration of the agent.
func (a *agent) declaration(r *wire.RunRequest) (d gate.Declaration) {
	e, ok := a.resources.Endpoint(a.endpoint.name)
	if !ok {
		return d
	}
	if e.Kind == resource.Service {
		d.Declared = true
		d.Revision = a.resources.ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(e.Name)})
		return d
	}
	d.Revision = a.resources.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: r.GetAdapter()})
	ad, ok := a.resources.Adapter(ident.Adapter(r.GetAdapter()))
	if !ok || r.GetVersion() == "" || ad.BaseModel != e.BaseModel {
		return d
	}
	v, ok := ad.Version(ident.Version(r.GetVersion()))
	d.Declared, d.Path, d.Digest = ok, v.Path, v.Digest
	return d
}

// waitForRevision calls then once the configuration has the revision that a try names, or when until has passed.
func (a *agent) waitForRevision(r *wire.RunRequest, until time.Time, then func()) {
	if ident.Revision(r.GetResourceRevision()) <= a.declaration(r).Revision || !a.clock().Now().Before(until) {
		then()
		return
	}
	a.readConfiguration(func(bool) {
		a.runAfter(50*time.Millisecond, func() { a.waitForRevision(r, until, then) })
	})
}

// settle determines whether a try started, and forbids it to start if it did not. The response is nil if the agent has
// no gate yet.
func (a *agent) settle(id ident.TryID, cancel bool) *wire.SettleResponse {
	if a.gate == nil {
		return nil
	}
	for _, c := range a.step(gate.Settle{ID: id, Cancel: cancel}) {
		x, ok := c.(gate.Settled)
		if !ok || x.ID != id {
			continue
		}
		a.logTry(id, "settled as %d", x.State)
		if a.fleet.options.Without == Tombstones {
			return &wire.SettleResponse{State: wire.TryState_TRY_STATE_NEVER_STARTED}
		}
		return settleResponse(x)
	}
	return nil
}

func settleResponse(x gate.Settled) *wire.SettleResponse {
	switch x.State {
	case gate.NeverStarted:
		return &wire.SettleResponse{State: wire.TryState_TRY_STATE_NEVER_STARTED}
	case gate.Running:
		return &wire.SettleResponse{State: wire.TryState_TRY_STATE_RUNNING}
	case gate.Completed:
		r := &wire.SettleResponse{State: wire.TryState_TRY_STATE_COMPLETED, Outcome: wire.Outcome_OUTCOME_COMPLETED}
		if w := x.Answer; w != nil {
			r.Answer = &wire.Answer{Status: int32(w.Status), ContentType: w.ContentType, Body: w.Body, Truncated: w.Truncated,
				RequestID: string(x.ID.RequestID), Adapter: string(w.Adapter.Adapter), Version: string(w.Adapter.Version)}
		}
		return r
	}
	return &wire.SettleResponse{State: wire.TryState_TRY_STATE_UNKNOWN}
}
