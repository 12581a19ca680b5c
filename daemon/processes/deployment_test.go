package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"shallotring.dev/standin/engine"
	"shallotring.dev/standin/keyvalue"
	"shallotring.dev/standin/service"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

const (
	adapterCount = 4
	engineSlots  = 8
)

// plan says which processes a deployment has.
type plan struct {
	entries int
	// engines lists whether each engine checks fencing numbers.
	engines  []bool
	services int
	batch    int
	// interval is the time between two tokens.
	interval time.Duration
	// keyValue replaces the service's address in the settings of the first entry.
	keyValue string
}

// endpoint is a stand-in with the settings of its agent.
type endpoint struct {
	resource.Endpoint
	url     string
	standin *process
	command []string
	file    string
	admin   string
	agent   *process
}

// gate is an entry process.
type gate struct {
	name    string
	url     string
	admin   string
	peer    string
	file    string
	process *process
}

// deployment is a running system of separate processes.
type deployment struct {
	t        *testing.T
	dir      string
	plan     plan
	keyValue string
	// way is the first entry's way to the key-value service if the plan names one.
	way     *proxy
	hosts   string
	weights string
	store   *process
	// weightStore is the process of the weight store.
	weightStore *process
	endpoints   []*endpoint
	entries     []*gate
}

var client = &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// deploy starts all processes in the order of docs/OPERATIONS.md and waits until the entries serve.
func deploy(t *testing.T, p plan) (d *deployment) {
	t.Helper()
	p.batch = max(p.batch, 8)
	if p.interval == 0 {
		p.interval = 2 * time.Millisecond
	}
	d = &deployment{t: t, dir: t.TempDir(), plan: p, keyValue: address(t), hosts: address(t), weights: address(t)}
	d.startPlatform()
	d.declare()
	for i := range p.entries {
		d.addEntry(i)
	}
	for _, e := range d.endpoints {
		e.agent = d.startAgent(e, "agent-"+string(e.Name))
	}
	for _, g := range d.entries {
		g.process = d.startEntry(g)
	}
	d.awaitReady()
	return d
}

func (d *deployment) startPlatform() {
	d.startStore()
	if d.plan.keyValue != "" {
		d.way = newProxy(d.t, d.plan.keyValue, d.keyValue)
	}
	d.startWeights()
	for i, checks := range d.plan.engines {
		e := d.endpoint(fmt.Sprintf("engine-%d", i+1))
		e.Kind, e.BaseModel, e.ChecksFencing, e.Slots = resource.Engine, "base", checks, engineSlots
		e.command = []string{"engine", "--listen", strings.TrimPrefix(e.url, "http://"), "--weights", "http://" + d.weights,
			"--slots", fmt.Sprint(engineSlots), "--batch-size", fmt.Sprint(d.plan.batch), "--token-interval", d.plan.interval.String()}
		if checks {
			e.command = append(e.command, "--checks-fencing")
		}
	}
	for i := range d.plan.services {
		e := d.endpoint(fmt.Sprintf("custody-%d", i+1))
		e.Kind, e.Service = resource.Service, "custody"
		e.command = []string{"service", "--listen", strings.TrimPrefix(e.url, "http://")}
	}
	hosts := []string{"hosts", "--listen", d.hosts, "--lag", "300ms"}
	for _, e := range d.endpoints {
		e.standin = start(d.t, string(e.Name), "standin", e.command...)
		hosts = append(hosts, "--host", string(e.Host))
	}
	start(d.t, "hosts", "standin", hosts...)
	d.awaitPlatform()
}

// startStore starts the key-value service with the data that its last process saved.
func (d *deployment) startStore() {
	d.store = start(d.t, "keyvalue", "standin", "keyvalue", "--listen", d.keyValue, "--data", filepath.Join(d.dir, "keyvalue.json"))
}

func (d *deployment) startWeights() {
	d.weightStore = start(d.t, "weights", "standin", "weights", "--listen", d.weights, "--rate", "100", "--load-time", "20ms")
}

