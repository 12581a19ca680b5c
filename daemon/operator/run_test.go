package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/keyvalue/gateway"
	"shallotring.dev/protocol/wire"
	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const endpointFile = `
[[Endpoint]]
Name = "engine-1"
Kind = "Engine"
BaseModel = "base"
Host = "h1"
Zone = "z1"
Slots = %d
BatchSize = 8
`

const callerFile = `
[[Caller]]
Name = "crew"
TokenSHA256 = "00000000000000000000000000000000000000000000000000000000000000aa"
`

// fixture is a key-value service with the agents that a test registers in it.
type fixture struct {
	t       *testing.T
	service *standin.Service
	client  *keyvalue.Client
	url     string
	// afterWrite is called after the next write of a command, before the command gets the response.
	afterWrite atomic.Pointer[func()]
	// swallowWatch makes the service accept the next watch and never respond to it.
	swallowWatch atomic.Bool
}

func newFixture(t *testing.T) *fixture {
	p := &fixture{t: t, service: standin.New()}
	handler := p.service.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == gateway.PathWatch && p.swallowWatch.CompareAndSwap(true, false) {
			// The server notices that a client has left only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
		if r.URL.Path != gateway.PathTxn {
			return
		}
		if f := p.afterWrite.Swap(nil); f != nil {
			(*f)()
		}
	}))
	p.url = server.URL
	var err error
	if p.client, err = keyvalue.New([]string{p.url}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.client.Close()
		p.service.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return p
}

type result struct {
	code int
	out  string
	err  string
}

func (p *fixture) run(in string, args ...string) result {
	return p.runContext(p.t.Context(), strings.NewReader(in), args...)
}

func (p *fixture) runContext(ctx context.Context, in io.Reader, args ...string) (r result) {
	var out, errs bytes.Buffer
	args = append([]string{"--service", p.url}, args...)
	r.code = Run(ctx, args, Streams{In: in, Out: &out, Err: &errs})
	r.out, r.err = out.String(), errs.String()
	return r
}

// expectResult checks the exit code and that each substring occurs in one of the output streams.
func (p *fixture) expectResult(r result, code int, substrings ...string) {
	p.t.Helper()
	if r.code != code {
		p.t.Errorf("exit code %d, want %d: %s%s", r.code, code, r.out, r.err)
	}
	for _, s := range substrings {
		if !strings.Contains(r.out+r.err, s) {
			p.t.Errorf("output lacks %q: %s%s", s, r.out, r.err)
		}
	}
}

// fakeAgent responds to InForce, and to Drain with one fewer running request at each call.
type fakeAgent struct {
	wire.Agent
	id         string
	generation atomic.Int64
	drains     atomic.Int64
	running    uint32
}

func (a *fakeAgent) InForce(context.Context, *wire.InForceRequest) (*wire.InForceResponse, error) {
	return &wire.InForceResponse{Process: a.id, Generation: a.generation.Load()}, nil
}

func (a *fakeAgent) Drain(context.Context, *wire.DrainRequest) (*wire.DrainResponse, error) {
	n := a.drains.Add(1)
	return &wire.DrainResponse{Running: a.running - min(a.running, uint32(n-1))}, nil
}

// startAgent starts a fake agent and registers it with a claim on the endpoint.
func (p *fixture) startAgent(id string, e ident.Endpoint) *fakeAgent {
	a := &fakeAgent{id: id}
	server := httptest.NewServer(wire.NewAgentServer(a))
	p.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	p.store(registry.ProcessKey(ident.Process(id)),
		registry.ProcessRecord{Process: ident.Process(id), Role: registry.RoleAgent, Address: address})
	p.store(registry.ClaimKey(e), registry.ClaimRecord{Process: ident.Process(id), Endpoint: e, Address: address})
	return a
}

func (p *fixture) store(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, ok, err := p.client.CompareAndSwap(p.t.Context(), keyvalue.Swap{Key: key, Value: value}); err != nil || !ok {
		p.t.Fatal(ok, err)
	}
}

