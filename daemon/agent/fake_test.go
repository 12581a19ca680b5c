package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// fakeStore is an in-memory key-value service whose leases do not expire.
type fakeStore struct {
	mu       sync.Mutex
	revision ident.Revision
	data     map[string]keyvalue.Record
}

func (f *fakeStore) Get(_ context.Context, key string) (r keyvalue.Record, found bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, found = f.data[key]
	return r, found, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.data[s.Key].ModRevision != s.Expect {
		return f.revision, false, nil
	}
	f.revision++
	f.data[s.Key] = keyvalue.Record{Key: s.Key, Value: s.Value, ModRevision: f.revision, Lease: s.Lease}
	return f.revision, true, nil
}

func (f *fakeStore) Grant(context.Context, time.Duration) (id keyvalue.LeaseID, err error) {
	return 1, nil
}

func (f *fakeStore) KeepAlive(context.Context, keyvalue.LeaseID) (err error) { return nil }

func (f *fakeStore) Revoke(_ context.Context, id keyvalue.LeaseID) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, r := range f.data {
		if r.Lease == id {
			delete(f.data, k)
		}
	}
	return nil
}

// fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct {
	set        *resource.Set
	generation ident.Revision
	failure    string
}

func (f fixedConfiguration) Current() *resource.Set { return f.set }

func (f fixedConfiguration) Generation() ident.Revision { return f.generation }

func (f fixedConfiguration) Failure() string { return f.failure }

func (f fixedConfiguration) Refresh(context.Context, ident.Revision) (err error) { return nil }

const digest = "00"

func newConfiguration(kind resource.EndpointKind) fixedConfiguration {
	e := resource.Endpoint{Name: "e1", Kind: kind, BaseModel: "base", Service: "custody", Slots: 4, MemoryMegabytes: 100, BaseModelMegabytes: 50,
		AdapterMegabytes: 50, BatchSize: 4, ChecksFencing: true}
	ad := func(name ident.Adapter) resource.Adapter {
		return resource.Adapter{
			Name: name, BaseModel: "base", Default: "v1",
			Versions: []resource.AdapterVersion{{Version: "v1", Path: "/" + string(name), Digest: digest}},
		}
	}
	p := resource.DefaultPolicy()
	p.LoadsPerSecond = 1000
	set := resource.NewSet()
	for i, r := range []any{&e, new(ad("a1")), new(ad("a2")), &p} {
		n, _ := resource.NameOf(r)
		old, _ := set.Shard(n.Shard())
		sh := &resource.Shard{}
		if old != nil {
			*sh = *old
		}
		sh.Put(r)
		set = set.Apply(n.Shard(), ident.Revision(i+1), sh)
	}
	return fixedConfiguration{set: set}
}

// fakeEngine serves the requests of an engine and of a plain service.
type fakeEngine struct {
	*httptest.Server
	mu       sync.Mutex
	loaded   map[string]bool
	running  map[string]int
	evicted  []string
	requests []string
	fencing  map[string]bool
	// unblock, if set, blocks requests until it is closed.
	unblock chan struct{}
	// arrived receives the id of each request that has reached the engine.
	arrived chan string
	status  int
}

func newFakeEngine(t *testing.T) *fakeEngine {
	f := &fakeEngine{
		loaded: make(map[string]bool), running: make(map[string]int), fencing: make(map[string]bool), arrived: make(chan string, 100),
	}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Engine-Start-Id", "s1")
	body := make(map[string]string)
	text, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(text, &body)
	if r.Method == http.MethodPost {
		f.mu.Lock()
		f.fencing[r.Header.Get("Fencing-Number")] = true
		f.mu.Unlock()
	}
	switch r.URL.Path {
	case "/v1/models":
		f.models(w)
	case "/running":
		io.WriteString(w, `{"requests":[]}`)
	case "/v1/load_lora_adapter":
		f.mu.Lock()
		f.loaded[body["lora_name"]] = true
		f.mu.Unlock()
	case "/v1/unload_lora_adapter":
		f.mu.Lock()
		delete(f.loaded, body["lora_name"])
		f.evicted = append(f.evicted, body["lora_name"])
		f.mu.Unlock()
	case "/cancel":
	default:
		f.complete(w, r, body["model"])
	}
}

func (f *fakeEngine) models(w io.Writer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for name := range f.loaded {
		list = append(list, fmt.Sprintf(`{"id":%q,"digest":%q}`, name, digest))
	}
	fmt.Fprintf(w, `{"data":[%s]}`, strings.Join(list, ","))
}

func (f *fakeEngine) complete(w http.ResponseWriter, r *http.Request, model string) {
	f.mu.Lock()
	f.requests = append(f.requests, r.Header.Get("X-Request-Id"))
	unblock, status, loaded := f.unblock, f.status, model == "" || f.loaded[model]
	f.mu.Unlock()
	f.arrived <- r.Header.Get("X-Request-Id")
	if !loaded {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: %s %s\n\n", model, r.Header.Get("X-Request-Id"))
	http.NewResponseController(w).Flush()
	if unblock != nil {
		select {
		case <-unblock:
		case <-r.Context().Done():
			return
		}
	}
	io.WriteString(w, "data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n")
}

func (f *fakeEngine) requestIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.requests...)
}
