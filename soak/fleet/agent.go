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
	loadTimeout   = 30 * time.Second
	unloadTimeout = 10 * time.Second
	listTimeout   = 2 * time.Second
	settleTimeout = 2 * time.Second
	pollSettings  = 250 * time.Millisecond
)

// site is one endpoint with the agents that are or were beside it.
type site struct {
	name    ident.Endpoint
	backend *backend.Endpoint
	down    bool
	agents  []*agent
}

// agent drives a gate as daemon/agent does.
type agent struct {
	process
	site     *site
	address  string
	claim    claim
	gate     *gate.Gate
	jobs     map[ident.TryID]*job
	wakes    int
	drained  bool
	stopping bool
	stopped  func()
	seen     *resource.Set
	share    *permit.Budget
	answered time.Time
	// pauseNext pauses the agent at its next order, pauseUnload at its next unload.
	pauseNext   time.Duration
	pauseUnload time.Duration
}

// startAgent starts an agent beside an endpoint at a new address, or at one in use before.
func (f *Fleet) startAgent(s *site, address string) {
	a := &agent{site: s, address: address, jobs: make(map[ident.TryID]*job)}
	a.init(f, "agent")
	if a.address == "" {
		a.address = string(a.id)
	}
	f.addresses[a.address] = a
	a.claim.agent = a
	s.agents = append(s.agents, a)
	f.note(string(s.name), "%s starts at %s", a.id, a.address)
	a.begin(a.waitDeclared)
}

func (a *agent) waitDeclared() {
	e, ok := a.set.Endpoint(a.site.name)
	if !ok || e.Leaving {
		a.later(pollSettings, a.waitDeclared)
		return
	}
	a.claim.acquire(func() {
		if a.stopping {
			a.exit()
			return
		}
		c := gate.DefaultConfig()
		c.Endpoint, c.Service, c.ChecksFencing = e.Name, e.Kind == resource.Service, e.ChecksFencing
		c.Incarnation, c.Slots, c.BatchSize, c.QueueLimit = a.claim.incarnation, e.Slots, e.BatchSize, 16
		a.gate = gate.New(c)
		a.claim.resumed, a.claim.reported = a.claim.incarnation, gate.ClaimHeld
		a.answered = a.clock().Now()
		a.claim.keep(a.clock().Now().Add(keepAlive))
		a.every(pollSettings, a.configure)
		a.step(gate.Tick{})
	})
}

// configure passes changes of the Endpoint resource on.
func (a *agent) configure() {
	if a.set == a.seen || a.fleet.options.Without == Leaving {
		return
	}
	a.seen = a.set
	e, ok := a.set.Endpoint(a.site.name)
	if !ok || e.Leaving {
		a.drain()
		return
	}
	a.step(gate.Configure{BatchSize: e.BatchSize})
}

// drain tells the gate to leave.
func (a *agent) drain() {
	a.fleet.judge.Leaving(a.id)
	if a.fleet.options.Without != Leaving {
		a.step(gate.Drain{})
	}
}

