package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/routing"
)

// backend is an endpoint that counts what it runs.
type backend struct {
	*httptest.Server
	mu   sync.Mutex
	hits int
	runs map[string]int
}

func newBackend(t *testing.T, h func(b *backend, w http.ResponseWriter, r *http.Request)) *backend {
	t.Helper()
	b := &backend{runs: make(map[string]int)}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.hits++
		b.mu.Unlock()
		h(b, w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) ran(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Header.Get("Shallotring-Attempt-Id")]++
}

func (b *backend) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Shallotring-Attempt-Id", r.Header.Get("Shallotring-Attempt-Id"))
	w.Header().Set("Shallotring-Server-Seal", "s")
}

func serves(b *backend, w http.ResponseWriter, r *http.Request) {
	b.ran(r)
	seal(w, r)
	io.WriteString(w, "done")
}

func refuses(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Shallotring-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// cuts runs the request and closes the connection without an answer.
func cuts(b *backend, _ http.ResponseWriter, r *http.Request) {
	b.ran(r)
	panic(http.ErrAbortHandler)
}

func status(code int, sealed bool) func(b *backend, w http.ResponseWriter, r *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.ran(r)
		if sealed {
			seal(w, r)
		}
		w.WriteHeader(code)
	}
}

// forged answers with the id of another request.
func forged(b *backend, w http.ResponseWriter, r *http.Request) {
	b.ran(r)
	seal(w, r)
	w.Header().Set("Shallotring-Attempt-Id", "other")
	io.WriteString(w, "not yours")
}

var table = routing.New(1, []routing.Route{
	{Name: "once", Host: "x", Prefix: "/once/", Kind: routing.Once, Timeout: 2 * time.Second, MaxEndpoints: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
	{Name: "again", Host: "x", Prefix: "/again/", Kind: routing.Repeatable, Timeout: 2 * time.Second, MaxEndpoints: 2, Targets: []routing.Target{{Service: "s", Weight: 1}}},
	{Name: "stream", Host: "x", Prefix: "/stream/", Kind: routing.Stream, Timeout: 2 * time.Second, MaxEndpoints: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
}, []routing.Service{{Name: "s", Connections: 100}, {Name: "llm", Engine: &routing.Engine{Adapters: 2, Models: []ident.BaseModel{"m"}}}}, routing.Limits{BodyBytes: 1 << 20})

func newFrontend(t *testing.T, backends ...*backend) (f *Frontend, address string) {
	t.Helper()
	f = New(message.Headers{}, "edge-1", "a", WithRetryLimit(RetryLimit{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}))
	f.Configure(table)
	for i, b := range backends {
		f.Join(inventory.Endpoint{ID: ident.Endpoint(fmt.Sprint("i-", i)), Service: "s", Address: b.Listener.Addr().String(), Zone: "a", Slots: 6})
	}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, s.Listener.Addr().String()
}

// ask sends a request and returns the status and the body; an error is a connection that ends without a whole answer.
func ask(t *testing.T, address, path, id string) (code int, body string, h http.Header, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: %s\r\nShallotring-Deadline-Ms: 1500\r\n\r\n", path, id)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", nil, err
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), a.Header, err
}

// TestOnceRunsOnce guards against a second run of a request that must run at most once, and against a refusal after a run.
func TestOnceRunsOnce(t *testing.T) {
	for _, x := range []struct {
		name  string
		first func(b *backend, w http.ResponseWriter, r *http.Request)
		path  string
		want  int
		runs  int
	}{
		{"refused by the endpoint", refuses, "/once/", 200, 1},
		{"cut without an answer", cuts, "/once/", 502, 1},
		{"503 without a promise", status(503, true), "/once/", 502, 1},
		{"429 without a promise", status(429, false), "/once/", 502, 1},
		{"success without a seal", status(200, false), "/once/", 502, 1},
		{"answer to another request", forged, "/once/", 502, 1},
		{"the endpoint's own failure", status(500, true), "/once/", 500, 1},
		{"cut, repeatable", cuts, "/again/", 200, 2},
		{"failure, repeatable", status(500, true), "/again/", 200, 2},
		{"answer to another request, repeatable", forged, "/again/", 200, 2},
		{"cut stream", cuts, "/stream/", 502, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			bad, good := newBackend(t, x.first), newBackend(t, serves)
			_, address := newFrontend(t, bad, good)
			// The choice between two idle endpoints is random; the request that meets the bad one first is judged.
			for i := 0; ; i++ {
				id := fmt.Sprint("r", i)
				code, _, _, err := ask(t, address, x.path, id)
				bad.mu.Lock()
				met := bad.hits > 0
				bad.mu.Unlock()
				if !met {
					continue
				}
				if err != nil || code != x.want {
					t.Errorf("answer = %d, %v; want %d", code, err, x.want)
				}
				if runs := bad.count(id) + good.count(id); runs != x.runs {
					t.Errorf("runs = %d, want %d", runs, x.runs)
				}
				break
			}
		})
	}
}

