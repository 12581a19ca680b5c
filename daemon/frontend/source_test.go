package frontend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"shallotring.dev/platform/message"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/routing"
)

// sourceTrial is an entry with two engines: requests go to near, and far is the only possible source of their prompt prefix.
type sourceTrial struct {
	*Frontend
	t         *testing.T
	address   string
	near, far *agentLink
	// sources receives the source that each request names; it is empty if a request names none.
	sources chan string
}

var (
	sourceAdapter   = ident.AdapterVersion{Adapter: "m/a1", Version: "3"}
	previousVersion = ident.AdapterVersion{Adapter: "m/a1", Version: "2"}
)

func newSourceTrial(t *testing.T) *sourceTrial {
	x := &sourceTrial{t: t, sources: make(chan string, 1)}
	b := newBackend(t, func(_ *backend, w http.ResponseWriter, r *http.Request) {
		x.sources <- r.Header.Get("Kv-Fetch")
		seal(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	x.Frontend = New(message.Headers{}, "edge-1", "a")
	x.Configure(routing.New(1, []routing.Route{{Name: "g", Host: "x", Prefix: "/", Kind: routing.Stream, Timeout: 5 * time.Second, MaxEndpoints: 1,
		Targets: []routing.Target{{Service: "llm", Weight: 1}}}}, []routing.Service{testRoutes.Services["llm"]}, routing.Limits{BodyBytes: 1 << 20}))
	x.DeclareVersion(sourceAdapter)
	x.near, x.far = newLink(x.Frontend, "near"), newLink(x.Frontend, "far")
	x.UpdateEndpoint(inventory.Endpoint{ID: "i-near", Service: "llm", Address: b.Listener.Addr().String(), Zone: "a", BatchSize: 64, StartMilli: 1})
	x.UpdateEndpoint(inventory.Endpoint{ID: "i-far", Service: "llm", Address: "192.0.2.1:80", Zone: "b", BatchSize: 64, StartMilli: 1})
	x.endpoints["i-near"].link, x.endpoints["i-far"].link = x.near, x.far
	s := httptest.NewServer(x.Frontend)
	t.Cleanup(s.Close)
	x.address = s.Listener.Addr().String()
	return x
}

// busyRunning is the number of requests that run at far, so that the trial's requests go to near even if it has to load the adapter.
const busyRunning = 1000

// observe applies a state of an engine that has loaded a version of the base model and the adapters.
func (x *sourceTrial) observe(link *agentLink, startMilli int64, baseVersion ident.Version, resident ...ident.AdapterVersion) {
	endpoint, running := ident.Endpoint("i-near"), 0
	if link == x.far {
		endpoint, running = "i-far", busyRunning
	}
	x.handleState(link, control.State{Endpoint: endpoint, Born: startMilli, Up: true, Running: running, Entries: 1,
		Holdings: control.NewHoldings([]ident.ModelVersion{{Model: "m", Version: baseVersion}}, resident, nil)})
}

// recordPrompt records that far has read the prompt prefix of the trial's requests.
func (x *sourceTrial) recordPrompt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := &request{adapter: sourceAdapter, service: "llm"}
	r.call, _ = x.headers.Decode(sourceHeaders("earlier"))
	x.addRequest(x.clock.Now(), r, x.endpoints["i-far"], x.placementQuery(r))
}

func sourceHeaders(id string) http.Header {
	return http.Header{"Shallotring-Attempt-Id": {id}, "Shallotring-Model": {"m/a1"}, "Shallotring-Token-Usage": {"9000,10"}, "Shallotring-Prompt-Prefix": {"a1:6000,b2:3000"}}
}

// source sends a request and returns the source that it names.
func (x *sourceTrial) source() string {
	x.t.Helper()
	ctx, cancel := context.WithTimeout(x.t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.address+"/x", strings.NewReader("prompt"))
	if err != nil {
		x.t.Fatal(err)
	}
	r.Host, r.Header = "x", sourceHeaders("r1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		x.t.Fatal(err)
	}
	defer response.Body.Close()
	if b, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
		x.t.Fatalf("response = %d %q %v", response.StatusCode, b, err)
	}
	return <-x.sources
}

// TestSourceHasTheSameWeights guards against incident STALE: a generation that uses a prompt cache which another engine made with other
// weights, because the request named that engine as the source of its prompt prefix.
func TestSourceHasTheSameWeights(t *testing.T) {
	for _, c := range []struct {
		name string
		// change happens after far has read the prompt with version 1 of the base model and near has loaded version 1 too.
		change func(x *sourceTrial)
		want   bool
	}{
		{name: "same weights", change: func(*sourceTrial) {}, want: true},
		{name: "newer base model at the endpoint", change: func(x *sourceTrial) { x.observe(x.near, 1, "2", sourceAdapter) }},
		{name: "newer base model at the source", change: func(x *sourceTrial) { x.observe(x.far, 1, "2", sourceAdapter) }},
		{name: "newer base model at both", change: func(x *sourceTrial) {
			x.observe(x.near, 1, "2", sourceAdapter)
			x.observe(x.far, 1, "2", sourceAdapter)
		}, want: true},
		{name: "unknown version at the endpoint", change: func(x *sourceTrial) { x.observe(x.near, 1, "", sourceAdapter) }},
		{name: "unknown version at the source", change: func(x *sourceTrial) { x.observe(x.far, 1, "", sourceAdapter) }},
		{name: "unknown version at both", change: func(x *sourceTrial) {
			x.observe(x.near, 1, "", sourceAdapter)
			x.observe(x.far, 1, "", sourceAdapter)
		}},
		{name: "source has loaded another version of the adapter", change: func(x *sourceTrial) { x.observe(x.far, 1, "1", previousVersion) }},
		{name: "source has unloaded the adapter", change: func(x *sourceTrial) { x.observe(x.far, 1, "1") }},
		{name: "source has restarted with newer weights", change: func(x *sourceTrial) { x.observe(x.far, 2, "2", sourceAdapter) }},
		{name: "source has restarted with the same weights", change: func(x *sourceTrial) { x.observe(x.far, 2, "1", sourceAdapter) }, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newSourceTrial(t)
			x.observe(x.near, 1, "1", sourceAdapter)
			x.observe(x.far, 1, "1", sourceAdapter)
			x.recordPrompt()
			c.change(x)
			if got := x.source(); (got == "192.0.2.1:80") != c.want {
				t.Errorf("source %q, want one: %t", got, c.want)
			}
		})
	}
}

// TestSourceIsChosenAtTheSend guards against incident STALE in the time in which a request waits for its adapter: the source that was right
// when the endpoint was chosen loads other weights before the request is sent.
func TestSourceIsChosenAtTheSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(x *sourceTrial)
		want   bool
	}{
		{name: "no change", change: func(*sourceTrial) {}, want: true},
		{name: "source has loaded newer weights", change: func(x *sourceTrial) { x.observe(x.far, 1, "2", sourceAdapter) }},
		{name: "source has restarted with newer weights", change: func(x *sourceTrial) { x.observe(x.far, 2, "2", sourceAdapter) }},
		{name: "source has left discovery", change: func(x *sourceTrial) { x.RemoveEndpoint("i-far") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newSourceTrial(t)
			x.observe(x.near, 1, "1")
			x.observe(x.far, 1, "1", sourceAdapter)
			x.recordPrompt()
			got := make(chan string)
			go func() { got <- x.source() }()
			// The request waits for its adapter at near.
			<-x.near.reports
			c.change(x)
			x.observe(x.near, 1, "1", sourceAdapter)
			if source := <-got; (source == "192.0.2.1:80") != c.want {
				t.Errorf("source %q, want one: %t", source, c.want)
			}
		})
	}
}
