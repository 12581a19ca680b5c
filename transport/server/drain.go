package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Drainer closes the idle connections of an HTTP server without interrupting a request that has started to arrive. The Shutdown
// method of http.Server treats a connection as idle until it has read a whole header, and so cuts a request whose header it is
// reading.
type Drainer struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]*drainedConn
	// closing is set by CloseIdle; from then on each connection is closed as soon as it becomes idle.
	closing bool
}

// NewDrainer wraps a listener. The server must use the method State as its ConnState.
func NewDrainer(l net.Listener) *Drainer {
	return &Drainer{Listener: l, conns: make(map[net.Conn]*drainedConn)}
}

type drainedConn struct {
	net.Conn
	drainer *Drainer
	// busy is true from the first byte of a request to the end of its response.
	busy   bool
	closed bool
}

// Accept returns the next connection.
func (d *Drainer) Accept() (c net.Conn, err error) {
	c, err = d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &drainedConn{Conn: c, drainer: d}
	d.mu.Lock()
	d.conns[x] = x
	d.mu.Unlock()
	return x, nil
}

// Read marks the connection as busy. It drops bytes that arrive while the connection is being closed, so that their request
// does not run.
func (c *drainedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.drainer.mu.Lock()
	defer c.drainer.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = true
	return n, err
}

// State records the state of a connection of the server.
func (d *Drainer) State(conn net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conns[conn]
	if c == nil {
		return
	}
	switch s {
	case http.StateIdle:
		c.busy = false
		if d.closing {
			c.shutdown()
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, conn)
	}
}

// NetConn returns the connection of the listener.
func (c *drainedConn) NetConn() net.Conn { return c.Conn }

func (c *drainedConn) shutdown() {
	c.closed = true
	// Closing also unblocks the pending read of the server.
	_ = c.Close()
}

// CloseIdle closes the connections without a request now, and the others once their responses have finished.
func (d *Drainer) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = true
	for _, c := range d.conns {
		if !c.busy && !c.closed {
			c.shutdown()
		}
	}
}

// Wait waits until no request is in progress, but not beyond the deadline. It returns the number of requests still in progress.
func (d *Drainer) Wait(deadline time.Time) (busy int) {
	const pollInterval = 50 * time.Millisecond
	for {
		d.mu.Lock()
		busy = 0
		for _, c := range d.conns {
			if c.busy {
				busy++
			}
		}
		d.mu.Unlock()
		if busy == 0 || !time.Now().Before(deadline) {
			return busy
		}
		time.Sleep(pollInterval)
	}
}
