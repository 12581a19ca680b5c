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
	holdBytes = 200 // some plain responses are larger and start before their end is verified
)

// exchange carries out the commands of one attempt, as daemon/entry does.
type exchange struct {
	entry    *entry
	request  *judge.Request
	attempt  *attempt.Attempt
	commands []attempt.Command
	events   []attempt.Event
	// blocked is set while a call to the ledger holds up the commands that follow.
	blocked   bool
	pumping   bool
	done      bool
	gone      bool
	stream    *stream
	target    claimed
	placed    bool
	query     placement.Query
	restamps  uint64
	restamped []byte
	hash      []byte
}

// serve starts a request at an entry.
func (e *entry) serve(r *judge.Request) *exchange {
	x := &exchange{entry: e, request: r}
	base := ident.BaseModel("")
	if r.Service == "" {
		base = baseModel
	}
	x.query = placement.Query{BaseModel: base, Adapter: r.Adapter, Service: r.Service}
	x.attempt = attempt.New(attempt.Request{
		ID: r.ID, Keyed: r.Key != "", Deadline: r.Deadline, MaxTries: maxTries, HoldBytes: holdBytes,
	}, e.budget)
	e.exchanges = append(e.exchanges, x)
	e.fleet.judge.Asked(r)
	x.post(attempt.Event{Kind: attempt.Started})
	e.later(r.Deadline.Sub(e.clock().Now()), func() { x.post(attempt.Event{Kind: attempt.DeadlinePassed}) })
	return x
}

func (x *exchange) post(e attempt.Event) {
	if x.done || x.entry.dead {
		return
	}
	if x.entry.fleet.options.Without == Settling && e.Kind == attempt.Settled {
		return
	}
	x.events = append(x.events, e)
	x.pump()
}

