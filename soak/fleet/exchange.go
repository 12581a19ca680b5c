package fleet

import (
	"crypto/sha256"
	"slices"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/soak/judge"
	"shallotring.dev/state/attempt"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

const (
	maxTries  = 3
	holdBytes = 200 // some plain responses are larger, so that their delivery starts before their end is verified
)

// exchange executes the commands of one request's state machine (package state/attempt), as daemon/entry does.
type exchange struct {
	entry    *entry
	request  *judge.Request
	attempt  *attempt.Attempt
	commands []attempt.Command
	events   []attempt.Event
	// blockedOnLedger is set while the following commands wait for a call to the ledger.
	blockedOnLedger    bool
	processing         bool
	finished           bool
	callerDisconnected bool
	stream             *stream
	target             claimRecord
	placed             bool
	try                placement.Try
	query              placement.Query
	rewrittenFrames    uint64
	rewrittenData      []byte
	bodyDigest         []byte
}

// serve starts to handle a request at an entry.
func (e *entry) serve(r *judge.Request) *exchange {
	x := &exchange{entry: e, request: r}
	base := ident.BaseModel("")
	if r.Service == "" {
		base = baseModel
	}
	x.query = placement.Query{BaseModel: base, Adapter: r.Adapter, Service: r.Service}
	x.attempt = attempt.New(attempt.Request{
		ID: r.ID, Keyed: r.Key != "", Deadline: r.Deadline, MaxTries: maxTries, HoldBytes: holdBytes,
	}, e.retryBudget)
	e.exchanges = append(e.exchanges, x)
	e.fleet.judge.RequestSent(r)
	x.post(attempt.Event{Kind: attempt.Started})
	e.runAfter(r.Deadline.Sub(e.clock().Now()), func() { x.post(attempt.Event{Kind: attempt.DeadlinePassed}) })
	return x
}

func (x *exchange) post(e attempt.Event) {
	if x.finished || x.entry.exited {
		return
	}
	if x.entry.fleet.options.Without == Settling && e.Kind == attempt.Settled {
		return
	}
	x.events = append(x.events, e)
	x.processEvents()
}

func (x *exchange) processEvents() {
	if x.processing {
		return
	}
	x.processing = true
	defer func() { x.processing = false }()
	for !x.blockedOnLedger && !x.finished {
		if len(x.commands) > 0 {
			c := x.commands[0]
			x.commands = x.commands[1:]
			x.execute(c)
			continue
		}
		if len(x.events) == 0 {
			return
		}
		e := x.events[0]
		x.events = x.events[1:]
		x.commands = slices.Clone(x.attempt.Step(x.entry.clock().Now(), e))
	}
}

func (x *exchange) execute(c attempt.Command) {
	switch c.Kind {
	case attempt.Place:
		x.place(c)
	case attempt.Wait:
		x.endTry()
		x.entry.runAfter(c.Wait, func() { x.post(attempt.Event{Kind: attempt.Waited}) })
	case attempt.Intend:
		x.intend(c)
	case attempt.Dispatch:
		x.dispatch(c)
	case attempt.Settle:
		x.settle(c)
	case attempt.Cancel:
		x.endTry()
		x.requestSettle(c, func(*wire.SettleResponse) {})
	case attempt.Deliver:
		x.deliver(c.Data)
	case attempt.Conclude:
		x.conclude(c)
	case attempt.Finish:
		x.finish(c.Result)
	}
}

func (x *exchange) deliver(data []byte) {
	if !x.callerDisconnected {
		x.request.Received = append(x.request.Received, data...)
	}
}

func (x *exchange) place(c attempt.Command) {
	x.endTry()
	x.query.Exclude = c.Exclude
	target, try, refusal := x.entry.choose(x.query)
	if refusal != nil {
		x.post(attempt.Event{Kind: attempt.NotPlaced, Refusal: refusal})
		return
	}
	x.target, x.try, x.placed = target, try, true
	x.post(attempt.Event{Kind: attempt.Placed, Endpoint: target.endpoint, Incarnation: target.incarnation})
}

func (x *exchange) logEvent(format string, args ...any) {
	x.entry.fleet.log.Add([3]string{string(x.request.ID), string(x.target.endpoint), string(x.request.Key)}, format, args...)
}

func (x *exchange) intend(c attempt.Command) {
	if x.bodyDigest == nil {
		sum := sha256.Sum256([]byte(x.request.Body))
		x.bodyDigest = sum[:]
	}
	if x.entry.fleet.options.Without == Ledger {
		x.post(attempt.Event{Kind: attempt.Intended, Try: c.Try.Try, Intent: &wire.IntendResponse{State: wire.IntentState_INTENT_STATE_GRANTED}})
		return
	}
	x.entry.intend(&wire.IntendRequest{
		Caller: string(x.request.Caller), Key: string(x.request.Key), BodyDigest: x.bodyDigest, ID: wireTryID(c.Try), Endpoint: string(c.Endpoint),
	}, func(r *wire.IntendResponse) {
		x.logEvent("intent of try %d has the state %v", c.Try.Try, r.GetState())
		x.post(attempt.Event{Kind: attempt.Intended, Try: c.Try.Try, Intent: r})
	})
}

func (x *exchange) conclude(c attempt.Command) {
	if x.entry.fleet.options.Without == Ledger {
		return
	}
	if c.Answer != nil {
		c.Answer.Adapter, c.Answer.Version = string(x.request.Adapter.Adapter), string(x.request.Adapter.Version)
	}
	x.blockedOnLedger = true
	x.entry.conclude(&wire.ConcludeRequest{
		Caller: string(x.request.Caller), Key: string(x.request.Key), ID: wireTryID(c.Try), Outcome: wire.NewOutcome(c.Outcome), Answer: c.Answer,
	}, func(recorded bool) {
		x.logEvent("conclude try %d as %s, recorded: %t", c.Try.Try, c.Outcome, recorded)
		x.blockedOnLedger = false
		x.processEvents()
	})
}

func (x *exchange) dispatch(c attempt.Command) {
	f := x.entry.fleet
	r := x.request
	r.Dispatched++
	x.logEvent("%s dispatches try %d to %s incarnation %d", x.entry.id, c.Try.Try, c.Endpoint, c.Try.Incarnation)
	revision := r.Revision
	if r.Service != "" {
		revision = x.entry.resources.ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(c.Endpoint)})
	}
	run := &wire.RunRequest{
		ID: wireTryID(c.Try), Endpoint: string(c.Endpoint), Adapter: string(r.Adapter.Adapter), Version: string(r.Adapter.Version),
		Caller: string(r.Caller), Key: string(r.Key), DeadlineUnixMilli: r.Deadline.UnixMilli(), ResourceRevision: int64(revision),
		Body: []byte(r.Body), Stream: r.Stream,
	}
	a := f.addresses[x.target.address]
	fail := func(delay time.Duration, kind attempt.EventKind) {
		x.entry.runAfter(delay, func() { x.post(attempt.Event{Kind: kind, Try: c.Try.Try, Detail: "connection failed"}) })
	}
	result := f.randomDelivery()
	if a == nil || a.exited || result == cutBeforeSend {
		fail(f.latency(), attempt.NotSent)
		return
	}
	s := f.newStream(x, a, c.Try)
	x.stream = s
	delay := f.latency()
	switch result {
	case cutAndLost:
		s.aborted = true
		fail(f.latency(), attempt.StreamBroken)
		return
	case cutThenDelivered:
		fail(f.latency(), attempt.StreamBroken)
		s.aborted = true
		delay = f.clock.Between(0, maxLateDelivery)
	case cutResponse:
		x.entry.runAfter(f.clock.Between(0, 2*time.Second), func() { s.abort("connection closed") })
	}
	f.clock.After(delay, func() {
		if a.exited {
			s.abort("the agent exited")
			return
		}
		a.runUnpaused(func() { a.receive(s, run) })
	})
}

