package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

type tryState int

const (
	waiting tryState = iota
	running
	// finished tries have run or may have run.
	finished
	// tombstoned tries have not run and are refused for ever.
	tombstoned
)

// try is the record of one try.
//
// A try is forgotten only when a late copy of its Run is refused without the record: a Run of an older incarnation is
// always refused, and one of this incarnation is refused once its deadline plus ClockSkew has passed. A tombstone whose
// deadline is not known was settled after the request arrived at its entry, so its deadline is at most MaxDeadline later.
// Settle of a forgotten try would report NeverStarted. Keyed tries can be settled long after the request by the next owner of
// their ledger bucket, so they are remembered for the retention of the ledger, and others for FinishedRetention.
// When MaxRemembered is reached, nothing is forgotten early: the Run of a new try ends with Abandon, which promises nothing.
type try struct {
	Run
	state    tryState
	outcome  outcome.Outcome
	admitted time.Time
	canceled bool
	// reached is set once the engine has listed the try.
	reached  bool
	forgetAt time.Time
	answer   *Answer
}

// callerKey is an idempotency key, which is scoped to its caller.
type callerKey struct {
	caller ident.Caller
	key    ident.Key
}

// run admits a try or refuses it.
func (g *Gate) run(r Run) {
	if t, ok := g.tries[r.ID]; ok {
		g.rejectDuplicate(t)
		return
	}
	if r.ID.Incarnation < g.Incarnation {
		g.emit(Refuse{ID: r.ID, Refusal: &outcome.Refusal{Reason: outcome.StaleClaim}})
		return
	}
	if len(g.tries) >= g.MaxRemembered {
		g.emit(Abandon{ID: r.ID, Reason: outcome.QueueFull})
		return
	}
	if refusal := g.enqueue(r); refusal != nil {
		g.remember(&try{Run: r, state: tombstoned, outcome: outcome.NotRun})
		g.emit(Refuse{ID: r.ID, Refusal: refusal})
		return
	}
	g.remember(&try{Run: r, state: waiting, admitted: g.now})
	if g.leaving {
		g.reportViolation(Violation{Guarantee: G6, ID: r.ID, Detail: "try admitted while leaving"})
	}
	g.emit(Accept{ID: r.ID})
}

// rejectDuplicate ends a Run of a known try. Only a tombstoned try may be refused, because a refusal promises that it never
// ran.
func (g *Gate) rejectDuplicate(t *try) {
	if t.state == tombstoned {
		g.emit(Refuse{ID: t.ID, Refusal: &outcome.Refusal{Reason: outcome.Tombstoned}})
		return
	}
	g.emit(Abandon{ID: t.ID, Reason: outcome.Duplicate})
}

// enqueue adds a try that was not seen before to the queue, or returns the refusal.
func (g *Gate) enqueue(r Run) *outcome.Refusal {
	retryAfter := g.queue.RetryAfter(g.now)
	switch {
	case r.ID.Incarnation != g.Incarnation || r.Endpoint != g.Endpoint:
		return &outcome.Refusal{Reason: outcome.StaleClaim}
	case g.leaving:
		return &outcome.Refusal{Reason: outcome.Leaving, RetryAfter: retryAfter}
	case g.claimForbidsWork():
		return &outcome.Refusal{Reason: outcome.ClaimLost, RetryAfter: retryAfter}
	case g.claim != ClaimHeld && r.Key != "":
		return &outcome.Refusal{Reason: outcome.LedgerDown, RetryAfter: retryAfter}
	case r.Deadline.IsZero():
		return &outcome.Refusal{Reason: outcome.Deadline, Detail: "a try must have a deadline"}
	case r.Deadline.Sub(g.now) > g.MaxDeadline:
		return &outcome.Refusal{Reason: outcome.Deadline, Detail: "the deadline is too far ahead"}
	case r.Revision != r.Declaration.Revision:
		return &outcome.Refusal{Reason: outcome.StaleRevision, RetryAfter: retryAfter}
	case !r.Declaration.Declared || r.Adapter.IsZero() != g.Service:
		return &outcome.Refusal{Reason: outcome.UnknownAdapter}
	case g.engineDown():
		return &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: retryAfter}
	case r.Key != "" && g.keyUsed(r):
		return &outcome.Refusal{Reason: outcome.Duplicate, Detail: "another try with this key may have run here"}
	}
	if !g.Service {
		g.slots.RecordDemand(g.now, r.Adapter)
	}
	if a := g.adapters[r.Adapter]; a != nil && a.failing(g.now) {
		return &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: a.loadNotBefore.Sub(g.now), Detail: a.failureDetail}
	}
	return g.queue.Push(g.now, admission.Item{
		ID: r.ID, Caller: r.Caller, Share: r.Share, Adapter: r.Adapter, Priority: r.Priority, Deadline: r.Deadline,
		LoadWait: g.loadWait(r),
	})
}

// keyUsed reports whether another try with the key of r has started here.
func (g *Gate) keyUsed(r Run) bool {
	_, ok := g.keys[callerKey{r.Caller, r.Key}]
	return ok
}

// startReady starts waiting tries while the batch has free slots.
func (g *Gate) startReady() {
	if g.claimForbidsWork() || g.takeoverPending() || g.graceExpired() {
		return
	}
	for len(g.active) < g.BatchSize {
		it, ok := g.queue.Pop(g.now, g.ready)
		if !ok {
			return
		}
		g.start(g.tries[it.ID])
	}
}

