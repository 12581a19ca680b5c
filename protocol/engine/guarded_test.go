package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
)

// TestClaimEndsDuringDial guards against a request that runs although the claim ended between the first check and the write, for
// example because the process was paused while it dialled.
func TestClaimEndsDuringDial(t *testing.T) {
	for _, service := range []bool{false, true} {
		for _, body := range []string{`{"model":"a1"}`, ""} {
			if !service && body == "" {
				continue
			}
			var ended atomic.Bool
			var runs atomic.Int64
			lost := eris.New("claim is lost")
			guard := func() error {
				if ended.Load() {
					return lost
				}
				return nil
			}
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				defer ended.Store(true)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			c := startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil {
					runs.Add(1)
				}
			}, WithGuard(guard), WithDial(dial))
			_, _, err := c.Run(t.Context(), 7, Call{
				ID: tryID, Adapter: adapterVersion, Service: service, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(body),
			}, func(ResponseHead, []byte) error { return nil })
			if EffectOf(err) != NoEffect || !errors.Is(err, lost) || runs.Load() > 0 {
				t.Errorf("service %t, body %q: effect %v, error %v, %d runs", service, body, EffectOf(err), err, runs.Load())
			}
		}
	}
}

// TestGuardErrorReplacesReadError guards against reporting that a call may have had an effect although the guard refused its
// first write, because the transport returns the error of the interrupted read instead.
func TestGuardErrorReplacesReadError(t *testing.T) {
	g := &guardedConn{guard: func() error { return eris.New("lease") }}
	if _, err := g.Write([]byte("POST")); err == nil {
		t.Fatal("wrote to the connection although the guard refuses")
	}
	trace := &connectTrace{}
	trace.gotConn(httptrace.GotConnInfo{Conn: g})
	err := trace.cause(&net.OpError{Op: "read", Err: net.ErrClosed})
	var refused *guardError
	if e := trace.effect(&net.OpError{Op: "read", Err: net.ErrClosed}); e != NoEffect || !errors.As(err, &refused) {
		t.Errorf("effect %v, cause %v", e, err)
	}
}

// TestNoWriteAfterRefusedWrite guards against a write after a refused one, when the call may already have been reported to have
// no effect.
func TestNoWriteAfterRefusedWrite(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	g := &guardedConn{guard: func() error {
		if refuse.Load() {
			return eris.New("lease")
		}
		return nil
	}}
	for range 2 {
		if _, err := g.Write([]byte("POST")); err == nil {
			t.Fatal("wrote to the connection, want the guard's error")
		}
		refuse.Store(false)
	}
}
