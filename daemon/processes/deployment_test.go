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

// plan describes the processes of a deployment.
type plan struct {
	entries int
	// enginesCheckFencing has one element for each engine, which states whether that engine checks fencing numbers.
	enginesCheckFencing []bool
	services            int
	batchSize           int
	// tokenInterval is the time between two tokens.
	tokenInterval time.Duration
	// keyValueProxyAddress is the address of a proxy through which the first entry reaches the key-value service, empty for none.
	keyValueProxyAddress string
}

// endpoint is a stand-in of an engine or a plain service, with its agent.
type endpoint struct {
	resource.Endpoint
	url          string
	standin      *process
	standinArgs  []string
	settingsFile string
	adminAddress string
	agent        *process
}

// entryProcess is an entry with its addresses and its settings file.
type entryProcess struct {
	name         string
	url          string
	adminAddress string
	peerAddress  string
	settingsFile string
	process      *process
}

// deployment is a running system of separate processes.
type deployment struct {
	t               *testing.T
	dir             string
	plan            plan
	keyValueAddress string
	// keyValueProxy is the proxy between the first entry and the key-value service if the plan has one.
	keyValueProxy   *proxy
	hostsAddress    string
	weightsAddress  string
	keyValueProcess *process
	// weightsProcess is the process of the weight store.
	weightsProcess *process
	endpoints      []*endpoint
	entries        []*entryProcess
}

var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// deploy starts all processes in the order of docs/OPERATIONS.md and waits until the entries serve.
func deploy(t *testing.T, p plan) (d *deployment) {
	t.Helper()
	p.batchSize = max(p.batchSize, 8)
	if p.tokenInterval == 0 {
		p.tokenInterval = 2 * time.Millisecond
	}
	d = &deployment{t: t, dir: t.TempDir(), plan: p, keyValueAddress: freeAddress(t), hostsAddress: freeAddress(t), weightsAddress: freeAddress(t)}
	d.startPlatform()
	d.applyResources()
	for i := range p.entries {
		d.addEntry(i)
	}
	for _, e := range d.endpoints {
		e.agent = d.startAgent(e, "agent-"+string(e.Name))
	}
	for _, g := range d.entries {
		g.process = d.startEntry(g)
	}
	d.waitUntilReady()
	return d
}

func (d *deployment) startPlatform() {
	d.startKeyValue()
	if d.plan.keyValueProxyAddress != "" {
		d.keyValueProxy = newProxy(d.t, d.plan.keyValueProxyAddress, d.keyValueAddress)
	}
	d.startWeights()
	for i, checks := range d.plan.enginesCheckFencing {
		e := d.addEndpoint(fmt.Sprintf("engine-%d", i+1))
		e.Kind, e.BaseModel, e.ChecksFencing, e.Slots = resource.Engine, "base", checks, engineSlots
		e.standinArgs = []string{"engine", "--listen", strings.TrimPrefix(e.url, "http://"), "--weights", "http://" + d.weightsAddress,
			"--slots", fmt.Sprint(engineSlots), "--batch-size", fmt.Sprint(d.plan.batchSize), "--token-interval", d.plan.tokenInterval.String()}
		if checks {
			e.standinArgs = append(e.standinArgs, "--checks-fencing")
		}
	}
	for i := range d.plan.services {
		e := d.addEndpoint(fmt.Sprintf("custody-%d", i+1))
		e.Kind, e.Service = resource.Service, "custody"
		e.standinArgs = []string{"service", "--listen", strings.TrimPrefix(e.url, "http://")}
	}
	hosts := []string{"hosts", "--listen", d.hostsAddress, "--lag", "300ms"}
	for _, e := range d.endpoints {
		e.standin = startProcess(d.t, string(e.Name), "standin", e.standinArgs...)
		hosts = append(hosts, "--host", string(e.Host))
	}
	startProcess(d.t, "hosts", "standin", hosts...)
	d.waitForStandins()
}

// startKeyValue starts the key-value service with the data that its previous process saved.
func (d *deployment) startKeyValue() {
	d.keyValueProcess = startProcess(d.t, "keyvalue", "standin", "keyvalue", "--listen", d.keyValueAddress, "--data", filepath.Join(d.dir, "keyvalue.json"))
}

func (d *deployment) startWeights() {
	d.weightsProcess = startProcess(d.t, "weights", "standin", "weights", "--listen", d.weightsAddress, "--rate", "100", "--load-time", "20ms")
}

func (d *deployment) addEndpoint(name string) (e *endpoint) {
	e = &endpoint{url: "http://" + freeAddress(d.t)}
	e.Endpoint = resource.Endpoint{Name: ident.Endpoint(name), Host: ident.Host("host-" + name), Zone: "zone-a", BatchSize: d.plan.batchSize}
	d.endpoints = append(d.endpoints, e)
	return e
}

func (d *deployment) waitForStandins() {
	urls := []string{"http://" + d.keyValueAddress + "/", "http://" + d.weightsAddress + "/", "http://" + d.hostsAddress + "/"}
	for _, e := range d.endpoints {
		urls = append(urls, e.url+"/journal")
	}
	for _, u := range urls {
		waitUntil(d.t, u+" responds", func() bool {
			_, ok := fetch(u)
			return ok
		})
	}
}

// fetch returns the body of a response of any status; ok is false if there is none.
func fetch(url string) (body string, ok bool) {
	resp, err := client.Get(url)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err == nil
}

