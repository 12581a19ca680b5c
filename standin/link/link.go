package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// copyBufferBytes is the size of the largest chunk that is forwarded at once.
const copyBufferBytes = 32 << 10

// Fault is the injected fault of a link; with the zero value the link forwards everything.
type Fault struct {
	// Delay delays each chunk in both directions.
	Delay time.Duration
	// Cut resets all open connections and each new one.
	Cut bool
	// HoldTo and HoldFrom withhold the bytes to and from the target until the fault ends. No bytes are lost, because TCP
	// retransmits lost packets.
	HoldTo   bool
	HoldFrom bool
}

// Link forwards connections to one address.
type Link struct {
	address string
	target  string

	mu sync.Mutex
	// listener is nil while the link refuses connections.
	listener  net.Listener
	fault     Fault
	changed   chan struct{}
	openConns map[*net.TCPConn]bool
	closed    bool
}

// New listens on an address and forwards its connections to the target.
func New(listen, target string) (l *Link, err error) {
	defer func() { err = eris.Wrapf(err, "link %s to %s", listen, target) }()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l = &Link{address: listener.Addr().String(), listener: listener, target: target, changed: make(chan struct{}), openConns: make(map[*net.TCPConn]bool)}
	go l.accept(listener)
	return l, nil
}

// Refuse makes the link refuse connections, as a host does on which no process listens, or ends that; open connections stay.
func (l *Link) Refuse(refuse bool) (err error) {
	defer func() { err = eris.Wrapf(err, "link %s to %s", l.address, l.target) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if refuse == (l.listener == nil) || l.closed {
		return nil
	}
	if refuse {
		err = l.listener.Close()
		l.listener = nil
		return err
	}
	if l.listener, err = net.Listen("tcp", l.address); err != nil {
		return err
	}
	go l.accept(l.listener)
	return nil
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
	for c := range l.openConns {
		resetConn(c)
	}
	clear(l.openConns)
}

// Close closes the listener and resets all open connections.
func (l *Link) Close() (err error) {
	l.mu.Lock()
	l.closed = true
	listener := l.listener
	l.mu.Unlock()
	l.Reset()
	if listener == nil {
		return nil
	}
	return listener.Close()
}

func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go l.forward(tcp)
		}
	}
}

func (l *Link) forward(client *net.TCPConn) {
	if !l.addConn(client) {
		return
	}
	defer l.removeConn(client)
	// A fault of the direction to the target also withholds the opening of the connection.
	l.waitUntilReleased(true)
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		resetConn(client)
		return
	}
	target, _ := c.(*net.TCPConn)
	if !l.addConn(target) {
		resetConn(client)
		return
	}
	defer l.removeConn(target)
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(target, client, true) })
	l.copy(client, target, false)
	wg.Wait()
}

// copy forwards one direction until it ends. It forwards the end as well: a regular close as a close, an error as a reset.
func (l *Link) copy(to, from *net.TCPConn, toTarget bool) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		l.waitUntilReleased(toTarget)
		if n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				resetConn(to)
			}
			return
		}
	}
}

// waitUntilReleased waits until the link forwards the bytes of a direction, and for the delay of the fault.
func (l *Link) waitUntilReleased(toTarget bool) {
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

// addConn registers an open connection, or resets it if the link is cut or closed.
func (l *Link) addConn(c *net.TCPConn) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Cut || l.closed {
		resetConn(c)
		return false
	}
	l.openConns[c] = true
	return true
}

func (l *Link) removeConn(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openConns, c)
	_ = c.Close()
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
