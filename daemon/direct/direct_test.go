package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotring.dev/daemon/trial"
	"shallotring.dev/platform/standin"
)

// deployment is a trial deployment of one test.
type deployment struct {
	*trial.Deployment
	t    *testing.T
	stop context.CancelFunc
	log  *recorder
	// calls numbers the requests of sendUntilServed, so that no two have the same id.
	calls atomic.Int64
}

// maxLines bounds the lines that a recorder keeps.
const maxLines = 4096

// recorder is a log that counts its lines by message and keeps the last ones.
type recorder struct {
	slog.Handler
	mu     sync.Mutex
	counts map[string]int
	lines  []slog.Record
}

func (r *recorder) Enabled(context.Context, slog.Level) bool { return true }

func (r *recorder) Handle(_ context.Context, x slog.Record) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[x.Message]++
	if len(r.lines) == maxLines {
		r.lines = slices.Delete(r.lines, 0, maxLines/2)
	}
	r.lines = append(r.lines, x)
	return nil
}

// about returns the lines that are kept about a request.
func (r *recorder) about(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	text := slog.NewTextHandler(&b, nil)
	for _, x := range r.lines {
		named := false
		x.Attrs(func(a slog.Attr) bool {
			named = named || a.Value.String() == id
			return !named
		})
		if named {
			// A strings.Builder takes all that is written.
			_ = text.Handle(context.Background(), x)
		}
	}
	return b.String()
}

func (r *recorder) count(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[message]
}

func deploy(t *testing.T, options ...standin.EngineOption) *deployment {
	t.Helper()
	return deploySize(t, trial.Small, options...)
}

func deploySize(t *testing.T, size trial.Size, options ...standin.EngineOption) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := &recorder{Handler: slog.DiscardHandler, counts: make(map[string]int)}
	x, err := trial.Start(ctx, slog.New(log), size, options...)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := x.Wait(); err != nil {
			t.Error(err)
		}
		if violations := x.Violations(); len(violations) > 0 {
			t.Error(violations)
		}
	})
	return &deployment{Deployment: x, t: t, stop: cancel, log: log}
}

// send sends one request on a connection of its own.
func (d *deployment) send(path, id, model string) (status int, body string, err error) {
	c, err := net.Dial("tcp", d.Front)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: trial.example\r\nShallotring-Attempt-Id: %s\r\nShallotring-Deadline-Ms: 4000\r\nContent-Length: 2\r\n%s: %s\r\n", path, id,
		standin.DeploymentHeader, d.Name)
	if model != "" {
		fmt.Fprintf(c, "Shallotring-Model: %s\r\nShallotring-Token-Usage: 100,20\r\nShallotring-Prompt-Prefix: a1:50,b2:50\r\n", model)
	}
	io.WriteString(c, "\r\nhi")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// exchange sends one request through a random entry on a connection of its own; the status is 0 if there is no response.
func (d *deployment) exchange(r *rand.Rand, call standin.Call) (status int, header http.Header) {
	return d.Exchange(d.Fronts[r.IntN(len(d.Fronts))], call)
}

// sendUntilServed sends a request with new ids until one is served; a request that is refused must not have run.
func (d *deployment) sendUntilServed(path, id, model string) (body string) {
	d.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		requestID := fmt.Sprint(id, "-", d.calls.Add(1))
		status, body, err := d.send(path, requestID, model)
		if err == nil && status == http.StatusOK {
			return body
		}
		if status == http.StatusServiceUnavailable {
			for _, e := range append(d.Engines, d.Service) {
				if e.Runs(requestID) > 0 {
					d.t.Errorf("%s was refused (%q) but has run %d times at %s of deployment %s\n%s", requestID, body, e.Runs(requestID), e.ID(), d.Name, d.log.about(requestID))
				}
			}
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: %d %q %v", requestID, status, body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRequestsThroughEntryAndAgents guards against requests that are not served, or go to the wrong path, when six adapters share two
// engines with two adapter slots each. The stand-in records orders that exceed the slots of an engine as violations.
func TestRequestsThroughEntryAndAgents(t *testing.T) {
	d := deploy(t)
	if body := d.sendUntilServed("/o/a%2fb?q=1", "o", ""); !strings.HasSuffix(body, " POST /o/a%2fb?q=1 ran: hi") {
		t.Errorf("plain response = %q", body)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			body := d.sendUntilServed("/g/1", fmt.Sprint("g", i), fmt.Sprint("m/a", i%6))
			if strings.Count(body, "id: ") != 3 {
				t.Errorf("stream %d = %q, want three events", i, body)
			}
		})
	}
	wg.Wait()
	status, _, err := d.send("/none/", "n", "")
	if status != http.StatusNotFound {
		t.Errorf("no route: %d %v", status, err)
	}
}

