package attempt

import (
	"slices"
	"time"

	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/retry"
)

// Budget limits and spaces retries; retry.Budget implements it.
type Budget interface {
	Fresh()
	Take() bool
	Backoff(try int) time.Duration
}

// Request is what an attempt needs to know of its request.
type Request struct {
	ID ident.RequestID
	// Keyed marks a non-repeatable request; it needs the ledger and is never retried after an unknown try.
	Keyed    bool
	Deadline time.Time
	// MaxTries bounds the tries of the request.
	MaxTries int
	// HoldBytes is the size up to which a plain response is held back until its last frame has been verified.
	HoldBytes int
}

type phase int

const (
	idle phase = iota
	placing
	waiting
	intending
	streaming
	settling
	done
)

// Attempt is the state of one request; it belongs to one goroutine.
type Attempt struct {
	request  Request
	budget   Budget
	now      time.Time
	phase    phase
	try      ident.TryID
	endpoint ident.Endpoint
	exclude  []ident.Endpoint
	checker  *frame.Checker
	relay    relay
	// mayHaveRun stays set once any try is unknown: the request can no longer be reported as not run.
	mayHaveRun bool
	proof      Proof
	failure    Failure
	refusal    *outcome.Refusal
	detail     string
	out        []Command
}

// New returns the attempt of a request.
func New(r Request, b Budget) *Attempt {
	return &Attempt{request: r, budget: b, proof: NothingDispatched}
}

// Tries returns the number of tries so far.
func (a *Attempt) Tries() int { return int(a.try.Try) }

// Head returns status and content type of the response that is being delivered.
func (a *Attempt) Head() (status int, contentType string) { return a.relay.status, a.relay.contentType }

// Step takes one event and returns the commands to carry out; the slice is valid until the next call.
func (a *Attempt) Step(now time.Time, e Event) []Command {
	a.out, a.now = a.out[:0], now
	if a.phase == done || e.Try != 0 && e.Try != a.try.Try {
		return nil
	}
	switch e.Kind {
	case Started:
		a.budget.Fresh()
		a.place()
	case DeadlinePassed:
		a.stop(Expired)
	case CallerGone:
		a.callerGone()
	default:
		a.inPhase(now, e)
	}
	return a.out
}

func (a *Attempt) inPhase(now time.Time, e Event) {
	switch {
	case a.phase == placing && e.Kind == Placed:
		a.placed(now, e)
	case a.phase == placing && e.Kind == NotPlaced:
		a.refused(e.Refusal)
	case a.phase == waiting && e.Kind == Waited:
		a.place()
	case a.phase == intending && e.Kind == Intended:
		a.intended(now, e.Intent)
	case a.phase == streaming && e.Kind == NotSent:
		a.refusal = &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: time.Second, Detail: e.Detail}
		a.notRun(NoByteSent)
	case a.phase == streaming && e.Kind == FrameArrived:
		a.frame(e.Frame)
	case a.phase == streaming && e.Kind == StreamBroken:
		a.broken(e.Detail)
	case a.phase == settling && e.Kind == Settled:
		a.settled(e.Settlement)
	}
}

func (a *Attempt) emit(c Command) { a.out = append(a.out, c) }

func (a *Attempt) place() {
	a.phase = placing
	a.emit(Command{Kind: Place, Exclude: a.exclude})
}

func (a *Attempt) placed(now time.Time, e Event) {
	if a.expired(now) {
		a.stop(Expired)
		return
	}
	a.endpoint = e.Endpoint
	a.try = ident.TryID{RequestID: a.request.ID, Try: a.try.Try + 1, Incarnation: e.Incarnation}
	if a.request.Keyed {
		a.phase = intending
		a.emit(Command{Kind: Intend, Try: a.try, Endpoint: a.endpoint})
		return
	}
	a.dispatch()
}

func (a *Attempt) dispatch() {
	a.phase = streaming
	a.checker = frame.NewChecker(&wire.TryID{
		RequestID:   string(a.try.RequestID),
		Try:         uint32(a.try.Try),
		Incarnation: int64(a.try.Incarnation),
	})
	a.relay = relay{holdBytes: a.request.HoldBytes}
	a.emit(Command{Kind: Dispatch, Try: a.try, Endpoint: a.endpoint})
}

