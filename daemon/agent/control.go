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
	// channels receive the later commands for the try if the event is a Run that the gate accepts.
	channels *tryChannels
	// reply receives the commands that result from the event.
	reply chan<- []gate.Command
	// read, if set, inspects the gate instead of handling an event.
	read func(*gate.Gate)
}

// runControlLoop is the only goroutine that uses the gate; all others send messages to the inbox.
func (a *Agent) runControlLoop(g *gate.Gate) {
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
		a.meters.update(a.clock.Now(), g.Report())
		timer.Reset(a.untilWake(g))
	}
}

// untilWake returns the time until the gate needs the next Tick, or an hour if it needs none. It is at least a millisecond, so that
// a time in the past cannot cause a busy loop.
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
		if x, ok := c.(gate.Accept); ok && m.channels != nil {
			a.tries[x.ID] = m.channels
		}
		a.execute(c, m.event)
	}
	if m.reply != nil {
		m.reply <- commands
	}
}

// execute starts the action of a command without waiting for the endpoint.
func (a *Agent) execute(c gate.Command, cause gate.Event) {
	switch x := c.(type) {
	case gate.Accept:
		a.log.Event(a.tryEvent(timeline.TryAccepted, x.ID, cause))
	case gate.Refuse:
		a.handleRefuse(x, cause)
	case gate.Abandon:
		e := a.tryEvent(timeline.TryAbandoned, x.ID, cause)
		e.Outcome, e.Reason = outcome.Unknown, x.Reason
		a.log.Event(e)
	case gate.Start:
		a.handleStart(x)
	case gate.Finish:
		a.handleFinish(x)
	case gate.Cancel:
		a.cancelTry(x)
	case gate.CancelRequest:
		a.spawn(func() { a.cancelAtEngine(x.Incarnation, x.ID) })
	case gate.Load:
		a.spawn(func() { a.load(x) })
	case gate.Unload:
		a.spawn(func() { a.unload(x) })
	case gate.Survey:
		a.spawn(func() { a.survey(x) })
	case gate.RequestPermits:
		a.spawn(func() { a.requestPermits(x) })
	case gate.ReturnPermit:
		a.permits.Done(a.settings.Endpoint)
	case gate.Restarted:
		a.log.Event(timeline.Event{Kind: timeline.EngineRestarted, Endpoint: a.settings.Endpoint, Detail: string(x.StartID)})
	case gate.Drained:
		a.log.Event(timeline.Event{Kind: timeline.DrainFinished, Endpoint: a.settings.Endpoint})
		close(a.drained)
	case gate.Violation:
		a.handleViolation(x)
	}
}

func (a *Agent) handleViolation(v gate.Violation) {
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

// tryEvent returns a log event about a try. It has the caller and the adapter only if the cause is the Run event of that try.
func (a *Agent) tryEvent(kind timeline.Kind, id ident.TryID, cause gate.Event) (e timeline.Event) {
	e = timeline.Event{
		Kind: kind, RequestID: id.RequestID, Try: id.Try, Incarnation: id.Incarnation, Endpoint: a.settings.Endpoint,
	}
	if r, ok := cause.(gate.Run); ok && r.ID == id {
		e.Caller, e.Adapter, e.Version = r.Caller, r.Adapter.Adapter, r.Adapter.Version
	}
	return e
}

func (a *Agent) handleRefuse(x gate.Refuse, cause gate.Event) {
	a.meters.refusals(x.Refusal.Reason).Inc()
	e := a.tryEvent(timeline.TryRefused, x.ID, cause)
	e.Outcome, e.Reason, e.Detail = outcome.NotRun, x.Refusal.Reason, x.Refusal.Detail
	a.log.Event(e)
}

func (a *Agent) handleStart(x gate.Start) {
	a.meters.recordStall(x.Stall)
	a.log.Event(timeline.Event{
		Kind: timeline.TryStarted, RequestID: x.ID.RequestID, Try: x.ID.Try, Incarnation: x.ID.Incarnation,
		Endpoint: a.settings.Endpoint, Adapter: x.Adapter.Adapter, Version: x.Adapter.Version, Stall: x.Stall,
	})
	if channels, ok := a.tries[x.ID]; ok {
		channels.start <- x
	}
}

func (a *Agent) handleFinish(x gate.Finish) {
	a.meters.tries(x.Outcome).Inc()
	if channels, ok := a.tries[x.ID]; ok {
		channels.finish <- x
		delete(a.tries, x.ID)
	}
}

func (a *Agent) cancelTry(x gate.Cancel) {
	if channels, ok := a.tries[x.ID]; ok {
		channels.cancel()
	}
	a.spawn(func() { a.cancelAtEngine(x.Incarnation, requestName(x.ID)) })
}

// post sends an event to the control goroutine; the event is dropped if the agent has stopped.
func (a *Agent) post(e gate.Event) {
	select {
	case a.inbox <- message{event: e}:
	case <-a.work.Done():
	}
}

// submit sends an event to the control goroutine and returns the commands that result from it.
func (a *Agent) submit(ctx context.Context, e gate.Event, channels *tryChannels) (commands []gate.Command, err error) {
	reply := make(chan []gate.Command, 1)
	select {
	case a.inbox <- message{event: e, channels: channels, reply: reply}:
	case <-a.work.Done():
		return nil, context.Cause(a.work)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	// The control goroutine has received the event, so submit waits for the reply even if ctx ends.
	select {
	case commands = <-reply:
		return commands, nil
	case <-a.work.Done():
		return nil, context.Cause(a.work)
	}
}

// readGate calls fn with the gate in the control goroutine.
func (a *Agent) readGate(ctx context.Context, fn func(*gate.Gate)) (err error) {
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
