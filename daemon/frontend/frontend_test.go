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

// backend is an endpoint that counts its requests, and its runs by request id.
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

func (b *backend) recordRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Header.Get("Shallotring-Attempt-Id")]++
}

func (b *backend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Shallotring-Attempt-Id", r.Header.Get("Shallotring-Attempt-Id"))
	w.Header().Set("Shallotring-Server-Seal", "s")
}

func serveRequest(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	seal(w, r)
	io.WriteString(w, "done")
}

func refuseRequest(_ *backend, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Shallotring-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// closeConnection runs the request and closes the connection without a response.
func closeConnection(b *backend, _ http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	panic(http.ErrAbortHandler)
}

func respondWithStatus(code int, sealed bool) func(b *backend, w http.ResponseWriter, r *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		if sealed {
			seal(w, r)
		}
		w.WriteHeader(code)
	}
}

// respondToOtherRequest responds with the id of another request.
func respondToOtherRequest(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	seal(w, r)
	w.Header().Set("Shallotring-Attempt-Id", "other")
	io.WriteString(w, "not yours")
}

var testRoutes = routing.New(1, []routing.Route{
	{Name: "once", Host: "x", Prefix: "/once/", Kind: routing.Once, Timeout: 2 * time.Second, MaxEndpoints: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
	{Name: "again", Host: "x", Prefix: "/again/", Kind: routing.Repeatable, Timeout: 2 * time.Second, MaxEndpoints: 2, Targets: []routing.Target{{Service: "s", Weight: 1}}},
	{Name: "stream", Host: "x", Prefix: "/stream/", Kind: routing.Stream, Timeout: 2 * time.Second, MaxEndpoints: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
}, []routing.Service{{Name: "s", Connections: 100}, {Name: "llm", Engine: &routing.Engine{Adapters: 2, Models: []routing.Model{{Name: "m"}}}}}, routing.Limits{BodyBytes: 1 << 20})

func newFrontend(t *testing.T, backends ...*backend) (f *Frontend, address string) {
	t.Helper()
	f = New(message.Headers{}, "edge-1", "a", WithRetryLimit(RetryLimit{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}))
	f.Configure(testRoutes)
	for i, b := range backends {
		f.UpdateEndpoint(inventory.Endpoint{ID: ident.Endpoint(fmt.Sprint("i-", i)), Service: "s", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 6})
	}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, s.Listener.Addr().String()
}

// sendRequest sends a request and returns the response; an error means that the connection ended without a complete response.
func sendRequest(t *testing.T, address, path, id string) (code int, body string, h http.Header, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: %s\r\nShallotring-Deadline-Ms: 1500\r\n\r\n", path, id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", nil, err
	}
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), response.Header, err
}

// TestOnceRunsOnce guards against a second run of a request that must run at most once, and against a refusal after a run, when the
// first endpoint refuses the request, closes the connection, or sends a response without a seal or with an error status.
func TestOnceRunsOnce(t *testing.T) {
	for _, x := range []struct {
		name       string
		first      func(b *backend, w http.ResponseWriter, r *http.Request)
		path       string
		wantStatus int
		wantRuns   int
	}{
		{"refused by the endpoint", refuseRequest, "/once/", 200, 1},
		{"connection closed without a response", closeConnection, "/once/", 502, 1},
		{"503 without a guarantee that nothing ran", respondWithStatus(503, true), "/once/", 502, 1},
		{"429 without a guarantee that nothing ran", respondWithStatus(429, false), "/once/", 502, 1},
		{"success without a seal", respondWithStatus(200, false), "/once/", 502, 1},
		{"response to another request", respondToOtherRequest, "/once/", 502, 1},
		{"error of the endpoint", respondWithStatus(500, true), "/once/", 500, 1},
		{"connection closed, repeatable", closeConnection, "/again/", 200, 2},
		{"error of the endpoint, repeatable", respondWithStatus(500, true), "/again/", 200, 2},
		{"response to another request, repeatable", respondToOtherRequest, "/again/", 200, 2},
		{"connection closed, stream", closeConnection, "/stream/", 502, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			bad, good := newBackend(t, x.first), newBackend(t, serveRequest)
			_, address := newFrontend(t, bad, good)
			// The choice between two idle endpoints is random; the first request that reaches the bad one is checked.
			for i := 0; ; i++ {
				id := fmt.Sprint("r", i)
				code, _, _, err := sendRequest(t, address, x.path, id)
				bad.mu.Lock()
				reached := bad.hits > 0
				bad.mu.Unlock()
				if !reached {
					continue
				}
				if err != nil || code != x.wantStatus {
					t.Errorf("response = %d, %v; want %d", code, err, x.wantStatus)
				}
				if runs := bad.runCount(id) + good.runCount(id); runs != x.wantRuns {
					t.Errorf("runs = %d, want %d", runs, x.wantRuns)
				}
				break
			}
		})
	}
}