// ready reports whether a process passes its readiness check.
func ready(admin string) bool {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// applyResources writes the resources as an operator does.
func (d *deployment) applyResources() {
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
	file := d.writeFile("resources.toml", text.String())
	d.runOperator(0, "check", file)
	d.runOperator(0, "apply", "-f", file)
}

func (d *deployment) writeFile(name, text string) (file string) {
	file = filepath.Join(d.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// runOperator runs the operator's command line and checks its exit code; -1 allows any.
func (d *deployment) runOperator(code int, args ...string) (out string) {
	d.t.Helper()
	return runProgram(d.t, code, "shallotring", append([]string{"--service", "http://" + d.keyValueAddress}, args...)...)
}

// startAgent starts an agent of the endpoint. Each one gets new addresses, so that a successor can run beside a paused agent.
func (d *deployment) startAgent(e *endpoint, name string) *process {
	d.t.Helper()
	e.adminAddress = freeAddress(d.t)
	e.settingsFile = d.writeFile(name+".toml", fmt.Sprintf(`Host = %q
Zone = "zone-a"
Endpoint = %q
BaseURL = %q
PeerAddress = %q
AdminAddress = %q
KeyValue = ["http://%s"]
HostList = "http://%s/hosts"
`, e.Host, e.Name, e.url, freeAddress(d.t), e.adminAddress, d.keyValueAddress, d.hostsAddress))
	return startProcess(d.t, name, "agent", "--settings", e.settingsFile)
}

func (d *deployment) addEntry(i int) {
	g := &entryProcess{name: fmt.Sprintf("entry-%d", i+1), url: "http://" + freeAddress(d.t), adminAddress: freeAddress(d.t), peerAddress: freeAddress(d.t)}
	keyValue := d.keyValueAddress
	if i == 0 && d.plan.keyValueProxyAddress != "" {
		keyValue = d.plan.keyValueProxyAddress
	}
	peers := "[]"
	if i > 0 {
		peers = fmt.Sprintf("[%q]", d.entries[0].peerAddress)
	}
	g.settingsFile = d.writeFile(g.name+".toml", fmt.Sprintf(`Host = "host-%s"
Zone = "zone-a"
Address = %q
AdminAddress = %q
PeerAddress = %q
KeyValue = ["http://%s"]
Peers = %s
AllowAnonymous = true
BalancerWait = "1s"
`, g.name, strings.TrimPrefix(g.url, "http://"), g.adminAddress, g.peerAddress, keyValue, peers))
	d.entries = append(d.entries, g)
}

func (d *deployment) startEntry(g *entryProcess) *process {
	return startProcess(d.t, g.name, "entry", "--settings", g.settingsFile)
}

// waitUntilReady waits until every process is ready and every entry serves requests of each kind.
func (d *deployment) waitUntilReady() {
	d.t.Helper()
	for _, e := range d.endpoints {
		waitUntil(d.t, string(e.Name)+" has a ready agent", func() bool { return ready(e.adminAddress) })
	}
	for _, g := range d.entries {
		d.waitForEntry(g)
	}
}

// drainOtherEngines drains all engines but one, so that all requests go to that one. Without this, placement may choose another
// engine as long as that one has every adapter loaded and has free slots.
func (d *deployment) drainOtherEngines(only *endpoint) {
	d.t.Helper()
	for _, e := range d.endpoints {
		if e != only && e.Kind == resource.Engine {
			d.runOperator(0, "drain", string(e.Name))
		}
	}
}

func (d *deployment) waitForEntry(g *entryProcess) {
	d.t.Helper()
	waitUntil(d.t, g.name+" is ready", func() bool { return ready(g.adminAddress) })
	if len(d.plan.enginesCheckFencing) > 0 {
		waitUntil(d.t, g.name+" serves models", func() bool {
			return sendCall(g.url, call{model: "adapter-1@v1", prompt: "warm-up", tokens: 2}).complete()
		})
	}
	if d.plan.services > 0 {
		waitUntil(d.t, g.name+" forwards requests to the plain service", func() bool { return getStatus(g.url+"/services/custody/stock") == http.StatusOK })
	}
}

func getStatus(url string) (status int) {
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// sendJSON sends JSON to a stand-in.
func (d *deployment) sendJSON(method, url string, body any) {
	d.t.Helper()
	text, _ := json.Marshal(body)
	req, _ := http.NewRequest(method, url, bytes.NewReader(text))
	resp, err := client.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.t.Fatalf("%s: %s", url, resp.Status)
	}
}

// setKeyValueFault sets the fault of the key-value service; the zero value ends the present fault.
func (d *deployment) setKeyValueFault(f keyvalue.Fault) {
	d.t.Helper()
	d.sendJSON(http.MethodPost, "http://"+d.keyValueAddress+"/fault", f)
}

// journal returns the engine's own report of its runs.
func (d *deployment) journal(e *endpoint) (j engine.JournalReport) {
	d.t.Helper()
	body, ok := fetch(e.url + "/journal")
	if !ok || json.Unmarshal([]byte(body), &j) != nil {
		d.t.Fatalf("%s returned no valid journal: %q", e.Name, body)
	}
	return j
}

// keyedRuns returns the runs with an idempotency key that the journals of all plain services list.
func (d *deployment) keyedRuns() (list []service.Run) {
	d.t.Helper()
	for _, e := range d.endpoints {
		if e.Kind != resource.Service {
			continue
		}
		body, ok := fetch(e.url + "/journal")
		var part []service.Run
		if !ok || json.Unmarshal([]byte(body), &part) != nil {
			d.t.Fatalf("%s returned no valid journal: %q", e.Name, body)
		}
		list = append(list, part...)
	}
	return slices.DeleteFunc(list, func(r service.Run) bool { return r.Key == "" })
}

// checkEngines checks the journal of every running engine: no adapter was evicted in use, and no command with a stale fencing
// number was executed.
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
