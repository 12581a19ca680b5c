package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/openai"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/attempt"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/timeline"
)

// concludeTimeout limits the call that records an outcome; the ledger settles an intent whose outcome is not recorded.
const concludeTimeout = 2 * time.Second

// exchange serves one request of a caller in the goroutine of its HTTP handler. It executes the commands of the state
// machine attempt.Attempt and feeds the resulting events back to it.
type exchange struct {
	entry    *Entry
	request  *http.Request
	response response
	caller   *resource.Caller
	id       ident.RequestID
	received time.Time
	deadline time.Time
	key      ident.Key
	body     []byte
	// conn is the connection of the caller with what the process holds for it.
	conn     *guard.Conn
	admitted bool

	adapter    ident.AdapterVersion
	service    ident.Service
	revision   ident.Revision // of the adapter
	path       string         // that the endpoint gets
	stream     bool
	engineBody []byte // body with the adapter version as its model
	query      placement.Query

	ctx                context.Context
	attempt            *attempt.Attempt
	target             target
	placed             bool // the placer counts the current try as sent
	callerDisconnected bool
	tries              []TryRecord
	result             *attempt.Result
	// connected is set once the current try has a connection; before that no byte of it can have been sent.
	connected *atomic.Bool
	// closeTry cancels the HTTP request of the current try.
	closeTry    context.CancelFunc
	tryResponse *http.Response
	frames      *bufio.Reader
}

func (e *Entry) newExchange(w http.ResponseWriter, r *http.Request, c *resource.Caller) *exchange {
	x := &exchange{entry: e, request: r, caller: c, id: ident.NewRequestID(), received: e.clock.Now(), conn: e.guard.Conn(r)}
	x.response = response{w: w, controller: http.NewResponseController(w), timeout: e.settings.WriteTimeout}
	w.Header().Set(HeaderRequest, string(x.id))
	return x
}

// release frees the memory and the admission of the request.
func (x *exchange) release() {
	x.conn.End()
	if x.admitted {
		x.entry.admission.release(x.entry.clock.Now(), x.caller.Name)
	}
}

// serve runs a request with valid input and rejects one whose input caused err.
func (x *exchange) serve(err *openai.Error) {
	if err != nil {
		if x.body == nil && x.request.ContentLength != 0 {
			x.response.w.Header().Set("Connection", "close")
		}
		x.reject(err)
		return
	}
	x.logEvent(timeline.Event{Kind: timeline.RequestReceived, Revision: x.revision})
	if refusal := x.admit(); refusal != nil {
		x.result = &attempt.Result{
			Outcome: outcome.NotRun, Failure: attempt.Refused, Proof: attempt.NothingDispatched, Refusal: refusal,
		}
		x.finish()
		return
	}
	x.admitted = true
	x.run()
	x.finish()
}

func (x *exchange) admit() (refusal *outcome.Refusal) {
	if reason := x.entry.refusalReason(); reason != "" {
		return &outcome.Refusal{Reason: outcome.Isolated, RetryAfter: minRetryAfter, Detail: reason}
	}
	if x.key != "" && x.entry.ledger == nil {
		return &outcome.Refusal{Reason: outcome.LedgerDown, RetryAfter: minRetryAfter}
	}
	return x.entry.admission.admit(x.caller.Name, x.caller.Share)
}

func (x *exchange) run() {
	base := x.request.Context()
	if x.key != "" {
		// A request with an idempotency key continues after its caller disconnects, so that its response is recorded.
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithDeadline(base, x.deadline)
	defer cancel()
	x.ctx = ctx
	defer x.endTry()
	x.attempt = attempt.New(attempt.Request{
		ID:        x.id,
		Keyed:     x.key != "",
		Deadline:  x.deadline,
		MaxTries:  x.entry.settings.MaxTries,
		HoldBytes: x.entry.settings.HoldBytes,
	}, x.entry.budget)
	e := attempt.Event{Kind: attempt.Started}
	for x.result == nil {
		commands := x.attempt.Step(x.entry.clock.Now(), e)
		e = attempt.Event{}
		for _, c := range commands {
			if next := x.execute(c); next.Kind != 0 {
				e = next
			}
		}
		if e.Kind == 0 && x.result == nil {
			e = x.receiveFrame()
		}
	}
}

// execute executes one command and returns the resulting event; its Kind is 0 if there is none.
func (x *exchange) execute(c attempt.Command) (e attempt.Event) {
	switch c.Kind {
	case attempt.Place:
		return x.place(c)
	case attempt.Wait:
		return x.wait(c.Wait)
	case attempt.Intend:
		return x.intend(c)
	case attempt.Dispatch:
		return x.dispatch(c)
	case attempt.Settle:
		return x.settle(c)
	case attempt.Cancel:
		x.cancel(c)
	case attempt.Deliver:
		return x.deliver(c)
	case attempt.Conclude:
		x.conclude(c)
	case attempt.Finish:
		x.result = c.Result
	}
	return e
}

func (x *exchange) place(c attempt.Command) attempt.Event {
	x.endTry()
	x.query.Exclude = c.Exclude
	result, err := x.entry.placer.place(x.ctx, placeRequest{query: x.query, reply: make(chan placeResult, 1)})
	if err != nil {
		return x.interruptionEvent()
	}
	if result.refusal != nil {
		return attempt.Event{Kind: attempt.NotPlaced, Refusal: result.refusal}
	}
	x.target, x.placed = result.target, true
	return attempt.Event{Kind: attempt.Placed, Endpoint: result.target.endpoint, Incarnation: result.target.incarnation}
}

func (x *exchange) wait(d time.Duration) attempt.Event {
	x.endTry()
	x.entry.meters.retries.Inc()
	t := x.entry.clock.NewTimer(d, "backoff")
	defer t.Stop()
	select {
	case <-t.C:
		return attempt.Event{Kind: attempt.Waited}
	case <-x.ctx.Done():
		return x.interruptionEvent()
	}
}

// interruptionEvent returns the event for an ended context: the deadline passed or the caller disconnected.
func (x *exchange) interruptionEvent() attempt.Event {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return attempt.Event{Kind: attempt.DeadlinePassed}
	}
	return attempt.Event{Kind: attempt.CallerDisconnected}
}

