package engine

import (
	"context"
	"net"
	"sync/atomic"
)

// guardedConn makes the guard's check immediately before each write to the socket. Between a check before the request and
// the write lie a dial, a hand-over between goroutines and, under load, a wait for a processor, in which a pause can end
// the claim.
type guardedConn struct {
	net.Conn
	guard func() (err error)
	// written counts the bytes of all requests on the connection.
	written atomic.Int64
	// refused is set by the first write that the guard refuses; nothing is written after it.
	refused atomic.Pointer[guardError]
}

// guardError is a write that the guard has refused.
type guardError struct{ err error }

// Error returns the text of the cause.
func (e *guardError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *guardError) Unwrap() error { return e.err }

// Write sends the bytes if the guard allows it.
func (g *guardedConn) Write(p []byte) (n int, err error) {
	if refused := g.refused.Load(); refused != nil {
		return 0, refused
	}
	if err = g.guard(); err != nil {
		g.refused.Store(&guardError{err})
		return 0, &guardError{err}
	}
	n, err = g.Conn.Write(p)
	g.written.Add(int64(n))
	return n, err
}

// Dial opens a connection as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// guardedDial opens connections whose writes are guarded.
func guardedDial(dial Dial, guard func() error) Dial {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		conn, err = dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: guard}, nil
	}
}
