package engine

import (
	"context"
	"net"
	"sync/atomic"

	"shallotring.dev/protocol/socket"
)

// guardedConn checks the guard immediately before each write to the socket. A check before the request is not enough: the claim
// can be lost before the write, while the connection is dialled, the request is handed to another goroutine or, under load,
// the goroutine waits to be scheduled.
type guardedConn struct {
	*socket.Conn
	guard func() (err error)
	// written is the number of bytes written for all requests on the connection.
	written atomic.Int64
	// refused is set when the guard refuses a write; later writes fail with the same error and write nothing.
	refused atomic.Pointer[guardError]
}

// guardError is the error of a write that the guard refuses.
type guardError struct{ err error }

// Error returns the text of the guard's error.
func (e *guardError) Error() string { return e.err.Error() }

// Unwrap returns the guard's error.
func (e *guardError) Unwrap() error { return e.err }

// Write writes p if the guard returns no error.
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

// guardedDial returns a Dial that opens guarded connections.
func guardedDial(dial Dial, guard func() error) Dial {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		conn, err = dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: socket.New(conn), guard: guard}, nil
	}
}
