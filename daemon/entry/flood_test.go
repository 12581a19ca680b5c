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

// Guards against a flood that is not refused at the limit with outcome and retry-after, and against a place that another
// caller does not get once it is free.
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
	lab := func() int {
		w := r.post(t, "/v1/chat/completions", chat, "Authorization", "Bearer "+otherToken)
		readAll(t, w)
		return w.StatusCode
	}
	var flood sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for range sent {
		flood.Go(func() {
			w := r.post(t, "/v1/chat/completions", chat)
			readAll(t, w)
			mu.Lock()
			defer mu.Unlock()
			got[w.StatusCode]++
			if w.StatusCode != http.StatusOK && (w.Header.Get("Retry-After") == "" || w.Header.Get(HeaderOutcome) != "not-run") {
				t.Errorf("refusal %d: %v", w.StatusCode, w.Header)
			}
		})
	}
	waitFor(t, "the refusals of the flood", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return got[http.StatusServiceUnavailable]+got[http.StatusTooManyRequests] == sent-limit
	})
	release <- struct{}{}
	waitFor(t, "a free place", func() bool { return r.admitted.count() < limit })
	if code := lab(); code != http.StatusOK {
		t.Errorf("another caller got %d", code)
	}
	close(release)
	flood.Wait()
	if got[http.StatusOK] != limit {
		t.Errorf("answers of the flood: %v", got)
	}
}

// Guards against callers that hold connections with a slow or silent header and keep others out.
func TestSlowHeadersGiveWay(t *testing.T) {
	s := testSettings()
	s.Connections, s.HeaderTimeout, s.BodyTimeout = 4, 50*time.Millisecond, 50*time.Millisecond
	r := startEntry(t, s, twoAgents(t))
	for _, text := range []string{"", "", "GET /v1/models HTTP/1.1\r\nHost:", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-", "", "G"} {
		dial(t, r, text)
	}
	w := r.post(t, "/v1/chat/completions", chat)
	if readAll(t, w); w.StatusCode != http.StatusOK {
		t.Errorf("another caller got %d", w.StatusCode)
	}
}

// Guards against a key's loss by a failed connection: before a connection exists nothing can have run (G4, G5).
func TestFailedHandshakeIsNotRun(t *testing.T) {
	agents := twoAgents(t)
	l := newFakeLedger()
	silent := httptest.NewTLSServer(http.NotFoundHandler()) // its certificate is of another CA
	defer silent.Close()
	agents[1].server.URL = strings.Replace(silent.URL, "https", "http", 1)
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
