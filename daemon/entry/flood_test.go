package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/transport/server/servertest"
)

// TestFloodOfOneCaller guards against requests over the limit that are not refused, or refused without outcome and
// Retry-After, and against a caller that is refused although another caller's request has finished.
func TestFloodOfOneCaller(t *testing.T) {
	const limit, sent = 8, 40
	s := testSettings()
	s.InProgress = limit
	agents := twoAgents(t)
	release := make(chan struct{})
	agents[0].run = func(w *frame.Writer, r *wire.RunRequest, h *http.Request) {
		if r.GetCaller() == "depot" {
			<-release
		}
		echo(w, r, h)
	}
	r := startEntry(t, s, agents)
	postAsLab := func() int {
		w := r.post(t, "/v1/chat/completions", chat, "Authorization", "Bearer "+otherToken)
		readAll(t, w)
		return w.StatusCode
	}
	var flood sync.WaitGroup
	var mu sync.Mutex
	statusCounts := map[int]int{}
	for range sent {
		flood.Go(func() {
			w := r.post(t, "/v1/chat/completions", chat)
			readAll(t, w)
			mu.Lock()
			defer mu.Unlock()
			statusCounts[w.StatusCode]++
			if w.StatusCode != http.StatusOK && (w.Header.Get("Retry-After") == "" || w.Header.Get(HeaderOutcome) != "not-run") {
				t.Errorf("refusal %d: %v", w.StatusCode, w.Header)
			}
		})
	}
	waitFor(t, "the refusals of the flood", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return statusCounts[http.StatusServiceUnavailable]+statusCounts[http.StatusTooManyRequests] == sent-limit
	})
	release <- struct{}{}
	waitFor(t, "a finished request", func() bool { return r.admission.count() < limit })
	if code := postAsLab(); code != http.StatusOK {
		t.Errorf("another caller got %d", code)
	}
	close(release)
	flood.Wait()
	if statusCounts[http.StatusOK] != limit {
		t.Errorf("status counts of the flood: %v", statusCounts)
	}
}

// TestSlowHeadersDoNotBlockCallers guards against connections with an incomplete or missing header that use up the
// connection limit and so block other callers.
func TestSlowHeadersDoNotBlockCallers(t *testing.T) {
	s := testSettings()
	s.Connections, s.HeaderTimeout, s.BodyTimeout = 4, 50*time.Millisecond, 50*time.Millisecond
	r := startEntry(t, s, twoAgents(t))
	// Six such connections exceed the limit of four.
	for _, text := range []string{"", "", "GET /v1/models HTTP/1.1\r\nHost:", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-", "", "G"} {
		dial(t, r, text)
	}
	w := r.post(t, "/v1/chat/completions", chat)
	if readAll(t, w); w.StatusCode != http.StatusOK {
		t.Errorf("another caller got %d", w.StatusCode)
	}
}

// TestFailedHandshakeIsNotRun guards against a failed TLS handshake that ends with outcome unknown and makes the
// idempotency key unusable. Without a connection nothing can have run, so the outcome not-run is true (guarantee G4) and a
// retry with the key is safe (guarantee G5).
func TestFailedHandshakeIsNotRun(t *testing.T) {
	agents := twoAgents(t)
	l := newFakeLedger()
	untrusted := httptest.NewTLSServer(http.NotFoundHandler()) // its certificate is of another CA
	defer untrusted.Close()
	agents[1].server.URL = strings.Replace(untrusted.URL, "https", "http", 1)
	s := testSettings()
	s.PeerTLS = servertest.NewAuthority(t).Keys("entry")
	r := startEntry(t, s, agents, WithLedger(l))
	w := r.post(t, "/services/custody/pull/7", "pallet", HeaderKey, "k1")
	if code := errorCode(t, w); w.StatusCode != http.StatusServiceUnavailable || w.Header.Get(HeaderOutcome) != "not-run" {
		t.Errorf("got %d %s, outcome %s", w.StatusCode, code, w.Header.Get(HeaderOutcome))
	}
	if o := l.outcomes["depot/k1"]; o != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("the key is concluded as %v", o)
	}
}