// graceExpired reports whether the grace period of a drain has passed, after which no try starts.
func (g *Gate) graceExpired() bool { return g.leaving && !g.now.Before(g.drainStart.Add(g.DrainGrace)) }

func (g *Gate) ready(it admission.Item) bool {
	t := g.tries[it.ID]
	if t == nil || (t.Key != "" && g.keyUsed(t.Run)) {
		return false
	}
	return g.Service || (t.Adapter != g.reservedVictim && g.resident(t.Run))
}

func (g *Gate) start(t *try) {
	if v, ok := g.checkStart(t); !ok {
		g.reportViolation(v)
		if t.state == waiting {
			g.finishNotRun(t, &outcome.Refusal{Reason: outcome.EngineDown, Detail: v.Detail})
		}
		return
	}
	if !g.Service {
		g.slots.Acquire(g.now, t.Adapter)
	}
	t.state = running
	g.active[t.ID] = t
	if t.Key != "" {
		g.keys[callerKey{t.Caller, t.Key}] = t.ID
	}
	g.emit(Start{ID: t.ID, Adapter: t.Adapter, Stall: g.now.Sub(t.admitted)})
}

// finishTry applies the end of a running try; a late or duplicate report about another one changes nothing.
func (g *Gate) finishTry(e Ended) {
	t, ok := g.tries[e.ID]
	if !ok || t.state != running {
		return
	}
	if t.Key != "" && e.Outcome == outcome.Completed {
		g.storeAnswer(t, e.Answer)
	}
	if e.Outcome == outcome.Unknown {
		g.pinUnresolved(t, e.Reached)
	}
	g.releaseRunning(t, e.Outcome)
	var refusal *outcome.Refusal
	if e.Outcome == outcome.NotRun {
		refusal = &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: g.queue.RetryAfter(g.now), Detail: e.Detail}
	}
	g.emit(Finish{ID: t.ID, Outcome: e.Outcome, Refusal: refusal, Detail: e.Detail})
}

// releaseRunning releases the slots of a running try and records its outcome.
func (g *Gate) releaseRunning(t *try, o outcome.Outcome) {
	if !g.Service {
		g.slots.Release(g.now, t.Adapter)
	}
	delete(g.active, t.ID)
	g.queue.RecordFinished(g.now)
	t.outcome, t.state = o, finished
	if o == outcome.NotRun {
		t.state = tombstoned
		delete(g.keys, callerKey{t.Caller, t.Key})
	}
	g.scheduleForget(t)
}

// finishNotRun finishes an admitted try that has not started and tombstones it.
func (g *Gate) finishNotRun(t *try, r *outcome.Refusal) {
	if t.state != waiting {
		g.reportViolation(Violation{Guarantee: G4, ID: t.ID, Detail: "a started try would be reported as not run"})
		return
	}
	t.state, t.outcome = tombstoned, outcome.NotRun
	g.scheduleForget(t)
	g.emit(Finish{ID: t.ID, Outcome: outcome.NotRun, Refusal: r})
}

// returnWaiting finishes the matching waiting tries as not run.
func (g *Gate) returnWaiting(reason outcome.Reason, match func(*try) bool) {
	var list []*try
	g.queue.Each(func(it admission.Item) {
		if t := g.tries[it.ID]; t != nil && match(t) {
			list = append(list, t)
		}
	})
	for _, t := range list {
		g.queue.Remove(t.ID)
		g.finishNotRun(t, &outcome.Refusal{Reason: reason, RetryAfter: g.queue.RetryAfter(g.now)})
	}
}

// cancelForSender cancels a try whose sender has disconnected. A running keyed try continues, so that its response can be
// recorded.
func (g *Gate) cancelForSender(id ident.TryID) {
	t, ok := g.tries[id]
	if !ok {
		return
	}
	if t.state == waiting {
		g.queue.Remove(id)
		g.finishNotRun(t, &outcome.Refusal{Reason: outcome.Tombstoned, Detail: "sender disconnected"})
	} else if t.Key == "" {
		g.cancel(t)
	}
}

func (g *Gate) cancel(t *try) {
	if t.state == running && !t.canceled {
		t.canceled = true
		g.emit(Cancel{ID: t.ID, Incarnation: g.Incarnation})
	}
}

func (g *Gate) settle(s Settle) {
	t, ok := g.tries[s.ID]
	if !ok {
		g.settleUnseenTry(s.ID)
		return
	}
	reply := Settled{ID: s.ID}
	switch t.state {
	case waiting:
		reply.State = Running
		if s.Cancel {
			g.queue.Remove(s.ID)
			g.finishNotRun(t, &outcome.Refusal{Reason: outcome.Tombstoned, Detail: "canceled"})
			reply.State = NeverStarted
		}
	case running:
		reply.State = Running
		if s.Cancel {
			g.cancel(t)
		}
	case finished:
		reply.State = Unknown
		if t.outcome == outcome.Completed {
			reply.State, reply.Answer = Completed, t.answer
		}
	case tombstoned:
		reply.State = NeverStarted
	}
	g.emit(reply)
}

// settleUnseenTry tombstones an unseen try of this incarnation, which therefore never runs. It reports others as unknown,
// because they may have run under another agent.
func (g *Gate) settleUnseenTry(id ident.TryID) {
	if id.Incarnation != g.Incarnation || len(g.tries) >= g.MaxRemembered {
		g.emit(Settled{ID: id, State: Unknown})
		return
	}
	g.remember(&try{Run: Run{ID: id}, state: tombstoned, outcome: outcome.NotRun})
	g.emit(Settled{ID: id, State: NeverStarted})
}