// TestRefusalSetsRetryAfter guards against a refusal without a Retry-After header, and against one that is delayed although no
// endpoint exists.
func TestRefusalSetsRetryAfter(t *testing.T) {
	_, address := newFrontend(t)
	start := time.Now()
	code, _, h, err := sendRequest(t, address, "/once/", "r1")
	if err != nil || code != 503 || h.Get("Retry-After") == "" || h.Get("Shallotring-Attempt-Id") != "r1" {
		t.Errorf("response = %d %v %v", code, h, err)
	}
	if passed := time.Since(start); passed > time.Second {
		t.Errorf("the refusal took %v", passed)
	}
	if code, _, _, err = sendRequest(t, address, "/none/", "r2"); code != 404 {
		t.Errorf("no route: %d %v, want 404", code, err)
	}
}

// TestUnconfiguredEntryNamesTimeOfModels guards against callers that use up their retries before a restarted platform can serve models.
func TestUnconfiguredEntryNamesTimeOfModels(t *testing.T) {
	s := httptest.NewServer(New(message.Headers{}, "edge-1", "a"))
	defer s.Close()
	for model, want := range map[string]time.Duration{"m/a1": unconfiguredRetryAfter, "": unavailableRetryAfter} {
		r, _ := http.NewRequest(http.MethodGet, s.URL+"/once/", nil)
		r.Header.Set("Shallotring-Model", model)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if got := response.Header.Get("Retry-After"); response.StatusCode != http.StatusServiceUnavailable || got != fmt.Sprintf("%.3f", want.Seconds()) {
			t.Errorf("model %q: %d, Retry-After %s, want %v", model, response.StatusCode, got, want)
		}
	}
}

// TestTruncatedStream guards against a stream that ends early because the endpoint closed its connection, and looks complete to the
// caller.
func TestTruncatedStream(t *testing.T) {
	b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, address := newFrontend(t, b)
	code, body, _, err := sendRequest(t, address, "/stream/", "r1")
	if code != 200 || err == nil || !strings.Contains(body, "id: 1") {
		t.Errorf("response = %d %q %v; want the first chunk and a truncated body", code, body, err)
	}
}

// TestCallerDisconnects guards against an endpoint that goes on with a request after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	started, canceled := make(chan bool), make(chan bool)
	b := newBackend(t, func(_ *backend, _ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	_, address := newFrontend(t, b)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET /stream/ HTTP/1.1\r\nHost: x\r\nShallotring-Attempt-Id: r1\r\n\r\n")
	<-started
	c.Close()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Error("the request at the endpoint was not canceled")
	}
}

// TestLeavingEndpointGetsNoRequests guards against new requests for an endpoint that has announced that it is leaving, also if a later
// discovery entry no longer says so.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	b := newBackend(t, serveRequest)
	f, address := newFrontend(t, b)
	d := inventory.Endpoint{ID: "i-0", Service: "s", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 6, Leaving: true}
	f.UpdateEndpoint(d)
	d.Leaving = false
	f.UpdateEndpoint(d)
	if code, _, _, _ := sendRequest(t, address, "/once/", "r1"); code != 503 || b.runCount("r1") != 0 {
		t.Errorf("response = %d with %d runs, want 503 without a run", code, b.runCount("r1"))
	}
}

// TestPreviousIncarnationGetsNoRequests guards against requests for a previous incarnation of an endpoint, whose discovery entry
// remains for seconds after the next incarnation has started at the same address.
func TestPreviousIncarnationGetsNoRequests(t *testing.T) {
	for _, order := range [][]ident.Endpoint{{"i-old", "i-new"}, {"i-new", "i-old"}} {
		var expectedInstances sync.Map
		b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
			expectedInstances.Store(r.Header.Get("Shallotring-Expect-Instance"), true)
			serveRequest(b, w, r)
		})
		f, address := newFrontend(t)
		for _, id := range order {
			startMilli := map[ident.Endpoint]int64{"i-old": 1, "i-new": 2}[id]
			f.UpdateEndpoint(inventory.Endpoint{ID: id, Service: "s", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 6, StartMilli: startMilli})
		}
		for i := range 20 {
			if code, _, _, err := sendRequest(t, address, "/once/", fmt.Sprint("r", i)); code != 200 {
				t.Fatalf("response = %d, %v", code, err)
			}
		}
		if _, ok := expectedInstances.Load("i-old"); ok {
			t.Error("a request names the previous incarnation")
		}
	}
}

