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

// Budget limits the rate of retries and spaces them out. It is implemented by retry.Budget.
type Budget interface {
	// RecordFirstTry records the first try of a request.
	RecordFirstTry()
	// Take takes one retry from the budget; it returns false if none is available.
	Take() bool
	// Backoff returns the time to wait after the given try.
	Backoff(try int) time.Duration
}

// Request holds the properties of a request that decide how it is tried.
type Request struct {
	ID ident.RequestID
	// Keyed marks a non-repeatable request, which carries an idempotency key. Each of its tries needs a grant from the
	// ledger, and it is not retried once a try may have run.
	Keyed    bool
	Deadline time.Time
	// MaxTries limits the number of tries.
	MaxTries int
	// HoldBytes is the size up to which a response that is not an event stream is held back until its last frame has been
	// verified.
	HoldBytes int
}

// maxUnknownTries is the number of tries after whose unknown end a request is not tried again: the request may be the reason why its engines
// ended.
const maxUnknownTries = 2

type phase int

const (
	idle phase = iota
	placing
	backingOff
	intending
	streaming
	settling
	done
)

// Attempt is the state of one request over all its tries. It is not safe for concurrent use.
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
	// mayHaveRun is set once it is unknown whether a try ran. From then on, the request is never reported as not run.
	mayHaveRun bool
	// unknownTries counts the tries of which it is unknown whether they ran.
	unknownTries int
	proof        Proof
	failure      Failure
	refusal      *outcome.Refusal
	detail       string
	commands     []Command
}

// New returns the state machine of a request.
func New(r Request, b Budget) *Attempt {
	return &Attempt{request: r, budget: b, proof: NothingDispatched}
}

// Tries returns the number of tries so far.
func (a *Attempt) Tries() int { return int(a.try.Try) }

// Head returns status and content type of the response that is being delivered.
func (a *Attempt) Head() (status int, contentType string) { return a.relay.status, a.relay.contentType }

// Step processes one event and returns the commands to carry out. The slice is valid until the next call.
func (a *Attempt) Step(now time.Time, e Event) []Command {
	a.commands, a.now = a.commands[:0], now
	if a.phase == done || e.Try != 0 && e.Try != a.try.Try {
		return nil
	}
	switch e.Kind {
	case Started:
		a.budget.RecordFirstTry()
		a.requestPlacement()
	case DeadlinePassed:
		a.stop(Expired)
	case CallerDisconnected:
		a.handleCallerDisconnected()
	default:
		a.handleInPhase(now, e)
	}
	return a.commands
}

func (a *Attempt) handleInPhase(now time.Time, e Event) {
	switch {
	case a.phase == placing && e.Kind == Placed:
		a.handlePlaced(now, e)
	case a.phase == placing && e.Kind == NotPlaced:
		a.handleNotPlaced(e.Refusal)
	case a.phase == backingOff && e.Kind == Waited:
		a.requestPlacement()
	case a.phase == intending && e.Kind == Intended:
		a.handleIntended(now, e.Intent)
	case a.phase == streaming && e.Kind == NotSent:
		a.refusal = &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: time.Second, Detail: e.Detail}
		a.endTryNotRun(NoByteSent)
	case a.phase == streaming && e.Kind == FrameArrived:
		a.handleFrame(e.Frame)
	case a.phase == streaming && e.Kind == StreamBroken:
		a.handleBrokenStream(e.Detail)
	case a.phase == settling && e.Kind == Settled:
		a.handleSettled(e.Settlement)
	}
}

func (a *Attempt) emit(c Command) { a.commands = append(a.commands, c) }

func (a *Attempt) requestPlacement() {
	a.phase = placing
	a.emit(Command{Kind: Place, Exclude: a.exclude})
}

func (a *Attempt) handlePlaced(now time.Time, e Event) {
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

func (a *Attempt) handleIntended(now time.Time, r *wire.IntendResponse) {
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
		// The request that first used the key may have run, so the outcome is unknown rather than not run.
		retryAfter := max(time.Duration(r.GetRetryAfterMilli())*time.Millisecond, time.Second)
		a.finish(Result{Outcome: outcome.Unknown, Failure: KeyInProgress, Refusal: &outcome.Refusal{RetryAfter: retryAfter}})
	case wire.IntentState_INTENT_STATE_MISMATCH:
		a.finishNotRun(KeyMismatch)
	case wire.IntentState_INTENT_STATE_EXPIRED:
		a.finishNotRun(KeyExpired)
	case wire.IntentState_INTENT_STATE_UNKNOWN:
		a.finish(Result{Outcome: outcome.Unknown, Failure: KeyUnknown})
	default:
		a.refuseLedgerDown(time.Duration(r.GetRetryAfterMilli()) * time.Millisecond)
	}
}

