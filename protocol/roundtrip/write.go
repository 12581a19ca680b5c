package roundtrip

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// writeTrace observes how net/http writes a request, which it may do several times, on one connection after another.
type writeTrace struct {
	mu      sync.Mutex
	attempt *attempt
}

// attempt is the writing of a request on one connection.
type attempt struct {
	conn net.Conn
	// begun is set when the headers have been written to a buffer, before the server can have received any of them.
	begun atomic.Bool
	// result gets the error of the write, or nil, once net/http has written everything to its buffer; it does if begun is set.
	result chan error
}

// monitored is a connection that knows how it ended, such as socket.Conn.
type monitored interface {
	WriteErr() error
	Undelivered() bool
}

func (t *writeTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempt = &attempt{conn: info.Conn, result: make(chan error, 1)}
}

func (t *writeTrace) wroteHeaders() { t.last().begun.Store(true) }

func (t *writeTrace) wroteRequest(info httptrace.WroteRequestInfo) { t.last().result <- info.Err }

// last returns the newest attempt; it is nil if the base transport calls no trace.
func (t *writeTrace) last() *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempt
}

var errNotBegun = eris.New("the server responded before the request was sent")

// end returns the error that the connection gave to the write, and whether the server had received the whole request when it ended the connection. The
// write does not last beyond the end of an unframed response, because net/http closes the connection then.
func (a *attempt) end() (err error, delivered bool) {
	if !a.begun.Load() {
		// The connection has ended, so net/http may never write to it.
		return errNotBegun, false
	}
	result := <-a.result
	conn := a.conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, ok := conn.(monitored)
	if !ok {
		return result, true
	}
	// A write that has failed without an error of the connection was ended on this side.
	return c.WriteErr(), result == nil && !c.Undelivered()
}
