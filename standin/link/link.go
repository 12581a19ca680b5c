package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// piece is the most that is passed on at once, in bytes.
const piece = 32 << 10

// Fault says how a link misbehaves; the zero value passes everything on.
type Fault struct {
	// Delay holds back each piece in each direction.
	Delay time.Duration
	// Cut resets open connections and each new one.
	Cut bool
	// HoldTo and HoldFrom hold back the bytes to and from the target until the fault ends, as TCP repeats what was lost.
	HoldTo   bool
	HoldFrom bool
}

// Link passes connections on to one address.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	open    map[*net.TCPConn]bool
	closed  bool
}

// New listens on an address and passes its connections on to the target.
func New(listen, target string) (l *Link, err error) {
	defer func() { err = eris.Wrapf(err, "link %s to %s", listen, target) }()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l = &Link{listener: listener, target: target, changed: make(chan struct{}), open: make(map[*net.TCPConn]bool)}
	go l.accept()
	return l, nil
}

// Set replaces the fault.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if f.Cut {
		l.Reset()
	}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		reset(c)
	}
	clear(l.open)
}

// Close ends the link and its connections.
func (l *Link) Close() (err error) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Reset()
	return l.listener.Close()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go l.pass(tcp)
		}
	}
}

func (l *Link) pass(near *net.TCPConn) {
	if !l.add(near) {
		return
	}
	defer l.remove(near)
	// The target learns of a connection like of its first bytes.
	l.await(true)
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near)
		return
	}
	far, _ := c.(*net.TCPConn)
	if !l.add(far) {
		reset(near)
		return
	}
	defer l.remove(far)
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(far, near, true) })
	l.copy(near, far, false)
	wg.Wait()
}

// copy passes one direction on until it ends, with the kind of its end: a regular one, or a reset.
func (l *Link) copy(to, from *net.TCPConn, toTarget bool) {
	b := make([]byte, piece)
	for {
		n, err := from.Read(b)
		l.await(toTarget)
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				reset(to)
			}
			return
		}
	}
}

// await waits until the link passes bytes of a direction on.
func (l *Link) await(toTarget bool) {
	for {
		l.mu.Lock()
		f, changed, closed := l.fault, l.changed, l.closed
		l.mu.Unlock()
		if held := (toTarget && f.HoldTo) || (!toTarget && f.HoldFrom); !held || closed {
			time.Sleep(f.Delay)
			return
		}
		<-changed
	}
}

// add notes an open connection, or resets it while the link is cut.
func (l *Link) add(c *net.TCPConn) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Cut || l.closed {
		reset(c)
		return false
	}
	l.open[c] = true
	return true
}

func (l *Link) remove(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