func (x *exchange) settle(c attempt.Command) {
	x.endTry()
	x.requestSettle(c, func(r *wire.SettleResponse) {
		x.logEvent("try %d settled as %v after: %s", c.Try.Try, r.GetState(), c.Detail)
		x.post(attempt.Event{Kind: attempt.Settled, Try: c.Try.Try, Settlement: r})
	})
}

func (x *exchange) requestSettle(c attempt.Command, done func(*wire.SettleResponse)) {
	x.entry.settleTry(x.target.address, c.Try, x.request.Key == "", settleTimeout, done)
}

// settleTry settles a try with the agent at an address; the response is nil if the agent cannot be reached.
func (e *entry) settleTry(address string, id ident.TryID, cancel bool, timeout time.Duration, done func(*wire.SettleResponse)) {
	a := e.fleet.addresses[address]
	var callee *process
	if a != nil {
		callee = &a.process
	}
	e.fleet.call(&e.process, callee, timeout, func(reply func(any)) {
		if r := a.settle(id, cancel); r != nil {
			reply(r)
		}
	}, func(response any, s callStatus) {
		if s != callAnswered {
			done(nil)
			return
		}
		done(response.(*wire.SettleResponse))
	})
}

func (x *exchange) closeStream() {
	if x.stream != nil {
		x.stream.close()
		x.stream = nil
	}
}

