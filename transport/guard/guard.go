package guard

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"shallotring.dev/state/holding"
)

const (
	// connectionBytes is what a connection takes besides the head, body and answer of its request: goroutines with their stacks, and buffers of
	// the caller's and the endpoint's connection.
	connectionBytes = 32 << 10
	// headFactor is the memory of a head in relation to its size until it is decoded: 8000 short headers of 48 KB took 0.95 MB. fieldBytes is
	// what a field of a decoded head takes besides its text.
	headFactor = 20
	fieldBytes = 128
	// receiveBufferBytes bounds what the system takes in for a connection before the process reads it; the system doubles it. Its own bound grows
	// to some MB. A window of 32 KiB carries 5 MB/s at a round trip of 6 ms.
	receiveBufferBytes = 32 << 10
	// leavingShare is the part of the connections that may be open beside them while their callers get a refusal: net/http keeps those whose body
	// it has not read for 500 ms, and a crowd opens thousands in that time.
	leavingShare = 0.125
	// linesPerSecond and lineBurst bound the log lines about callers that gave way.
	linesPerSecond, lineBurst = 5, 20
	// roomTimeout is the time for which a new connection waits for room while all others run requests, and roomPollInterval the interval
	// between two tries.
	roomTimeout, roomPollInterval = 500 * time.Millisecond, 10 * time.Millisecond
)

// Guard counts what a process holds for its callers; its methods may be called from any goroutine.
type Guard struct {
	clock quartz.Clock
	log   *slog.Logger
	lines *rate.Limiter
	set   *metrics.Set

	mu      sync.Mutex
	account *holding.Account
	conns   map[holding.ID]*Conn
	// leaving counts the connections that have given way and are open until their callers have a refusal.
	leaving int
	// unlogged counts the callers that gave way since the last log line.
	unlogged int
}

// Option changes how a guard is built.
type Option func(*Guard)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(g *Guard) { g.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(g *Guard) { g.log = l } }

// WithMetrics sets the set that the metrics belong to.
func WithMetrics(s *metrics.Set) Option { return func(g *Guard) { g.set = s } }

// New returns a guard without connections.
func New(l holding.Limits, options ...Option) *Guard {
	g := &Guard{clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler), lines: rate.NewLimiter(linesPerSecond, lineBurst), set: metrics.NewSet(),
		account: holding.New(l), conns: make(map[holding.ID]*Conn)}
	for _, o := range options {
		o(g)
	}
	g.set.GetOrCreateGauge("shallotring_guard_held_bytes", func() float64 { return float64(g.read((*holding.Account).Used)) })
	g.set.GetOrCreateGauge("shallotring_guard_limit_bytes", func() float64 { return float64(l.Bytes) })
	g.set.GetOrCreateGauge("shallotring_guard_connections", func() float64 { return float64(g.read(func(a *holding.Account) int64 { return int64(a.Holders()) })) })
	g.set.GetOrCreateGauge("shallotring_guard_limit_connections", func() float64 { return float64(l.Holders) })
	for p := holding.Idle; p <= holding.Sending; p++ {
		if p != holding.Running {
			g.gaveWay(p)
		}
	}
	return g
}

// gaveWay returns the counter of the connections that gave way in a phase.
func (g *Guard) gaveWay(p holding.Phase) *metrics.Counter {
	return g.set.GetOrCreateCounter(`shallotring_guard_gave_way_total{phase="` + p.String() + `"}`)
}

func (g *Guard) read(value func(*holding.Account) int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return value(g.account)
}

// Held returns the bytes that all callers hold.
func (g *Guard) Held() int64 { return g.read((*holding.Account).Used) }

// Listener makes the accepted connections count. The server that serves it, wrapped or not, must be passed to Attach.
func (g *Guard) Listener(l net.Listener) net.Listener {
	limitReceiveBuffer(l)
	return &listener{Listener: l, guard: g}
}

// Attach makes the guard follow the connections of a server; it is to be called after ConnState is set.
func (g *Guard) Attach(s *http.Server) {
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x := unwrap(c); x != nil {
			x.setState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if x := unwrap(c); x != nil {
			return context.WithValue(ctx, contextKey{}, x)
		}
		return ctx
	}
}

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// Conn returns the connection of a request. Without Listener it is one that only counts memory. The handler calls End after the request.
func (g *Guard) Conn(r *http.Request) *Conn {
	if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
		c.countHead(r.Header)
		return c
	}
	c := &Conn{guard: g, phase: holding.Receiving}
	if g.open(c, 0) {
		c.Enter(holding.Receiving)
	}
	return c
}

// unwrap returns the connection of the guard under those that wrap it, nil if there is none.
func unwrap(c net.Conn) *Conn {
	for {
		switch x := c.(type) {
		case *Conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

// limitReceiveBuffer bounds what the system takes in for each connection; an error leaves the system's bound.
func limitReceiveBuffer(l net.Listener) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) })
}

// open adds a connection to the account and reports whether it has found room.
func (g *Guard) open(c *Conn, bytes int64) (ok bool) {
	g.mu.Lock()
	id, victims, ok := g.account.Open(g.clock.Now(), bytes)
	if ok {
		c.id = id
		g.conns[id] = c
	}
	g.mu.Unlock()
	g.revoke(victims)
	return ok
}

func (g *Guard) grow(c *Conn, bytes int64) (ok bool) {
	g.mu.Lock()
	victims, ok := g.account.Grow(g.clock.Now(), c.id, bytes)
	g.mu.Unlock()
	g.revoke(victims)
	return ok
}

// revoke ends what the connections of the victims do.
func (g *Guard) revoke(victims []holding.Victim) {
	for _, v := range victims {
		g.mu.Lock()
		c := g.conns[v.ID]
		delete(g.conns, v.ID)
		answered := c != nil && v.Phase == holding.Receiving && g.mayLeave()
		if answered {
			c.leaving = true
			g.leaving++
		}
		g.mu.Unlock()
		g.logLine("caller gave way", v)
		if c != nil {
			c.revoke(v.Phase, answered)
		}
	}
}

// mayLeave reports whether one more caller that has given way may get a refusal; the lock is held.
func (g *Guard) mayLeave() bool {
	limit := g.account.Limits().Holders
	return limit <= 0 || g.leaving < max(int(leavingShare*float64(limit)), 1)
}

// logLine counts a caller that gave way or was refused, and logs it unless there are too many lines.
func (g *Guard) logLine(message string, v holding.Victim) {
	g.gaveWay(v.Phase).Inc()
	g.mu.Lock()
	used, holders, unlogged := g.account.Used(), g.account.Holders(), g.unlogged
	if !g.lines.AllowN(g.clock.Now(), 1) {
		g.unlogged++
		g.mu.Unlock()
		return
	}
	g.unlogged = 0
	g.mu.Unlock()
	g.log.Warn(message, slog.String("Phase", v.Phase.String()), slog.Int64("Bytes", v.Bytes), slog.Int64("StalledMilli", v.Stalled.Milliseconds()),
		slog.Int64("Held", used), slog.Int("Connections", holders), slog.Int("Unlogged", unlogged))
}

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection; one for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		x := &Conn{Conn: c, guard: l.guard}
		for end := time.Now().Add(roomTimeout); ; time.Sleep(roomPollInterval) {
			if l.guard.open(x, connectionBytes) {
				return x, nil
			}
			if time.Now().After(end) {
				break
			}
		}
		l.guard.logLine("connection refused: all others run requests", holding.Victim{})
		_ = c.Close()
	}
}
