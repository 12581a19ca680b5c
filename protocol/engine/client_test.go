package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

var (
	tryID          = ident.TryID{RequestID: "r1", Try: 2, Incarnation: 7}
	adapterVersion = ident.AdapterVersion{Adapter: "a1", Version: "v1"}
)

func startEndpoint(t *testing.T, h http.HandlerFunc, options ...Option) (c *Client) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c, err := New(s.URL, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// closeConnection closes the connection of a request without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// TestEffectOfRun guards against reporting that a call had no effect although it may have run, and the reverse.
func TestEffectOfRun(t *testing.T) {
	response := func(status int, contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderStartID, "s1")
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			io.WriteString(w, body)
		}
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		io.WriteString(w, "part")
		http.NewResponseController(w).Flush()
		closeConnection(w)
	}
	const stream = "text/event-stream"
	tests := []struct {
		name    string
		handler http.HandlerFunc
		service bool
		want    Effect
		data    string
	}{
		{"completed", response(200, "application/json", `{}`), false, Done, "{}"},
		{"client error is the engine's response", response(400, "application/json", `{}`), false, Done, "{}"},
		{"adapter not loaded", response(404, "", "x"), false, NoEffect, ""},
		{"engine overloaded", response(429, "", "x"), false, NoEffect, ""},
		{"engine error", response(500, "", "x"), false, MayHaveEffect, ""},
		{"fenced", response(412, "", "x"), false, NoEffect, ""},
		{"service error is forwarded", response(500, "", "x"), true, Done, "x"},
		{"service not found is forwarded", response(404, "", "x"), true, Done, "x"},
		{"redirect is forwarded", response(307, "", "x"), true, Done, "x"},
		{"stream", response(200, stream, "data: {}\n\ndata: [DONE]\n\n"), false, Done, "data: {}\n\ndata: [DONE]\n\n"},
		{"stream without [DONE]", response(200, stream, "data: {}\n\n"), false, MayHaveEffect, "data: {}\n\n"},
		{"connection closed before the response", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, false, MayHaveEffect, ""},
		{"response truncated", truncated, false, MayHaveEffect, "part"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startEndpoint(t, tt.handler)
			var data strings.Builder
			call := Call{ID: tryID, Adapter: adapterVersion, Service: tt.service, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)}
			_, _, err := c.Run(t.Context(), 7, call, func(_ ResponseHead, p []byte) error {
				data.Write(p)
				return nil
			})
			if got := EffectOf(err); got != tt.want || data.String() != tt.data {
				t.Errorf("effect %v, data %q, error %v; want %v, %q", got, data.String(), err, tt.want, tt.data)
			}
			if errors.Is(err, ErrFenced) != (tt.name == "fenced") {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestUnsentCallHasNoEffect guards against reporting that a call without a connection may have run, and against sending a call
// that the guard refuses.
func TestUnsentCallHasNoEffect(t *testing.T) {
	call := Call{ID: tryID, Service: true, Method: http.MethodPost, Path: "/x"}
	sent := false
	c := startEndpoint(t, func(http.ResponseWriter, *http.Request) { sent = true }, WithGuard(func() error { return eris.New("lease") }))
	if _, _, err := c.Run(t.Context(), 7, call, nil); EffectOf(err) != NoEffect || sent {
		t.Errorf("guard: effect %v, sent %v", EffectOf(err), sent)
	}
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	c, _ = New(s.URL)
	if _, _, err := c.Run(t.Context(), 7, call, nil); EffectOf(err) != NoEffect {
		t.Errorf("no listener: effect %v", EffectOf(err))
	}
}

// TestFailedGuardStopsRequest guards against a complete request that reaches the endpoint although a check of the guard failed,
// for example because the agent lost its claim: the agent that holds it now may evict the adapter that the request uses
// (guarantee G2). Each round lets one more check pass.
func TestFailedGuardStopsRequest(t *testing.T) {
	call := Call{ID: tryID, Service: true, Method: http.MethodPost, Path: "/x", Body: []byte("{}")}
	for allowedChecks := int32(0); ; allowedChecks++ {
		var completeRequests, checks atomic.Int32
		handler := func(_ http.ResponseWriter, r *http.Request) {
			if body, err := io.ReadAll(r.Body); err == nil && string(body) == "{}" {
				completeRequests.Add(1)
			}
		}
		c := startEndpoint(t, handler, WithGuard(func() error {
			if checks.Add(1) > allowedChecks {
				return eris.New("lease")
			}
			return nil
		}))
		_, _, err := c.Run(t.Context(), 7, call, func(ResponseHead, []byte) error { return nil })
		if checks.Load() <= allowedChecks {
			if EffectOf(err) != Done || completeRequests.Load() != 1 {
				t.Errorf("all checks passed: effect %v, %d requests", EffectOf(err), completeRequests.Load())
			}
			return
		}
		// Until the first write passes its check, which is the second one, no byte is sent.
		want := MayHaveEffect
		if allowedChecks < 2 {
			want = NoEffect
		}
		if EffectOf(err) != want || completeRequests.Load() != 0 {
			t.Errorf("%d checks passed: effect %v, want %v, %d requests, error %v", allowedChecks, EffectOf(err), want, completeRequests.Load(), err)
		}
	}
}

// TestGuardRunsBeforeEachWrite guards against a write to the socket that is not checked again after a pause, in which the process
// can lose its claim.
func TestGuardRunsBeforeEachWrite(t *testing.T) {
	c := startEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	refused := false
	conn, err := guardedDial((&net.Dialer{}).DialContext, func() error {
		if refused {
			return eris.New("lease")
		}
		return nil
	})(t.Context(), "tcp", c.baseURL.Host)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if n, err := conn.Write([]byte("GET")); n != 3 || err != nil {
		t.Errorf("allowed: %d bytes, %v", n, err)
	}
	refused = true
	if n, err := conn.Write([]byte(" /")); n != 0 || err == nil {
		t.Errorf("refused: %d bytes, %v", n, err)
	}
}

// TestTransportNeverRetries guards against net/http sending a request a second time after a reused connection fails
// (guarantee G5).
func TestTransportNeverRetries(t *testing.T) {
	var count atomic.Int32
	c := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1) > 1 {
			closeConnection(w)
		}
	})
	for _, body := range []string{"", "x"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			count.Store(0)
			call := Call{ID: tryID, Service: true, Method: method, Path: "/pull", Key: "k", Body: []byte(body)}
			for range 2 {
				_, _, _ = c.Run(t.Context(), 7, call, nil)
			}
			if n := count.Load(); n != 2 {
				t.Errorf("%s with body %q: the service got %d requests for 2 calls", method, body, n)
			}
		}
	}
}

