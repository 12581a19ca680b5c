package roundtrip

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"
)

// requestWrite observes how net/http writes a request. It may send one several times, on one connection after another.
type requestWrite struct {
	mu      sync.Mutex
	attempt *attempt
}

// attempt is the writing of a request on one connection.
type attempt struct {
	conn net.Conn
	// begun is closed when the headers have been written, before the server can have received any of them.
	begun chan struct{}
	// result has the error of the write once it has ended, which follows begun in any case.
	result chan error
}

// monitored is a connection that knows how it ended, such as socket.Conn.
type monitored interface {
	WriteErr() error
	Undelivered() bool
}

func (w *requestWrite) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt = &attempt{conn: info.Conn, begun: make(chan struct{}), result: make(chan error, 1)}
}

func (w *requestWrite) wroteHeaders() { close(w.last().begun) }

func (w *requestWrite) wroteRequest(info httptrace.WroteRequestInfo) { w.last().result <- info.Err }

func (w *requestWrite) last() *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempt
}

var errNotBegun = eris.New("the server responded before the request was sent")

// end returns the error that the connection gave to the write, and whether the server had received the whole request when it ended the connection. The
// write does not last beyond the end of an unframed response, because net/http closes the connection then.
func (a *attempt) end() (err error, delivered bool) {
	select {
	case <-a.begun:
	default:
		// A connection that has ended by now may never be written to.
		return errNotBegun, false
	}
	result := <-a.result
	conn := a.conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, ok := conn.(monitored)
	if !ok {
		return result, true
	}
	// A write that has failed without an error of the connection was ended on this side.
	return c.WriteErr(), result == nil && !c.Undelivered()
}
