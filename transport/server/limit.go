package server

import (
	"net"
	"sync"
)

// limitedListener accepts no more than a fixed number of open connections.
type limitedListener struct {
	net.Listener
	free   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitConnections(l net.Listener, n int) net.Listener {
	if n <= 0 {
		return l
	}
	return &limitedListener{Listener: l, free: make(chan struct{}, n), closed: make(chan struct{})}
}

// Accept waits for a free place before it takes the next connection.
func (l *limitedListener) Accept() (c net.Conn, err error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err = l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.free }}, nil
}

// Close stops accepting.
func (l *limitedListener) Close() (err error) {
	l.once.Do(func() { close(l.closed) })
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
