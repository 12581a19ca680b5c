package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection that knows, once a read has returned io.EOF, whether its peer had received everything that was written.
type Conn struct {
	net.Conn
	undelivered atomic.Bool

	// writing is held during a write.
	writing  sync.Mutex
	writeErr error
}

// New returns a Conn that reads from and writes to a connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection. At the end of the connection it ends writes that wait for the peer; one that has written everything succeeds.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		// A peer that has received everything has acknowledged it by now, at the latest with the end of the connection.
		c.undelivered.Store(unacknowledged(c.Conn) > 0)
		// It fails only on a connection that is closed, on which no write waits.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Undelivered reports whether the peer closed the connection while written data was not acknowledged.
func (c *Conn) Undelivered() bool { return c.undelivered.Load() }

// WriteErr waits for a write in progress and returns the first error of Write; it is os.ErrDeadlineExceeded if the end of the connection ended a write.
func (c *Conn) WriteErr() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// unacknowledged returns the number of bytes that were written to a connection and are not acknowledged; it is 0 for other connections than sockets.
func unacknowledged(c net.Conn) (n int) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	if e := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); e != nil || err != nil {
		return 0 // the connection has been closed on this side
	}
	return n
}
