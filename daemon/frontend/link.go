package frontend

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
)

const (
	// linkDial bounds a connection attempt to an agent.
	linkDial = 500 * time.Millisecond
	// linkPause and maxLinkPause bound the pause before the next attempt.
	linkPause    = 100 * time.Millisecond
	maxLinkPause = time.Second
	// linkSilence is the time after which an agent that sends nothing is lost; it sends at least every 400 ms.
	linkSilence = 1500 * time.Millisecond
	// accountEvery is the longest time between two accounts, by which the agent knows that the entry lives.
	accountEvery = 700 * time.Millisecond
	// accounts bounds the accounts that wait to be sent; more are dropped, and the uses in them reach the agent late.
	accounts = 64
)

// link is the connection to the agent on one engine host; the frontend's lock guards state and heard.
type link struct {
	f       *Frontend
	address string
	out     chan control.Account
	sent    time.Time
	state   *control.State
	heard   time.Time
	// named is the life of the engine that the agent named last.
	named  ident.Endpoint
	cancel context.CancelFunc
}

func newLink(f *Frontend, address string) *link {
	return &link{f: f, address: address, out: make(chan control.Account, accounts)}
}

// start runs the link; the lock is held.
func (f *Frontend) start(l *link) {
	if f.ctx == nil || l.cancel != nil {
		return
	}
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(f.ctx)
	f.wg.Go(func() { l.run(ctx) })
}

func (l *link) stop() {
	if l.cancel != nil {
		l.cancel()
	}
}

// offer queues an account that has content or is due; the lock is held.
func (l *link) offer(a control.Account, now time.Time) {
	if len(a.Uses) == 0 && len(a.Wants) == 0 && now.Sub(l.sent) < accountEvery {
		return
	}
	select {
	case l.out <- a:
		l.sent = now
	default:
	}
}

func (l *link) run(ctx context.Context) {
	pause, lost := linkPause, false
	for ctx.Err() == nil {
		connected, err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if connected {
			pause, lost = linkPause, false
		}
		if !lost {
			lost = true
			l.f.log.Warn("agent lost", slog.String("Address", l.address), slog.Any("Error", err))
		}
		t := l.f.clock.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		pause = min(2*pause, maxLinkPause)
	}
}

// connect uses one connection until it ends.
func (l *link) connect(ctx context.Context) (connected bool, err error) {
	d := net.Dialer{Timeout: linkDial}
	c, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return false, err
	}
	conn := control.NewConn(c)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if err = conn.Send(control.Account{Host: l.f.host}); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case a := <-l.out:
				if conn.Send(a) != nil {
					conn.Close()
					return
				}
			}
		}
	}()
	var holdings *control.Holdings
	for {
		var s control.State
		if err = conn.Receive(&s, linkSilence); err != nil {
			return connected, err
		}
		if s.Holdings == nil {
			s.Holdings = holdings
		}
		if holdings = s.Holdings; holdings == nil {
			return connected, eris.New("the agent's first message has no holdings")
		}
		if !connected {
			connected = true
			l.f.log.Info("agent connected", slog.String("Address", l.address), slog.String("Endpoint", string(s.Endpoint)), slog.Bool("Up", s.Up))
		}
		l.f.heard(l, s)
	}
}

// heard takes a state and wakes the requests that wait for it.
func (f *Frontend) heard(l *link, s control.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.state, l.heard = &s, f.clock.Now()
	if e := f.endpoints[s.Endpoint]; e != nil && e.link == l {
		f.observe(e)
	}
	if l.named != s.Endpoint {
		// What the agent says of one life excludes the others at the address.
		l.named = s.Endpoint
		for _, e := range f.endpoints {
			if e.link == l {
				f.observe(e)
			}
		}
	}
}

// want asks the agent at once for an adapter that requests wait for; the lock is held.
func (e *endpoint) want(av ident.AdapterVersion) *wait {
	w := e.waits[av]
	if w == nil {
		w = &wait{done: make(chan struct{})}
		e.waits[av] = w
	}
	w.requests++
	return w
}