// TestRefusalNamesTime guards against a refusal without a time to return, and against one that is held back.
func TestRefusalNamesTime(t *testing.T) {
	_, address := newFrontend(t)
	began := time.Now()
	code, _, h, err := ask(t, address, "/once/", "r1")
	if err != nil || code != 503 || h.Get("Retry-After") == "" || h.Get("Shallotring-Attempt-Id") != "r1" {
		t.Errorf("answer = %d %v %v", code, h, err)
	}
	if passed := time.Since(began); passed > time.Second {
		t.Errorf("the refusal took %v", passed)
	}
	if code, _, _, err = ask(t, address, "/none/", "r2"); code != 404 {
		t.Errorf("no route: %d %v, want 404", code, err)
	}
}

// TestBrokenStream guards against a stream that ends early and looks complete.
func TestBrokenStream(t *testing.T) {
	b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, address := newFrontend(t, b)
	code, body, _, err := ask(t, address, "/stream/", "r1")
	if code != 200 || err == nil || !strings.Contains(body, "id: 1") {
		t.Errorf("answer = %d %q %v; want the first piece and a broken end", code, body, err)
	}
}

// TestCallerLeaves guards against an endpoint that works on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	began, left := make(chan bool), make(chan bool)
	b := newBackend(t, func(_ *backend, _ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(left)
	})
	_, address := newFrontend(t, b)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET /stream/ HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: r1\r\n\r\n")
	<-began
	c.Close()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint's connection stays open")
	}
}

// TestLeavingGetsNothing guards against new work for an endpoint that has said that it leaves, also if a later entry takes it back.
func TestLeavingGetsNothing(t *testing.T) {
	b := newBackend(t, serves)
	f, address := newFrontend(t, b)
	d := inventory.Endpoint{ID: "i-0", Service: "s", Address: b.Listener.Addr().String(), Zone: "a", Slots: 6, Leaving: true}
	f.Join(d)
	d.Leaving = false
	f.Join(d)
	if code, _, _, _ := ask(t, address, "/once/", "r1"); code != 503 || b.count("r1") != 0 {
		t.Errorf("answer = %d with %d runs, want 503 without a run", code, b.count("r1"))
	}
}

// TestFormerLifeGetsNothing guards against requests for a former life of an endpoint, whose discovery entry stays for seconds after
// the next one has begun at the same address.
func TestFormerLifeGetsNothing(t *testing.T) {
	for _, order := range [][]ident.Endpoint{{"i-old", "i-new"}, {"i-new", "i-old"}} {
		var asked sync.Map
		b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
			asked.Store(r.Header.Get("Shallotring-Expect-Instance"), true)
			serves(b, w, r)
		})
		f, address := newFrontend(t)
		for _, id := range order {
			born := map[ident.Endpoint]int64{"i-old": 1, "i-new": 2}[id]
			f.Join(inventory.Endpoint{ID: id, Service: "s", Address: b.Listener.Addr().String(), Zone: "a", Slots: 6, StartMilli: born})
		}
		for i := range 20 {
			if code, _, _, err := ask(t, address, "/once/", fmt.Sprint("r", i)); code != 200 {
				t.Fatalf("answer = %d, %v", code, err)
			}
		}
		if _, ok := asked.Load("i-old"); ok {
			t.Error("a request names the former life")
		}
	}
}

// TestStoppingEntryRefuses guards against a request that is cut at the end of the grace period: it must be refused before it is
// sent, unless it ends in time.
func TestStoppingEntryRefuses(t *testing.T) {
	for _, x := range []struct {
		path string
		left time.Duration
		want int
	}{{"/stream/", 10 * time.Second, 503}, {"/once/", 10 * time.Second, 200}, {"/once/", time.Second, 503}} {
		b := newBackend(t, serves)
		f, address := newFrontend(t, b)
		f.RefuseStreams(time.Now().Add(x.left))
		if code, _, _, err := ask(t, address, x.path, "r1"); code != x.want || (code == 503 && b.count("r1") > 0) {
			t.Errorf("%s with %v left: %d %v, want %d", x.path, x.left, code, err, x.want)
		}
	}
}

