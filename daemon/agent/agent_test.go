package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/frame"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
)

// system is one agent in process with its fake surroundings.
type system struct {
	t      *testing.T
	agent  *Agent
	engine *fakeEngine
	store  *fakeStore
	config fixedConfiguration
	cancel context.CancelFunc
	result chan error
}

func start(t *testing.T, kind resource.EndpointKind) *system {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := &system{t: t, engine: newFakeEngine(t), config: declare(kind), result: make(chan error, 1)}
	s.store = &fakeStore{data: make(map[string]keyvalue.Record), at: 6}
	var err error
	own := DefaultSettings()
	own.Identity, own.Endpoint, own.BaseURL = settings.Identity{Host: "h1", Zone: "z1"}, "e1", s.engine.URL
	own.PeerAddress, own.AdminAddress, own.BodyBytesTotal = "127.0.0.1:0", "127.0.0.1:0", server.PeerBodyBytes
	s.agent, err = New(own, WithStore(s.store), WithConfiguration(s.config))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { s.result <- s.agent.Run(ctx) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		s.agent.Stop()
		<-s.result
		cancel()
	})
	return s
}

func (s *system) request(id ident.RequestID, adapter string) *wire.RunRequest {
	r := &wire.RunRequest{
		ID: &wire.TryID{RequestID: string(id), Try: 1, Incarnation: 7}, Endpoint: "e1", Adapter: adapter, Version: "v1", Caller: "c1",
		DeadlineUnixMilli: time.Now().Add(time.Minute).UnixMilli(), Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{"model":"x"}`),
	}
	name := resource.Name{Kind: resource.KindAdapter, Name: adapter}
	if adapter == "" {
		r.Body = []byte(`{}`)
		r.Version, name = "", resource.Name{Kind: resource.KindEndpoint, Name: "e1"}
	}
	r.ResourceRevision = int64(s.config.set.ResourceRevision(name))
	return r
}

// run sends a try and returns its data, last frame and the error that ended the frames.
func (s *system) run(r *wire.RunRequest) (data string, last *wire.Frame, err error) {
	s.t.Helper()
	text, _ := proto.Marshal(r)
	resp, err := http.Post("http://"+s.agent.Address()+RunPath, "application/x-protobuf", bytes.NewReader(text))
	if err != nil {
		return "", nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return "", nil, errors.New(strings.TrimSpace(string(text)))
	}
	in := frame.NewReader(resp.Body, r.GetID())
	for {
		f, err := in.Next()
		if err != nil {
			return data, last, err
		}
		data += string(f.GetData())
		last = f
	}
}

func (s *system) service() wire.Agent {
	return wire.NewAgentProtobufClient("http://"+s.agent.Address(), http.DefaultClient)
}

// Guards against an answer that is cut, unaccounted, or served by another adapter or version than the one named.
func TestTryRunsOnItsAdapterAndIsStreamed(t *testing.T) {
	s := start(t, resource.Engine)
	for _, adapter := range []string{"a1", "a2", "a1"} {
		id := ident.NewRequestID()
		data, last, err := s.run(s.request(id, adapter))
		if !errors.Is(err, io.EOF) {
			t.Fatalf("frames ended with %v", err)
		}
		if want := adapter + "@v1 " + string(id) + "/1"; !strings.Contains(data, want) {
			t.Errorf("data %q does not contain %q", data, want)
		}
		if e := last.GetEnd(); e.GetOutcome() != wire.Outcome_OUTCOME_COMPLETED || e.GetPromptTokens() != 3 || e.GetCompletionTokens() != 5 {
			t.Errorf("last frame %v", last)
		}
	}
	if !s.engine.fencing["7"] || len(s.engine.fencing) != 1 {
		t.Errorf("fencing numbers %v, want 7 on each command", s.engine.fencing)
	}
	if _, ok := s.store.data[registry.ClaimKey("e1")]; !ok {
		t.Error("the endpoint is not claimed")
	}
}

// Guards against a drain that interrupts a running try, admits a new one, or leaves the claim behind (G6, G7).
func TestDrainFinishesRunningTries(t *testing.T) {
	s := start(t, resource.Engine)
	s.engine.hold = make(chan struct{})
	type result struct {
		data string
		last *wire.Frame
		err  error
	}
	done := make(chan result, 1)
	go func() {
		data, last, err := s.run(s.request("r1", "a1"))
		done <- result{data, last, err}
	}()
	<-s.engine.entered
	resp, err := s.service().Drain(context.Background(), &wire.DrainRequest{})
	if err != nil || resp.GetRunning() != 1 {
		t.Fatalf("drain: %v, %v", resp, err)
	}
	_, last, err := s.run(s.request("r2", "a1"))
	if !errors.Is(err, io.EOF) || last.GetRefusal().GetReason() != "leaving" {
		t.Errorf("new try: last frame %v, %v", last, err)
	}
	close(s.engine.hold)
	if r := <-done; !errors.Is(r.err, io.EOF) || r.last.GetEnd().GetOutcome() != wire.Outcome_OUTCOME_COMPLETED {
		t.Errorf("running try: last frame %v, %v", r.last, r.err)
	}
	err = <-s.result
	s.result <- err
	if err != nil {
		t.Errorf("run returned %v", err)
	}
	if len(s.store.data) != 0 {
		t.Errorf("claim left behind: %v", s.store.data)
	}
	if got := s.engine.ran(); len(got) != 1 {
		t.Errorf("requests at the engine: %v", got)
	}
}

// Guards against a keyed try that dies with its entry, runs twice, or whose answer is not there for Settle (G5).
func TestKeyedTrySurvivesItsSender(t *testing.T) {
	s := start(t, resource.Service)
	s.engine.hold = make(chan struct{})
	r := s.request("r1", "")
	r.Key = "k1"
	text, _ := proto.Marshal(r)
	ctx, cancel := context.WithCancel(context.Background())
	post, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.agent.Address()+RunPath, bytes.NewReader(text))
	go func() {
		resp, err := http.DefaultClient.Do(post)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
	<-s.engine.entered
	cancel()
	if _, _, err := s.run(r); err == nil || err.Error() != "duplicate" {
		t.Errorf("repeat of the running try: %v", err)
	}
	settle := func() *wire.SettleResponse {
		resp, err := s.service().Settle(context.Background(), &wire.SettleRequest{ID: r.GetID()})
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if got := settle().GetState(); got != wire.TryState_TRY_STATE_RUNNING {
		t.Errorf("state %v while running", got)
	}
	close(s.engine.hold)
	got := settle()
	for got.GetState() == wire.TryState_TRY_STATE_RUNNING {
		got = settle()
	}
	if got.GetState() != wire.TryState_TRY_STATE_COMPLETED || !strings.Contains(string(got.GetAnswer().GetBody()), "r1/1") {
		t.Errorf("settled as %v", got)
	}
	if got := s.engine.ran(); len(got) != 1 {
		t.Errorf("requests at the service: %v", got)
	}
}

// Guards against a tombstoned try that runs later, and a try that is called not run although it may have run (G4).
func TestTombstoneAndUnknown(t *testing.T) {
	s := start(t, resource.Engine)
	r := s.request("r1", "a1")
	resp, err := s.service().Settle(context.Background(), &wire.SettleRequest{ID: r.GetID()})
	if err != nil || resp.GetState() != wire.TryState_TRY_STATE_NEVER_STARTED {
		t.Fatalf("settle: %v, %v", resp, err)
	}
	if _, last, err := s.run(r); !errors.Is(err, io.EOF) || last.GetRefusal().GetReason() != "tombstoned" {
		t.Errorf("late try: %v, %v", last, err)
	}
	if got := s.engine.ran(); len(got) != 0 {
		t.Errorf("requests at the engine: %v", got)
	}
	s.engine.status = http.StatusInternalServerError
	if _, last, err := s.run(s.request("r2", "a1")); !errors.Is(err, io.EOF) || last.GetEnd().GetOutcome() != wire.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("try with a server error: %v, %v", last, err)
	}
	s.engine.status = http.StatusTooManyRequests
	if _, last, err := s.run(s.request("r3", "a1")); !errors.Is(err, io.EOF) || last.GetEnd().GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("try refused by the engine: %v, %v", last, err)
	}
}

// Guards against an agent that goes on commanding an endpoint after a newer agent has taken it (G2, G5).
func TestFencedAgentStops(t *testing.T) {
	s := start(t, resource.Engine)
	s.engine.status = http.StatusPreconditionFailed
	if _, last, err := s.run(s.request("r1", "a1")); !errors.Is(err, io.EOF) || last.GetEnd().GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("fenced try: %v, %v", last, err)
	}
	_, last, err := s.run(s.request("r2", "a1"))
	if !errors.Is(err, io.EOF) || last.GetRefusal().GetReason() != "claim-lost" {
		t.Errorf("try after it: %v, %v", last, err)
	}
	if got := s.engine.ran(); len(got) != 1 {
		t.Errorf("requests at the engine: %v", got)
	}
}

// Guards against a violation that is not counted, and a process that goes on after a fatal one.
func TestFatalViolationEndsTheProcess(t *testing.T) {
	s := start(t, resource.Service)
	if _, _, err := s.run(s.request("r1", "")); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	s.agent.violated(gate.Violation{Guarantee: gate.G5, Detail: "not fatal"})
	if _, _, err := s.run(s.request("r2", "")); !errors.Is(err, io.EOF) {
		t.Errorf("after a violation that was prevented: %v", err)
	}
	resp, err := http.Get("http://" + s.agent.AdminAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	for _, want := range []string{`shallotring_invariant_violations_total{guarantee="G5"} 1`, `shallotring_agent_tries_total{outcome="completed"} 2`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
	s.agent.violated(gate.Violation{Guarantee: gate.G2, Detail: "fatal", Fatal: true})
	s.cancel() // ends the run by a drain if the violation did not
	err = <-s.result
	s.result <- err
	if !errors.Is(err, ErrViolation) {
		t.Errorf("run returned %v", err)
	}
}
