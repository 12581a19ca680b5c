package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/transport/timeline"
)

// message is one input of the control goroutine.
type message struct {
	event gate.Event
	// stream takes the later commands of the try if the event is an accepted Run.
	stream *stream
	// reply gets the commands of the step.
	reply chan<- []gate.Command
	// read looks at the gate in place of an event.
	read func(*gate.Gate)
}

// control owns the gate; all other goroutines reach it through the inbox.
func (a *Agent) control(g *gate.Gate) {
	timer := a.clock.NewTimer(0)
	defer timer.Stop()
	for {
		var m message
		select {
		case <-a.work.Done():
			return
		case m = <-a.inbox:
		case <-timer.C:
			m = message{event: gate.Tick{}}
		}
		if m.read != nil {
			m.read(g)
			continue
		}
		a.step(g, m)
		a.meters.report(a.clock.Now(), g.Report())
		timer.Reset(a.untilWake(g))
	}
}

// untilWake is at least a millisecond, so that a time in the past cannot make the loop spin.
func (a *Agent) untilWake(g *gate.Gate) time.Duration {
	next := g.NextWake()
	if next.IsZero() {
		return time.Hour
	}
	return max(next.Sub(a.clock.Now()), time.Millisecond)
}

func (a *Agent) step(g *gate.Gate, m message) {
	commands := g.Step(a.clock.Now(), m.event)
	for _, c := range commands {
		if x, ok := c.(gate.Accept); ok && m.stream != nil {
			a.streams[x.ID] = m.stream
		}
		a.carryOut(c, m.event)
	}
	if m.reply != nil {
		m.reply <- commands
	}
}

// carryOut starts what a command asks for; it does not wait for the endpoint.
func (a *Agent) carryOut(c gate.Command, cause gate.Event) {
	switch x := c.(type) {
	case gate.Accept:
		a.log.Event(a.tryEvent(timeline.TryAccepted, x.ID, cause))
	case gate.Refuse:
		a.refused(x, cause)
	case gate.Abandon:
		e := a.tryEvent(timeline.TryAbandoned, x.ID, cause)
		e.Outcome, e.Reason = outcome.Unknown, x.Reason
		a.log.Event(e)
	case gate.Start:
		a.started(x)
	case gate.Finish:
		a.finished(x)
	case gate.Cancel:
		a.cancel(x.ID)
	case gate.CancelRequest:
		a.spawn(func() { a.cancelAtEngine(x.ID) })
	case gate.Load:
		a.spawn(func() { a.load(x) })
	case gate.Unload:
		a.spawn(func() { a.unload(x) })
	case gate.Survey:
		a.spawn(func() { a.survey(x) })
	case gate.RequestPermits:
		a.spawn(func() { a.askPermits(x) })
	case gate.ReturnPermit:
		a.permits.Done(a.settings.Endpoint)
	case gate.Restarted:
		a.log.Event(timeline.Event{Kind: timeline.EngineRestarted, Endpoint: a.settings.Endpoint, Detail: string(x.StartID)})
	case gate.Drained:
		a.log.Event(timeline.Event{Kind: timeline.DrainFinished, Endpoint: a.settings.Endpoint})
		close(a.drained)
	case gate.Violation:
		a.violated(x)
	}
}

func (a *Agent) violated(v gate.Violation) {
	a.meters.violations(v.Guarantee).Inc()
	a.log.Event(timeline.Event{
		Kind: timeline.InvariantViolated, RequestID: v.ID.RequestID, Try: v.ID.Try, Incarnation: v.ID.Incarnation,
		Endpoint: a.settings.Endpoint, Adapter: v.Adapter.Adapter, Version: v.Adapter.Version,
		Detail: string(v.Guarantee) + ": " + v.Detail,
	})
	if v.Fatal {
		a.stop(eris.Wrapf(ErrViolation, "%s: %s", v.Guarantee, v.Detail))
	}
}

// tryEvent names caller and adapter if the cause is the call that brought the try.
func (a *Agent) tryEvent(kind timeline.Kind, id ident.TryID, cause gate.Event) (e timeline.Event) {
	e = timeline.Event{
		Kind: kind, RequestID: id.RequestID, Try: id.Try, Incarnation: id.Incarnation, Endpoint: a.settings.Endpoint,
	}
	if r, ok := cause.(gate.Run); ok && r.ID == id {
		e.Caller, e.Adapter, e.Version = r.Caller, r.Adapter.Adapter, r.Adapter.Version
	}
	return e
}

func (a *Agent) refused(x gate.Refuse, cause gate.Event) {
	a.meters.refusals(x.Refusal.Reason).Inc()
	e := a.tryEvent(timeline.TryRefused, x.ID, cause)
	e.Outcome, e.Reason, e.Detail = outcome.NotRun, x.Refusal.Reason, x.Refusal.Detail
	a.log.Event(e)
}

func (a *Agent) started(x gate.Start) {
	a.meters.stalled(x.Stall)
	a.log.Event(timeline.Event{
		Kind: timeline.TryStarted, RequestID: x.ID.RequestID, Try: x.ID.Try, Incarnation: x.ID.Incarnation,
		Endpoint: a.settings.Endpoint, Adapter: x.Adapter.Adapter, Version: x.Adapter.Version, Stall: x.Stall,
	})
	if s, ok := a.streams[x.ID]; ok {
		s.start <- x
	}
}

func (a *Agent) finished(x gate.Finish) {
	a.meters.tries(x.Outcome).Inc()
	if s, ok := a.streams[x.ID]; ok {
		s.finish <- x
		delete(a.streams, x.ID)
	}
}

func (a *Agent) cancel(id ident.TryID) {
	if s, ok := a.streams[id]; ok {
		s.cancel()
	}
	a.spawn(func() { a.cancelAtEngine(requestName(id)) })
}

// post hands an event to the control goroutine; it is dropped when the agent has stopped.
func (a *Agent) post(e gate.Event) {
	select {
	case a.inbox <- message{event: e}:
	case <-a.work.Done():
	}
}

// ask hands an event to the control goroutine and returns the commands of its step.
func (a *Agent) ask(ctx context.Context, e gate.Event, s *stream) (commands []gate.Command, err error) {
	reply := make(chan []gate.Command, 1)
	select {
	case a.inbox <- message{event: e, stream: s, reply: reply}:
	case <-a.work.Done():
		return nil, context.Cause(a.work)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	// The event has been taken, so its answer is waited for even if ctx ends.
	select {
	case commands = <-reply:
		return commands, nil
	case <-a.work.Done():
		return nil, context.Cause(a.work)
	}
}

// look reads the gate in the control goroutine.
func (a *Agent) look(ctx context.Context, fn func(*gate.Gate)) (err error) {
	done := make(chan struct{})
	m := message{read: func(g *gate.Gate) {
		fn(g)
		close(done)
	}}
	select {
	case a.inbox <- m:
	case <-a.work.Done():
		return context.Cause(a.work)
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-a.work.Done():
		return context.Cause(a.work)
	}
}

func errorAttr(err error) slog.Attr { return slog.String("Error", err.Error()) }