// TestStoppingEntryRefuses guards against a request that is interrupted at the end of the grace period: it must be refused before it
// is sent, unless its deadline is earlier.
func TestStoppingEntryRefuses(t *testing.T) {
	for _, x := range []struct {
		path      string
		remaining time.Duration
		want      int
	}{{"/stream/", 10 * time.Second, 503}, {"/once/", 10 * time.Second, 200}, {"/once/", time.Second, 503}} {
		b := newBackend(t, serveRequest)
		f, address := newFrontend(t, b)
		f.RefuseStreams(time.Now().Add(x.remaining))
		if code, _, _, err := sendRequest(t, address, x.path, "r1"); code != x.want || (code == 503 && b.runCount("r1") > 0) {
			t.Errorf("%s with %v remaining: %d %v, want %d", x.path, x.remaining, code, err, x.want)
		}
	}
}

// TestConfigurationNeverGoesBack guards against an older configuration that arrives after a newer one and replaces it.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f, address := newFrontend(t, newBackend(t, serveRequest))
	f.Configure(routing.New(0, nil, nil, routing.Limits{}))
	if code, _, _, err := sendRequest(t, address, "/once/", "r1"); code != 200 {
		t.Errorf("response = %d %v, want 200", code, err)
	}
}

// startAgent starts an agent of the endpoint, which reports every requested adapter as resident at once.
func startAgent(t *testing.T, endpoint ident.Endpoint) (port int, requested chan ident.AdapterVersion) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requested = make(chan ident.AdapterVersion, 10)
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
					var report control.UsageReport
					if conn.Receive(&report, 5*time.Second) != nil {
						return
					}
					for _, w := range report.Wants {
						if w.Waiting > 0 {
							requested <- w.Adapter
							state.Holdings.Resident = append(state.Holdings.Resident, w.Adapter)
						}
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).Port, requested
}

// TestLoadComesBeforeSend guards against a request that reaches an engine before its adapter is loaded. It also guards against an
// engine without a link to its agent because it had nothing loaded and was added before the configuration was known.
func TestLoadComesBeforeSend(t *testing.T) {
	b := newBackend(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, r.Header.Get("Shallotring-Expect-Version")+" "+r.Header.Get("Shallotring-Expect-Instance"))
	})
	port, requested := startAgent(t, "i-0")
	f := New(message.Headers{}, "edge-1", "a", WithControlPort(port))
	f.DeclareVersion(ident.AdapterVersion{Adapter: "m/a1", Version: "3"})
	f.UpdateEndpoint(inventory.Endpoint{ID: "i-0", Service: "llm", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 64})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	f.Configure(routing.New(1, []routing.Route{{Name: "g", Host: "x", Prefix: "/", Kind: routing.Stream, Timeout: 5 * time.Second, MaxEndpoints: 1,
		Targets: []routing.Target{{Service: "llm", Weight: 1}}}}, []routing.Service{testRoutes.Services["llm"]}, routing.Limits{}))
	s := httptest.NewServer(f)
	defer s.Close()
	deadline := time.Now().Add(5 * time.Second)
	for {
		r, _ := http.NewRequest(http.MethodPost, s.URL+"/x", strings.NewReader("prompt"))
		r.Host = "x"
		r.Header = http.Header{"Shallotring-Attempt-Id": {"r1"}, "Shallotring-Model": {"m/a1"}, "Shallotring-Token-Usage": {"100,10"}}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			if string(body) != "3 i-0" {
				t.Errorf("the engine received %q, want version and instance", body)
			}
			break
		}
		// The request is refused until the link to the agent is connected.
		if time.Now().After(deadline) {
			t.Fatalf("status %d", response.StatusCode)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if av := <-requested; av != (ident.AdapterVersion{Adapter: "m/a1", Version: "3"}) {
		t.Errorf("requested = %v", av)
	}
}

// TestDiscoveryWhileServing guards against a data race between requests that read an endpoint and discovery updates that change it;
// the race detector finds it.
func TestDiscoveryWhileServing(t *testing.T) {
	b := newBackend(t, serveRequest)
	f, address := newFrontend(t, b)
	d := inventory.Endpoint{ID: "i-0", Service: "s", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 6}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 20 {
				if code, _, _, err := sendRequest(t, address, "/once/", fmt.Sprint("r", i, "-", n)); code != 200 {
					t.Errorf("response = %d, %v", code, err)
				}
			}
		})
	}
	for i := range 200 {
		d.BatchSize = 6 + i%2
		f.UpdateEndpoint(d)
		time.Sleep(100 * time.Microsecond)
	}
	wg.Wait()
}
