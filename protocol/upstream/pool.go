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
	// DefaultDialTimeout limits how long opening a connection may take: the network delay between hosts is milliseconds, and a
	// host without power never responds.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultAckTimeout is the time after which unacknowledged data or keep-alive probes close a connection.
	DefaultAckTimeout = 2 * time.Second
	// DefaultIdleTimeout is the time for which an idle connection may be reused; a server may announce a shorter one.
	DefaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the server's idle timeout, to allow for the network delay of the next request.
	idleTimeoutMargin = 500 * time.Millisecond
	// readBufferBytes is the size of the read buffer of one connection.
	readBufferBytes = 4 << 10
)

// ErrPoolFull means that the pool's limit of open connections is reached and none of them is idle.
var ErrPoolFull = eris.New("connection limit of the pool is reached")

// Pool is a pool of connections to one address; its methods may be called from any goroutine.
type Pool struct {
	address     string
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	clock       quartz.Clock
	limit       int
	ackTimeout  time.Duration
	dialTimeout time.Duration
	idleTimeout time.Duration

	mu              sync.Mutex
	idleConnections []*connection
	openCount       int
	closed          bool
	openedTotal     uint64
}

// Option configures a pool.
type Option func(*Pool)

// WithLimit limits the number of open connections; 0 means no limit.
func WithLimit(n int) Option { return func(p *Pool) { p.limit = n } }

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(p *Pool) { p.clock = c } }

// WithAckTimeout sets the time after which unacknowledged data closes a connection.
func WithAckTimeout(d time.Duration) Option { return func(p *Pool) { p.ackTimeout = d } }

// WithDialTimeout limits how long opening a connection may take.
func WithDialTimeout(d time.Duration) Option { return func(p *Pool) { p.dialTimeout = d } }

// WithIdleTimeout limits the time for which an idle connection may be reused.
func WithIdleTimeout(d time.Duration) Option { return func(p *Pool) { p.idleTimeout = d } }

// New returns a pool without connections.
func New(address string, options ...Option) *Pool {
	p := &Pool{address: address, clock: quartz.NewReal(), ackTimeout: DefaultAckTimeout, dialTimeout: DefaultDialTimeout, idleTimeout: DefaultIdleTimeout}
	for _, o := range options {
		o(p)
	}
	if p.dial == nil {
		d := &net.Dialer{
			Timeout: p.dialTimeout, Control: userTimeout(p.ackTimeout),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.ackTimeout / 2, Interval: max(p.ackTimeout/4, time.Second), Count: 2},
		}
		p.dial = d.DialContext
	}
	return p
}

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// ConnectionCounts returns the number of open connections and the number ever opened.
func (p *Pool) ConnectionCounts() (open int, opened uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount, p.openedTotal
}

// CloseIdle closes the idle connections, so that the next request opens one.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idleConnections
	p.idleConnections = nil
	p.openCount -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.conn.Close()
	}
}

// Close closes idle connections; those in use are closed when their response is closed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// acquire returns an idle connection that can be reused, or opens one.
func (p *Pool) acquire(ctx context.Context) (c *connection, err error) {
	for {
		p.mu.Lock()
		if n := len(p.idleConnections); n > 0 {
			c = p.idleConnections[n-1]
			p.idleConnections = p.idleConnections[:n-1]
			p.mu.Unlock()
			if p.clock.Now().Before(c.usableUntil) && openWithoutData(c.conn) {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if p.limit > 0 && p.openCount >= p.limit {
			p.mu.Unlock()
			return nil, ErrPoolFull
		}
		p.openCount++
		p.openedTotal++
		p.mu.Unlock()
		break
	}
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, eris.Wrapf(err, "connect to %s", p.address)
	}
	return newConnection(conn), nil
}

func (p *Pool) discard(c *connection) {
	_ = c.conn.Close()
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// release makes a connection available for reuse until its idle timeout. serverIdleTimeout is the one that the server announced, or 0
// if it announced none.
func (p *Pool) release(c *connection, serverIdleTimeout time.Duration) {
	idle := p.idleTimeout
	if serverIdleTimeout > 0 {
		idle = min(idle, serverIdleTimeout-idleTimeoutMargin)
	}
	now := p.clock.Now()
	c.usableUntil = now.Add(idle)
	p.mu.Lock()
	if p.closed || idle <= 0 {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	// The connections that have been idle longest are at the front; expired ones are closed because the server may close them.
	var expired []*connection
	for len(p.idleConnections) > 0 && !now.Before(p.idleConnections[0].usableUntil) {
		expired = append(expired, p.idleConnections[0])
		p.idleConnections = p.idleConnections[1:]
	}
	p.idleConnections = append(p.idleConnections, c)
	p.mu.Unlock()
	for _, x := range expired {
		p.discard(x)
	}
}