func (a *Attempt) intended(now time.Time, r *wire.IntendResponse) {
	switch r.GetState() {
	case wire.IntentState_INTENT_STATE_GRANTED:
		if a.expired(now) {
			a.stop(Expired)
			return
		}
		a.dispatch()
	case wire.IntentState_INTENT_STATE_COMPLETED:
		a.finish(Result{Outcome: outcome.Completed, Replay: r.GetAnswer()})
	case wire.IntentState_INTENT_STATE_IN_PROGRESS:
		// The key's first request may have run, so that not-run would mislead the caller.
		after := max(time.Duration(r.GetRetryAfterMilli())*time.Millisecond, time.Second)
		a.finish(Result{Outcome: outcome.Unknown, Failure: KeyInProgress, Refusal: &outcome.Refusal{RetryAfter: after}})
	case wire.IntentState_INTENT_STATE_MISMATCH:
		a.finishNotRun(KeyMismatch)
	case wire.IntentState_INTENT_STATE_EXPIRED:
		a.finishNotRun(KeyExpired)
	case wire.IntentState_INTENT_STATE_UNKNOWN:
		a.finish(Result{Outcome: outcome.Unknown, Failure: KeyUnknown})
	default:
		a.ledgerDown(time.Duration(r.GetRetryAfterMilli()) * time.Millisecond)
	}
}

// ledgerDown refuses the request. The intent may have been recorded although its response was lost, so it is concluded.
func (a *Attempt) ledgerDown(after time.Duration) {
	a.conclude(outcome.NotRun, nil)
	a.refusal = &outcome.Refusal{Reason: outcome.LedgerDown, RetryAfter: max(after, time.Second)}
	a.finishNotRun(Refused)
}

func (a *Attempt) frame(f *wire.Frame) {
	if err := a.checker.Check(f); err != nil {
		a.broken(err.Error())
		a.out[len(a.out)-1].Damaged = true
		return
	}
	switch f.GetKind() {
	case wire.FrameKind_FRAME_KIND_REFUSED:
		a.refusal = refusalOf(f.GetRefusal())
		a.notRun(AgentRefused)
	case wire.FrameKind_FRAME_KIND_DATA:
		a.deliver(a.relay.data(f))
		if a.relay.excess {
			a.broken("data after the closing event")
		}
	case wire.FrameKind_FRAME_KIND_END:
		a.ended(f)
	}
}

func (a *Attempt) deliver(data []byte) {
	if len(data) == 0 {
		return
	}
	a.relay.started = true
	a.emit(Command{Kind: Deliver, Data: data})
}

func (a *Attempt) ended(f *wire.Frame) {
	switch f.GetEnd().GetOutcome() {
	case wire.Outcome_OUTCOME_COMPLETED:
		a.relay.head(f)
		rest := a.relay.rest()
		a.conclude(outcome.Completed, a.answer(rest))
		started := a.relay.started
		if len(rest) > 0 {
			a.emit(Command{Kind: Deliver, Data: rest, Last: true})
		}
		a.finish(Result{Outcome: outcome.Completed, End: f.GetEnd(), Started: started})
	case wire.Outcome_OUTCOME_NOT_RUN:
		if a.relay.started {
			a.conclude(outcome.Unknown, nil)
			a.unknown(f.GetEnd().GetDetail())
			return
		}
		a.refusal = &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: time.Second, Detail: f.GetEnd().GetDetail()}
		a.notRun(AgentNotRun)
	default:
		a.conclude(outcome.Unknown, nil)
		a.unknown(f.GetEnd().GetDetail())
	}
}

// answer returns what the ledger may keep; the bucket cuts what is too large.
func (a *Attempt) answer(rest []byte) *wire.Answer {
	if !a.request.Keyed {
		return nil
	}
	w := &wire.Answer{Status: int32(a.relay.status), ContentType: a.relay.contentType, RequestID: string(a.request.ID)}
	if w.Truncated = a.relay.started; !w.Truncated {
		w.Body = rest
	}
	return w
}

// broken ends a stream that cannot be trusted; what became of the try is asked of the agent.
func (a *Attempt) broken(detail string) {
	a.failure, a.detail = Broken, detail
	a.settle()
}

func (a *Attempt) settle() {
	a.phase = settling
	a.emit(Command{Kind: Settle, Try: a.try, Endpoint: a.endpoint, Detail: a.detail})
}

func (a *Attempt) settled(r *wire.SettleResponse) {
	switch r.GetState() {
	case wire.TryState_TRY_STATE_NEVER_STARTED:
		if a.relay.started {
			a.unknown("agent reports a try as never started although its output was delivered")
			return
		}
		a.notRun(AgentTombstoned)
	case wire.TryState_TRY_STATE_COMPLETED:
		a.settledCompleted(r)
	case wire.TryState_TRY_STATE_UNKNOWN:
		a.conclude(outcome.Unknown, nil)
		a.unknown(a.detail)
	default:
		// A running try or an unreachable agent leaves the intent open: the ledger settles it when the key is repeated.
		a.unknown(a.detail)
	}
}

