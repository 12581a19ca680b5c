package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/resource"
)

// TestMain guards against goroutines that outlive the entries of the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestCallersGetTheirOwnResponses guards against a caller that receives another caller's response while many requests
// are in progress (guarantee G3).
func TestCallersGetTheirOwnResponses(t *testing.T) {
	agents := twoAgents(t)
	agents[0].run = func(w *frame.Writer, r *wire.RunRequest, _ *http.Request) {
		w.Accept()
		body := string(r.GetBody())
		for _, part := range []string{"data: " + body + "\n\n", "data: [DONE]\n\n"} {
			w.Data([]byte(part), http.StatusOK, eventType)
		}
		w.End(&wire.End{Outcome: wire.Outcome_OUTCOME_COMPLETED}, http.StatusOK, eventType)
	}
	r := startEntry(t, testSettings(), agents)
	var work sync.WaitGroup
	for i := range 16 {
		work.Go(func() {
			for j := range 20 {
				mark := fmt.Sprintf("caller-%d-%d.", i, j)
				w := r.post(t, "/v1/completions", `{"model":"core","stream":true,"prompt":"`+mark+`"}`)
				if text := readAll(t, w); strings.Count(text, "caller-") != 1 || !strings.Contains(text, mark) {
					t.Errorf("%s got %s", mark, text)
				}
			}
		})
	}
	work.Wait()
}

// TestIsolatedEntryRefuses guards against an isolated process that accepts new requests or reports ready.
func TestIsolatedEntryRefuses(t *testing.T) {
	agents := twoAgents(t)
	r := startEntry(t, testSettings(), agents, WithIsolation(func() string { return "no contact" }))
	w := r.post(t, "/v1/chat/completions", chat)
	if w.StatusCode != http.StatusServiceUnavailable || errorCode(t, w) != "isolated" || agents[0].runs.Load() != 0 {
		t.Errorf("got %d after %d tries", w.StatusCode, agents[0].runs.Load())
	}
	a, err := http.Get("http://" + r.AdminAddr() + "/readyz")
	if err != nil || a.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness: %v, %v", a, err)
	}
	a.Body.Close()
}

// TestDeadlinePassesInEngine guards against a deadline that is not enforced and a try that is not settled after it: the
// agent accepts the try and sends nothing more.
func TestDeadlinePassesInEngine(t *testing.T) {
	for state, want := range map[wire.TryState]int{
		wire.TryState_TRY_STATE_NEVER_STARTED: http.StatusRequestTimeout,
		wire.TryState_TRY_STATE_RUNNING:       http.StatusBadGateway,
	} {
		agents := twoAgents(t)
		agents[0].settleState = state
		agents[0].run = func(w *frame.Writer, _ *wire.RunRequest, h *http.Request) {
			w.Accept()
			<-h.Context().Done()
		}
		s := testSettings()
		s.RequestTimeout = 50 * time.Millisecond
		r := startEntry(t, s, agents)
		w := r.post(t, "/v1/chat/completions", chat)
		if readAll(t, w); w.StatusCode != want || agents[0].runs.Load() != 1 || agents[0].settles.Load() != 1 {
			t.Errorf("%v: got %d, %d tries, %d Settle calls", state, w.StatusCode, agents[0].runs.Load(), agents[0].settles.Load())
		}
	}
}

// TestConfigurationChange guards against a running entry that does not apply a changed configuration (guarantee G8).
func TestConfigurationChange(t *testing.T) {
	c := &fakeConfiguration{}
	set := testSet(t, 1, 1)
	c.set.Store(set)
	agents := twoAgents(t)
	r := startEntry(t, testSettings(), agents, WithConfiguration(c))
	w := r.post(t, "/v1/chat/completions", chat)
	readAll(t, w)
	shard, _ := set.Shard(0)
	next := *shard
	next.Adapters = []resource.Adapter{shard.Adapters[0]}
	next.Adapters[0].Default = "v2"
	next.Callers = []resource.Caller{{Name: "lab", TokenSHA256: hexDigest(otherToken)}}
	c.set.Store(set.Apply(0, 6, &next))
	if w := r.post(t, "/v1/chat/completions", chat); w.StatusCode != http.StatusUnauthorized {
		t.Errorf("removed caller: got %d", w.StatusCode)
	}
	w = r.post(t, "/v1/chat/completions", chat, "Authorization", "Bearer "+otherToken)
	if readAll(t, w); w.Header.Get(HeaderAdapter) != "core@v2" {
		t.Errorf("new default: got %s", w.Header.Get(HeaderAdapter))
	}
}

// TestNoConfigurationYet guards against a caller whose token is reported as invalid while the process has not read its
// configuration.
func TestNoConfigurationYet(t *testing.T) {
	c := &fakeConfiguration{}
	c.set.Store(resource.NewSet())
	r := startEntry(t, testSettings(), twoAgents(t), WithConfiguration(c))
	if w := r.post(t, "/v1/chat/completions", chat); w.StatusCode != http.StatusServiceUnavailable || errorCode(t, w) != "isolated" {
		t.Errorf("got %d", w.StatusCode)
	}
	if r.notReadyReason() == "" {
		t.Error("ready without a configuration")
	}
	c.set.Store(testSet(t, 1, 1))
	w := r.post(t, "/v1/chat/completions", chat)
	if readAll(t, w); w.StatusCode != http.StatusOK || r.notReadyReason() != "" {
		t.Errorf("with a configuration: got %d, %s", w.StatusCode, r.notReadyReason())
	}
}

// TestUnresponsiveAgent guards against an unresponsive agent that blocks a repeatable request until its deadline although
// another endpoint is free.
func TestUnresponsiveAgent(t *testing.T) {
	agents := []*fakeAgent{newFakeAgent(t), newFakeAgent(t), newFakeAgent(t)}
	unresponsive := func(_ *frame.Writer, _ *wire.RunRequest, h *http.Request) { <-h.Context().Done() }
	agents[0].run = inOrder(unresponsive, echo)
	agents[1].run = agents[0].run
	s := testSettings()
	s.AcceptTimeout = 50 * time.Millisecond
	r := startEntry(t, s, agents)
	w := r.post(t, "/v1/chat/completions", chat)
	if readAll(t, w); w.StatusCode != http.StatusOK || agents[0].runs.Load() != 1 || agents[1].runs.Load() != 1 {
		t.Errorf("got %d after %d and %d tries", w.StatusCode, agents[0].runs.Load(), agents[1].runs.Load())
	}
	if n := agents[0].settles.Load() + agents[1].settles.Load(); n != 1 {
		t.Errorf("%d tries were settled", n)
	}
}