func (x *exchange) pump() {
	if x.pumping {
		return
	}
	x.pumping = true
	defer func() { x.pumping = false }()
	for !x.blocked && !x.done {
		if len(x.commands) > 0 {
			c := x.commands[0]
			x.commands = x.commands[1:]
			x.do(c)
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

func (x *exchange) do(c attempt.Command) {
	switch c.Kind {
	case attempt.Place:
		x.place(c)
	case attempt.Wait:
		x.endTry()
		x.entry.later(c.Wait, func() { x.post(attempt.Event{Kind: attempt.Waited}) })
	case attempt.Intend:
		x.intend(c)
	case attempt.Dispatch:
		x.dispatch(c)
	case attempt.Settle:
		x.settle(c)
	case attempt.Cancel:
		x.endTry()
		x.askSettle(c, func(*wire.SettleResponse) {})
	case attempt.Deliver:
		x.deliver(c.Data)
	case attempt.Conclude:
		x.conclude(c)
	case attempt.Finish:
		x.finish(c.Result)
	}
}

func (x *exchange) deliver(data []byte) {
	if !x.gone {
		x.request.Received = append(x.request.Received, data...)
	}
}

func (x *exchange) place(c attempt.Command) {
	x.endTry()
	x.query.Exclude = c.Exclude
	target, refusal := x.entry.choose(x.query)
	if refusal != nil {
		x.post(attempt.Event{Kind: attempt.NotPlaced, Refusal: refusal})
		return
	}
	x.target, x.placed = target, true
	x.post(attempt.Event{Kind: attempt.Placed, Endpoint: target.endpoint, Incarnation: target.incarnation})
}

func (x *exchange) note(format string, args ...any) {
	x.entry.fleet.log.Add([3]string{string(x.request.ID), string(x.target.endpoint), string(x.request.Key)}, format, args...)
}

func (x *exchange) intend(c attempt.Command) {
	if x.hash == nil {
		sum := sha256.Sum256([]byte(x.request.Body))
		x.hash = sum[:]
	}
	if x.entry.fleet.options.Without == Ledger {
		x.post(attempt.Event{Kind: attempt.Intended, Try: c.Try.Try, Intent: &wire.IntendResponse{State: wire.IntentState_INTENT_STATE_GRANTED}})
		return
	}
	x.entry.intend(&wire.IntendRequest{
		Caller: string(x.request.Caller), Key: string(x.request.Key), BodyDigest: x.hash, ID: wireTryID(c.Try), Endpoint: string(c.Endpoint),
	}, func(r *wire.IntendResponse) {
		x.note("intent of try %d: %v", c.Try.Try, r.GetState())
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
	x.blocked = true
	x.entry.conclude(&wire.ConcludeRequest{
		Caller: string(x.request.Caller), Key: string(x.request.Key), ID: wireTryID(c.Try), Outcome: wire.NewOutcome(c.Outcome), Answer: c.Answer,
	}, func(recorded bool) {
		x.note("conclude of try %d as %s, recorded %t", c.Try.Try, c.Outcome, recorded)
		x.blocked = false
		x.pump()
	})
}

func (x *exchange) dispatch(c attempt.Command) {
	f := x.entry.fleet
	r := x.request
	r.Dispatched++
	x.note("%s dispatches try %d to %s incarnation %d", x.entry.id, c.Try.Try, c.Endpoint, c.Try.Incarnation)
	revision := r.Revision
	if r.Service != "" {
		revision = x.entry.set.ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(c.Endpoint)})
	}
	run := &wire.RunRequest{
		ID: wireTryID(c.Try), Endpoint: string(c.Endpoint), Adapter: string(r.Adapter.Adapter), Version: string(r.Adapter.Version),
		Caller: string(r.Caller), Key: string(r.Key), DeadlineUnixMilli: r.Deadline.UnixMilli(), ResourceRevision: int64(revision),
		Body: []byte(r.Body), Stream: r.Stream,
	}
	a := f.addresses[x.target.address]
	fail := func(delay time.Duration, kind attempt.EventKind) {
		x.entry.later(delay, func() { x.post(attempt.Event{Kind: kind, Try: c.Try.Try, Detail: "connection failed"}) })
	}
	fate := f.fate()
	if a == nil || a.dead || fate == cutBefore {
		fail(f.latency(), attempt.NotSent)
		return
	}
	s := f.newStream(x, a, c.Try)
	x.stream = s
	delay := f.latency()
	switch fate {
	case cutVanished:
		s.broken = true
		fail(f.latency(), attempt.StreamBroken)
		return
	case cutLate:
		fail(f.latency(), attempt.StreamBroken)
		s.broken = true
		delay = f.clock.Between(0, lateBound)
	case cutAfter:
		x.entry.later(f.clock.Between(0, 2*time.Second), func() { s.breakOff("connection broken") })
	}
	f.clock.After(delay, func() {
		if a.dead {
			s.breakOff("the agent has ended")
			return
		}
		a.awake(func() { a.receive(s, run) })
	})
}

func (x *exchange) settle(c attempt.Command) {
	x.endTry()
	x.askSettle(c, func(r *wire.SettleResponse) {
		x.note("try %d is settled as %v after: %s", c.Try.Try, r.GetState(), c.Detail)
		x.post(attempt.Event{Kind: attempt.Settled, Try: c.Try.Try, Settlement: r})
	})
}

func (x *exchange) askSettle(c attempt.Command, done func(*wire.SettleResponse)) {
	x.entry.askAgent(x.target.address, c.Try, x.request.Key == "", settleTimeout, done)
}

// askAgent settles a try with the agent at an address; the answer is nil if it cannot be reached.
func (e *entry) askAgent(address string, id ident.TryID, cancel bool, timeout time.Duration, done func(*wire.SettleResponse)) {
	a := e.fleet.addresses[address]
	var to *process
	if a != nil {
		to = &a.process
	}
	e.fleet.call(&e.process, to, timeout, func(reply func(any)) {
		if r := a.settle(id, cancel); r != nil {
			reply(r)
		}
	}, func(answer any, s callStatus) {
		if s != answered {
			done(nil)
			return
		}
		done(answer.(*wire.SettleResponse))
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
		x.entry.table.Done(x.entry.clock().Now(), x.target.endpoint, x.query)
	}
}

func (x *exchange) finish(r *attempt.Result) {
	x.endTry()
	x.done = true
	x.entry.ended(x)
	q := x.request
	if x.gone {
		return
	}
	q.Outcome, q.Paused = r.Outcome, x.entry.pauseEnd
	if r.Replay != nil {
		q.Replay, q.Withheld = true, r.Replay.GetTruncated()
		x.deliver(r.Replay.GetBody())
	}
	if r.Refusal != nil {
		q.Refused, q.RetryAfter = r.Outcome == outcome.NotRun, r.Refusal.RetryAfter
	}
	x.note("result %s %s %s", r.Outcome, r.Failure, r.Proof)
	x.entry.fleet.judge.Finished(q)
	x.entry.fleet.callers.finished(q)
}

// leave is the caller's disconnect.
func (x *exchange) leave() {
	if x.done || x.entry.dead {
		return
	}
	x.gone = true
	x.entry.fleet.judge.Cut(x.request)
	x.post(attempt.Event{Kind: attempt.CallerDisconnected})
}

// restamp makes any frame pass the checks, as an entry without them would take it.
func (x *exchange) restamp(f *wire.Frame) *wire.Frame {
	f.ID = &wire.TryID{RequestID: string(x.request.ID), Try: uint32(x.attempt.Tries()), Incarnation: int64(x.target.incarnation)}
	switch f.GetKind() {
	case wire.FrameKind_FRAME_KIND_ACCEPTED:
		x.restamps, x.restamped = 0, nil
	case wire.FrameKind_FRAME_KIND_DATA:
		x.restamps++
		f.Number = x.restamps
		x.restamped = append(x.restamped, f.GetData()...)
	}
	if f.GetEnd() != nil {
		sum := sha256.Sum256(x.restamped)
		f.End.Count, f.End.Digest = x.restamps, sum[:]
	}
	return f
}

func wireTryID(t ident.TryID) *wire.TryID {
	return &wire.TryID{RequestID: string(t.RequestID), Try: uint32(t.Try), Incarnation: int64(t.Incarnation)}
}
