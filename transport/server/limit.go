package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connectionLimiter limits the open connections of a listener. At the limit it closes the connection that has been idle longest
// for a new one, so that idle connections do not keep others out.
type connectionLimiter struct {
	// slots has one element for each open connection.
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// idle lists the idle connections, the longest idle first; idleElements finds their elements.
	idle         *list.List
	idleElements map[net.Conn]*list.Element
	// waiting is true while a connection waits for a slot and no idle connection has been closed for it.
	waiting bool
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{
		slots: make(chan struct{}, limit), closed: make(chan struct{}), idle: list.New(), idleElements: make(map[net.Conn]*list.Element),
	}
}

// acquire waits for a free connection slot; ok is false once the listener is closed.
func (c *connectionLimiter) acquire() (ok bool) {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	select {
	case c.slots <- struct{}{}:
		return true
	case <-c.closed:
		return false
	}
}

// setWaiting records whether a connection waits for a slot. If one waits, it closes an idle connection now, or else the next one
// that becomes idle.
func (c *connectionLimiter) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	if oldest := c.idle.Front(); waiting && oldest != nil {
		c.closeIdle(oldest)
	}
}

// closeIdle closes an idle connection; its slot becomes free when net/http notices that it is closed.
func (c *connectionLimiter) closeIdle(e *list.Element) {
	conn, _ := c.idle.Remove(e).(net.Conn)
	delete(c.idleElements, conn)
	c.waiting = false
	// Closing a TLS connection sends a message and may block.
	go func() { _ = conn.Close() }()
}

// connState records the state of a connection of the HTTP server.
func (c *connectionLimiter) connState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.idleElements[conn]; ok {
		c.idle.Remove(e)
		delete(c.idleElements, conn)
	}
	if s != http.StateIdle {
		return
	}
	e := c.idle.PushBack(conn)
	c.idleElements[conn] = e
	if c.waiting {
		c.closeIdle(e)
	}
}

// limitedListener accepts no more than a fixed number of open connections.
type limitedListener struct {
	net.Listener
	limiter *connectionLimiter
}

// Accept waits for a free connection slot before it accepts the next connection.
func (l *limitedListener) Accept() (c net.Conn, err error) {
	if !l.limiter.acquire() {
		return nil, net.ErrClosed
	}
	c, err = l.Listener.Accept()
	if err != nil {
		<-l.limiter.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.limiter.slots }}, nil
}

// Close stops accepting.
func (l *limitedListener) Close() (err error) {
	l.limiter.closeOnce.Do(func() { close(l.limiter.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// NetConn returns the connection of the listener.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() (err error) {
	c.once.Do(c.release)
	return c.Conn.Close()
}
