package bucket

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"go.uber.org/goleak"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/ledger"
	"shallotring.dev/transport/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a few entries and one agent that communicate by twirp over loopback.
type fleet struct {
	t      *testing.T
	store  *memoryStore
	clock  *quartz.Mock
	mu     sync.Mutex
	live   []registry.ProcessRecord
	owners []*Owner
	client *http.Client
	agent  *fakeAgent
	log    lockedBuffer
	set    *metrics.Set
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// entryServer is the entry service with the two calls of the ledger.
type entryServer struct {
	wire.Entry
	ledger *Server
}

func (s entryServer) Intend(ctx context.Context, r *wire.IntendRequest) (*wire.IntendResponse, error) {
	return s.ledger.Intend(ctx, r)
}

func (s entryServer) Conclude(ctx context.Context, r *wire.ConcludeRequest) (*wire.ConcludeResponse, error) {
	return s.ledger.Conclude(ctx, r)
}

type fakeAgent struct {
	wire.Agent
	mu       sync.Mutex
	response *wire.SettleResponse
	settled  []*wire.TryID
}

func (a *fakeAgent) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = append(a.settled, r.ID)
	return a.response, nil
}

func newFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: newMemoryStore(), clock: quartz.NewMock(t), set: metrics.NewSet(), agent: &fakeAgent{}}
	f.client = &http.Client{Transport: &http.Transport{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
		f.client.CloseIdleConnections()
	})
	c := ledger.DefaultConfig()
	c.CommitInterval = 0 // the mock clock moves only when a test advances it
	for i := range entries {
		var handler http.Handler
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
		t.Cleanup(server.Close)
		r := registry.ProcessRecord{
			Process: ident.Process(fmt.Sprintf("entry-%d", i)), Role: registry.RoleEntry,
			Address: strings.TrimPrefix(server.URL, "http://"),
		}
		o := New(r, f.store, f.peers, WithClock(f.clock), WithConfig(c), WithHTTPClient(f.client), WithMetrics(metrics.NewSet()),
			WithTimeline(timeline.New(&f.log, timeline.Process{ID: r.Process}, slog.LevelInfo)))
		handler = wire.NewEntryServer(entryServer{ledger: o.Server()})
		f.owners, f.live = append(f.owners, o), append(f.live, r)
		group.Go(func() { o.Run(ctx) })
	}
	return f
}

func (f *fleet) peers() []registry.ProcessRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]registry.ProcessRecord(nil), f.live...)
}

// ownerAndOther returns the owner that rendezvous hashing gives the key to, and another one.
func (f *fleet) ownerAndOther(key string) (owner, other *Owner) {
	chosen, _ := rendezvousChoice(Of("c", key), f.peers())
	for _, o := range f.owners {
		if o.self.Process == chosen.Process {
			owner = o
			continue
		}
		other = o
	}
	return owner, other
}

// removeLive removes an entry from the live ones; its owner keeps running, as a paused previous owner would.
func (f *fleet) removeLive(o *Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, p := range f.live {
		if p.Process == o.self.Process {
			f.live = append(f.live[:i:i], f.live[i+1:]...)
			return
		}
	}
}

// advance moves the clock tick by tick, because the mock clock cannot advance past a timer.
func (f *fleet) advance(d time.Duration) {
	f.t.Helper()
	for range d / defaultTickInterval {
		f.clock.Advance(defaultTickInterval).MustWait(f.t.Context())
	}
}

func (f *fleet) startAgent() ident.Incarnation {
	server := httptest.NewServer(wire.NewAgentServer(f.agent))
	f.t.Cleanup(server.Close)
	return f.writeClaim(strings.TrimPrefix(server.URL, "http://"))
}

func (f *fleet) writeClaim(address string) (at ident.Incarnation) {
	value, _ := json.Marshal(registry.ClaimRecord{Endpoint: "e", Address: address})
	f.store.withLock(func() {
		f.store.revision++
		k := registry.ClaimKey("e")
		r := f.store.records[k]
		r.Key, r.Value, r.ModRevision = k, value, f.store.revision
		f.store.records[k] = r
		at = ident.Incarnation(f.store.revision)
	})
	return at
}

func (f *fleet) intend(o *Owner, key, request string, incarnation ident.Incarnation, want wire.IntentState) *wire.IntendResponse {
	f.t.Helper()
	a, err := o.Intend(f.t.Context(), &wire.IntendRequest{
		Caller: "c", Key: key, BodyDigest: []byte("d"), Endpoint: "e",
		ID: &wire.TryID{RequestID: request, Try: 1, Incarnation: int64(incarnation)},
	})
	if err != nil || a.State != want {
		f.t.Fatalf("intend %s by %s: state %v, want %v, error %v", key, request, a.GetState(), want, err)
	}
	return a
}

