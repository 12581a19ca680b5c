package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Drainer closes the idle connections of an HTTP server without cutting a request that has just begun to arrive. The server's
// own Shutdown takes a connection as idle until it has read a whole header, and cuts requests that it is reading.
type Drainer struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]*drainedConn
	// closing is set once idle connections are closed as soon as they are idle.
	closing bool
}

// NewDrainer wraps a listener; its State method must be the server's ConnState.
func NewDrainer(l net.Listener) *Drainer {
	return &Drainer{Listener: l, conns: make(map[net.Conn]*drainedConn)}
}

type drainedConn struct {
	net.Conn
	d *Drainer
	// busy is set from the first byte of a request to its answer.
	busy bool
	shut bool
}

// Accept returns the next connection.
func (d *Drainer) Accept() (c net.Conn, err error) {
	c, err = d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &drainedConn{Conn: c, d: d}
	d.mu.Lock()
	d.conns[x] = x
	d.mu.Unlock()
	return x, nil
}

// Read marks the connection as busy; bytes that cross its closing are dropped, so that their request does not run.
func (c *drainedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	c.busy = true
	return n, err
}

// State follows the connections of the server.
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

func (c *drainedConn) shutdown() {
	c.shut = true
	// The read that waits on the connection ends with the close.
	_ = c.Close()
}

// CloseIdle closes the connections without a request now, and the others once their answers have ended.
func (d *Drainer) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = true
	for _, c := range d.conns {
		if !c.busy && !c.shut {
			c.shutdown()
		}
	}
}

// Wait waits until no request is in progress, but not beyond the deadline; it returns the number that still are.
func (d *Drainer) Wait(deadline time.Time) (busy int) {
	const step = 50 * time.Millisecond
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
		time.Sleep(step)
	}
}
