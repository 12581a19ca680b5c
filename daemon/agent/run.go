package agent

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"shallotring.dev/protocol/engine"
	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/timeline"
)

// frameTimeout limits the time that the sender of a try may take to receive one frame, because the try occupies its batch slot
// meanwhile.
const frameTimeout = 30 * time.Second

// tryChannels carry the decisions of the gate about one admitted try to its runCall. The control goroutine sends at most one
// Start and exactly one Finish.
type tryChannels struct {
	start  chan gate.Start
	finish chan gate.Finish
	cancel context.CancelFunc
}

// runCall is one POST /run, which carries one try.
type runCall struct {
	agent          *Agent
	request        *wire.RunRequest
	id             ident.TryID
	channels       *tryChannels
	out            *frame.Writer
	flush          func() error
	storedResponse *gate.Answer
	response       engine.ResponseHead
	usage          engine.Usage
	stall          time.Duration
	received       time.Time
	// senderGone is set once a frame cannot be written to the sender of the try, an entry; a try with an idempotency key continues
	// without it.
	senderGone bool
}

func (a *Agent) run(w http.ResponseWriter, r *http.Request) {
	size := r.ContentLength
	if size < 0 {
		size = server.PeerBodyBytes
	}
	defer a.bodyBytes.Add(-size)
	if a.bodyBytes.Add(size) > a.bodyLimit {
		// The try was not submitted to the gate: the entry settles it, and the gate then never starts it.
		a.meters.refusals(outcome.QueueFull).Inc()
		a.log.WarnContext(r.Context(), "run request refused", slog.String("Error", "the request bodies of all tries would exceed their limit"))
		http.Error(w, string(outcome.QueueFull), http.StatusServiceUnavailable)
		return
	}
	request, err := readRequest(r)
	if err != nil {
		a.log.WarnContext(r.Context(), "run request refused", errorAttr(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w)}
	defer out.clearDeadline()
	ctx, cancel := context.WithCancel(a.work)
	defer cancel()
	j := &runCall{
		agent: a, request: request, id: request.GetID().Ident(), received: a.clock.Now(),
		channels: &tryChannels{start: make(chan gate.Start, 1), finish: make(chan gate.Finish, 1), cancel: cancel},
		out:      frame.NewWriter(out, request.GetID()),
		flush:    out.flush,
	}
	j.admit(ctx, w, r)
}

// deadlineWriter sets a new deadline for each write.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write sets the deadline anew, because the previous chunk may have been written long ago.
func (t *deadlineWriter) Write(p []byte) (n int, err error) {
	_ = t.control.SetWriteDeadline(time.Now().Add(frameTimeout))
	return t.ResponseWriter.Write(p)
}

func (t *deadlineWriter) flush() (err error) { return t.control.Flush() }

// clearDeadline removes the deadline, which net/http would apply to later requests on the connection too.
func (t *deadlineWriter) clearDeadline() { _ = t.control.SetWriteDeadline(time.Time{}) }

func readRequest(r *http.Request) (request *wire.RunRequest, err error) {
	defer func() { err = eris.Wrap(err, "read run request") }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request = &wire.RunRequest{}
	if err = proto.Unmarshal(text, request); err != nil {
		return nil, err
	}
	if request.GetID().GetRequestID() == "" || request.GetID().GetTry() == 0 {
		return nil, eris.New("request id and try number must be set")
	}
	return request, nil
}

func (j *runCall) admit(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	commands, err := j.agent.submit(r.Context(), j.runEvent(r.Context()), j.channels)
	if err != nil {
		e := j.agent.tryEvent(timeline.TryAbandoned, j.id, nil)
		e.Outcome, e.Detail = outcome.Unknown, err.Error()
		j.agent.log.Event(e)
		http.Error(w, "the agent has stopped", http.StatusServiceUnavailable)
		return
	}
	for _, c := range commands {
		switch x := c.(type) {
		case gate.Refuse:
			if x.ID == j.id {
				_ = j.flushFrame(j.out.Refuse(wireRefusal(x.Refusal)))
				return
			}
		case gate.Abandon:
			if x.ID == j.id {
				http.Error(w, string(x.Reason), http.StatusConflict)
				return
			}
		case gate.Accept:
			if x.ID == j.id {
				defer context.AfterFunc(r.Context(), func() { j.agent.post(gate.SenderGone{ID: j.id}) })()
				_ = j.flushFrame(j.out.Accept())
				j.serve(ctx)
				return
			}
		}
	}
	http.Error(w, "the gate returned no decision on the try", http.StatusInternalServerError)
}

func (j *runCall) runEvent(ctx context.Context) gate.Run {
	r := j.request
	run := gate.Run{
		ID:          j.id,
		Endpoint:    ident.Endpoint(r.GetEndpoint()),
		Adapter:     ident.AdapterVersion{Adapter: ident.Adapter(r.GetAdapter()), Version: ident.Version(r.GetVersion())},
		Caller:      ident.Caller(r.GetCaller()),
		Key:         ident.Key(r.GetKey()),
		Priority:    r.GetPriority(),
		Revision:    ident.Revision(r.GetResourceRevision()),
		Declaration: j.agent.declaration(ctx, r),
	}
	run.Share = j.agent.callerShare(run.Caller)
	if ms := r.GetDeadlineUnixMilli(); ms != 0 {
		run.Deadline = time.UnixMilli(ms)
	}
	return run
}

// serve waits for the decisions about an admitted try. Only the Finish command of the gate ends its response stream.
func (j *runCall) serve(ctx context.Context) {
	select {
	case x := <-j.channels.start:
		j.stall = x.Stall
		j.agent.post(j.runAtEndpoint(ctx, x))
	case x := <-j.channels.finish:
		j.finish(x)
		return
	case <-j.agent.work.Done():
		return
	}
	select {
	case x := <-j.channels.finish:
		j.finish(x)
	case <-j.agent.work.Done():
	}
}

// runAtEndpoint runs the try at the endpoint and forwards the response.
func (j *runCall) runAtEndpoint(ctx context.Context, x gate.Start) (e gate.Ended) {
	r := j.request
	a := j.agent
	head, usage, err := a.client.Run(ctx, x.ID.Incarnation, engine.Call{
		ID: j.id, Adapter: x.Adapter, Service: x.Adapter.IsZero(), Method: r.GetMethod(), Path: r.GetPath(),
		ContentType: r.GetContentType(), Body: r.GetBody(), Key: ident.Key(r.GetKey()), Priority: r.GetPriority(),
	}, j.forwardChunk)
	j.response, j.usage = head, usage
	a.invalidateIfFenced(x.ID.Incarnation, err)
	if err == nil && r.GetKey() != "" {
		j.storeChunk(head, nil)
	}
	e = gate.Ended{ID: j.id, Outcome: outcomeOf(err), Reached: head.Status != 0, Answer: j.storedResponse}
	if err != nil {
		e.Detail = err.Error()
	}
	return e
}

func outcomeOf(err error) outcome.Outcome {
	switch engine.EffectOf(err) {
	case engine.Done:
		return outcome.Completed
	case engine.NoEffect:
		return outcome.NotRun
	}
	return outcome.Unknown
}

// forwardChunk forwards one chunk of the response. The response to a keyed try is read to its end even if the sender
// of the try has disconnected.
func (j *runCall) forwardChunk(head engine.ResponseHead, data []byte) (err error) {
	if j.request.GetKey() != "" {
		j.storeChunk(head, data)
	}
	if j.senderGone {
		return nil
	}
	err = j.flushFrame(j.out.Data(data, int32(head.Status), head.ContentType))
	if j.request.GetKey() != "" {
		return nil
	}
	return err
}

func (j *runCall) storeChunk(head engine.ResponseHead, data []byte) {
	if j.storedResponse == nil {
		j.storedResponse = &gate.Answer{Status: head.Status, ContentType: head.ContentType}
	}
	// One byte over the limit suffices for the gate to detect that the body is too large.
	remaining := gate.MaxAnswerBytes + 1 - len(j.storedResponse.Body)
	j.storedResponse.Body = append(j.storedResponse.Body, data[:min(len(data), remaining)]...)
}

// flushFrame flushes a frame that has been written with the error writeErr. It sets senderGone if the write or the flush failed.
func (j *runCall) flushFrame(writeErr error) (err error) {
	if err = writeErr; err == nil {
		err = j.flush()
	}
	if err != nil {
		j.senderGone = true
	}
	return err
}

func (j *runCall) finish(x gate.Finish) {
	a := j.agent
	r := j.request
	event := timeline.Event{
		Kind: timeline.TryEnded, RequestID: j.id.RequestID, Try: j.id.Try, Incarnation: j.id.Incarnation,
		Caller: ident.Caller(r.GetCaller()), Adapter: ident.Adapter(r.GetAdapter()), Version: ident.Version(r.GetVersion()),
		Endpoint: a.settings.Endpoint, Outcome: x.Outcome, Status: j.response.Status, Stall: j.stall, Detail: x.Detail,
		PromptTokens: j.usage.PromptTokens, CompletionTokens: j.usage.CompletionTokens, Duration: a.clock.Since(j.received),
	}
	if x.Refusal != nil {
		event.Reason = x.Refusal.Reason
	}
	a.log.Event(event)
	if j.senderGone {
		return
	}
	_ = j.flushFrame(j.out.End(&wire.End{
		Outcome: wire.NewOutcome(x.Outcome), PromptTokens: uint64(j.usage.PromptTokens), CompletionTokens: uint64(j.usage.CompletionTokens),
		StallMilli: j.stall.Milliseconds(), Detail: finishDetail(x),
	}, int32(j.response.Status), j.response.ContentType))
}

func finishDetail(x gate.Finish) string {
	if x.Refusal != nil && x.Detail == "" {
		return string(x.Refusal.Reason)
	}
	return x.Detail
}
