package frontend

import (
	"context"
	"log/slog"
	"net"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
)

const (
	// agentDialTimeout bounds one connection attempt to an agent.
	agentDialTimeout = 500 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay bound the delay before the next connection attempt.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// agentSilenceTimeout is the time after which the connection to an agent that sends nothing is closed; agents send at least
	// every 400 ms.
	agentSilenceTimeout = 1500 * time.Millisecond
	// maxReportInterval is the longest time between two usage reports. They also show the agent that the entry is alive.
	maxReportInterval = 700 * time.Millisecond
	// maxQueuedReports bounds the usage reports that wait to be sent. Further ones are dropped, and the next one has their uses too.
	maxQueuedReports = 64
)

// agentLink is the connection to the agent on one engine host; the frontend's lock guards state and stateAt.
type agentLink struct {
	f          *Frontend
	address    string
	reports    chan control.UsageReport
	reportedAt time.Time
	state      *control.State
	stateAt    time.Time
	// lastEndpoint is the incarnation of the engine that the agent named last.
	lastEndpoint ident.Endpoint
	// asks has the requests for sends that the agent has not answered, by their sequence.
	asks map[int64]chan control.SendGrant
	agentUsage
	cancel context.CancelFunc
}

func newLink(f *Frontend, address string) *agentLink {
	return &agentLink{f: f, address: address, reports: make(chan control.UsageReport, maxQueuedReports), asks: make(map[int64]chan control.SendGrant), agentUsage: newAgentUsage(address)}
}

// startLink starts the link's goroutine once Run has been called; the lock is held.
func (f *Frontend) startLink(l *agentLink) {
	if f.ctx == nil || l.cancel != nil {
		return
	}
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(f.ctx)
	l.dialedSince = f.clock.Now()
	f.wg.Go(func() { l.run(ctx) })
}

func (l *agentLink) stop() {
	if l.cancel != nil {
		l.cancel()
	}
}

// enqueueReport queues a usage report about the endpoint if it has content or is due, and reports whether it did; the lock is held.
func (e *endpoint) enqueueReport(report control.UsageReport, now time.Time) (queued bool) {
	l := e.link
	report.Born = e.StartMilli
	report.Unread = l.f.placement.Unread(e.ID)
	if report.Unread == e.reported && len(report.Uses) == 0 && len(report.Wants) == 0 && report.Interrupted == nil && now.Sub(l.reportedAt) < maxReportInterval {
		return false
	}
	select {
	case l.reports <- report:
		l.reportedAt = now
		e.reported = report.Unread
		return true
	default:
		return false
	}
}

func (l *agentLink) run(ctx context.Context) {
	delay, lossLogged := minReconnectDelay, false
	for ctx.Err() == nil {
		connected, err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if connected {
			delay, lossLogged = minReconnectDelay, false
		}
		if !lossLogged {
			lossLogged = true
			l.f.log.Warn("connection to the agent lost", slog.String("Address", l.address), slog.Any("Error", err))
		}
		t := l.f.clock.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		delay = min(2*delay, maxReconnectDelay)
	}
}

// connect opens one connection and uses it until it fails; connected reports whether the agent sent its state.
func (l *agentLink) connect(ctx context.Context) (connected bool, err error) {
	d := net.Dialer{Timeout: agentDialTimeout}
	c, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.setConnected(false)
		return false, err
	}
	conn := control.NewConn(c)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if err = conn.Send(control.UsageReport{Host: l.f.host, Deltas: true, TakesEvidence: true}); err != nil {
		return false, err
	}
	defer l.setConnected(false)
	done := make(chan struct{})
	defer close(done)
	go func() {
		sentStart := int64(0)
		for {
			select {
			case <-done:
				return
			case report := <-l.reports:
				if report.Born == sentStart || report.Born == 0 {
					report.Born = 0
				} else {
					sentStart = report.Born
				}
				if conn.Send(report) != nil {
					conn.Close()
					return
				}
			}
		}
	}()
	var states control.StateReader
	for {
		var s control.State
		if err = conn.Receive(&s, agentSilenceTimeout); err != nil {
			return connected, err
		}
		l.setConnected(true)
		if s.Usage != nil {
			l.handleUsage(*s.Usage)
			continue
		}
		if s.Grant != nil {
			l.handleGrant(*s.Grant)
			continue
		}
		if s.Evidence != nil {
			l.f.ApplyEvidence(*s.Evidence)
			continue
		}
		if s, err = states.State(s); err != nil {
			return connected, err
		}
		if !connected {
			connected = true
			l.f.log.Info("agent connected", slog.String("Address", l.address), slog.String("Endpoint", string(s.Endpoint)), slog.Bool("Up", s.Up))
		}
		l.f.handleState(l, s)
	}
}

// handleState applies a state from an agent and wakes the requests that wait for it.
func (f *Frontend) handleState(l *agentLink, s control.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handleCrashes(l, s.Crashes)
	s.Crashes = nil
	if s.Stale {
		// The previous state expires, and discovery counts then.
		return
	}
	f.observeEngineEnd(l, s)
	startChanged := l.state == nil || l.state.Endpoint != s.Endpoint || l.state.Born != s.Born
	l.state, l.stateAt = &s, f.clock.Now()
	e := f.endpoints[s.Endpoint]
	if e != nil && e.link == l && startChanged && !e.startedAt(s.Born) {
		e = f.replaceEndpoint(e, restarted(e.Endpoint, s.Born))
	}
	if e != nil && e.link == l && e.startedAt(s.Born) {
		if s.Leaving {
			f.markLeaving(e, "agent")
		}
		e.adoptLimit(l.stateAt, s)
		e.adopt(s)
		f.updatePlacement(e)
	}
	if l.lastEndpoint != s.Endpoint {
		// The agent names another incarnation now, which changes the placement of all incarnations at the address.
		l.lastEndpoint = s.Endpoint
		for _, e := range f.endpoints {
			if e.link == l {
				f.updatePlacement(e)
			}
		}
	}
}

// addWaiting counts one more request that waits for an adapter and returns the wait; the lock is held.
func (e *endpoint) addWaiting(av ident.AdapterVersion) *loadWait {
	w := e.waits[av]
	if w == nil {
		w = &loadWait{done: make(chan struct{})}
		e.waits[av] = w
	}
	w.requests++
	return w
}