// stop is a planned stop; done is called when the agent has ended.
func (a *agent) stop(done func()) {
	a.later(0, func() {
		a.stopping, a.stopped = true, done
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

// exit ends a drained agent; a cut is what its planned stop has interrupted.
func (a *agent) exit() {
	if a.dead {
		return
	}
	if a.gate != nil {
		a.judgeStop()
	}
	a.claim.release()
	a.revoke()
	a.kill()
	a.breakStreams()
	if a.stopped != nil {
		a.stopped()
	}
}

func (a *agent) judgeStop() {
	var cut []string
	for _, r := range a.site.backend.Open() {
		if r.Order.Sender == a.id && r.Connected {
			cut = append(cut, string(r.ID.RequestID))
		}
	}
	a.fleet.judge.Stopped(a.id, cut)
}

// crash ends the agent without notice; its requests at the endpoint may go on.
func (a *agent) crash() {
	a.kill()
	a.breakStreams()
	for _, r := range append([]*backend.Run(nil), a.site.backend.Open()...) {
		if r.Order.Sender == a.id {
			r.Connected = false
			a.fleet.abandon(r)
		}
	}
}

// breakStreams ends the streams to the entries in a fixed order.
func (a *agent) breakStreams() {
	for _, s := range a.fleet.streamsOf(a) {
		s.breakOff("the agent has ended")
	}
}

func (a *agent) step(e gate.Event) []gate.Command { return a.stepFor(e, nil) }

func (a *agent) stepFor(e gate.Event, j *job) (commands []gate.Command) {
	if a.gate == nil || a.dead {
		return nil
	}
	commands = a.gate.Step(a.clock().Now(), e)
	for _, c := range commands {
		if x, ok := c.(gate.Accept); ok && j != nil {
			a.jobs[x.ID] = j
			j.accepted()
		}
		a.carryOut(c)
	}
	a.planWake()
	return commands
}

func (a *agent) planWake() {
	next := a.gate.NextWake()
	if next.IsZero() {
		return
	}
	a.wakes++
	n := a.wakes
	a.later(max(next.Sub(a.clock().Now()), time.Millisecond), func() {
		if n == a.wakes {
			a.step(gate.Tick{})
		}
	})
}

func (a *agent) carryOut(c gate.Command) {
	switch x := c.(type) {
	case gate.Start:
		a.note(x.ID, "starts on %s", x.Adapter)
		if j := a.jobs[x.ID]; j != nil {
			j.call(x)
		}
	case gate.Finish:
		a.note(x.ID, "finishes as %s: %s", x.Outcome, x.Detail)
		if j := a.jobs[x.ID]; j != nil {
			delete(a.jobs, x.ID)
			j.finish(x)
		}
	case gate.Refuse:
		a.note(x.ID, "is refused: %s", x.Refusal.Reason)
	case gate.Cancel:
		if j := a.jobs[x.ID]; j != nil {
			j.hangUp()
		}
		a.cancelAtEndpoint(fmt.Sprintf("%s/%d", x.ID.RequestID, x.ID.Try))
	case gate.CancelRequest:
		a.cancelAtEndpoint(x.ID)
	case gate.Load:
		a.load(x)
	case gate.Unload:
		a.unload(x)
	case gate.Survey:
		a.survey(x)
	case gate.RequestPermits:
		a.askPermits(x)
	case gate.ReturnPermit:
		a.returnPermit()
	case gate.Drained:
		a.drainedAt()
	case gate.Violation:
		a.fleet.judge.Asserted([]string{string(x.ID.RequestID), string(a.site.name), x.Adapter.String()}, a.site.name,
			fmt.Sprintf("gate %s: %s", x.Guarantee, x.Detail))
	}
}

func (a *agent) note(id ident.TryID, format string, args ...any) {
	a.fleet.log.Add([3]string{string(id.RequestID), string(a.site.name), string(a.id)},
		"%s: try %d "+format, append([]any{a.id, id.Try}, args...)...)
}

// drainedAt ends the agent once its last frames are on their way.
func (a *agent) drainedAt() {
	a.drained = true
	a.later(0, a.exit)
}

// known looks up the resource that a try names.
func (a *agent) known(r *wire.RunRequest) (k gate.Declaration) {
	e, ok := a.set.Endpoint(a.site.name)
	if !ok {
		return k
	}
	if e.Kind == resource.Service {
		k.Declared = true
		k.Revision = a.set.ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(e.Name)})
		return k
	}
	k.Revision = a.set.ResourceRevision(resource.Name{Kind: resource.KindAdapter, Name: r.GetAdapter()})
	ad, ok := a.set.Adapter(ident.Adapter(r.GetAdapter()))
	if !ok || r.GetVersion() == "" || ad.BaseModel != e.BaseModel {
		return k
	}
	v, ok := ad.Version(ident.Version(r.GetVersion()))
	k.Declared, k.Path, k.Digest = ok, v.Path, v.Digest
	return k
}

// whenCurrent waits for the configuration that a try names, at most for the time of a refresh.
func (a *agent) whenCurrent(r *wire.RunRequest, until time.Time, then func()) {
	if ident.Revision(r.GetResourceRevision()) <= a.known(r).Revision || !a.clock().Now().Before(until) {
		then()
		return
	}
	a.readAll(func(bool) {
		a.later(50*time.Millisecond, func() { a.whenCurrent(r, until, then) })
	})
}

// settle answers what became of a try.
func (a *agent) settle(id ident.TryID, cancel bool) *wire.SettleResponse {
	if a.gate == nil {
		return nil
	}
	for _, c := range a.step(gate.Settle{ID: id, Cancel: cancel}) {
		x, ok := c.(gate.Settled)
		if !ok || x.ID != id {
			continue
		}
		a.note(id, "is settled as %d", x.State)
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