// TestConfigurationNeverGoesBack guards against an older configuration that comes after a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f, address := newFrontend(t, newBackend(t, serves))
	f.Configure(routing.New(0, nil, nil, routing.Limits{}))
	if code, _, _, err := ask(t, address, "/once/", "r1"); code != 200 {
		t.Errorf("answer = %d %v, want 200", code, err)
	}
}

// agentAt answers entries as an agent does and loads what they want.
func agentAt(t *testing.T, endpoint ident.Endpoint) (port int, wanted chan ident.AdapterVersion) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	wanted = make(chan ident.AdapterVersion, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				conn := control.NewConn(c)
				state := control.State{Endpoint: endpoint, Up: true, Entries: 1, Holdings: &control.Holdings{Models: []ident.BaseModel{"m"}}}
				for {
					if conn.Send(state) != nil {
						return
					}
					var a control.Account
					if conn.Receive(&a, 5*time.Second) != nil {
						return
					}
					for _, w := range a.Wants {
						if w.Waiting > 0 {
							wanted <- w.Adapter
							state.Holdings.Resident = append(state.Holdings.Resident, w.Adapter)
						}
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).Port, wanted
}

// TestLoadComesBeforeSend guards against a request that reaches an engine without its adapter, and against an engine that holds
// nothing when it joins, before the configuration is known, and never gets a link to its agent.
func TestLoadComesBeforeSend(t *testing.T) {
	b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.ran(r)
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, r.Header.Get("Shallotring-Expect-Version")+" "+r.Header.Get("Shallotring-Expect-Instance"))
	})
	port, wanted := agentAt(t, "i-0")
	f := New(message.Headers{}, "edge-1", "a", WithControlPort(port))
	f.Declare(ident.AdapterVersion{Adapter: "m/a1", Version: "3"})
	f.Join(inventory.Endpoint{ID: "i-0", Service: "llm", Address: b.Listener.Addr().String(), Zone: "a", Slots: 64})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	f.Configure(routing.New(1, []routing.Route{{Name: "g", Host: "x", Prefix: "/", Kind: routing.Stream, Timeout: 5 * time.Second, MaxEndpoints: 1,
		Targets: []routing.Target{{Service: "llm", Weight: 1}}}}, []routing.Service{table.Services["llm"]}, routing.Limits{}))
	s := httptest.NewServer(f)
	defer s.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		r, _ := http.NewRequest(http.MethodPost, s.URL+"/x", strings.NewReader("prompt"))
		r.Host = "x"
		r.Header = http.Header{"Shallotring-Attempt-Id": {"r1"}, "Shallotring-Model": {"m/a1"}, "Shallotring-Token-Usage": {"100,10"}}
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(a.Body)
		a.Body.Close()
		if a.StatusCode == http.StatusOK {
			if string(body) != "3 i-0" {
				t.Errorf("the engine was told %q, want version and instance", body)
			}
			break
		}
		// The link to the agent takes a moment.
		if time.Now().After(deadline) {
			t.Fatalf("status %d", a.StatusCode)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if av := <-wanted; av != (ident.AdapterVersion{Adapter: "m/a1", Version: "3"}) {
		t.Errorf("wanted = %v", av)
	}
}

// TestDiscoveryWhileServing guards, with the race detector, against requests that read an endpoint while discovery changes it.
func TestDiscoveryWhileServing(t *testing.T) {
	b := newBackend(t, serves)
	f, address := newFrontend(t, b)
	d := inventory.Endpoint{ID: "i-0", Service: "s", Address: b.Listener.Addr().String(), Zone: "a", Slots: 6}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 20 {
				if code, _, _, err := ask(t, address, "/once/", fmt.Sprint("r", i, "-", n)); code != 200 {
					t.Errorf("answer = %d, %v", code, err)
				}
			}
		})
	}
	for i := range 200 {
		d.Slots = 6 + i%2
		f.Join(d)
		time.Sleep(100 * time.Microsecond)
	}
	wg.Wait()
}
