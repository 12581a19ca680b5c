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

// pipe keeps the order of what arrives over one connection.
type pipe struct {
	to    *process
	queue []func()
}

func (p *pipe) send(delay time.Duration, fn func()) {
	p.queue = append(p.queue, fn)
	p.to.later(delay, func() {
		next := p.queue[0]
		p.queue = p.queue[1:]
		next()
	})
}

// job is one try at an agent, from its arrival to its last frame.
type job struct {
	agent   *agent
	request *wire.RunRequest
	id      ident.TryID
	stream  *stream
	out     *frame.Writer
	run     *backend.Run
	in      pipe
	answer  *gate.Answer
	over    bool
	broken  bool
	// reached is set once the endpoint has begun to answer.
	reached bool
}

// receive takes a try that has arrived over a stream.
func (a *agent) receive(s *stream, r *wire.RunRequest) {
	if a.gate == nil {
		s.breakOff("the agent is not ready")
		return
	}
	a.whenCurrent(r, a.clock().Now().Add(refreshCall), func() {
		j := &job{agent: a, request: r, id: s.id, stream: s, in: pipe{to: &a.process}}
		j.out = frame.NewWriter(s, r.GetID())
		s.job = j
		j.admit()
	})
}

func (j *job) admit() {
	r := j.request
	run := gate.Run{
		ID: j.id, Endpoint: ident.Endpoint(r.GetEndpoint()),
		Adapter: ident.AdapterVersion{Adapter: ident.Adapter(r.GetAdapter()), Version: ident.Version(r.GetVersion())},
		Caller:  ident.Caller(r.GetCaller()), Share: 1, Key: ident.Key(r.GetKey()),
		Deadline: time.UnixMilli(r.GetDeadlineUnixMilli()),
		Revision: ident.Revision(r.GetResourceRevision()), Declaration: j.agent.known(r),
	}
	for _, c := range j.agent.stepFor(run, j) {
		switch x := c.(type) {
		case gate.Refuse:
			if x.ID == j.id {
				_ = j.out.Refuse(&wire.Refusal{Reason: string(x.Refusal.Reason), RetryAfterMilli: x.Refusal.RetryAfter.Milliseconds(), Detail: x.Refusal.Detail})
				j.stream.end()
				return
			}
		case gate.Abandon:
			if x.ID == j.id {
				j.stream.breakOff(string(x.Reason))
				return
			}
		case gate.Accept:
			if x.ID == j.id && (j.stream.closed || j.stream.broken) {
				j.broken = true
				j.agent.later(time.Millisecond, func() { j.agent.step(gate.SenderGone{ID: j.id}) })
			}
		}
	}
}

// accepted writes the first frame of an admitted try, before any other of its frames.
func (j *job) accepted() {
	if !j.broken {
		_ = j.out.Accept()
	}
}

// call sends the try to the endpoint and passes its answer on.
func (j *job) call(x gate.Start) {
	a := j.agent
	q := backend.Request{ID: j.id, Adapter: x.Adapter, Caller: ident.Caller(j.request.GetCaller()), Key: ident.Key(j.request.GetKey()),
		Body: string(j.request.GetBody()), Stream: j.request.GetStream()}
	a.send(func(o backend.Order) {
		r, answer := a.site.backend.Run(o, q, j.arrived, j.answered)
		start := a.site.backend.StartID
		if answer != backend.Accepted {
			a.later(a.fleet.latency(), func() {
				a.step(gate.StartIDObserved{StartID: start})
				if answer == backend.Fenced {
					a.claim.invalidate()
				}
				j.ended(outcome.NotRun)
			})
			return
		}
		j.run = r
		if j.over || a.dead {
			r.Connected = false
			a.fleet.abandon(r)
			return
		}
		j.in.send(a.fleet.latency(), func() { a.step(gate.StartIDObserved{StartID: start}) })
	}, func(e engine.Effect) {
		j.disconnect()
		if e == engine.NoEffect {
			j.ended(outcome.NotRun)
			return
		}
		j.ended(outcome.Unknown)
	})
}

// arrived passes a part of the endpoint's answer to the agent, unless the connection breaks.
func (j *job) arrived(data []byte) {
	f := j.agent.fleet
	if j.run == nil || !j.run.Connected {
		return
	}
	if f.fate() != delivered {
		j.disconnect()
		j.agent.later(f.latency(), func() { j.ended(outcome.Unknown) })
		return
	}
	j.in.send(f.latency(), func() { j.part(data) })
}

func (j *job) answered(whole bool) {
	if j.run == nil || !j.run.Connected {
		return
	}
	j.in.send(j.agent.fleet.latency(), func() {
		if whole {
			j.ended(outcome.Completed)
			return
		}
		j.ended(outcome.Unknown)
	})
}

func (j *job) contentType() string {
	if j.request.GetStream() {
		return eventStream
	}
	return plainText
}

func (j *job) part(data []byte) {
	if j.over {
		return
	}
	j.reached = true
	if j.request.GetKey() != "" {
		j.keep(data)
	}
	if !j.broken {
		_ = j.out.Data(data, 200, j.contentType())
	} else if j.request.GetKey() == "" {
		j.disconnect()
		j.ended(outcome.Unknown)
	}
}

func (j *job) keep(data []byte) {
	if j.answer == nil {
		j.answer = &gate.Answer{Status: 200, ContentType: j.contentType()}
	}
	room := gate.MaxAnswerBytes + 1 - len(j.answer.Body)
	j.answer.Body = append(j.answer.Body, data[:min(len(data), room)]...)
}

func (j *job) ended(o outcome.Outcome) {
	if j.over {
		return
	}
	j.over = true
	j.agent.step(gate.Ended{ID: j.id, Outcome: o, Reached: j.reached, Answer: j.answer, Detail: string(o)})
}

// hangUp closes the connection to the endpoint after a cancel.
func (j *job) hangUp() {
	j.disconnect()
	j.agent.later(0, func() { j.ended(outcome.Unknown) })
}

func (j *job) disconnect() {
	if j.run != nil && j.run.Connected {
		j.run.Connected = false
		j.agent.fleet.abandon(j.run)
	}
}

// abandon lets an endpoint notice, sooner or later or not at all, that the sender of a request has gone.
func (f *Fleet) abandon(r *backend.Run) {
	if f.clock.Chance(700) {
		f.clock.After(f.clock.Between(0, 500*time.Millisecond), func() { r.Endpoint.Abort(r) })
	}
}

// finish writes the last frame.
func (j *job) finish(x gate.Finish) {
	if !j.broken {
		_ = j.out.End(&wire.End{Outcome: wire.NewOutcome(x.Outcome), Detail: x.Detail}, 200, j.contentType())
	}
	j.stream.end()
}
