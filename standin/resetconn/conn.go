package resetconn

import (
	"net"
	"sync"
)

// Conn is a connection on which each read after the first waits until a write has failed, and that write returns after the read. The first read is to
// get all that the server sends.
type Conn struct {
	net.Conn
	began       bool
	writeFailed chan struct{}
	readEnded   chan struct{}
	fail, end   func()
}

// New returns a Conn over a connection.
func New(c net.Conn) *Conn {
	x := &Conn{Conn: c, writeFailed: make(chan struct{}), readEnded: make(chan struct{})}
	x.fail = sync.OnceFunc(func() { close(x.writeFailed) })
	x.end = sync.OnceFunc(func() { close(x.readEnded) })
	return x
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.began {
		<-c.writeFailed
	}
	n, err = c.Conn.Read(p)
	c.began = true
	if err != nil {
		c.end()
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	if err != nil {
		c.fail()
		<-c.readEnded
	}
	return n, err
}

// Close closes the connection and ends the waits.
func (c *Conn) Close() error {
	c.fail()
	c.end()
	return c.Conn.Close()
}