// refuseLedgerDown refuses the request because the ledger is unavailable. The ledger may have recorded the intent although
// its response was lost, so the intent is concluded as not run.
func (a *Attempt) refuseLedgerDown(retryAfter time.Duration) {
	a.conclude(outcome.NotRun, nil)
	a.refusal = &outcome.Refusal{Reason: outcome.LedgerDown, RetryAfter: max(retryAfter, time.Second)}
	a.finishNotRun(Refused)
}

func (a *Attempt) handleFrame(f *wire.Frame) {
	if err := a.checker.Check(f); err != nil {
		a.handleBrokenStream(err.Error())
		a.commands[len(a.commands)-1].Damaged = true
		return
	}
	switch f.GetKind() {
	case wire.FrameKind_FRAME_KIND_REFUSED:
		a.refusal = refusalOf(f.GetRefusal())
		a.endTryNotRun(AgentRefused)
	case wire.FrameKind_FRAME_KIND_DATA:
		a.deliver(a.relay.addData(f))
		if a.relay.excess {
			a.handleBrokenStream("response data after the [DONE] event")
		}
	case wire.FrameKind_FRAME_KIND_END:
		a.handleEnd(f)
	}
}

func (a *Attempt) deliver(data []byte) {
	if len(data) == 0 {
		return
	}
	a.relay.deliveryStarted = true
	a.emit(Command{Kind: Deliver, Data: data})
}

func (a *Attempt) handleEnd(f *wire.Frame) {
	switch f.GetEnd().GetOutcome() {
	case wire.Outcome_OUTCOME_COMPLETED:
		a.relay.setHead(f)
		rest := a.relay.takeHeld()
		a.conclude(outcome.Completed, a.ledgerAnswer(rest))
		started := a.relay.deliveryStarted
		if len(rest) > 0 {
			a.emit(Command{Kind: Deliver, Data: rest, Last: true})
		}
		a.finish(Result{Outcome: outcome.Completed, End: f.GetEnd(), DeliveryStarted: started})
	case wire.Outcome_OUTCOME_NOT_RUN:
		if a.relay.deliveryStarted {
			a.conclude(outcome.Unknown, nil)
			a.endTryUnknown(f.GetEnd().GetDetail())
			return
		}
		a.refusal = &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: time.Second, Detail: f.GetEnd().GetDetail()}
		a.endTryNotRun(AgentNotRun)
	default:
		a.conclude(outcome.Unknown, nil)
		a.endTryUnknown(f.GetEnd().GetDetail())
	}
}

// ledgerAnswer returns the response to record in the ledger, which omits a body that is too large.
func (a *Attempt) ledgerAnswer(rest []byte) *wire.Answer {
	if !a.request.Keyed {
		return nil
	}
	answer := &wire.Answer{Status: int32(a.relay.status), ContentType: a.relay.contentType, RequestID: string(a.request.ID)}
	if answer.Truncated = a.relay.deliveryStarted; !answer.Truncated {
		answer.Body = rest
	}
	return answer
}

// handleBrokenStream ends a stream that failed or is damaged, and settles the try with its agent.
func (a *Attempt) handleBrokenStream(detail string) {
	a.failure, a.detail = Broken, detail
	a.settle()
}

func (a *Attempt) settle() {
	a.phase = settling
	a.emit(Command{Kind: Settle, Try: a.try, Endpoint: a.endpoint, Detail: a.detail})
}

func (a *Attempt) handleSettled(r *wire.SettleResponse) {
	switch r.GetState() {
	case wire.TryState_TRY_STATE_NEVER_STARTED:
		if a.relay.deliveryStarted {
			a.endTryUnknown("agent reports the try as never started although part of its response was delivered")
			return
		}
		a.endTryNotRun(AgentTombstoned)
	case wire.TryState_TRY_STATE_COMPLETED:
		a.handleSettledCompleted(r)
	case wire.TryState_TRY_STATE_UNKNOWN:
		a.conclude(outcome.Unknown, nil)
		a.endTryUnknown(a.detail)
	default:
		// The try is running or the agent is unreachable. The intent stays open, and the ledger settles it later, at the
		// latest when the key is used again.
		a.endTryUnknown(a.detail)
	}
}