// TestRequestCarriesVersionAndFencingNumber guards against a request that another adapter version can run, or that has no
// request id, fencing number or idempotency key.
func TestRequestCarriesVersionAndFencingNumber(t *testing.T) {
	c := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		io.WriteString(w, string(body)+" "+r.Header.Get(HeaderRequestID)+" "+r.Header.Get(HeaderFencing)+" "+r.Header.Get(HeaderIdempotencyKey))
	})
	call := Call{ID: tryID, Adapter: adapterVersion, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{"model":"a1","n":1.50}`), Key: "k"}
	var got string
	_, _, err := c.Run(t.Context(), 9, call, func(_ ResponseHead, p []byte) error {
		got += string(p)
		return nil
	})
	if want := `{"model":"a1@v1","n":1.50} r1/2 9 k`; err != nil || got != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// TestLoadAndUnloadWaitForModelList guards against reporting a load or unload as complete before the engine's list shows it.
func TestLoadAndUnloadWaitForModelList(t *testing.T) {
	lists := []string{`{"data":[]}`, `{"data":[{"id":"a1@v1"}]}`, `{"data":[{"id":"a1@v1","digest":"d"}]}`, `{"data":[{"id":"a1@v1","digest":"d"}]}`, `{"data":[{"id":"base"}]}`}
	index, status := 0, 200
	c := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(status)
			return
		}
		io.WriteString(w, lists[index])
		index++
	}, WithPoll(time.Hour, func(time.Duration) <-chan time.Time {
		now := make(chan time.Time, 1)
		now <- time.Time{}
		return now
	}))
	if digest, err := c.Load(t.Context(), 7, adapterVersion, "/p"); err != nil || digest != "d" || index != 3 {
		t.Errorf("load: %q, %v after %d lists", digest, err, index)
	}
	if err := c.Unload(t.Context(), 7, adapterVersion); err != nil || index != 5 {
		t.Errorf("unload: %v after %d lists", err, index)
	}
	for status, want := range map[int]Effect{400: NoEffect, 500: MayHaveEffect, 408: MayHaveEffect} {
		c := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		if _, err := c.Load(t.Context(), 7, adapterVersion, "/p"); EffectOf(err) != want {
			t.Errorf("load with response status %d: effect %v, want %v", status, EffectOf(err), want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	index, lists = 0, []string{`{"data":[]}`}
	c = startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			cancel()
		}
	})
	if _, err := c.Load(ctx, 7, adapterVersion, "/p"); EffectOf(err) != MayHaveEffect {
		t.Errorf("load that is never listed: effect %v", EffectOf(err))
	}
}
