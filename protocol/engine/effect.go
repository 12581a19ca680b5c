package engine

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Effect describes whether a call had an effect at the endpoint.
type Effect int

const (
	// MayHaveEffect means that the endpoint may have executed the call completely or in part.
	MayHaveEffect Effect = iota
	// NoEffect means that the endpoint certainly has not executed the call and will not do so.
	NoEffect
	// Done means that the endpoint responded to the call completely.
	Done
)

// ErrFenced means that the endpoint has received a higher fencing number.
var ErrFenced = eris.New("endpoint refused the call: its fencing number is stale")

// CallError is the error of a failed call.
type CallError struct {
	Effect Effect
	// Status is the status of the endpoint's response; zero if there was none.
	Status int
	Err    error
}

// Error returns the text of the underlying error.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// EffectOf returns the effect of a call that returned err; it is Done for nil.
func EffectOf(err error) Effect {
	var c *CallError
	switch {
	case err == nil:
		return Done
	case errors.As(err, &c):
		return c.Effect
	}
	return MayHaveEffect
}

// Answered reports whether the endpoint has responded to the call that returned err.
func Answered(err error) bool {
	var c *CallError
	return err == nil || errors.As(err, &c) && c.Status != 0
}

// connectTrace records the connection on which a request is sent; if there is none, no byte of the request was sent.
type connectTrace struct {
	connected atomic.Bool
	conn      atomic.Pointer[guardedConn]
	// writtenBefore is the number of bytes that were written to the connection before this request.
	writtenBefore atomic.Int64
}

func (t *connectTrace) attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

func (t *connectTrace) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if x, ok := conn.(*tls.Conn); ok {
		conn = x.NetConn()
	}
	if g, ok := conn.(*guardedConn); ok {
		t.writtenBefore.Store(g.written.Load())
		t.conn.Store(g)
	}
	t.connected.Store(true)
}

// effect returns the effect of a request that failed with an error of the transport. A service may act on the headers alone, so
// the request may have an effect if guardedConn refuses a write other than the first.
func (t *connectTrace) effect(err error) Effect {
	var op *net.OpError
	if !t.connected.Load() || (errors.As(err, &op) && op.Op == "dial") {
		return NoEffect
	}
	if g := t.conn.Load(); g != nil && g.refused.Load() != nil && g.written.Load() == t.writtenBefore.Load() {
		return NoEffect
	}
	return MayHaveEffect
}

// cause returns the error of guardedConn if it has refused a write: net/http then closes the connection and may return the error of
// the interrupted read instead.
func (t *connectTrace) cause(err error) error {
	if g := t.conn.Load(); g != nil {
		if refused := g.refused.Load(); refused != nil {
			return refused
		}
	}
	return err
}
