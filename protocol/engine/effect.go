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

// Effect says what a call did at the endpoint.
type Effect int

const (
	// MayHaveEffect means that the call may have been carried out, wholly or in part.
	MayHaveEffect Effect = iota
	// NoEffect means that the call certainly was not and will not be carried out.
	NoEffect
	// Done means that the endpoint answered the call completely.
	Done
)

// ErrFenced means that the endpoint has seen a newer fencing number.
var ErrFenced = eris.New("endpoint refuses the fencing number")

// CallError is a call that did not succeed.
type CallError struct {
	Effect Effect
	// Status is the status of the endpoint's answer; zero if there was none.
	Status int
	Err    error
}

// Error returns the text of the cause.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// EffectOf returns what a call that returned err did; no error means that it was done.
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

// connectTrace records the connection that a request got; before that no byte of it can have left.
type connectTrace struct {
	connected atomic.Bool
	conn      atomic.Pointer[guardedConn]
	// before is the number of bytes written to the connection before the request.
	before atomic.Int64
}

func (t *connectTrace) attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: t.got}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

func (t *connectTrace) got(info httptrace.GotConnInfo) {
	conn := info.Conn
	if x, ok := conn.(*tls.Conn); ok {
		conn = x.NetConn()
	}
	if g, ok := conn.(*guardedConn); ok {
		t.before.Store(g.written.Load())
		t.conn.Store(g)
	}
	t.connected.Store(true)
}

// effect classifies an error of the transport. A service may act on the header alone, so a write that was refused after
// the first one leaves the effect open.
func (t *connectTrace) effect(err error) Effect {
	var op *net.OpError
	if !t.connected.Load() || (errors.As(err, &op) && op.Op == "dial") {
		return NoEffect
	}
	if g := t.conn.Load(); g != nil && g.refused.Load() != nil && g.written.Load() == t.before.Load() {
		return NoEffect
	}
	return MayHaveEffect
}

// cause returns the guard's error if the guard has refused a write: net/http then closes the connection, and the error of the
// read that ends by it may come first.
func (t *connectTrace) cause(err error) error {
	if g := t.conn.Load(); g != nil {
		if refused := g.refused.Load(); refused != nil {
			return refused
		}
	}
	return err
}
