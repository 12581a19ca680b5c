package fleet

import (
	"time"

	"shallotring.dev/protocol/engine"
	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/soak/backend"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

const (
	eventStream = "text/event-stream"
	plainText   = "text/plain"
)

// pipe delivers the messages of one connection to a process in the order in which they were sent.
type pipe struct {
	to    *process
	queue []func()
}

func (p *pipe) send(delay time.Duration, fn func()) {
	p.queue = append(p.queue, fn)
	p.to.runAfter(delay, func() {
		next := p.queue[0]
		p.queue = p.queue[1:]
		next()
	})
}

// agentTry is one try at an agent, from its arrival to its last frame.
type agentTry struct {
	agent        *agent
	request      *wire.RunRequest
	id           ident.TryID
	stream       *stream
	out          *frame.Writer
	run          *backend.Run
	fromEndpoint pipe
	response     *gate.Answer
	finished     bool
	streamBroken bool
	// responseStarted is set once the first chunk of the response has arrived from the endpoint.
	responseStarted bool
}

// receive handles a try that has arrived over a stream.
func (a *agent) receive(s *stream, r *wire.RunRequest) {
	if a.gate == nil {
		s.abort("the agent is not ready")
		return
	}
	a.waitForRevision(r, a.clock().Now().Add(refreshTimeout), func() {
		t := &agentTry{agent: a, request: r, id: s.id, stream: s, fromEndpoint: pipe{to: &a.process}}
		t.out = frame.NewWriter(s, r.GetID())
		s.agentTry = t
		t.admit()
	})
}

func (t *agentTry) admit() {
	r := t.request
	run := gate.Run{
		ID: t.id, Endpoint: ident.Endpoint(r.GetEndpoint()),
		Adapter: ident.AdapterVersion{Adapter: ident.Adapter(r.GetAdapter()), Version: ident.Version(r.GetVersion())},
		Caller:  ident.Caller(r.GetCaller()), Share: 1, Key: ident.Key(r.GetKey()),
		Deadline: time.UnixMilli(r.GetDeadlineUnixMilli()),
		Revision: ident.Revision(r.GetResourceRevision()), Declaration: t.agent.declaration(r),
	}
	for _, c := range t.agent.stepFor(run, t) {
		switch x := c.(type) {
		case gate.Refuse:
			if x.ID == t.id {
				_ = t.out.Refuse(&wire.Refusal{Reason: string(x.Refusal.Reason), RetryAfterMilli: x.Refusal.RetryAfter.Milliseconds(), Detail: x.Refusal.Detail})
				t.stream.end()
				return
			}
		case gate.Abandon:
			if x.ID == t.id {
				t.stream.abort(string(x.Reason))
				return
			}
		case gate.Accept:
			if x.ID == t.id && (t.stream.closed || t.stream.aborted) {
				t.streamBroken = true
				t.agent.runAfter(time.Millisecond, func() { t.agent.step(gate.SenderGone{ID: t.id}) })
			}
		}
	}
}

// writeAccepted writes the first frame of an admitted try, before any other of its frames.
func (t *agentTry) writeAccepted() {
	if !t.streamBroken {
		_ = t.out.Accept()
	}
}

// sendToEndpoint sends the try to the endpoint and forwards its response.
func (t *agentTry) sendToEndpoint(x gate.Start) {
	a := t.agent
	q := backend.Request{ID: t.id, Adapter: x.Adapter, Caller: ident.Caller(t.request.GetCaller()), Key: ident.Key(t.request.GetKey()),
		Body: string(t.request.GetBody()), Stream: t.request.GetStream()}
	a.sendOrder(x.ID.Incarnation, func(o backend.Order) {
		r, result := a.endpoint.backend.Run(o, q, t.handleChunk, t.handleResponseEnd)
		startID := a.endpoint.backend.StartID
		if result != backend.Accepted {
			a.runAfter(a.fleet.latency(), func() {
				a.step(gate.StartIDObserved{StartID: startID})
				if result == backend.Fenced {
					a.claim.invalidate(o.Incarnation)
				}
				t.end(outcome.NotRun)
			})
			return
		}
		t.run = r
		if t.finished || a.exited {
			r.Connected = false
			a.fleet.noticeDisconnect(r)
			return
		}
		t.fromEndpoint.send(a.fleet.latency(), func() { a.step(gate.StartIDObserved{StartID: startID}) })
	}, func(e engine.Effect) {
		t.closeConnection()
		if e == engine.NoEffect {
			t.end(outcome.NotRun)
			return
		}
		t.end(outcome.Unknown)
	})
}

// handleChunk delivers a chunk of the endpoint's response to the agent, unless the connection fails.
func (t *agentTry) handleChunk(data []byte) {
	f := t.agent.fleet
	if t.run == nil || !t.run.Connected {
		return
	}
	if f.randomDelivery() != delivered {
		t.closeConnection()
		t.agent.runAfter(f.latency(), func() { t.end(outcome.Unknown) })
		return
	}
	t.fromEndpoint.send(f.latency(), func() { t.forwardChunk(data) })
}

func (t *agentTry) handleResponseEnd(complete bool) {
	if t.run == nil || !t.run.Connected {
		return
	}
	t.fromEndpoint.send(t.agent.fleet.latency(), func() {
		if complete {
			t.end(outcome.Completed)
			return
		}
		t.end(outcome.Unknown)
	})
}

func (t *agentTry) contentType() string {
	if t.request.GetStream() {
		return eventStream
	}
	return plainText
}

func (t *agentTry) forwardChunk(data []byte) {
	if t.finished {
		return
	}
	t.responseStarted = true
	if t.request.GetKey() != "" {
		t.recordChunk(data)
	}
	if !t.streamBroken {
		_ = t.out.Data(data, 200, t.contentType())
	} else if t.request.GetKey() == "" {
		t.closeConnection()
		t.end(outcome.Unknown)
	}
}

func (t *agentTry) recordChunk(data []byte) {
	if t.response == nil {
		t.response = &gate.Answer{Status: 200, ContentType: t.contentType()}
	}
	room := gate.MaxAnswerBytes + 1 - len(t.response.Body)
	t.response.Body = append(t.response.Body, data[:min(len(data), room)]...)
}

func (t *agentTry) end(o outcome.Outcome) {
	if t.finished {
		return
	}
	t.finished = true
	t.agent.step(gate.Ended{ID: t.id, Outcome: o, Reached: t.responseStarted, Answer: t.response, Detail: string(o)})
}

// handleCancel closes the connection to the endpoint and ends the try with an unknown outcome.
func (t *agentTry) handleCancel() {
	t.closeConnection()
	t.agent.runAfter(0, func() { t.end(outcome.Unknown) })
}

func (t *agentTry) closeConnection() {
	if t.run != nil && t.run.Connected {
		t.run.Connected = false
		t.agent.fleet.noticeDisconnect(t.run)
	}
}

// noticeDisconnect lets an endpoint notice, after a delay or not at all, that the sender of a request has disconnected.
func (f *Fleet) noticeDisconnect(r *backend.Run) {
	if f.clock.Chance(700) {
		f.clock.After(f.clock.Between(0, 500*time.Millisecond), func() { r.Endpoint.Abort(r) })
	}
}

// finish writes the last frame and ends the stream.
func (t *agentTry) finish(x gate.Finish) {
	if !t.streamBroken {
		_ = t.out.End(&wire.End{Outcome: wire.NewOutcome(x.Outcome), Detail: x.Detail}, 200, t.contentType())
	}
	t.stream.end()
}
