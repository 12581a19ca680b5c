package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"
)

const (
	// DefaultDialTimeout bounds a connection attempt: hosts are milliseconds apart, and a host without power does not answer.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultSilence is the time after which sent data or keep-alive probes without an acknowledgement break a connection.
	DefaultSilence = 2 * time.Second
	// DefaultIdle bounds the reuse of a connection whose server names no timeout of its own.
	DefaultIdle = 8 * time.Second
	// idleMargin is subtracted from the server's idle timeout, because the request still has to travel.
	idleMargin = 500 * time.Millisecond
	// readBuffer is the size in bytes of the buffer of one connection.
	readBuffer = 4 << 10
)

// ErrFull means that all connections that the pool may open are in use.
var ErrFull = eris.New("no connection is free")

// Pool keeps connections to one address; its methods may be called from any goroutine.
type Pool struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	clock   quartz.Clock
	limit   int
	silence time.Duration
	timeout time.Duration
	idleFor time.Duration

	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
	opened uint64
}

// Option changes how a pool is built.
type Option func(*Pool)

// WithLimit bounds the open connections; 0 sets no bound.
func WithLimit(n int) Option { return func(p *Pool) { p.limit = n } }

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(p *Pool) { p.clock = c } }

// WithSilence sets the time after which unacknowledged data breaks a connection.
func WithSilence(d time.Duration) Option { return func(p *Pool) { p.silence = d } }

// WithDialTimeout bounds a connection attempt.
func WithDialTimeout(d time.Duration) Option { return func(p *Pool) { p.timeout = d } }

// WithIdle bounds the time for which an idle connection is kept.
func WithIdle(d time.Duration) Option { return func(p *Pool) { p.idleFor = d } }

// New returns a pool without connections.
func New(address string, options ...Option) *Pool {
	p := &Pool{address: address, clock: quartz.NewReal(), silence: DefaultSilence, timeout: DefaultDialTimeout, idleFor: DefaultIdle}
	for _, o := range options {
		o(p)
	}
	if p.dial == nil {
		d := &net.Dialer{
			Timeout: p.timeout, Control: userTimeout(p.silence),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.silence / 2, Interval: max(p.silence/4, time.Second), Count: 2},
		}
		p.dial = d.DialContext
	}
	return p
}

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Open returns the number of open connections and the number ever opened.
func (p *Pool) Open() (open int, opened uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened
}

// Close closes idle connections; those in use are closed when their answer ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.conn.Close()
	}
}

// take returns an idle connection that is still sound, or opens one.
func (p *Pool) take(ctx context.Context) (c *connection, err error) {
	for {
		p.mu.Lock()
		if n := len(p.idle); n > 0 {
			c = p.idle[n-1]
			p.idle = p.idle[:n-1]
			p.mu.Unlock()
			if p.clock.Now().Before(c.usableUntil) && quiet(c.conn) {
				return c, nil
			}
			p.drop(c)
			continue
		}
		if p.limit > 0 && p.open >= p.limit {
			p.mu.Unlock()
			return nil, ErrFull
		}
		p.open++
		p.opened++
		p.mu.Unlock()
		break
	}
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, eris.Wrapf(err, "connect to %s", p.address)
	}
	return newConnection(conn), nil
}

func (p *Pool) drop(c *connection) {
	_ = c.conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// keep returns a connection for reuse until the server's idle timeout; a timeout of 0 means that the server names none.
func (p *Pool) keep(c *connection, timeout time.Duration) {
	idle := p.idleFor
	if timeout > 0 {
		idle = min(idle, timeout-idleMargin)
	}
	now := p.clock.Now()
	c.usableUntil = now.Add(idle)
	p.mu.Lock()
	if p.closed || idle <= 0 {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	// The oldest idle connections are at the front; they are closed once the server may close them.
	var expired []*connection
	for len(p.idle) > 0 && !now.Before(p.idle[0].usableUntil) {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, x := range expired {
		p.drop(x)
	}
}