// Guards against a command that hides a conflict, an invalid file or an absent resource, or reports it with the wrong exit code.
func TestResources(t *testing.T) {
	p := newFixture(t)
	first := fmt.Sprintf(endpointFile, 1)
	p.expectResult(p.run("", "get"), ExitSuccess)
	p.expectResult(p.run("", "get", "Endpoint/engine-1"), ExitNotFound)
	p.expectResult(p.run("", "get", "Engine"), ExitUsage, "must be one of")
	p.expectResult(p.run(first, "apply", "-f", "-"), ExitSuccess, "Endpoint/engine-1", actionWritten, "2")
	p.expectResult(p.run(first, "apply", "-f", "-"), ExitSuccess, actionUnchanged)
	p.expectResult(p.run(fmt.Sprintf(endpointFile, 2), "apply", "-f", "-", "--revision", "1"), ExitConflict, "revision 1", "revision 2")
	p.expectResult(p.run(fmt.Sprintf(endpointFile, 2), "apply", "-f", "-", "--revision", "2"), ExitSuccess, actionWritten, "3")
	p.expectResult(p.run(first+callerFile, "apply", "-f", "-", "--revision", "3"), ExitUsage, "one resource")
	p.expectResult(p.run(first+"Colour = 1", "apply", "-f", "-"), ExitUsage, "Endpoint.Colour", "unknown key")
	p.expectResult(p.run("", "apply", "-f", filepath.Join(t.TempDir(), "none.toml")), ExitUsage, "none.toml")
	p.expectResult(p.run(callerFile, "check", "-"), ExitSuccess, "1 resources")
	p.expectResult(p.run("", "get", "Endpoint", "--output", "json"), ExitSuccess, `"Revision":3`, `"Slots":2`)
	tomlOutput := p.run("", "get", "--output", "toml")
	p.expectResult(tomlOutput, ExitSuccess, "[[Endpoint]]")
	p.expectResult(p.run(tomlOutput.out, "apply", "-f", "-"), ExitSuccess, actionUnchanged)
	p.expectResult(p.run("", "delete", "Endpoint/engine-1", "--revision", "2"), ExitConflict, "revision 2", "revision 3")
	p.expectResult(p.run("", "delete", "Endpoint/engine-1"), ExitSuccess, actionDeleted)
	p.expectResult(p.run("", "delete", "Endpoint/engine-1"), ExitNotFound)
}

// Guards against a write that is reported as failed although it took effect because only its response was lost, and against a read
// during an outage that ends with the wrong exit code.
func TestOutage(t *testing.T) {
	p := newFixture(t)
	p.service.LoseResponses(1)
	p.expectResult(p.run(callerFile, "apply", "-f", "-"), ExitSuccess, actionWritten)
	p.service.SetOutage(standin.OutageRefused)
	p.expectResult(p.run("", "get"), ExitUnavailable)
	p.expectResult(p.run("", "status"), ExitUnavailable)
}

// Guards against a change that is shown as accepted although a live process lacks it, does not respond, or has lost its address to
// another process.
func TestStatus(t *testing.T) {
	p := newFixture(t)
	p.expectResult(p.run(callerFile, "apply", "-f", "-"), ExitSuccess)
	p.expectResult(p.run("", "status"), ExitNotInForce, "0 of 0", "no live process")
	a, b := p.startAgent("a", "e1"), p.startAgent("b", "e2")
	a.generation.Store(2)
	p.expectResult(p.run("", "status", "Caller/crew"), ExitNotInForce, stateWritten, "1 of 2", "b (at revision 0)")
	p.expectResult(p.run(callerFile, "apply", "-f", "-", "--wait", "1ms"), ExitNotInForce, "1 of 2")
	b.generation.Store(5)
	p.expectResult(p.run("", "status"), ExitSuccess, stateAccepted, "2 of 2")
	p.expectResult(p.run(callerFile, "apply", "-f", "-", "--wait", "1m"), ExitSuccess, stateAccepted)
	p.store(registry.ProcessKey("gone"), registry.ProcessRecord{Process: "gone", Address: "127.0.0.1:1"})
	p.expectResult(p.run("", "status", "-o", "json"), ExitNotInForce, `"InForce":2`, `"Process":"gone"`, "no response")
	b.id = "other"
	p.expectResult(p.run("", "status", "--processes"), ExitSuccess, "the address belongs to process other")
}

// Guards against a drain that notifies only the agent, so that a restarted agent would serve the endpoint again, and against one that
// only sets Leaving in the resource.
func TestDrain(t *testing.T) {
	p := newFixture(t)
	p.expectResult(p.run("", "drain", "engine-1"), ExitNotFound)
	p.expectResult(p.run(fmt.Sprintf(endpointFile, 1), "apply", "-f", "-"), ExitSuccess)
	p.expectResult(p.run("", "drain", "engine-1"), ExitNotFound, "Leaving is set", "no agent")
	a := p.startAgent("a", "engine-1")
	a.running = 2
	p.expectResult(p.run("", "drain", "engine-1"), ExitSuccess, "engine-1", "a", "2")
	p.expectResult(p.run("", "get", "Endpoint", "-o", "json"), ExitSuccess, `"Leaving":true`)
	p.expectResult(p.run("", "drain", "engine-1", "--wait", "1m", "-o", "json"), ExitSuccess, `"Running":0`)
}