func (d *deployment) endpoint(name string) (e *endpoint) {
	e = &endpoint{url: "http://" + address(d.t)}
	e.Endpoint = resource.Endpoint{Name: ident.Endpoint(name), Host: ident.Host("host-" + name), Zone: "zone-a", BatchSize: d.plan.batch}
	d.endpoints = append(d.endpoints, e)
	return e
}

func (d *deployment) awaitPlatform() {
	urls := []string{"http://" + d.keyValue + "/", "http://" + d.weights + "/", "http://" + d.hosts + "/"}
	for _, e := range d.endpoints {
		urls = append(urls, e.url+"/journal")
	}
	for _, u := range urls {
		until(d.t, u+" answers", func() bool {
			_, ok := fetch(u)
			return ok
		})
	}
}

// fetch returns the body of any answer.
func fetch(url string) (body string, ok bool) {
	a, err := client.Get(url)
	if err != nil {
		return "", false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err == nil
}

// ready reports whether a process passes its readiness check.
func ready(admin string) bool {
	c := http.Client{Timeout: 2 * time.Second}
	a, err := c.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// declare writes the resources as an operator does.
func (d *deployment) declare() {
	var f resource.File
	for i := range adapterCount {
		a := resource.Adapter{Name: ident.Adapter(fmt.Sprintf("adapter-%d", i+1)), BaseModel: "base", Default: "v1"}
		for _, v := range []ident.Version{"v1", "v2"} {
			path := string(a.Name) + "/" + string(v)
			a.Versions = append(a.Versions, resource.AdapterVersion{Version: v, Path: path, Digest: engine.Digest(path)})
		}
		f.Adapter = append(f.Adapter, a)
	}
	for _, e := range d.endpoints {
		f.Endpoint = append(f.Endpoint, e.Endpoint)
	}
	f.Route = []resource.Route{{Name: "custody-orders", Service: "custody", PathPrefix: "/orders", NonRepeatable: true}}
	policy := resource.DefaultPolicy()
	policy.LoadsPerSecond, policy.QueuePerEndpoint, policy.RetryRatio = 100, 256, 1
	f.Policy = []resource.Policy{policy}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(f); err != nil {
		d.t.Fatal(err)
	}
	file := d.write("resources.toml", text.String())
	d.operate(0, "check", file)
	d.operate(0, "apply", "-f", file)
}

func (d *deployment) write(name, text string) (file string) {
	file = filepath.Join(d.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// operate runs the operator's command line and checks its exit code; -1 allows any.
func (d *deployment) operate(code int, args ...string) (out string) {
	d.t.Helper()
	return run(d.t, code, "shallotring", append([]string{"--service", "http://" + d.keyValue}, args...)...)
}

// startAgent starts an agent of the endpoint; a successor beside a running agent gets addresses of its own.
func (d *deployment) startAgent(e *endpoint, name string) *process {
	d.t.Helper()
	e.admin = address(d.t)
	e.file = d.write(name+".toml", fmt.Sprintf(`Host = %q
Zone = "zone-a"
Endpoint = %q
BaseURL = %q
PeerAddress = %q
AdminAddress = %q
KeyValue = ["http://%s"]
HostList = "http://%s/hosts"
`, e.Host, e.Name, e.url, address(d.t), e.admin, d.keyValue, d.hosts))
	return start(d.t, name, "agent", "--settings", e.file)
}

func (d *deployment) addEntry(i int) {
	g := &gate{name: fmt.Sprintf("entry-%d", i+1), url: "http://" + address(d.t), admin: address(d.t), peer: address(d.t)}
	keyValue := d.keyValue
	if i == 0 && d.plan.keyValue != "" {
		keyValue = d.plan.keyValue
	}
	peers := "[]"
	if i > 0 {
		peers = fmt.Sprintf("[%q]", d.entries[0].peer)
	}
	g.file = d.write(g.name+".toml", fmt.Sprintf(`Host = "host-%s"
Zone = "zone-a"
Address = %q
AdminAddress = %q
PeerAddress = %q
KeyValue = ["http://%s"]
Peers = %s
AllowAnonymous = true
BalancerWait = "1s"
`, g.name, strings.TrimPrefix(g.url, "http://"), g.admin, g.peer, keyValue, peers))
	d.entries = append(d.entries, g)
}

func (d *deployment) startEntry(g *gate) *process {
	return start(d.t, g.name, "entry", "--settings", g.file)
}

// awaitReady waits until every process is ready and every entry reaches an agent of each kind.
func (d *deployment) awaitReady() {
	d.t.Helper()
	for _, e := range d.endpoints {
		until(d.t, string(e.Name)+" has a ready agent", func() bool { return ready(e.admin) })
	}
	for _, g := range d.entries {
		d.awaitEntry(g)
	}
}

// drainOthers leaves one engine to do all work. While another one holds every adapter and has room, the placement need not
// choose it.
func (d *deployment) drainOthers(only *endpoint) {
	d.t.Helper()
	for _, e := range d.endpoints {
		if e != only && e.Kind == resource.Engine {
			d.operate(0, "drain", string(e.Name))
		}
	}
}

func (d *deployment) awaitEntry(g *gate) {
	d.t.Helper()
	until(d.t, g.name+" is ready", func() bool { return ready(g.admin) })
	if len(d.plan.engines) > 0 {
		until(d.t, g.name+" serves models", func() bool {
			return complete(g.url, call{model: "adapter-1@v1", prompt: "warm-up", tokens: 2}).whole()
		})
	}
	if d.plan.services > 0 {
		until(d.t, g.name+" serves the service", func() bool { return get(g.url+"/services/custody/stock") == http.StatusOK })
	}
}

func get(url string) (status int) {
	a, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// send sends JSON to a stand-in.
func (d *deployment) send(method, url string, body any) {
	d.t.Helper()
	text, _ := json.Marshal(body)
	q, _ := http.NewRequest(method, url, bytes.NewReader(text))
	a, err := client.Do(q)
	if err != nil {
		d.t.Fatal(err)
	}
	a.Body.Close()
	if a.StatusCode != http.StatusOK {
		d.t.Fatalf("%s: %s", url, a.Status)
	}
}

// disturb sets the fault of the key-value service; the empty fault ends it.
func (d *deployment) disturb(f keyvalue.Fault) {
	d.t.Helper()
	d.send(http.MethodPost, "http://"+d.keyValue+"/fault", f)
}

// journal is what the engine says that it ran.
func (d *deployment) journal(e *endpoint) (j engine.JournalReport) {
	d.t.Helper()
	body, ok := fetch(e.url + "/journal")
	if !ok || json.Unmarshal([]byte(body), &j) != nil {
		d.t.Fatalf("%s: no journal: %q", e.Name, body)
	}
	return j
}

// orders returns the runs of all plain services.
func (d *deployment) orders() (list []service.Run) {
	d.t.Helper()
	for _, e := range d.endpoints {
		if e.Kind != resource.Service {
			continue
		}
		body, ok := fetch(e.url + "/journal")
		var part []service.Run
		if !ok || json.Unmarshal([]byte(body), &part) != nil {
			d.t.Fatalf("%s: no journal: %q", e.Name, body)
		}
		list = append(list, part...)
	}
	return slices.DeleteFunc(list, func(r service.Run) bool { return r.Key == "" })
}

// checkEngines judges every engine by its own journal: nothing was evicted in use, no stale command was carried out.
func (d *deployment) checkEngines() {
	d.t.Helper()
	for _, e := range d.endpoints {
		if e.Kind != resource.Engine || !e.standin.running() {
			continue
		}
		j := d.journal(e)
		if len(j.EvictionsInUse) > 0 || len(j.StaleCommands) > 0 {
			d.t.Errorf("%s: evicted in use %v, stale commands %v", e.Name, j.EvictionsInUse, j.StaleCommands)
		}
	}
}
