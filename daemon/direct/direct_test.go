package direct

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotring.dev/platform/boot"
	"shallotring.dev/standin/platform"
)

// deployment is one entry, two engines with their agents and one plain service, against the platform's stand-in. Each host has
// its own loopback address, since the control port is the same on all hosts.
type deployment struct {
	t       *testing.T
	store   *platform.Store
	engines []*platform.Engine
	service *platform.Engine
	front   string
	ready   string
	stop    context.CancelFunc
	stopped chan error
}

const places = 2

func listen(t *testing.T, ip string, h http.Handler) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func settings(t *testing.T, lines ...string) boot.Settings {
	t.Helper()
	s, err := boot.Parse([]byte(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (d *deployment) configure(version int) {
	c := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "g", "host": "x", "prefix": "/g/", "kind": "streaming", "timeoutMs": 5000, "latencyGoalMs": 1000, "maxAttempts": 1, "service": "llm"},
			map[string]any{"name": "o", "host": "x", "prefix": "/o/", "kind": "non_idempotent", "timeoutMs": 2000, "latencyGoalMs": 150, "maxAttempts": 1, "service": "plain"},
		},
		"services": []any{
			map[string]any{"name": "llm", "maxConns": 100, "engine": map[string]any{"maxAdapters": places, "slots": 64, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "plain", "maxConns": 100},
		},
		"limits": map[string]any{"maxBodyBytes": 1 << 20},
	}
	b, err := json.Marshal(c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put("op/config", b)
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{t: t, store: platform.NewStore(), stop: cancel, stopped: make(chan error, 1)}
	storeAddress := listen(t, "127.0.0.1", d.store)
	port := freePort(t, "127.0.0.2")
	common := []string{"zone=a", fmt.Sprintf("portRange=%d,%d", port, port), "platform.address=" + storeAddress, "bounds.graceS=2", "bounds.budgetRatio=0.2", "bounds.budgetExtra=50"}
	var wg sync.WaitGroup
	log := slog.New(slog.DiscardHandler)
	for i := range 2 {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		var e *platform.Engine
		address := listen(t, ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
		e = platform.NewEngine(d.store, fmt.Sprint("i-", i), "llm", address, "a", platform.WithModel("m", places, 20*time.Millisecond))
		e.Start()
		d.engines = append(d.engines, e)
		a := NewAgent(settings(t, append(common, fmt.Sprintf("node=side-%d", i), "ip="+ip, "app="+address, "service=llm")...), log)
		wg.Go(func() {
			if err := a.Run(ctx, ""); err != nil {
				t.Errorf("agent: %v", err)
			}
		})
	}
	var s *platform.Engine
	address := listen(t, "127.0.0.1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r) }))
	s = platform.NewEngine(d.store, "i-s", "plain", address, "a")
	s.Start()
	d.service = s
	d.front, d.ready = fmt.Sprint("127.0.0.1:", freePort(t, "127.0.0.1")), fmt.Sprint("127.0.0.1:", freePort(t, "127.0.0.1"))
	entry := NewEntry(settings(t, append(common, "node=edge-1", "ip=127.0.0.1", "listen.front="+d.front, "listen.ready="+d.ready)...), log)
	go func() { d.stopped <- entry.Run(ctx, "") }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-d.stopped:
			if err != nil {
				t.Errorf("entry: %v", err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the entry does not stop")
		}
		wg.Wait()
		for i, e := range d.engines {
			if faults := e.Faults(); len(faults) > 0 {
				t.Errorf("engine %d: %v", i, faults)
			}
		}
	})
	d.configure(1)
	return d
}

// ask sends one request on a connection of its own.
func (d *deployment) ask(path, id, model string) (status int, body string, err error) {
	c, err := net.Dial("tcp", d.front)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: %s\r\nShallotring-Deadline-Ms: 4000\r\nContent-Length: 2\r\n", path, id)
	if model != "" {
		fmt.Fprintf(c, "Shallotring-Model: %s\r\nShallotring-Token-Usage: 100,20\r\nShallotring-Prompt-Prefix: a1:50,b2:50\r\n", model)
	}
	io.WriteString(c, "\r\nhi")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// eventually repeats a request with new ids until it is served; what is not served must be refused as not run.
func (d *deployment) eventually(path, id, model string) (body string) {
	d.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for i := 0; ; i++ {
		try := fmt.Sprint(id, "-", i)
		status, body, err := d.ask(path, try, model)
		if err == nil && status == http.StatusOK {
			return body
		}
		if status == http.StatusServiceUnavailable {
			for _, e := range append(d.engines, d.service) {
				if e.Runs(try) > 0 {
					d.t.Errorf("%s was refused and has run", try)
				}
			}
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s: %d %q %v", try, status, body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestWholePath serves generations on many adapters through two engines with two places each, and plain requests; the stand-in
// notes orders that overfill an engine.
func TestWholePath(t *testing.T) {
	d := deploy(t)
	if body := d.eventually("/o/a%2fb?q=1", "o", ""); body != "POST /o/a%2fb?q=1 ran" {
		t.Errorf("plain answer = %q", body)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			body := d.eventually("/g/1", fmt.Sprint("g", i), fmt.Sprint("m/a", i%6))
			if strings.Count(body, "id: ") != 3 {
				t.Errorf("stream %d = %q, want three events", i, body)
			}
		})
	}
	wg.Wait()
	status, _, err := d.ask("/none/", "n", "")
	if status != http.StatusNotFound {
		t.Errorf("no route: %d %v", status, err)
	}
}

// TestStoreOutage guards against an outage of the store that stops the service, and against changes that are missed after it.
func TestStoreOutage(t *testing.T) {
	d := deploy(t)
	d.eventually("/g/1", "before", "m/a1")
	d.store.Down(true)
	d.eventually("/g/1", "during", "m/a2")
	d.eventually("/o/1", "order", "")
	d.store.Compact()
	d.store.Down(false)
	d.store.Put("op/version/m.a1", []byte(`{"model":"m","adapter":"a1","version":2}`))
	deadline := time.Now().Add(10 * time.Second)
	for i := 0; ; i++ {
		// The new version is served once the entry has read it and an engine has loaded it.
		d.eventually("/g/1", fmt.Sprint("after", i), "m/a1")
		r, err := http.Get("http://" + d.ready)
		if err != nil || r.StatusCode != http.StatusOK {
			t.Fatalf("ready: %v %v", r, err)
		}
		r.Body.Close()
		for _, e := range d.engines {
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

// TestEngineRestart guards against an engine that starts again under its id, empty, and is never used again.
func TestEngineRestart(t *testing.T) {
	d := deploy(t)
	d.eventually("/g/1", "before", "m/a1")
	for _, e := range d.engines {
		e.Start()
	}
	d.eventually("/g/1", "after", "m/a1")
}

// TestBadEntries guards against values of other writers, and unreadable ones, that end the service or replace good state.
func TestBadEntries(t *testing.T) {
	d := deploy(t)
	d.eventually("/o/1", "before", "")
	for _, x := range [][2]string{
		{"op/config", "not json"}, {"op/version/m.a1", `{"model":1}`}, {"op/version/m.a2", "\xff"}, {"op/other", "{}"},
		{"servers/ghost", `{"service":"plain","address":"nowhere","slots":6,"state":"ready"}`}, {"servers/", "{}"}, {"servers/odd", `{"slots":"six"}`},
	} {
		d.store.Put(x[0], []byte(x[1]))
	}
	time.Sleep(300 * time.Millisecond)
	d.eventually("/o/1", "after", "")
	d.eventually("/g/1", "generation", "m/a1")
}

// TestDrainServesWhatIsOpen guards against a planned stop that cuts a kept connection under its request.
func TestDrainServesWhatIsOpen(t *testing.T) {
	d := deploy(t)
	d.eventually("/o/1", "before", "")
	c, err := net.Dial("tcp", d.front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	d.stop()
	served := 0
	for i := 0; ; i++ {
		fmt.Fprintf(c, "POST /o/%d HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: k%d\r\nContent-Length: 0\r\n\r\n", i, i)
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			if runs := d.service.Runs(fmt.Sprint("k", i)); runs > 0 {
				t.Errorf("request %d ran and its connection was closed: %v", i, err)
			}
			break
		}
		if _, err = io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != http.StatusOK {
			t.Errorf("request %d: %d %v", i, a.StatusCode, err)
		}
		served++
		if a.Close {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if served == 0 {
		t.Error("nothing was served after the signal")
	}
}