// TestDrainOfIdleEndpoint guards against a drain that is reported as failed because the agent of an idle endpoint acts on Leaving and releases
// its claim before the command has looked for it.
func TestDrainOfIdleEndpoint(t *testing.T) {
	p := newFixture(t)
	p.expectResult(p.run(fmt.Sprintf(endpointFile, 1), "apply", "-f", "-"), ExitSuccess)
	p.startAgent("a", "engine-1")
	release := func() {
		key := registry.ClaimKey("engine-1")
		r, found, err := p.client.Get(t.Context(), key)
		if err != nil || !found {
			t.Error(found, err)
		}
		if _, ok, err := p.client.CompareAndSwap(t.Context(), keyvalue.Swap{Key: key, Expect: r.ModRevision, Delete: true}); err != nil || !ok {
			t.Error(ok, err)
		}
	}
	p.afterWrite.Store(&release)
	p.expectResult(p.run("", "drain", "engine-1", "-o", "json"), ExitSuccess, `"Running":0`)
}

// Guards against a change that is not shown when it is written, or never shown as accepted.
func TestWatch(t *testing.T) {
	p := newFixture(t)
	a := p.startAgent("a", "e1")
	ctx, cancel := context.WithCancel(t.Context())
	out, in := io.Pipe()
	code := make(chan int)
	go func() {
		streams := Streams{Out: in, Err: io.Discard}
		code <- Run(ctx, []string{"--service", p.url, "watch", "Caller", "-o", "json"}, streams)
		in.Close()
	}()
	for p.service.Calls()[standin.CallWatch] == 0 {
		p.run("", "get")
	}
	p.expectResult(p.run(callerFile+fmt.Sprintf(endpointFile, 1), "apply", "-f", "-"), ExitSuccess)
	lines := json.NewDecoder(out)
	var c change
	if err := lines.Decode(&c); err != nil || c.Name != "crew" || c.Action != actionWritten {
		t.Errorf("%+v, %v", c, err)
	}
	a.generation.Store(int64(c.Revision))
	if err := lines.Decode(&c); err != nil || c.Name != "crew" || c.Action != actionAccepted || c.InForce != "1 of 1" {
		t.Errorf("%+v, %v", c, err)
	}
	cancel()
	if n := <-code; n != ExitSuccess {
		t.Errorf("exit code %d", n)
	}
}

// Guards against a command that shows nothing any more, because an outage of the service has swallowed its watch.
func TestWatchAfterAnOutage(t *testing.T) {
	p := newFixture(t)
	p.swallowWatch.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	out, in := io.Pipe()
	code := make(chan int)
	go func() {
		streams := Streams{Out: in, Err: io.Discard}
		code <- Run(ctx, []string{"--service", p.url, "watch", "Caller", "-o", "json"}, streams)
	}()
	go func() {
		<-ctx.Done()
		in.Close()
	}()
	for p.swallowWatch.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	p.expectResult(p.run(callerFile, "apply", "-f", "-"), ExitSuccess)
	var c change
	if err := json.NewDecoder(out).Decode(&c); err != nil || c.Name != "crew" || c.Action != actionWritten {
		t.Errorf("%+v, %v; want the change that was written after the outage", c, err)
	}
	cancel()
	<-code
}

// Guards against log files or filters that the command ignores.
func TestTimeline(t *testing.T) {
	p := newFixture(t)
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": `{"Time":"2026-01-01T00:00:02Z","Message":"try started","RequestID":"r1","Try":1}`,
		"b.log": `{"Time":"2026-01-01T00:00:01Z","Message":"request received","RequestID":"r1"}`,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r := p.run("", "timeline", "--request", "r1", filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log"))
	p.expectResult(r, ExitSuccess, "request received", "try started")
	if strings.Index(r.out, "request received") > strings.Index(r.out, "try started") {
		t.Errorf("out of order: %s", r.out)
	}
	in := `{"Time":"2026-01-01T00:00:02Z","Message":"try started"}` + "\nnoise\n"
	p.expectResult(p.run(in, "timeline", "--since", "2026-01-01T00:00:02Z", "-o", "json"), ExitSuccess, "try started", "skipped 1 lines that are not timeline events")
	p.expectResult(p.run(in, "timeline", "--until", "yesterday"), ExitUsage)
}

// Guards against exit codes and examples that are missing from the help.
func TestHelp(t *testing.T) {
	p := newFixture(t)
	p.expectResult(p.run("", "--help"), ExitSuccess, "Exit codes:", "Examples:", "is not in force at each live process")
	p.expectResult(p.run("", "apply", "--help"), ExitSuccess, "[[Adapter]]")
	p.expectResult(p.run("", "version"), ExitSuccess, "shallotring")
	p.expectResult(p.run("", "nonsense"), ExitUsage)
}