// TestStoreOutage guards against an entry that stops serving while the store is down, and against one that misses a change that was
// written after the outage because the store had compacted its history.
func TestStoreOutage(t *testing.T) {
	d := deploy(t)
	d.sendUntilServed("/g/1", "before", "m/a1")
	d.Store.SetDown(true)
	d.sendUntilServed("/g/1", "during", "m/a2")
	d.sendUntilServed("/o/1", "order", "")
	d.Store.Compact()
	d.Store.SetDown(false)
	d.Store.Put("op/version/m.a1", []byte(`{"model":"m","adapter":"a1","version":2}`))
	deadline := time.Now().Add(10 * time.Second)
	for i := 0; ; i++ {
		// The new version is served once the entry has read it and an engine has loaded it.
		d.sendUntilServed("/g/1", fmt.Sprint("after", i), "m/a1")
		r, err := http.Get("http://" + d.Ready)
		if err != nil || r.StatusCode != http.StatusOK {
			t.Fatalf("ready: %v %v", r, err)
		}
		r.Body.Close()
		for _, e := range d.Engines {
			if e.Holds("a1@2") {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("version 2 is not loaded")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestSilentStore guards against an entry that waits in full for calls that a silent store has swallowed, and serves an old configuration
// meanwhile.
func TestSilentStore(t *testing.T) {
	d := deploy(t)
	d.sendUntilServed("/g/1", "before", "m/a1")
	d.Store.SetSilent(true)
	d.Configure(7)
	probes := d.Store.Probes()
	// The two agents probe every 4 s and the entry every second, so two of these probes at least are the entry's, and one of them has failed.
	waitFor(t, "the entry has probed the store twice", func() bool { return d.Store.Probes() >= probes+5 })
	inForce := d.log.count("configuration in force")
	d.Store.SetSilent(false)
	waitFor(t, "the configuration of the outage is in force", func() bool { return d.log.count("configuration in force") > inForce })
	if d.log.count("call ended, because the store was away meanwhile") == 0 {
		t.Error("the entry has waited for the timeout of its watch")
	}
}

// TestRestoredStore guards against an entry or an agent that goes back to an older configuration, adapter version or endpoint, or stops
// following the store, after the store was restored from an older copy; and against orders with a fencing number that was used before.
func TestRestoredStore(t *testing.T) {
	d := deploy(t)
	d.sendUntilServed("/g/1", "before", "m/a1")
	copied := d.Store.Snapshot()
	d.Store.Put("op/version/m.a1", []byte(`{"model":"m","adapter":"a1","version":2}`))
	d.Configure(7)
	d.Engines[0].Remove()
	waitFor(t, "version 2 is loaded at the engine that remains", func() bool {
		d.sendUntilServed("/g/1", "second", "m/a1")
		return d.Engines[1].Holds("a1@2")
	})
	waitFor(t, "the entry knows of the removal", func() bool { return d.log.count("endpoint removed") > 0 })
	d.Store.Restore(copied)
	for i := range 20 {
		if status, _, err := d.send("/g/1", fmt.Sprint("restored-", i), "m/a1"); status != http.StatusOK {
			t.Errorf("request %d after the restoration: %d %v", i, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for i := range 20 {
		if d.Engines[0].Runs(fmt.Sprint("restored-", i)) > 0 {
			t.Errorf("request %d ran on an engine that had been removed from discovery", i)
		}
	}
	if d.Engines[1].Holds("a1@1") {
		t.Error("the older version of the adapter was loaded again")
	}
	// Later writes count although their revisions were assigned before the restoration too.
	d.Store.Put("op/version/m.a1", []byte(`{"model":"m","adapter":"a1","version":3}`))
	waitFor(t, "version 3 is loaded", func() bool {
		d.sendUntilServed("/g/1", "third", "m/a1")
		return d.Engines[1].Holds("a1@3")
	})
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// TestEngineRestart guards against an engine that gets no requests any more after it has restarted under the same id without adapters.
func TestEngineRestart(t *testing.T) {
	d := deploy(t)
	d.sendUntilServed("/g/1", "before", "m/a1")
	for _, e := range d.Engines {
		e.Start()
	}
	d.sendUntilServed("/g/1", "after", "m/a1")
}

// TestInvalidStoreValues guards against invalid values, or values of other writers, that stop an entry or replace valid state.
func TestInvalidStoreValues(t *testing.T) {
	d := deploy(t)
	d.sendUntilServed("/o/1", "before", "")
	for _, x := range [][2]string{
		{"op/config", "not json"}, {"op/version/m.a1", `{"model":1}`}, {"op/version/m.a2", "\xff"}, {"op/other", "{}"},
		{"servers/ghost", `{"service":"plain","address":"nowhere","slots":6,"state":"ready"}`}, {"servers/", "{}"}, {"servers/odd", `{"slots":"six"}`},
		{"op/config", strings.Repeat("[", 200000)}, {"op/version/m.a3", strings.Repeat(`{"model":`, 20000)}, {"op/version/m.a4", `{"model":"m","adapter":"a4","version":` + strings.Repeat("9", 400) + `e9}`},
		{"servers/deep", strings.Repeat("[", 200000)}, {"servers/port", `{"service":"plain","address":"127.0.0.1:99999","slots":6,"state":"ready"}`},
		{"servers/i-0\r\nX: y", `{"service":"plain","address":"127.0.0.1:80","slots":6,"state":"ready"}`}, {"servers/large", `{"service":"plain","address":"127.0.0.1:80","slots":1e400,"state":"ready"}`},
		{"shallotring/quarantine/zz", "null"}, {"shallotring/quarantine/1", strings.Repeat("[", 200000)}, {"shallotring/quarantine/2", `{"Since":1e400}`},
	} {
		d.Store.Put(x[0], []byte(x[1]))
	}
	// The entry reads the values within this time.
	time.Sleep(300 * time.Millisecond)
	d.sendUntilServed("/o/1", "after", "")
	d.sendUntilServed("/g/1", "generation", "m/a1")
	followed := d.log.count("configuration in force")
	d.Configure(2)
	waitFor(t, "entry and agents follow the store", func() bool {
		return d.log.count("configuration in force") >= followed+1+trial.Small.Engines
	})
}

// TestDrainServesOpenConnections guards against a planned stop that closes an open connection while a request on it is in progress.
func TestDrainServesOpenConnections(t *testing.T) {
	d := deploy(t)
	d.sendUntilServed("/o/1", "before", "")
	c, err := net.Dial("tcp", d.Front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	d.stop()
	served := 0
	for i := 0; ; i++ {
		fmt.Fprintf(c, "POST /o/%d HTTP/1.1\r\nHost: trial.example\r\nShallotring-Attempt-Id: k%d\r\nContent-Length: 0\r\n\r\n", i, i)
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			if runs := d.Service.Runs(fmt.Sprint("k", i)); runs > 0 {
				t.Errorf("request %d ran and its connection was closed: %v", i, err)
			}
			break
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("request %d: %d %v", i, response.StatusCode, err)
		}
		served++
		if response.Close {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if served == 0 {
		t.Error("no request was served after the stop")
	}
}
