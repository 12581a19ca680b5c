package frontend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
)

// TestLeavingAnnouncedInResponse guards against requests to an endpoint that has announced in a response that it is leaving, although
// discovery still lists it as ready, and against an announcement that outlives the incarnation.
func TestLeavingAnnouncedInResponse(t *testing.T) {
	for _, x := range []struct {
		name    string
		respond func(b *backend, w http.ResponseWriter, r *http.Request)
	}{{"success", serveRequest}, {"refusal", refuseRequest}, {"error", respondWithStatus(500, true)}} {
		t.Run(x.name, func(t *testing.T) {
			b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Server-Leaving", "1")
				x.respond(b, w, r)
			})
			f, address := newFrontend(t, b)
			if _, _, _, err := sendRequest(t, address, "/once/", "first"); err != nil {
				t.Fatal(err)
			}
			d := inventory.Endpoint{ID: "i-0", Service: "s", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 6}
			f.UpdateEndpoint(d)
			hits := b.hits
			for i := range 5 {
				if code, _, _, err := sendRequest(t, address, "/again/", fmt.Sprint("r", i)); code != 503 {
					t.Errorf("response = %d %v, want 503", code, err)
				}
			}
			if b.hits != hits {
				t.Errorf("%d requests reached the leaving endpoint", b.hits-hits)
			}
			d.StartMilli = 2
			f.UpdateEndpoint(d)
			sendRequest(t, address, "/once/", "next")
			if b.hits == hits {
				t.Error("the next incarnation gets no requests")
			}
		})
	}
}

// TestLeavingAnnouncedByAgent guards against requests to an engine that its agent has reported as leaving, after the agent has died.
func TestLeavingAnnouncedByAgent(t *testing.T) {
	f, _ := newFrontend(t, newBackend(t, serveRequest))
	l := newLink(f, "127.0.0.1:1")
	e := f.endpoints["i-0"]
	e.link = l
	for _, leaving := range []bool{true, false} {
		f.handleState(l, control.State{Endpoint: "i-0", Up: true, Leaving: leaving, Holdings: &control.Holdings{}})
		if !e.Leaving {
			t.Errorf("agent reports leaving %t: the endpoint does not count as leaving", leaving)
		}
	}
}

// TestEndpointThatAsksForTime guards against requests to an endpoint during the time for which it wants none, against a refusal whose
// Retry-After ends before that time, and against an endpoint that stays unused after it.
func TestEndpointThatAsksForTime(t *testing.T) {
	const pause = 700 * time.Millisecond
	busy := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		first := b.hits == 1
		b.mu.Unlock()
		if !first {
			serveRequest(b, w, r)
			return
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		refuseRequest(b, w, r)
	})
	f, address := newFrontend(t, busy)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	start := time.Now()
	for i := 0; ; i++ {
		asked := time.Now()
		code, _, h, err := sendRequest(t, address, "/again/", fmt.Sprint("r", i))
		if err != nil {
			t.Fatal(err)
		}
		if code == http.StatusOK {
			break
		}
		seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		if err != nil || code != http.StatusServiceUnavailable {
			t.Fatalf("response = %d, Retry-After %q", code, h.Get("Retry-After"))
		}
		if i > 0 && time.Duration(seconds*float64(time.Second)) < min(pause-asked.Sub(start)-50*time.Millisecond, 300*time.Millisecond) {
			t.Errorf("Retry-After %v s, %v after the endpoint asked for %v", seconds, asked.Sub(start), pause)
		}
		if time.Since(start) > 5*time.Second {
			t.Fatal("the endpoint gets no requests after the time that it asked for")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if passed := time.Since(start); passed < pause {
		t.Errorf("a request reached the endpoint after %v, which wanted none for %v", passed, pause)
	}
	if busy.hits != 2 {
		t.Errorf("%d requests reached the endpoint, want the refused one and the one that was served", busy.hits)
	}
	if n := f.metrics.pauses.Get(); n != 1 {
		t.Errorf("%d pauses are counted, want 1", n)
	}
}

// TestRequestsGoElsewhereDuringPause guards against requests that are refused, or wait, while another endpoint can serve them.
func TestRequestsGoElsewhereDuringPause(t *testing.T) {
	busy := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "30")
		refuseRequest(b, w, r)
	})
	_, address := newFrontend(t, busy, newBackend(t, serveRequest))
	for i := range 40 {
		if code, _, _, err := sendRequest(t, address, "/once/", fmt.Sprint("r", i)); code != http.StatusOK {
			t.Fatalf("response = %d %v", code, err)
		}
	}
	if busy.hits > 1 {
		t.Errorf("%d requests reached the endpoint that asked for time", busy.hits)
	}
}

// TestWaitEndsWhenEndpointCloses guards against a request that is sent to an engine because its adapter is resident there, although the
// engine has asked for time or announced that it is leaving while the request waited.
func TestWaitEndsWhenEndpointCloses(t *testing.T) {
	now := time.Now()
	for name, e := range map[string]*endpoint{
		"leaving":    {Endpoint: inventory.Endpoint{ID: ident.Endpoint("i-0"), Leaving: true}},
		"paused":     {pausedUntil: now.Add(time.Second)},
		"superseded": {superseded: true},
	} {
		if !e.closed(now) {
			t.Errorf("%s: the endpoint is open", name)
		}
	}
	if (&endpoint{pausedUntil: now.Add(-time.Millisecond)}).closed(now) {
		t.Error("the endpoint is closed after its pause")
	}
}
