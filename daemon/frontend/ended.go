package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"shallotring.dev/coordination/wait"
	"shallotring.dev/state/suspicion"
)

const (
	// suspectMemory is the time for which interrupted requests are remembered until it is known whether their endpoint has ended.
	suspectMemory = 5 * time.Second
	// maxSuspectsPerEnd bounds these requests at one endpoint.
	maxSuspectsPerEnd = 64
	// endCheckTimeout bounds one connection attempt to an endpoint that interrupted a request, and endCheckWait how long the request waits for
	// the first of them before it is sent elsewhere.
	endCheckTimeout = 250 * time.Millisecond
	endCheckWait    = 50 * time.Millisecond
	// orderlyCheckDelay is the delay of the connection attempt after a response that looks complete, and orderlyCheckInterval the time between two
	// of them at one endpoint.
	orderlyCheckDelay    = 100 * time.Millisecond
	orderlyCheckInterval = time.Second
)

// endCheckDelays are the delays before the connection attempts: an endpoint may accept connections for a moment after it has closed others.
var endCheckDelays = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// endSign is what shows that an endpoint has ended.
type endSign string

const (
	// connectionRefused is a connection attempt that was refused.
	connectionRefused endSign = "refused"
	// crashReported is a report of the engine's agent.
	crashReported endSign = "agent"
	// nextIncarnation is the next incarnation under the id or at the address, which is noticed some seconds later.
	nextIncarnation endSign = "next incarnation"
	// endKnown is an earlier sign of the same end.
	endKnown endSign = "known"
)

// endState is what an entry knows of the end of an endpoint; the frontend's lock guards it.
type endState struct {
	// suspects are interrupted requests; if the endpoint turns out to have ended, one of them may be the reason.
	suspects []interruption
	// endedAt is the time at which the endpoint was found to have ended.
	endedAt time.Time
	// checked is closed after the first connection attempt of the check that is in progress; nil if there is none.
	checked chan struct{}
	// orderlyCheckedAt is the time of the last check after a response that looks complete.
	orderlyCheckedAt time.Time
}

// dropSuspects forgets the interrupted requests that are older than a time.
func (e *endpoint) dropSuspects(now time.Time, age time.Duration) {
	e.suspects = slices.DeleteFunc(e.suspects, func(i interruption) bool { return now.Sub(i.at) > age })
}

// suspectEnd remembers an interrupted request in case its endpoint has ended, and begins to check that. It returns the channel of the check in
// progress, nil if there is none; the lock is held. The end of an endpoint that has announced that it leaves has another reason.
func (f *Frontend) suspectEnd(e *endpoint, i interruption) (checked <-chan struct{}) {
	if s := e.agentState(i.at); e.Leaving || s != nil && s.Leaving {
		return nil
	}
	e.dropSuspects(i.at, suspectMemory)
	if len(e.suspects) < maxSuspectsPerEnd {
		e.suspects = append(e.suspects, i)
	}
	if i.at.Sub(e.endedAt) < suspicion.SameEnd {
		f.recordEnd(e, i.at, endKnown)
		return nil
	}
	if f.ctx == nil || f.ctx.Err() != nil {
		return e.checked
	}
	// Some endpoints end each response with its connection, so not each of these is checked. Agents report the ends of engines.
	if i.orderly && e.link == nil && i.at.Sub(e.orderlyCheckedAt) >= orderlyCheckInterval {
		e.orderlyCheckedAt = i.at
		f.wg.Go(func() { f.checkOrderly(e, i) })
	}
	if !i.orderly && e.checked == nil {
		done := make(chan struct{})
		e.checked = done
		f.wg.Go(func() { f.checkEnd(e, done) })
	}
	return e.checked
}

// checkOrderly tries to connect to an endpoint after a response that has ended with its connection and looks complete. Where few requests come, nothing
// else shows that the endpoint has ended, or that it has survived the request.
func (f *Frontend) checkOrderly(e *endpoint, i interruption) {
	wait.For(f.ctx, f.clock, orderlyCheckDelay)
	if f.ctx.Err() != nil {
		return
	}
	if f.refusesConnections(e.pool.Address()) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.recordEnd(e, f.clock.Now(), connectionRefused)
		return
	}
	if !f.suspecting.Load() {
		return
	}
	for _, p := range i.fingerprints() {
		f.recordSurvival(p, i.probation == p)
	}
}

// awaitCheck waits for the first connection attempt of a check, for endCheckWait at most.
func (f *Frontend) awaitCheck(ctx context.Context, checked <-chan struct{}) {
	t := f.clock.NewTimer(endCheckWait)
	defer t.Stop()
	select {
	case <-checked:
	case <-t.C:
	case <-ctx.Done():
	}
}

// checkEnd tries to connect to an endpoint that interrupted a request. A refused connection shows that its process has ended: one that lives
// accepts or resets connections, and one that is cut off does not respond.
func (f *Frontend) checkEnd(e *endpoint, done chan<- struct{}) {
	refused := false
	for i, delay := range endCheckDelays {
		wait.For(f.ctx, f.clock, delay)
		refused = f.refusesConnections(e.pool.Address())
		f.mu.Lock()
		if refused {
			f.recordEnd(e, f.clock.Now(), connectionRefused)
		}
		f.mu.Unlock()
		if i == 0 {
			close(done)
		}
		if refused || f.ctx.Err() != nil {
			break
		}
	}
	f.log.Info("endpoint checked after an interrupted request", slog.String("Endpoint", string(e.name)), slog.Bool("Ended", refused))
	f.mu.Lock()
	defer f.mu.Unlock()
	e.checked = nil
}

func (f *Frontend) refusesConnections(address string) bool {
	d := net.Dialer{Timeout: endCheckTimeout}
	c, err := d.DialContext(f.ctx, "tcp", address)
	if err == nil {
		// The connection has carried nothing, so an error of its close says nothing.
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordEnd records that an endpoint has ended, with the requests that it interrupted; the lock is held.
func (f *Frontend) recordEnd(e *endpoint, now time.Time, sign endSign) {
	age := suspicion.SameEnd
	if sign == nextIncarnation {
		age = suspectMemory
	}
	// The endpoint has outlived older ones.
	e.dropSuspects(now, age)
	if len(e.suspects) == 0 {
		return
	}
	list := e.suspects
	e.suspects, e.endedAt = nil, now
	f.metrics.interruptedByEnds.Add(len(list))
	for _, i := range list {
		f.log.Info("endpoint ended with a request in progress", slog.String("Endpoint", string(e.name)), slog.Int64("Born", e.StartMilli), slog.String("Sign", string(sign)),
			slog.String("Fingerprint", i.request.String()), slog.Int("Requests", len(list)), slog.Int64("AgeMilli", now.Sub(i.at).Milliseconds()))
	}
	f.reportEnd(e, now, list)
}
