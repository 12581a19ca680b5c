package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"shallotring.dev/coordination/claim"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/engine"
	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// claimedAgent is an agent with a claim of incarnation 7 and without a control loop.
type claimedAgent struct {
	*Agent
	t     *testing.T
	store *fakeStore

	mu     sync.Mutex
	events []gate.Event
}

func newClaimedAgent(t *testing.T) *claimedAgent {
	t.Helper()
	a := &claimedAgent{t: t, store: &fakeStore{data: make(map[string]keyvalue.Record), revision: 6}}
	a.Agent = &Agent{
		settings: Settings{Endpoint: "e1"}, configuration: newConfiguration(resource.Engine), clock: quartz.NewReal(), log: timeline.Discard(),
		inbox: make(chan message), tries: make(map[ident.TryID]*tryChannels),
	}
	a.work, a.stop = context.WithCancelCause(t.Context())
	a.meters = newMeters(metrics.NewSet(), &a.bodyBytes)
	a.claim = claim.New(a.store, registry.ClaimRecord{Process: "p1", Endpoint: "e1"}, claim.WithFencingChecks(true))
	go a.collectEvents()
	t.Cleanup(func() { a.stop(nil) })
	a.acquireClaim()
	return a
}

// collectEvents receives what the agent posts to its gate.
func (a *claimedAgent) collectEvents() {
	for {
		select {
		case m := <-a.inbox:
			a.mu.Lock()
			a.events = append(a.events, m.event)
			a.mu.Unlock()
		case <-a.work.Done():
			return
		}
	}
}

func (a *claimedAgent) posted(e gate.Event) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.events, func(x gate.Event) bool { return x == e })
}

// acquireClaim acquires the claim, after the loss of the previous one if there is one.
func (a *claimedAgent) acquireClaim() (i ident.Incarnation) {
	_ = a.store.Revoke(a.t.Context(), 1)
	i, err := a.claim.Acquire(a.t.Context())
	if err != nil {
		a.t.Error(err)
	}
	a.handleClaimChange(claim.Held, i)
	return i
}

// TestLateRefusalKeepsNewClaim guards against an agent that gives up a claim that it has acquired again, and refuses all work until that
// claim's lease has expired, because the endpoint refuses a command of its previous claim.
func TestLateRefusalKeepsNewClaim(t *testing.T) {
	a := newClaimedAgent(t)
	var reacquired ident.Incarnation
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reacquired = a.acquireClaim()
		w.Header().Set("Engine-Start-Id", "s1")
		w.WriteHeader(http.StatusPreconditionFailed)
	}))
	t.Cleanup(s.Close)
	client, err := engine.New(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	a.client = client
	t.Cleanup(client.Close)
	a.execute(gate.Unload{Number: 1, Adapter: ident.AdapterVersion{Adapter: "a1", Version: "v1"}}, nil)
	a.goroutines.Wait()
	if s, i := a.claim.Status(); s != claim.Held || i != reacquired {
		t.Errorf("claim %d has status %d, want %d to be held", i, s, reacquired)
	}
	if a.posted(gate.Claim{Status: gate.ClaimLost, Incarnation: reacquired}) {
		t.Errorf("the gate was told that claim %d is lost", reacquired)
	}
}

// decideCommands lets a gate of incarnation 7 decide one command of each kind that is sent to an engine.
func decideCommands(t *testing.T) (list []gate.Command) {
	t.Helper()
	c := gate.DefaultConfig()
	c.Endpoint, c.ChecksFencing, c.Incarnation, c.Slots = "e1", true, 7, 1
	g := gate.New(c)
	now := time.Unix(1_000_000, 0)
	run := func(request ident.RequestID, adapter ident.Adapter) gate.Run {
		return gate.Run{
			ID: ident.TryID{RequestID: request, Try: 1, Incarnation: 7}, Endpoint: "e1", Caller: "c1", Share: 1,
			Adapter: ident.AdapterVersion{Adapter: adapter, Version: "v1"}, Deadline: now.Add(time.Minute),
			Declaration: gate.Declaration{Declared: true, Digest: digest},
		}
	}
	first, second := run("r1", "a1"), run("r2", "a2")
	permit := gate.Permits{Granted: 1, Until: now.Add(time.Minute)}
	for _, e := range []gate.Event{
		gate.Tick{}, gate.Surveyed{Number: 1, StartID: "s1"}, first, permit, gate.LoadEnded{Number: 2, Digest: digest},
		gate.Settle{ID: first.ID, Cancel: true}, gate.Ended{ID: first.ID, Outcome: outcome.Completed}, second, permit,
	} {
		for _, x := range g.Step(now, e) {
			switch x.(type) {
			case gate.Survey, gate.Load, gate.Start, gate.Cancel, gate.Unload:
				list = append(list, x)
			}
		}
	}
	var kinds string
	for _, x := range list {
		kinds += fmt.Sprintf("%T ", x)
	}
	if want := "gate.Survey gate.Load gate.Start gate.Cancel gate.Unload "; kinds != want {
		t.Fatalf("commands %s, want %s", kinds, want)
	}
	return list
}

// executeLate executes commands of incarnation 7 after the claim has been lost and acquired again.
func (a *claimedAgent) executeLate(list []gate.Command) {
	id := ident.TryID{RequestID: "r1", Try: 1, Incarnation: 7}
	j := &runCall{
		agent: a.Agent, id: id, request: &wire.RunRequest{Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)},
		channels: &tryChannels{start: make(chan gate.Start, 1), cancel: func() {}},
		out:      frame.NewWriter(httptest.NewRecorder(), wire.NewTryID(id)), flush: func() error { return nil },
	}
	a.acquireClaim()
	a.tries[id] = j.channels
	for _, c := range list {
		a.execute(c, nil)
		a.goroutines.Wait()
	}
	a.post(j.runAtEndpoint(a.work, <-j.channels.start))
}

// TestLateCommandsKeepFencingNumber guards against a command that is delayed while the claim is lost and acquired again, and that the engine
// then accepts although another agent may have changed it in between (guarantees G1, G2 and G5).
func TestLateCommandsKeepFencingNumber(t *testing.T) {
	a, e := newClaimedAgent(t), newFakeEngine(t)
	// The client has no guard, as if the claim were lost and acquired again immediately after its check.
	client, err := engine.New(e.URL)
	if err != nil {
		t.Fatal(err)
	}
	a.client = client
	t.Cleanup(client.Close)
	a.executeLate(decideCommands(t))
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.fencing) != 1 || !e.fencing["7"] {
		t.Errorf("the engine got commands with the fencing numbers %v, want 7 only", e.fencing)
	}
}