func (f *fleet) conclude(o *Owner, key, request string, out wire.Outcome) bool {
	f.t.Helper()
	a, err := o.Conclude(f.t.Context(), &wire.ConcludeRequest{
		Caller: "c", Key: key, ID: &wire.TryID{RequestID: request, Try: 1}, Outcome: out,
		Answer: &wire.Answer{Status: 201, Body: []byte("done")},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return a.Recorded
}

const (
	granted       = wire.IntentState_INTENT_STATE_GRANTED
	completed     = wire.IntentState_INTENT_STATE_COMPLETED
	inProgress    = wire.IntentState_INTENT_STATE_IN_PROGRESS
	unknown       = wire.IntentState_INTENT_STATE_UNKNOWN
	notAvailable  = wire.IntentState_INTENT_STATE_UNAVAILABLE
	neverStarted  = wire.TryState_TRY_STATE_NEVER_STARTED
	closedAddress = "127.0.0.1:1" // nothing listens there
)

// TestForward guards against a second grant of a key through another entry, and against the loss of the recorded
// response.
func TestForward(t *testing.T) {
	f := newFleet(t, 3)
	owner, other := f.ownerAndOther("k")
	f.intend(other, "k", "r1", 0, granted)
	if !f.conclude(other, "k", "r1", wire.Outcome_OUTCOME_COMPLETED) {
		t.Fatal("outcome was not recorded")
	}
	for _, o := range []*Owner{owner, other} {
		if a := f.intend(o, "k", "r2", 0, completed); string(a.Answer.GetBody()) != "done" || a.RequestID != "r1" {
			t.Fatalf("response %v of request %q", a.Answer, a.RequestID)
		}
	}
	if n := owner.counters.takeovers.Get(); n != 1 {
		t.Errorf("%d takeovers", n)
	}
	if !strings.Contains(f.log.String(), string(timeline.BucketTaken)) {
		t.Error("no event for the takeover")
	}
}

// TestServiceDown guards against a wait or a grant while the key-value service is down, and against a refusal once it
// has recovered.
func TestServiceDown(t *testing.T) {
	f := newFleet(t, 1)
	f.intend(f.owners[0], "k", "r1", 0, granted)
	f.store.withLock(func() { f.store.down = true })
	f.intend(f.owners[0], "k2", "r2", 0, notAvailable)
	calls := f.store.calls
	if a := f.intend(f.owners[0], "k2", "r2", 0, notAvailable); a.RetryAfterMilli <= 0 {
		t.Errorf("retry after %d ms", a.RetryAfterMilli)
	}
	if Of("c", "k") == Of("c", "k2") && f.store.calls != calls {
		t.Error("a call was made to a service that is known to be down")
	}
	f.store.withLock(func() { f.store.down = false })
	f.advance(time.Second)
	f.intend(f.owners[0], "k2", "r2", 0, granted)
}

// TestServiceSlow guards against calls that wait for a key-value service that accepts a write and does not respond.
func TestServiceSlow(t *testing.T) {
	f := newFleet(t, 1)
	f.intend(f.owners[0], "k", "r1", 0, granted)
	f.conclude(f.owners[0], "k", "r1", wire.Outcome_OUTCOME_NOT_RUN)
	f.store.withLock(func() { f.store.block = make(chan struct{}) })
	trap := f.clock.Trap().AfterFunc()
	response := make(chan *wire.IntendResponse, 1)
	go func() {
		a, _ := f.owners[0].Intend(t.Context(), &wire.IntendRequest{
			Caller: "c", Key: "k", BodyDigest: []byte("d"), Endpoint: "e", ID: &wire.TryID{RequestID: "r2", Try: 1},
		})
		response <- a
	}()
	trap.MustWait(t.Context()).MustRelease(t.Context()) // the write is in progress
	trap.Close()
	f.advance(2 * time.Second)
	if a := <-response; a.State != notAvailable {
		t.Errorf("state %v", a.State)
	}
}

// TestLostWriteResponse guards against a wrong decision after the response to a write was lost, whether or not the
// write took effect.
func TestLostWriteResponse(t *testing.T) {
	for _, c := range []struct {
		applied bool
		want    wire.IntentState
	}{{true, granted}, {false, notAvailable}} {
		t.Run(fmt.Sprintf("applied %t", c.applied), func(t *testing.T) {
			f := newFleet(t, 1)
			f.intend(f.owners[0], "k", "r1", 0, granted)
			f.conclude(f.owners[0], "k", "r1", wire.Outcome_OUTCOME_NOT_RUN)
			f.store.withLock(func() { f.store.loseResponses, f.store.applyLost = 1, c.applied })
			f.intend(f.owners[0], "k", "r2", 0, c.want)
		})
	}
}

// TestTakeover guards against a second run of an open intent after its bucket has passed to another entry, in some
// cases with the agent of the try unreachable. The new owner settles the try with the agent, or reads the claim if it
// cannot reach the agent.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name     string
		response *wire.SettleResponse // nil if the agent cannot be reached
		claim    string               // "held", "deleted" or "newer"
		want     wire.IntentState
	}{
		{"try never started", &wire.SettleResponse{State: neverStarted}, "held", granted},
		{"try running", &wire.SettleResponse{State: wire.TryState_TRY_STATE_RUNNING}, "held", inProgress},
		{"try completed", &wire.SettleResponse{
			State: wire.TryState_TRY_STATE_COMPLETED, Outcome: wire.Outcome_OUTCOME_COMPLETED,
		}, "held", completed},
		{"agent reports unknown", &wire.SettleResponse{State: wire.TryState_TRY_STATE_UNKNOWN}, "held", unknown},
		{"agent unreachable, claim held", nil, "held", inProgress},
		{"agent unreachable, claim deleted", nil, "deleted", unknown},
		{"agent unreachable, claim newer", nil, "newer", unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 2)
			incarnation := f.writeClaim(closedAddress)
			if c.response != nil {
				f.agent.response = c.response
				incarnation = f.startAgent()
			}
			owner, other := f.ownerAndOther("k")
			f.intend(owner, "k", "r1", incarnation, granted)
			f.removeLive(owner)
			switch c.claim {
			case "deleted":
				f.store.withLock(func() { delete(f.store.records, registry.ClaimKey("e")) })
			case "newer":
				f.writeClaim(closedAddress)
			}
			state := f.intendUntilSettled(other, incarnation)
			if state != c.want {
				t.Fatalf("state %v, want %v", state, c.want)
			}
		})
	}
}

