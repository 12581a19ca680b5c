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

// fixture is one agent in the test process with a fake engine, key-value service and configuration.
type fixture struct {
	t      *testing.T
	agent  *Agent
	engine *fakeEngine
	store  *fakeStore
	config fixedConfiguration
	cancel context.CancelFunc
	result chan error
}

func startAgent(t *testing.T, kind resource.EndpointKind) *fixture {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := &fixture{t: t, engine: newFakeEngine(t), config: newConfiguration(kind), result: make(chan error, 1)}
	s.store = &fakeStore{data: make(map[string]keyvalue.Record), revision: 6}
	var err error
	agentSettings := DefaultSettings()
	agentSettings.Identity, agentSettings.Endpoint, agentSettings.BaseURL = settings.Identity{Host: "h1", Zone: "z1"}, "e1", s.engine.URL
	agentSettings.PeerAddress, agentSettings.AdminAddress, agentSettings.BodyBytesTotal = "127.0.0.1:0", "127.0.0.1:0", server.PeerBodyBytes
	s.agent, err = New(agentSettings, WithStore(s.store), WithConfiguration(s.config))
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

func (s *fixture) request(id ident.RequestID, adapter string) *wire.RunRequest {
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

// run sends a try and returns its data, its last frame and the error that ended the frames.
func (s *fixture) run(r *wire.RunRequest) (data string, last *wire.Frame, err error) {
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

func (s *fixture) service() wire.Agent {
	return wire.NewAgentProtobufClient("http://"+s.agent.Address(), http.DefaultClient)
}

// TestTryRunsOnItsAdapterAndIsStreamed guards against a response that is truncated, lacks its token counts, or comes from
// another adapter or version than the try names.
func TestTryRunsOnItsAdapterAndIsStreamed(t *testing.T) {
	s := startAgent(t, resource.Engine)
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

// TestDrainFinishesRunningTries guards against a drain that interrupts a running try, admits a new one, or does not release
// the claim (guarantees G6 and G7).
func TestDrainFinishesRunningTries(t *testing.T) {
	s := startAgent(t, resource.Engine)
	s.engine.unblock = make(chan struct{})
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
	<-s.engine.arrived
	resp, err := s.service().Drain(context.Background(), &wire.DrainRequest{})
	if err != nil || resp.GetRunning() != 1 {
		t.Fatalf("drain: %v, %v", resp, err)
	}
	_, last, err := s.run(s.request("r2", "a1"))
	if !errors.Is(err, io.EOF) || last.GetRefusal().GetReason() != "leaving" {
		t.Errorf("new try: last frame %v, %v", last, err)
	}
	close(s.engine.unblock)
	if r := <-done; !errors.Is(r.err, io.EOF) || r.last.GetEnd().GetOutcome() != wire.Outcome_OUTCOME_COMPLETED {
		t.Errorf("running try: last frame %v, %v", r.last, r.err)
	}
	err = <-s.result
	s.result <- err
	if err != nil {
		t.Errorf("run returned %v", err)
	}
	if len(s.store.data) != 0 {
		t.Errorf("claim is not released: %v", s.store.data)
	}
	if got := s.engine.requestIDs(); len(got) != 1 {
		t.Errorf("requests at the engine: %v", got)
	}
}

// TestKeyedTryContinuesWithoutItsSender guards against a try with an idempotency key that ends when its entry disconnects, runs
// twice, or whose response Settle does not return (guarantee G5).
func TestKeyedTryContinuesWithoutItsSender(t *testing.T) {
	s := startAgent(t, resource.Service)
	s.engine.unblock = make(chan struct{})
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
	<-s.engine.arrived
	cancel()
	if _, _, err := s.run(r); err == nil || err.Error() != "duplicate" {
		t.Errorf("retry of the running try: %v", err)
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
	close(s.engine.unblock)
	got := settle()
	for got.GetState() == wire.TryState_TRY_STATE_RUNNING {
		got = settle()
	}
	if got.GetState() != wire.TryState_TRY_STATE_COMPLETED || !strings.Contains(string(got.GetAnswer().GetBody()), "r1/1") {
		t.Errorf("settled as %v", got)
	}
	if got := s.engine.requestIDs(); len(got) != 1 {
		t.Errorf("requests at the service: %v", got)
	}
}

// TestTombstonedTryAndOutcomes guards against a try that runs although Settle reported that it never started, and against the
// outcome "not run" for a try that may have run (guarantee G4).
func TestTombstonedTryAndOutcomes(t *testing.T) {
	s := startAgent(t, resource.Engine)
	r := s.request("r1", "a1")
	resp, err := s.service().Settle(context.Background(), &wire.SettleRequest{ID: r.GetID()})
	if err != nil || resp.GetState() != wire.TryState_TRY_STATE_NEVER_STARTED {
		t.Fatalf("settle: %v, %v", resp, err)
	}
	if _, last, err := s.run(r); !errors.Is(err, io.EOF) || last.GetRefusal().GetReason() != "tombstoned" {
		t.Errorf("late try: %v, %v", last, err)
	}
	if got := s.engine.requestIDs(); len(got) != 0 {
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

// TestFencedAgentStops guards against an agent that still sends commands to an endpoint after the endpoint has received a newer
// fencing number, because another agent has claimed it (guarantees G2 and G5).
func TestFencedAgentStops(t *testing.T) {
	s := startAgent(t, resource.Engine)
	s.engine.status = http.StatusPreconditionFailed
	if _, last, err := s.run(s.request("r1", "a1")); !errors.Is(err, io.EOF) || last.GetEnd().GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("fenced try: %v, %v", last, err)
	}
	_, last, err := s.run(s.request("r2", "a1"))
	if !errors.Is(err, io.EOF) || last.GetRefusal().GetReason() != "claim-lost" {
		t.Errorf("try after the fenced one: %v, %v", last, err)
	}
	if got := s.engine.requestIDs(); len(got) != 1 {
		t.Errorf("requests at the engine: %v", got)
	}
}

// TestFatalViolationEndsTheProcess guards against a violation that is not counted, and a process that continues after a fatal
// one.
func TestFatalViolationEndsTheProcess(t *testing.T) {
	s := startAgent(t, resource.Service)
	if _, _, err := s.run(s.request("r1", "")); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	s.agent.handleViolation(gate.Violation{Guarantee: gate.G5, Detail: "not fatal"})
	if _, _, err := s.run(s.request("r2", "")); !errors.Is(err, io.EOF) {
		t.Errorf("after a violation that is not fatal: %v", err)
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
	s.agent.handleViolation(gate.Violation{Guarantee: gate.G2, Detail: "fatal", Fatal: true})
	s.cancel() // ends the run by a drain if the violation did not
	err = <-s.result
	s.result <- err
	if !errors.Is(err, ErrViolation) {
		t.Errorf("run returned %v", err)
	}
}
