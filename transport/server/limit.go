package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connections bounds the open connections of a listener. At the limit the one that has been idle longest gives way to a
// new one, so that idle connections keep nobody out.
type connections struct {
	free   chan struct{}
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	idle    *list.List
	places  map[net.Conn]*list.Element
	waiting bool
}

func newConnections(limit int) *connections {
	return &connections{
		free: make(chan struct{}, limit), closed: make(chan struct{}), idle: list.New(), places: make(map[net.Conn]*list.Element),
	}
}

// enter waits for a free place; ok is false once the listener is closed.
func (c *connections) enter() (ok bool) {
	select {
	case c.free <- struct{}{}:
		return true
	default:
	}
	c.wait(true)
	defer c.wait(false)
	select {
	case c.free <- struct{}{}:
		return true
	case <-c.closed:
		return false
	}
}

// wait closes an idle connection now, or the next one that becomes idle.
func (c *connections) wait(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	if oldest := c.idle.Front(); waiting && oldest != nil {
		c.drop(oldest)
	}
}

// drop closes an idle connection; its place becomes free when net/http sees that it is closed.
func (c *connections) drop(e *list.Element) {
	conn, _ := c.idle.Remove(e).(net.Conn)
	delete(c.places, conn)
	c.waiting = false
	// Closing a TLS connection sends a message and may block.
	go func() { _ = conn.Close() }()
}

// state follows the connections of the HTTP server.
func (c *connections) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.places[conn]; ok {
		c.idle.Remove(e)
		delete(c.places, conn)
	}
	if s != http.StateIdle {
		return
	}
	e := c.idle.PushBack(conn)
	c.places[conn] = e
	if c.waiting {
		c.drop(e)
	}
}

// limitedListener accepts no more than a fixed number of open connections.
type limitedListener struct {
	net.Listener
	connections *connections
}

// Accept waits for a free place before it takes the next connection.
func (l *limitedListener) Accept() (c net.Conn, err error) {
	if !l.connections.enter() {
		return nil, net.ErrClosed
	}
	c, err = l.Listener.Accept()
	if err != nil {
		<-l.connections.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.connections.free }}, nil
}

// Close stops accepting.
func (l *limitedListener) Close() (err error) {
	l.connections.once.Do(func() { close(l.connections.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close gives the place back.
func (c *limitedConn) Close() (err error) {
	c.once.Do(c.release)
	return c.Conn.Close()
}