// intend records in the ledger that a try of the request is about to start. The event has no Intent if the call
// fails.
func (x *exchange) intend(c attempt.Command) attempt.Event {
	h := sha256.New()
	// The length prefixes make the digest of method, path and body unambiguous.
	for _, part := range [][]byte{[]byte(x.request.Method), []byte(x.path), x.body} {
		var n [8]byte
		for i := range n {
			n[i] = byte(len(part) >> (8 * i))
		}
		h.Write(n[:])
		h.Write(part)
	}
	r, err := x.entry.ledger.Intend(x.ctx, &wire.IntendRequest{
		Caller:     string(x.caller.Name),
		Key:        string(x.key),
		BodyDigest: h.Sum(nil),
		ID:         wire.NewTryID(c.Try),
		Endpoint:   string(c.Endpoint),
	})
	if err != nil {
		r = nil
	}
	return attempt.Event{Kind: attempt.Intended, Try: c.Try.Try, Intent: r}
}

// conclude records the outcome of a try in the ledger.
func (x *exchange) conclude(c attempt.Command) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), concludeTimeout)
	defer cancel()
	if c.Answer != nil {
		c.Answer.Adapter, c.Answer.Version = string(x.adapter.Adapter), string(x.adapter.Version)
	}
	request := &wire.ConcludeRequest{
		Caller:  string(x.caller.Name),
		Key:     string(x.key),
		ID:      wire.NewTryID(c.Try),
		Outcome: wire.NewOutcome(c.Outcome),
		Answer:  c.Answer,
	}
	r, err := x.entry.ledger.Conclude(ctx, request)
	if err != nil || !r.GetRecorded() {
		if c.Outcome == outcome.NotRun {
			x.entry.outcomes.add(request)
		}
		x.logEvent(timeline.Event{Kind: timeline.TryEnded, Try: c.Try.Try, Endpoint: c.Endpoint,
			Outcome: c.Outcome, Detail: "outcome is not recorded in the ledger"})
	}
}

func (x *exchange) dispatch(c attempt.Command) attempt.Event {
	x.entry.meters.tries.Inc()
	x.tries = append(x.tries, TryRecord{c.Try.Try, c.Endpoint, c.Try.Incarnation, x.entry.clock.Now()})
	x.logEvent(timeline.Event{Kind: timeline.TryDispatched, Try: c.Try.Try, Endpoint: c.Endpoint, Incarnation: c.Try.Incarnation})
	body := x.engineBody
	if x.service != "" {
		body = x.body
	}
	message, err := proto.Marshal(&wire.RunRequest{
		ID:                wire.NewTryID(c.Try),
		Endpoint:          string(c.Endpoint),
		Adapter:           string(x.adapter.Adapter),
		Version:           string(x.adapter.Version),
		Caller:            string(x.caller.Name),
		Key:               string(x.key),
		DeadlineUnixMilli: x.deadline.UnixMilli(),
		ResourceRevision:  int64(x.resourceRevision(c.Endpoint)),
		Method:            x.request.Method,
		Path:              x.path,
		ContentType:       x.request.Header.Get("Content-Type"),
		Body:              body,
		Stream:            x.stream,
	})
	if err != nil {
		return attempt.Event{Kind: attempt.NotSent, Try: c.Try.Try, Detail: err.Error()}
	}
	ctx, cancel := context.WithCancel(x.ctx)
	x.closeTry = cancel
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, x.entry.agentScheme+x.target.address+"/run", bytes.NewReader(message))
	if err != nil {
		return attempt.Event{Kind: attempt.NotSent, Try: c.Try.Try, Detail: err.Error()}
	}
	r.Header.Set("Content-Type", "application/protobuf")
	connected := &atomic.Bool{}
	x.connected = connected
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	x.tryResponse, err = x.entry.client.Do(r)
	if err != nil {
		return x.streamFailure(c.Try.Try, err)
	}
	if x.tryResponse.StatusCode != http.StatusOK {
		return attempt.Event{Kind: attempt.StreamBroken, Try: c.Try.Try, Detail: "agent responded with status " + x.tryResponse.Status}
	}
	x.frames = bufio.NewReader(x.tryResponse.Body)
	return attempt.Event{}
}

