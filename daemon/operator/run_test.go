package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	standin "shallotring.dev/standin/keyvalue"
	"shallotring.dev/state/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const engine = `
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

// platform is a key-value service with the processes that a test announces.
type platform struct {
	t       *testing.T
	service *standin.Service
	client  *keyvalue.Client
	url     string
}

func newPlatform(t *testing.T) *platform {
	p := &platform{t: t, service: standin.New()}
	server := httptest.NewServer(p.service.Handler())
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

func (p *platform) run(in string, args ...string) result {
	return p.runContext(p.t.Context(), strings.NewReader(in), args...)
}

func (p *platform) runContext(ctx context.Context, in io.Reader, args ...string) (r result) {
	var out, errs bytes.Buffer
	args = append([]string{"--service", p.url}, args...)
	r.code = Run(ctx, args, Streams{In: in, Out: &out, Err: &errs})
	r.out, r.err = out.String(), errs.String()
	return r
}

func (p *platform) expect(r result, code int, parts ...string) {
	p.t.Helper()
	if r.code != code {
		p.t.Errorf("exit code %d, want %d: %s%s", r.code, code, r.out, r.err)
	}
	for _, s := range parts {
		if !strings.Contains(r.out+r.err, s) {
			p.t.Errorf("%q is missing in: %s%s", s, r.out, r.err)
		}
	}
}

// process answers InForce and Drain.
type process struct {
	wire.Agent
	id         string
	generation atomic.Int64
	drains     atomic.Int64
	running    uint32
}

func (a *process) InForce(context.Context, *wire.InForceRequest) (*wire.InForceResponse, error) {
	return &wire.InForceResponse{Process: a.id, Generation: a.generation.Load()}, nil
}

func (a *process) Drain(context.Context, *wire.DrainRequest) (*wire.DrainResponse, error) {
	n := a.drains.Add(1)
	return &wire.DrainResponse{Running: a.running - min(a.running, uint32(n-1))}, nil
}

// announce starts a process that holds the claim on an endpoint.
func (p *platform) announce(id string, e ident.Endpoint) *process {
	a := &process{id: id}
	server := httptest.NewServer(wire.NewAgentServer(a))
	p.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	p.store(registry.ProcessKey(ident.Process(id)),
		registry.ProcessRecord{Process: ident.Process(id), Role: registry.RoleAgent, Address: address})
	p.store(registry.ClaimKey(e), registry.ClaimRecord{Process: ident.Process(id), Endpoint: e, Address: address})
	return a
}

func (p *platform) store(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, ok, err := p.client.CompareAndSwap(p.t.Context(), keyvalue.Swap{Key: key, Value: value}); err != nil || !ok {
		p.t.Fatal(ok, err)
	}
}

func TestResources(t *testing.T) {
	// Guards against a command that hides a conflict or an invalid file, or reports it with the wrong exit code.
	p := newPlatform(t)
	first := fmt.Sprintf(engine, 1)
	p.expect(p.run("", "get"), ExitSuccess)
	p.expect(p.run("", "get", "Endpoint/engine-1"), ExitNotFound)
	p.expect(p.run("", "get", "Engine"), ExitUsage, "must be one of")
	p.expect(p.run(first, "apply", "-f", "-"), ExitSuccess, "Endpoint/engine-1", actionWritten, "2")
	p.expect(p.run(first, "apply", "-f", "-"), ExitSuccess, actionUnchanged)
	p.expect(p.run(fmt.Sprintf(engine, 2), "apply", "-f", "-", "--revision", "1"), ExitConflict, "revision 1", "revision 2")
	p.expect(p.run(fmt.Sprintf(engine, 2), "apply", "-f", "-", "--revision", "2"), ExitSuccess, actionWritten, "3")
	p.expect(p.run(first+callerFile, "apply", "-f", "-", "--revision", "3"), ExitUsage, "one resource")
	p.expect(p.run(first+"Colour = 1", "apply", "-f", "-"), ExitUsage, "Endpoint.Colour", "unknown key")
	p.expect(p.run("", "apply", "-f", filepath.Join(t.TempDir(), "none.toml")), ExitUsage, "none.toml")
	p.expect(p.run(callerFile, "check", "-"), ExitSuccess, "1 resources")
	p.expect(p.run("", "get", "Endpoint", "--output", "json"), ExitSuccess, `"Revision":3`, `"Slots":2`)
	text := p.run("", "get", "--output", "toml")
	p.expect(text, ExitSuccess, "[[Endpoint]]")
	p.expect(p.run(text.out, "apply", "-f", "-"), ExitSuccess, actionUnchanged)
	p.expect(p.run("", "delete", "Endpoint/engine-1", "--revision", "2"), ExitConflict, "revision 2", "revision 3")
	p.expect(p.run("", "delete", "Endpoint/engine-1"), ExitSuccess, actionDeleted)
	p.expect(p.run("", "delete", "Endpoint/engine-1"), ExitNotFound)
}

func TestOutage(t *testing.T) {
	// Guards against an operator who believes that a write failed although it may have taken effect.
	p := newPlatform(t)
	p.service.LoseAnswers(1)
	p.expect(p.run(callerFile, "apply", "-f", "-"), ExitSuccess, actionWritten)
	p.service.SetOutage(standin.OutageRefused)
	p.expect(p.run("", "get"), ExitUnavailable)
	p.expect(p.run("", "status"), ExitUnavailable)
}

func TestStatus(t *testing.T) {
	// Guards against a change that reads accepted although a live process lacks it.
	p := newPlatform(t)
	p.expect(p.run(callerFile, "apply", "-f", "-"), ExitSuccess)
	p.expect(p.run("", "status"), ExitNotInForce, "0 of 0", "no live process")
	a, b := p.announce("a", "e1"), p.announce("b", "e2")
	a.generation.Store(2)
	p.expect(p.run("", "status", "Caller/crew"), ExitNotInForce, stateWritten, "1 of 2", "b (at revision 0)")
	p.expect(p.run(callerFile, "apply", "-f", "-", "--wait", "1ms"), ExitNotInForce, "1 of 2")
	b.generation.Store(5)
	p.expect(p.run("", "status"), ExitSuccess, stateAccepted, "2 of 2")
	p.expect(p.run(callerFile, "apply", "-f", "-", "--wait", "1m"), ExitSuccess, stateAccepted)
	p.store(registry.ProcessKey("gone"), registry.ProcessRecord{Process: "gone", Address: "127.0.0.1:1"})
	p.expect(p.run("", "status", "-o", "json"), ExitNotInForce, `"InForce":2`, `"Process":"gone"`, "no answer")
	b.id = "other"
	p.expect(p.run("", "status", "--processes"), ExitSuccess, "answers as other")
}

func TestDrain(t *testing.T) {
	// Guards against a drain that only tells the agent, which its successor would not know, or only the resource.
	p := newPlatform(t)
	p.expect(p.run("", "drain", "engine-1"), ExitNotFound)
	p.expect(p.run(fmt.Sprintf(engine, 1), "apply", "-f", "-"), ExitSuccess)
	p.expect(p.run("", "drain", "engine-1"), ExitNotFound, "Leaving is set", "no agent")
	a := p.announce("a", "engine-1")
	a.running = 2
	p.expect(p.run("", "drain", "engine-1"), ExitSuccess, "engine-1", "a", "2")
	p.expect(p.run("", "get", "Endpoint", "-o", "json"), ExitSuccess, `"Leaving":true`)
	p.expect(p.run("", "drain", "engine-1", "--wait", "1m", "-o", "json"), ExitSuccess, `"Running":0`)
}

func TestWatch(t *testing.T) {
	// Guards against a change that is not shown, and one that is never shown as accepted.
	p := newPlatform(t)
	a := p.announce("a", "e1")
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
	p.expect(p.run(callerFile+fmt.Sprintf(engine, 1), "apply", "-f", "-"), ExitSuccess)
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

func TestTimeline(t *testing.T) {
	// Guards against files or filters that the command leaves out.
	p := newPlatform(t)
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
	p.expect(r, ExitSuccess, "request received", "try started")
	if strings.Index(r.out, "request received") > strings.Index(r.out, "try started") {
		t.Errorf("out of order: %s", r.out)
	}
	in := `{"Time":"2026-01-01T00:00:02Z","Message":"try started"}` + "\nnoise\n"
	p.expect(p.run(in, "timeline", "--since", "2026-01-01T00:00:02Z", "-o", "json"), ExitSuccess, "try started", "1 lines are no events")
	p.expect(p.run(in, "timeline", "--until", "yesterday"), ExitUsage)
}

func TestHelp(t *testing.T) {
	// Guards against exit codes and examples that are missing from the help.
	p := newPlatform(t)
	p.expect(p.run("", "--help"), ExitSuccess, "Exit codes:", "Examples:", "is not in force at each live process")
	p.expect(p.run("", "apply", "--help"), ExitSuccess, "[[Adapter]]")
	p.expect(p.run("", "version"), ExitSuccess, "shallotring")
	p.expect(p.run("", "nonsense"), ExitUsage)
}