// settledCompleted uses the agent's kept answer if nothing has been delivered yet.
func (a *Attempt) settledCompleted(r *wire.SettleResponse) {
	w := r.GetAnswer()
	if !a.relay.started && r.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		a.notRun(AgentNotRun)
		return
	}
	if r.GetOutcome() != wire.Outcome_OUTCOME_COMPLETED {
		a.conclude(outcome.Unknown, nil)
		a.unknown(a.detail)
		return
	}
	if w == nil && a.request.Keyed {
		w = &wire.Answer{Truncated: true, RequestID: string(a.request.ID)}
	}
	a.conclude(outcome.Completed, w)
	if w == nil || a.relay.started {
		a.unknown(a.detail)
		return
	}
	a.finish(Result{Outcome: outcome.Completed, Replay: w})
}

// notRun ends a try that is known not to have run; it is repeated elsewhere within the budget.
func (a *Attempt) notRun(p Proof) {
	a.proof = p
	a.conclude(outcome.NotRun, nil)
	if a.failure == Expired || a.failure == Abandoned || a.overShare(p) || !a.retry() {
		a.finishNotRun(a.failure)
	}
}

// unknown ends a try that may have run; only a repeatable request without delivered output is repeated.
func (a *Attempt) unknown(detail string) {
	a.mayHaveRun = true
	a.detail = detail
	final := a.request.Keyed || a.relay.started || a.failure == Expired || a.failure == Abandoned
	if final || !a.retry() {
		a.finish(Result{Outcome: outcome.Unknown, Failure: cmpOr(a.failure, Broken), Started: a.relay.started})
	}
}

// overShare reports a refusal that asks the caller to send less: a try elsewhere would only move its excess there.
func (a *Attempt) overShare(p Proof) bool {
	return p == AgentRefused && a.refusal.Reason == outcome.CallerLimit
}

func (a *Attempt) retry() bool {
	if a.Tries() >= a.request.MaxTries {
		return false
	}
	wait := a.budget.Backoff(a.Tries())
	if !retry.Worthwhile(a.now, wait, a.request.Deadline) || !a.budget.Take() {
		return false
	}
	a.exclude = append(slices.Clip(a.exclude), a.endpoint)
	a.failure = ""
	a.phase = waiting
	a.emit(Command{Kind: Wait, Wait: wait})
	return true
}

func (a *Attempt) refused(r *outcome.Refusal) {
	// The reason of an earlier try says more than that no endpoint is left.
	if a.refusal == nil {
		a.refusal = r
	}
	a.finishNotRun(Refused)
}

func (a *Attempt) callerGone() {
	// A keyed try runs to its end, so that the key's response is recorded for the caller's repeat.
	if a.request.Keyed && (a.phase == streaming || a.phase == settling) {
		return
	}
	a.stop(Abandoned)
}

// stop gives the request up; a try that was dispatched is settled first because it may be running.
func (a *Attempt) stop(f Failure) {
	a.failure = f
	switch a.phase {
	case streaming:
		if f == Abandoned {
			a.mayHaveRun = true
			a.emit(Command{Kind: Cancel, Try: a.try, Endpoint: a.endpoint})
			a.finish(Result{Outcome: outcome.Unknown, Failure: f, Started: a.relay.started})
			return
		}
		a.settle()
	case settling:
	case intending:
		a.conclude(outcome.NotRun, nil)
		a.finishNotRun(f)
	default:
		a.finishNotRun(f)
	}
}

// finishNotRun reports not-run unless an earlier try may have run.
func (a *Attempt) finishNotRun(f Failure) {
	f = cmpOr(f, Refused)
	if a.mayHaveRun {
		a.finish(Result{Outcome: outcome.Unknown, Failure: f})
		return
	}
	a.finish(Result{Outcome: outcome.NotRun, Failure: f, Proof: a.proof, Refusal: a.refusal})
}

func (a *Attempt) conclude(o outcome.Outcome, w *wire.Answer) {
	if a.request.Keyed {
		a.emit(Command{Kind: Conclude, Try: a.try, Endpoint: a.endpoint, Outcome: o, Answer: w})
	}
}

func (a *Attempt) finish(r Result) {
	a.phase = done
	if r.Detail == "" {
		r.Detail = a.detail
	}
	a.emit(Command{Kind: Finish, Result: &r})
}

func (a *Attempt) expired(now time.Time) bool {
	return !a.request.Deadline.IsZero() && !now.Before(a.request.Deadline)
}

func refusalOf(r *wire.Refusal) *outcome.Refusal {
	return &outcome.Refusal{
		Reason:     outcome.Reason(r.GetReason()),
		RetryAfter: time.Duration(r.GetRetryAfterMilli()) * time.Millisecond,
		Detail:     r.GetDetail(),
	}
}

func cmpOr(f, other Failure) Failure {
	if f != "" {
		return f
	}
	return other
}
