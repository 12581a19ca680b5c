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

// frameTimeout bounds the time that a receiver may take for one frame, because a try holds its place in the batch meanwhile.
const frameTimeout = 30 * time.Second

// stream is the traffic side of one admitted try. The control goroutine sends at most one Start and exactly one Finish.
type stream struct {
	start  chan gate.Start
	finish chan gate.Finish
	cancel context.CancelFunc
}

// job is one POST /run.
type job struct {
	agent   *Agent
	request *wire.RunRequest
	id      ident.TryID
	stream  *stream
	out     *frame.Writer
	flush   func() error
	answer  *gate.Answer
	status  engine.Answer
	usage   engine.Usage
	stall   time.Duration
	began   time.Time
	// broken is set once the receiver is gone; a keyed try goes on without it.
	broken bool
}

func (a *Agent) run(w http.ResponseWriter, r *http.Request) {
	size := r.ContentLength
	if size < 0 {
		size = server.PeerBodyBytes
	}
	defer a.bodies.Add(-size)
	if a.bodies.Add(size) > a.settings.BodyBytesTotal {
		// Nothing is promised about the try: the entry settles it, and the gate then never starts it.
		a.meters.refusals(outcome.QueueFull).Inc()
		a.log.WarnContext(r.Context(), "run request refused", slog.String("Error", "the bodies of all tries take too much memory"))
		http.Error(w, string(outcome.QueueFull), http.StatusServiceUnavailable)
		return
	}
	request, err := readRequest(r)
	if err != nil {
		a.log.WarnContext(r.Context(), "run request refused", errorAttr(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := &timedWriter{ResponseWriter: w, control: http.NewResponseController(w)}
	defer out.release()
	ctx, cancel := context.WithCancel(a.work)
	defer cancel()
	j := &job{
		agent: a, request: request, id: request.GetID().Ident(), began: a.clock.Now(),
		stream: &stream{start: make(chan gate.Start, 1), finish: make(chan gate.Finish, 1), cancel: cancel},
		out:    frame.NewWriter(out, request.GetID()),
		flush:  out.flush,
	}
	j.admit(ctx, w, r)
}

// timedWriter gives each write its own deadline.
type timedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write starts the time again, because the last part may have been written long ago.
func (t *timedWriter) Write(p []byte) (n int, err error) {
	_ = t.control.SetWriteDeadline(time.Now().Add(frameTimeout))
	return t.ResponseWriter.Write(p)
}

func (t *timedWriter) flush() (err error) { return t.control.Flush() }

// release removes the deadline, which net/http would keep for later requests on the connection.
func (t *timedWriter) release() { _ = t.control.SetWriteDeadline(time.Time{}) }

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
		return nil, eris.New("request id and try must be set")
	}
	return request, nil
}

func (j *job) admit(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	commands, err := j.agent.ask(r.Context(), j.event(r.Context()), j.stream)
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
				_ = j.send(j.out.Refuse(wireRefusal(x.Refusal)))
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
				_ = j.send(j.out.Accept())
				j.serve(ctx)
				return
			}
		}
	}
	http.Error(w, "no decision", http.StatusInternalServerError)
}

func (j *job) event(ctx context.Context) gate.Run {
	r := j.request
	run := gate.Run{
		ID:          j.id,
		Endpoint:    ident.Endpoint(r.GetEndpoint()),
		Adapter:     ident.AdapterVersion{Adapter: ident.Adapter(r.GetAdapter()), Version: ident.Version(r.GetVersion())},
		Caller:      ident.Caller(r.GetCaller()),
		Key:         ident.Key(r.GetKey()),
		Priority:    r.GetPriority(),
		Revision:    ident.Revision(r.GetResourceRevision()),
		Declaration: j.agent.known(ctx, r),
	}
	run.Share = j.agent.share(run.Caller)
	if ms := r.GetDeadlineUnixMilli(); ms != 0 {
		run.Deadline = time.UnixMilli(ms)
	}
	return run
}

