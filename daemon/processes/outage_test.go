package processes

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shallotring.dev/standin/keyvalue"
)

// Guards against an entry that refuses repeatable requests while the key-value service is unavailable, and against non-repeatable
// orders that run while they cannot be recorded. The engine that ignores fencing numbers gets no requests once its agent's lease has
// expired.
func TestKeyValueOutage(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		begin, end func(d *deployment)
	}{
		{"refused", func(d *deployment) { d.setKeyValueFault(keyvalue.Fault{Outage: "refused"}) }, func(d *deployment) { d.setKeyValueFault(keyvalue.Fault{}) }},
		{"silent", func(d *deployment) { d.setKeyValueFault(keyvalue.Fault{Outage: "silent"}) }, func(d *deployment) { d.setKeyValueFault(keyvalue.Fault{}) }},
		{"frozen", func(d *deployment) { d.keyValueProcess.signal(syscall.SIGSTOP) }, func(d *deployment) { d.keyValueProcess.signal(syscall.SIGCONT) }},
		{"stopped", func(d *deployment) { d.keyValueProcess.stop() }, func(d *deployment) { d.startKeyValue() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runOutage(t, c.begin, c.end)
		})
	}
}

func runOutage(t *testing.T, begin, end func(d *deployment)) {
	d := deploy(t, plan{entries: 1, enginesCheckFencing: []bool{true, true, false}, services: 1})
	g, ignores := d.entries[0], d.endpoints[2]
	if a := sendOrder(g.url, "before"); a.status != 200 {
		t.Fatalf("order before the outage: %+v", a)
	}
	l := startStreams(t, 6, 60, func() string { return g.url })
	l.waitForMore(6)
	begin(d)
	// After the expiry of all leases, every condition that makes a process stop serving is met.
	for _, e := range d.endpoints {
		waitUntil(t, string(e.Name)+" has not renewed its claim for longer than its lease", func() bool {
			return metricValue(e.adminAddress, "shallotring_agent_claim_age_seconds") > leaseSeconds
		})
	}
	runs := len(d.journal(ignores).Runs)
	l.waitForMore(24)
	if n := len(d.journal(ignores).Runs); n != runs {
		t.Errorf("%d runs at an engine that ignores fencing numbers after its agent's lease expired", n-runs)
	}
	during := sendOrder(g.url, "during")
	if during.status != 503 || during.outcome != "not-run" || during.retryAfter == "" {
		t.Errorf("order during the outage: %+v", during)
	}
	if n := getStatus(g.url + "/services/custody/stock"); n != 200 {
		t.Errorf("repeatable request to a plain service during the outage: status %d", n)
	}
	if !ready(g.adminAddress) {
		t.Error("the entry fails its readiness check during the outage")
	}
	for _, r := range l.stop() {
		if !r.complete() {
			t.Errorf("incomplete stream during the outage: %s", r)
		}
	}
	end(d)
	waitUntil(t, "orders run again", func() bool { return sendOrder(g.url, "after").status == 200 })
	if a := sendOrder(g.url, "before"); a.status != 200 || a.outcome != "completed" {
		t.Errorf("retry of the order from before the outage: %+v", a)
	}
	waitUntil(t, "changes come into force again", func() bool { return d.appliesChange() })
	count := make(map[string]int)
	for _, r := range d.keyedRuns() {
		count[r.Key]++
	}
	if count["before"] != 1 || count["during"] != 0 || count["after"] != 1 {
		t.Errorf("runs by key: %v", count)
	}
	d.checkEngines()
}

// leaseSeconds is the duration of the leases of claims and process records.
const leaseSeconds = 10

// metricValue returns the value of a metric without labels, 0 if the process does not export it.
func metricValue(admin, name string) (value float64) {
	body, _ := fetch("http://" + admin + "/metrics")
	for line := range strings.Lines(body) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			value, _ = strconv.ParseFloat(text, 64)
		}
	}
	return value
}

// appliesChange writes a change and reports whether every process has it in force within 10 s.
func (d *deployment) appliesChange() bool {
	file := d.writeFile("caller.toml", "[[Caller]]\nName = \"caller-1\"\nTokenSHA256 = \""+strings.Repeat("0", 64)+"\"\n")
	out := d.runOperator(-1, "apply", "-f", file, "--wait", "10s")
	return !strings.Contains(out, "shallotring:")
}

// proxy forwards connections to an address until it is cut.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	open     []net.Conn
}