// resourceRevision returns the revision of the adapter, or of the endpoint for plain services.
func (x *exchange) resourceRevision(name ident.Endpoint) ident.Revision {
	if x.service == "" {
		return x.revision
	}
	return x.entry.current().ResourceRevision(resource.Name{Kind: resource.KindEndpoint, Name: string(name)})
}

// receiveFrame waits for the next frame of the current try.
func (x *exchange) receiveFrame() attempt.Event {
	try := ident.Try(x.attempt.Tries())
	f := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: frame.MaxFrameBytes}.UnmarshalFrom(x.frames, f)
	if err != nil {
		return x.streamFailure(try, err)
	}
	if k := f.GetKind(); k == wire.FrameKind_FRAME_KIND_END || k == wire.FrameKind_FRAME_KIND_REFUSED {
		x.handleTryEnd(try, f)
	}
	return attempt.Event{Kind: attempt.FrameArrived, Try: try, Frame: f}
}

// handleTryEnd logs the final frame of a try and reads the end of its stream.
func (x *exchange) handleTryEnd(try ident.Try, f *wire.Frame) {
	e := timeline.Event{Kind: timeline.TryEnded, Try: try, Endpoint: x.target.endpoint, Status: int(f.GetStatus())}
	if r := f.GetRefusal(); r != nil {
		e.Kind, e.Reason, e.Outcome = timeline.TryRefused, outcome.Reason(r.GetReason()), outcome.NotRun
	}
	if end := f.GetEnd(); end != nil {
		e.Outcome = end.GetOutcome().AsOutcome()
		e.PromptTokens, e.CompletionTokens = ident.Tokens(end.GetPromptTokens()), ident.Tokens(end.GetCompletionTokens())
		e.Stall = time.Duration(end.GetStallMilli()) * time.Millisecond
	}
	x.logEvent(e)
	// The connection is reused only if the body has been read to its end.
	if _, err := x.frames.Peek(1); errors.Is(err, io.EOF) {
		x.tryResponse.Body.Close()
	}
}

// streamFailure returns the event for a try whose call or stream failed.
func (x *exchange) streamFailure(try ident.Try, err error) attempt.Event {
	if x.ctx.Err() != nil {
		return x.interruptionEvent()
	}
	x.entry.meters.brokenStreams.Inc()
	if !x.connected.Load() {
		return attempt.Event{Kind: attempt.NotSent, Try: try, Detail: err.Error()}
	}
	return attempt.Event{Kind: attempt.StreamBroken, Try: try, Detail: err.Error()}
}

// settle finds out from the agent whether the try started and forbids it if it did not. It closes the stream first, so
// that the agent does not wait for the entry to read it.
func (x *exchange) settle(c attempt.Command) attempt.Event {
	x.endTry()
	if c.Damaged {
		x.entry.meters.damagedFrames.Inc()
	}
	r := x.requestSettlement(c)
	x.logEvent(timeline.Event{Kind: timeline.TrySettled, Try: c.Try.Try, Endpoint: c.Endpoint,
		Detail: r.GetState().String() + " after: " + c.Detail})
	return attempt.Event{Kind: attempt.Settled, Try: c.Try.Try, Settlement: r}
}

// requestSettlement calls the agent's Settle; it returns nil if the agent does not respond in time.
func (x *exchange) requestSettlement(c attempt.Command) (r *wire.SettleResponse) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.entry.settings.SettleTimeout)
	defer cancel()
	// A try with an idempotency key is not cancelled: it may have had its effect, and the ledger returns its response to
	// a retry with the same key.
	r, err := x.entry.agentClient(x.target.address).Settle(ctx, &wire.SettleRequest{ID: wire.NewTryID(c.Try), Cancel: x.key == ""})
	if err != nil {
		return nil
	}
	return r
}

// cancel closes the stream and cancels the try at the agent in the background, because nothing waits for the result.
func (x *exchange) cancel(c attempt.Command) {
	x.endTry()
	x.entry.cancelCalls.Go(func() { x.requestSettlement(c) })
}

// endTry closes the stream of the current try and notifies the placer, which then no longer counts the try.
func (x *exchange) endTry() {
	if x.closeTry != nil {
		x.closeTry()
		x.closeTry = nil
	}
	if x.tryResponse != nil {
		x.tryResponse.Body.Close()
		x.tryResponse, x.frames = nil, nil
	}
	if x.placed {
		x.placed = false
		x.entry.placer.notifyTryEnd(x.target.try)
	}
}

// logEvent writes a timeline event with the fields that all events of the request share.
func (x *exchange) logEvent(e timeline.Event) {
	e.RequestID, e.Caller = x.id, x.caller.Name
	e.Adapter, e.Version, e.Service = x.adapter.Adapter, x.adapter.Version, x.service
	x.entry.log.Event(e)
}