// serve waits for the decisions about an admitted try. Only the Finish of the gate ends its stream.
func (j *job) serve(ctx context.Context) {
	select {
	case x := <-j.stream.start:
		j.stall = x.Stall
		j.agent.post(j.call(ctx, x))
	case x := <-j.stream.finish:
		j.end(x)
		return
	case <-j.agent.work.Done():
		return
	}
	select {
	case x := <-j.stream.finish:
		j.end(x)
	case <-j.agent.work.Done():
	}
}

// call runs the try at the endpoint and passes its answer on.
func (j *job) call(ctx context.Context, x gate.Start) (e gate.Ended) {
	r := j.request
	a := j.agent
	head, usage, err := a.client.Run(ctx, a.incarnation(), engine.Call{
		ID: j.id, Adapter: x.Adapter, Service: x.Adapter.IsZero(), Method: r.GetMethod(), Path: r.GetPath(),
		ContentType: r.GetContentType(), Body: r.GetBody(), Key: ident.Key(r.GetKey()), Priority: r.GetPriority(),
	}, j.part)
	j.status, j.usage = head, usage
	a.fenced(err)
	if err == nil && r.GetKey() != "" {
		j.keep(head, nil)
	}
	e = gate.Ended{ID: j.id, Outcome: outcomeOf(err), Reached: head.Status != 0, Answer: j.answer}
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

// part passes one part of the answer on; a keyed try is read to its end even if its receiver is gone.
func (j *job) part(head engine.Answer, data []byte) (err error) {
	if j.request.GetKey() != "" {
		j.keep(head, data)
	}
	if j.broken {
		return nil
	}
	err = j.send(j.out.Data(data, int32(head.Status), head.ContentType))
	if j.request.GetKey() != "" {
		return nil
	}
	return err
}

func (j *job) keep(head engine.Answer, data []byte) {
	if j.answer == nil {
		j.answer = &gate.Answer{Status: head.Status, ContentType: head.ContentType}
	}
	// One byte over the limit is enough for the gate to see that the body is too large.
	room := gate.MaxAnswerBytes + 1 - len(j.answer.Body)
	j.answer.Body = append(j.answer.Body, data[:min(len(data), room)]...)
}

func (j *job) send(written error) (err error) {
	if err = written; err == nil {
		err = j.flush()
	}
	if err != nil {
		j.broken = true
	}
	return err
}

func (j *job) end(x gate.Finish) {
	a := j.agent
	r := j.request
	event := timeline.Event{
		Kind: timeline.TryEnded, RequestID: j.id.RequestID, Try: j.id.Try, Incarnation: j.id.Incarnation,
		Caller: ident.Caller(r.GetCaller()), Adapter: ident.Adapter(r.GetAdapter()), Version: ident.Version(r.GetVersion()),
		Endpoint: a.settings.Endpoint, Outcome: x.Outcome, Status: j.status.Status, Stall: j.stall, Detail: x.Detail,
		PromptTokens: j.usage.PromptTokens, CompletionTokens: j.usage.CompletionTokens, Duration: a.clock.Since(j.began),
	}
	if x.Refusal != nil {
		event.Reason = x.Refusal.Reason
	}
	a.log.Event(event)
	if j.broken {
		return
	}
	_ = j.send(j.out.End(&wire.End{
		Outcome: wire.NewOutcome(x.Outcome), PromptTokens: uint64(j.usage.PromptTokens), CompletionTokens: uint64(j.usage.CompletionTokens),
		StallMilli: j.stall.Milliseconds(), Detail: finishDetail(x),
	}, int32(j.status.Status), j.status.ContentType))
}

func finishDetail(x gate.Finish) string {
	if x.Refusal != nil && x.Detail == "" {
		return string(x.Refusal.Reason)
	}
	return x.Detail
}