func newProxy(t *testing.T, listen, target string) (p *proxy) {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	p = &proxy{listener: l}
	t.Cleanup(func() {
		l.Close()
		p.setCut(true)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c, target)
		}
	}()
	return p
}

func (p *proxy) relay(c net.Conn, target string) {
	defer c.Close()
	s, err := net.Dial("tcp", target)
	if err != nil || !p.add(c, s) {
		return
	}
	defer s.Close()
	go func() {
		_, _ = io.Copy(s, c)
		s.Close()
	}()
	_, _ = io.Copy(c, s)
}

func (p *proxy) add(list ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		return false
	}
	p.open = append(p.open, list...)
	return true
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	for _, c := range p.open {
		c.Close()
	}
	p.open = nil
}

// Guards against an entry that is cut off from the key-value service and serves requests by a configuration that may have changed
// meanwhile, although its agents report that the service responds.
func TestCutOffEntryRefuses(t *testing.T) {
	t.Parallel()
	proxyAddress := freeAddress(t)
	d := deploy(t, plan{entries: 1, enginesCheckFencing: []bool{true}, keyValueProxyAddress: proxyAddress})
	d.checkCutOffEntry(t)
}

func (d *deployment) checkCutOffEntry(t *testing.T) {
	g := d.entries[0]
	d.keyValueProxy.setCut(true)
	var r completion
	waitUntil(t, "the entry refuses", func() bool {
		r = sendCall(g.url, call{model: "adapter-1@v1", prompt: "cut off", tokens: 2})
		return !r.complete()
	})
	if r.status != 503 || !r.notRun() || r.header.Get("Retry-After") == "" || !strings.Contains(r.failure, "isolated") {
		t.Errorf("unexpected refusal of a cut-off entry: %s", r)
	}
	if ready(g.adminAddress) {
		t.Error("a cut-off entry passes its readiness check")
	}
	runs := len(d.engineRuns())
	for range 20 {
		if r = sendCall(g.url, call{model: "adapter-1@v1", prompt: "still cut off", tokens: 2}); r.complete() {
			t.Errorf("served while cut off: %s", r)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if n := len(d.engineRuns()); n != runs {
		t.Errorf("%d refused requests ran", n-runs)
	}
	d.keyValueProxy.setCut(false)
	waitUntil(t, "the entry serves again", func() bool { return sendCall(g.url, call{model: "adapter-1@v1", prompt: "back", tokens: 2}).complete() })
}

// Guards against an unavailable weight store that stops requests for loaded adapters, or that leaves requests for other adapters
// waiting instead of refused.
func TestWeightStoreUnavailable(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 1, enginesCheckFencing: []bool{true}})
	loaded, absent := call{model: "adapter-1@v1", prompt: "loaded", tokens: 4}, call{model: "adapter-2@v1", prompt: "absent", tokens: 4}
	url := d.entries[0].url
	d.weightsProcess.kill()
	if r := sendCall(url, loaded); !r.complete() {
		t.Errorf("adapter that is loaded: %s", r)
	}
	if r := sendCall(url, absent); !r.notRun() || r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("adapter that cannot be loaded: %s", r)
	}
	d.startWeights()
	waitUntil(t, "the adapter is loaded", func() bool { return sendCall(url, absent).complete() })
	if n := len(d.engineRuns()); n != 3 {
		t.Errorf("%d runs: a refused request ran", n)
	}
}

// Guards against orders that run twice, or run after a not-run response, when the key-value service is slow and loses the responses
// to writes that took effect (guarantees G4 and G5).
func TestLostAndLateResponses(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, services: 2, batchSize: 64})
	o := &orderLog{responses: make(map[string][]orderResponse)}
	const rounds, keys = 5, 12
	for round := range rounds {
		d.setKeyValueFault(keyvalue.Fault{LatencyMilli: int64(round%2) * 150, LoseAnswers: 6})
		var wg sync.WaitGroup
		for i := range 2 * keys {
			wg.Go(func() { o.send(d.entries[(i+i/keys)%2].url, fmt.Sprintf("order-%d-%d", round, i%keys)) })
		}
		wg.Wait()
	}
	d.setKeyValueFault(keyvalue.Fault{})
	var wg sync.WaitGroup
	for i := range rounds * keys {
		wg.Go(func() {
			a := o.sendUntilFinal(t, d.entries[i%2].url, fmt.Sprintf("order-%d-%d", i/keys, i%keys))
			if a.status != 200 {
				t.Errorf("the outcome is not completed although no process exited: %+v", a)
			}
		})
	}
	wg.Wait()
	o.check(t, d)
}
