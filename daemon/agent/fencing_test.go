package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"shallotring.dev/coordination/claim"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/engine"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
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