// intendUntilSettled repeats the call while the result of settling, which the takeover started, is being written.
func (f *fleet) intendUntilSettled(o *Owner, incarnation ident.Incarnation) (s wire.IntentState) {
	for range 3 {
		a, err := o.Intend(f.t.Context(), &wire.IntendRequest{
			Caller: "c", Key: "k", BodyDigest: []byte("d"), Endpoint: "e",
			ID: &wire.TryID{RequestID: "r2", Try: 1, Incarnation: int64(incarnation)},
		})
		if err != nil {
			f.t.Fatal(err)
		}
		if s = a.State; s != inProgress {
			return s
		}
	}
	return s
}

// TestPreviousOwner guards against a paused previous owner that continues to grant after a takeover.
func TestPreviousOwner(t *testing.T) {
	f := newFleet(t, 2)
	owner, other := f.ownerAndOther("k")
	f.intend(owner, "k", "r1", 0, granted)
	f.conclude(owner, "k", "r1", wire.Outcome_OUTCOME_NOT_RUN)
	f.removeLive(owner)
	f.intend(other, "k", "r2", 0, granted)
	a := owner.intendLocal(t.Context(), Of("c", "k"), &wire.IntendRequest{
		Caller: "c", Key: "k", BodyDigest: []byte("d"), Endpoint: "e", ID: &wire.TryID{RequestID: "r3", Try: 1},
	})
	if a.State != wire.IntentState_INTENT_STATE_NOT_OWNER || a.Owner != string(other.self.Process) {
		t.Fatalf("previous owner replied %v, owner %q", a.State, a.Owner)
	}
}

// TestRelease guards against a planned stop that leaves buckets owned or loses their records.
func TestRelease(t *testing.T) {
	f := newFleet(t, 2)
	owner, other := f.ownerAndOther("k")
	f.intend(owner, "k", "r1", 0, granted)
	f.conclude(owner, "k", "r1", wire.Outcome_OUTCOME_COMPLETED)
	if err := owner.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	var v ledger.Value
	f.store.withLock(func() { json.Unmarshal(f.store.records[registry.LedgerKey(Of("c", "k"))].Value, &v) })
	if v.Owner != "" {
		t.Fatalf("owner %q after the release", v.Owner)
	}
	f.intend(owner, "k", "r2", 0, completed) // forwarded while the entry finishes its requests
	f.removeLive(owner)
	f.intend(other, "k", "r2", 0, completed)
	if !strings.Contains(f.log.String(), string(timeline.BucketReleased)) {
		t.Error("no event for the release")
	}
}

// TestInvalidRequests guards against requests that are accepted without the fields that name a record.
func TestInvalidRequests(t *testing.T) {
	f := newFleet(t, 1)
	if _, err := f.owners[0].Intend(t.Context(), &wire.IntendRequest{Caller: "c"}); err == nil {
		t.Error("an intent without a key was accepted")
	}
	if _, err := f.owners[0].Server().Conclude(t.Context(), &wire.ConcludeRequest{Caller: "c"}); err == nil {
		t.Error("an outcome without a key was accepted")
	}
}

// TestRendezvous guards against a hash that moves buckets between the present entries when another entry joins.
func TestRendezvous(t *testing.T) {
	list := []registry.ProcessRecord{{Process: "a"}, {Process: "b"}, {Process: "c"}}
	for n := range Count {
		before, _ := rendezvousChoice(n, list[:2])
		after, _ := rendezvousChoice(n, list)
		if after.Process != "c" && after.Process != before.Process {
			t.Errorf("bucket %d moved from %s to %s", n, before.Process, after.Process)
		}
	}
}