// handleSettledCompleted delivers the response that the agent stored if the caller has received nothing yet.
func (a *Attempt) handleSettledCompleted(r *wire.SettleResponse) {
	answer := r.GetAnswer()
	if !a.relay.deliveryStarted && r.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		a.endTryNotRun(AgentNotRun)
		return
	}
	if r.GetOutcome() != wire.Outcome_OUTCOME_COMPLETED {
		a.conclude(outcome.Unknown, nil)
		a.endTryUnknown(a.detail)
		return
	}
	if answer == nil && a.request.Keyed {
		answer = &wire.Answer{Truncated: true, RequestID: string(a.request.ID)}
	}
	a.conclude(outcome.Completed, answer)
	if answer == nil || a.relay.deliveryStarted {
		a.endTryUnknown(a.detail)
		return
	}
	a.finish(Result{Outcome: outcome.Completed, Replay: answer})
}

// endTryNotRun ends a try that is known not to have run. The request is retried at another endpoint if the budget allows.
func (a *Attempt) endTryNotRun(p Proof) {
	a.proof = p
	a.conclude(outcome.NotRun, nil)
	if a.failure == Expired || a.failure == Abandoned || a.refusedByCallerLimit(p) || !a.retry() {
		a.finishNotRun(a.failure)
	}
}

// endTryUnknown ends a try that may have run. Only a repeatable request of which nothing was delivered is retried.
func (a *Attempt) endTryUnknown(detail string) {
	a.mayHaveRun = true
	a.unknownTries++
	a.detail = detail
	final := a.request.Keyed || a.unknownTries >= maxUnknownTries || a.relay.deliveryStarted || a.failure == Expired || a.failure == Abandoned
	if final || !a.retry() {
		a.finish(Result{Outcome: outcome.Unknown, Failure: failureOr(a.failure, Broken), DeliveryStarted: a.relay.deliveryStarted})
	}
}

// refusedByCallerLimit reports whether the agent refused the try because the caller exceeds its share. Such a request is
// not retried, because a try elsewhere would only move the excess load to another endpoint.
func (a *Attempt) refusedByCallerLimit(p Proof) bool {
	return p == AgentRefused && a.refusal.Reason == outcome.CallerLimit
}

func (a *Attempt) retry() bool {
	if a.Tries() >= a.request.MaxTries {
		return false
	}
	wait := a.budget.Backoff(a.Tries())
	if !retry.StartsBeforeDeadline(a.now, wait, a.request.Deadline) || !a.budget.Take() {
		return false
	}
	a.exclude = append(slices.Clip(a.exclude), a.endpoint)
	a.failure = ""
	a.phase = backingOff
	a.emit(Command{Kind: Wait, Wait: wait})
	return true
}

func (a *Attempt) handleNotPlaced(r *outcome.Refusal) {
	// The refusal of an earlier try is more specific than the one that no endpoint is left.
	if a.refusal == nil {
		a.refusal = r
	}
	a.finishNotRun(Refused)
}

func (a *Attempt) handleCallerDisconnected() {
	// A keyed try continues after the caller disconnects, so that its response is recorded for a retry with the same key.
	if a.request.Keyed && (a.phase == streaming || a.phase == settling) {
		return
	}
	a.stop(Abandoned)
}

// stop ends the request early. A try that was dispatched may be running: it is settled first if the deadline has passed,
// and cancelled if the caller has disconnected.
func (a *Attempt) stop(f Failure) {
	a.failure = f
	switch a.phase {
	case streaming:
		if f == Abandoned {
			a.mayHaveRun = true
			a.emit(Command{Kind: Cancel, Try: a.try, Endpoint: a.endpoint})
			a.finish(Result{Outcome: outcome.Unknown, Failure: f, DeliveryStarted: a.relay.deliveryStarted})
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

// finishNotRun finishes the request as not run, or as unknown if an earlier try may have run.
func (a *Attempt) finishNotRun(f Failure) {
	f = failureOr(f, Refused)
	if a.mayHaveRun {
		a.finish(Result{Outcome: outcome.Unknown, Failure: f})
		return
	}
	a.finish(Result{Outcome: outcome.NotRun, Failure: f, Proof: a.proof, Refusal: a.refusal})
}

func (a *Attempt) conclude(o outcome.Outcome, answer *wire.Answer) {
	if a.request.Keyed {
		a.emit(Command{Kind: Conclude, Try: a.try, Endpoint: a.endpoint, Outcome: o, Answer: answer})
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

func failureOr(f, fallback Failure) Failure {
	if f != "" {
		return f
	}
	return fallback
}
