package guard

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/holding"
)

// writeBytes is the size of one write to a caller, after which it counts as moving.
const writeBytes = 16 << 10

// ErrGaveWay means that the caller holds more than there is room for beside others.
var ErrGaveWay = eris.New("the memory of the process is in use; the caller gives way to others")

// Conn is the connection of a caller with what the process holds for it.
type Conn struct {
	net.Conn
	guard *Guard
	id    holding.ID
	// leaving is set while the connection counts among those that are leaving; the lock of the guard guards it.
	leaving bool

	mu      sync.Mutex
	phase   holding.Phase
	revoked bool
	// closed is set if the caller has given way without a refusal.
	closed bool
	// held counts the bytes that the present request has taken.
	held int64
}

// NetConn returns the connection of the listener.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the caller; the bytes of a head take memory before anybody else sees them.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if p := c.currentPhase(); p == holding.Idle || p == holding.Head {
		if !c.Enter(holding.Head) || !c.Take(headFactor*int64(n)) {
			_ = c.Conn.Close()
			return 0, ErrGaveWay
		}
		return n, err
	}
	c.move(n)
	return n, err
}

// Write writes to the caller. A running request counts as sending while its caller takes nothing in.
func (c *Conn) Write(b []byte) (n int, err error) {
	if c.currentPhase() != holding.Running {
		return c.Conn.Write(b)
	}
	if !c.Enter(holding.Sending) {
		return 0, ErrGaveWay
	}
	for len(b) > n && err == nil {
		var written int
		written, err = c.Conn.Write(b[n:min(len(b), n+writeBytes)])
		n += written
		c.move(written)
	}
	if !c.Enter(holding.Running) {
		return n, ErrGaveWay
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() (err error) {
	c.guard.close(c)
	return c.Conn.Close()
}

// SetReadDeadline sets the read deadline, except for a caller that has given way.
func (c *Conn) SetReadDeadline(t time.Time) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines, but not the read deadline of a caller that has given way.
func (c *Conn) SetDeadline(t time.Time) (err error) {
	if err = c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Enter begins a phase of the present request; ok is false if the caller has given way.
func (c *Conn) Enter(p holding.Phase) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.account.Enter(g.clock.Now(), c.id, p) {
		return false
	}
	c.phase = p
	return true
}

// Take adds bytes to what the process holds for the present request; ok is false if there is no room for them or the caller has given way.
func (c *Conn) Take(bytes int64) (ok bool) {
	if !c.guard.grow(c, bytes) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
	return true
}

// Give takes back bytes that the process does not hold any more.
func (c *Conn) Give(bytes int64) {
	c.mu.Lock()
	c.held -= bytes
	c.mu.Unlock()
	c.guard.shrink(c, bytes)
}

// AbortClosed ends the handler of a caller that has given way without a refusal, since net/http would keep what it has of the connection for 500 ms
// after a response.
func (c *Conn) AbortClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		panic(http.ErrAbortHandler)
	}
}

// End ends a request without a connection; that of a connection ends when it is idle or closed.
func (c *Conn) End() {
	if c.Conn == nil {
		c.guard.close(c)
	}
}

// release takes back all that the process held for the request.
func (c *Conn) release() {
	c.mu.Lock()
	held := c.held
	c.held = 0
	c.mu.Unlock()
	c.guard.shrink(c, held)
}

func (c *Conn) currentPhase() holding.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// countHead replaces the estimate for a head, which is all that the process holds for the request so far, by what the decoded one takes.
func (c *Conn) countHead(h http.Header) {
	bytes := int64(0)
	for name, values := range h {
		for _, v := range values {
			bytes += int64(len(name) + len(v) + fieldBytes)
		}
	}
	c.mu.Lock()
	excess := max(c.held-bytes, 0)
	c.mu.Unlock()
	c.Give(excess)
}

// setState follows the states of the HTTP server: it calls a connection active once it has read a head.
func (c *Conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.Enter(holding.Receiving)
	case http.StateIdle:
		c.release()
		c.Enter(holding.Idle)
	case http.StateClosed, http.StateHijacked:
		c.guard.close(c)
	}
}

// revoke ends what the connection does. A caller that is to be answered still gets a refusal. One that does not read is reset, so that nothing of its
// answer stays with the system and none looks complete.
func (c *Conn) revoke(p holding.Phase, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = true
	if c.Conn == nil {
		return
	}
	if answered {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok && p == holding.Sending {
		_ = t.SetLinger(0)
	}
	c.closed = true
	_ = c.Conn.Close()
}

func (c *Conn) move(n int) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Move(g.clock.Now(), c.id, int64(n))
}

func (g *Guard) shrink(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Shrink(c.id, bytes)
}

func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Close(c.id)
	delete(g.conns, c.id)
	if c.leaving {
		c.leaving = false
		g.leaving--
	}
}