func (x *exchange) endTry() {
	x.closeStream()
	if x.placed {
		x.placed = false
		x.entry.table.Done(x.entry.clock().Now(), x.try)
	}
}

func (x *exchange) finish(r *attempt.Result) {
	x.endTry()
	x.finished = true
	x.entry.removeExchange(x)
	q := x.request
	if x.callerDisconnected {
		return
	}
	q.Outcome, q.PauseEnd = r.Outcome, x.entry.pauseEnd
	if r.Replay != nil {
		q.Replay, q.Withheld = true, r.Replay.GetTruncated()
		x.deliver(r.Replay.GetBody())
	}
	if r.Refusal != nil {
		q.Refused, q.RetryAfter = r.Outcome == outcome.NotRun, r.Refusal.RetryAfter
	}
	x.logEvent("result %s %s %s", r.Outcome, r.Failure, r.Proof)
	x.entry.fleet.judge.RequestFinished(q)
	x.entry.fleet.callers.handleFinished(q)
}

// handleDisconnect handles the disconnect of the caller.
func (x *exchange) handleDisconnect() {
	if x.finished || x.entry.exited {
		return
	}
	x.callerDisconnected = true
	x.entry.fleet.judge.CallerDisconnected(x.request)
	x.post(attempt.Event{Kind: attempt.CallerDisconnected})
}

// rewriteFrame changes the ID, number and digest of a frame so that it passes all checks, which stands for an entry without
// the checks.
func (x *exchange) rewriteFrame(f *wire.Frame) *wire.Frame {
	f.ID = &wire.TryID{RequestID: string(x.request.ID), Try: uint32(x.attempt.Tries()), Incarnation: int64(x.target.incarnation)}
	switch f.GetKind() {
	case wire.FrameKind_FRAME_KIND_ACCEPTED:
		x.rewrittenFrames, x.rewrittenData = 0, nil
	case wire.FrameKind_FRAME_KIND_DATA:
		x.rewrittenFrames++
		f.Number = x.rewrittenFrames
		x.rewrittenData = append(x.rewrittenData, f.GetData()...)
	}
	if f.GetEnd() != nil {
		sum := sha256.Sum256(x.rewrittenData)
		f.End.Count, f.End.Digest = x.rewrittenFrames, sum[:]
	}
	return f
}

func wireTryID(t ident.TryID) *wire.TryID {
	return &wire.TryID{RequestID: string(t.RequestID), Try: uint32(t.Try), Incarnation: int64(t.Incarnation)}
}
