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

// Guards against a deployment with one entry that refuses everything while the key-value service is lost, and against
// non-repeatable orders that run while they cannot be recorded. The engine that ignores fencing numbers stops meanwhile.
func TestKeyValueOutage(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		begin, end func(d *deployment)
	}{
		{"refused", func(d *deployment) { d.disturb(keyvalue.Fault{Outage: "refused"}) }, func(d *deployment) { d.disturb(keyvalue.Fault{}) }},
		{"silent", func(d *deployment) { d.disturb(keyvalue.Fault{Outage: "silent"}) }, func(d *deployment) { d.disturb(keyvalue.Fault{}) }},
		{"frozen", func(d *deployment) { d.store.signal(syscall.SIGSTOP) }, func(d *deployment) { d.store.signal(syscall.SIGCONT) }},
		{"stopped", func(d *deployment) { d.store.stop() }, func(d *deployment) { d.startStore() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			outage(t, c.begin, c.end)
		})
	}
}

func outage(t *testing.T, begin, end func(d *deployment)) {
	d := deploy(t, plan{entries: 1, engines: []bool{true, true, false}, services: 1})
	g, ignores := d.entries[0], d.endpoints[2]
	if a := order(g.url, "before"); a.status != 200 {
		t.Fatalf("order before the outage: %+v", a)
	}
	l := streams(t, 6, 60, func() string { return g.url })
	l.more(6)
	begin(d)
	// Past the expiry of all leases every condition that makes a process stop has been met.
	for _, e := range d.endpoints {
		until(t, string(e.Name)+" has not renewed its claim for longer than its lease", func() bool {
			return metric(e.admin, "shallotring_agent_claim_age_seconds") > leaseSeconds
		})
	}
	runs := len(d.journal(ignores).Runs)
	l.more(24)
	if n := len(d.journal(ignores).Runs); n != runs {
		t.Errorf("%d runs at an engine that ignores fencing numbers after the lease", n-runs)
	}
	during := order(g.url, "during")
	if during.status != 503 || during.outcome != "not-run" || during.retryAfter == "" {
		t.Errorf("order in the outage: %+v", during)
	}
	if n := get(g.url + "/services/custody/stock"); n != 200 {
		t.Errorf("repeatable request to a plain service in the outage: status %d", n)
	}
	if !ready(g.admin) {
		t.Error("the entry fails its readiness check in the outage")
	}
	for _, r := range l.stop() {
		if !r.whole() {
			t.Errorf("in the outage: %s", r)
		}
	}
	end(d)
	until(t, "orders run again", func() bool { return order(g.url, "after").status == 200 })
	if a := order(g.url, "before"); a.status != 200 || a.outcome != "completed" {
		t.Errorf("repeat of the order from before the outage: %+v", a)
	}
	until(t, "changes come into force again", func() bool { return d.applies() })
	count := make(map[string]int)
	for _, r := range d.orders() {
		count[r.Key]++
	}
	if count["before"] != 1 || count["during"] != 0 || count["after"] != 1 {
		t.Errorf("runs by key: %v", count)
	}
	d.checkEngines()
}

// leaseSeconds is the lease of claims and processes.
const leaseSeconds = 10

// metric returns the value of a metric without labels.
func metric(admin, name string) (value float64) {
	body, _ := fetch("http://" + admin + "/metrics")
	for line := range strings.Lines(body) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			value, _ = strconv.ParseFloat(text, 64)
		}
	}
	return value
}

// applies writes a change and reports whether each process has it in force.
func (d *deployment) applies() bool {
	file := d.write("caller.toml", "[[Caller]]\nName = \"caller-1\"\nTokenSHA256 = \""+strings.Repeat("0", 64)+"\"\n")
	out := d.operate(-1, "apply", "-f", file, "--wait", "10s")
	return !strings.Contains(out, "shallotring:")
}

// proxy passes connections on to an address until it is cut.
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
			go p.pass(c, target)
		}
	}()
	return p
}

func (p *proxy) pass(c net.Conn, target string) {
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

// Guards against an entry that is cut off from the service and goes on with a configuration that changes meanwhile,
// although its agents tell it that the service answers.
func TestCutOffEntryRefuses(t *testing.T) {
	t.Parallel()
	way := address(t)
	d := deploy(t, plan{entries: 1, engines: []bool{true}, keyValue: way})
	d.cutOff(t)
}

func (d *deployment) cutOff(t *testing.T) {
	g := d.entries[0]
	d.way.setCut(true)
	var r reply
	until(t, "the entry refuses", func() bool {
		r = complete(g.url, call{model: "adapter-1@v1", prompt: "cut off", tokens: 2})
		return !r.whole()
	})
	if r.status != 503 || !r.notRun() || r.header.Get("Retry-After") == "" || !strings.Contains(r.failed, "isolated") {
		t.Errorf("refusal: %s", r)
	}
	if ready(g.admin) {
		t.Error("a cut-off entry passes its readiness check")
	}
	runs := len(d.runs())
	for range 20 {
		if r = complete(g.url, call{model: "adapter-1@v1", prompt: "still cut off", tokens: 2}); r.whole() {
			t.Errorf("served while cut off: %s", r)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if n := len(d.runs()); n != runs {
		t.Errorf("%d refused requests ran", n-runs)
	}
	d.way.setCut(false)
	until(t, "the entry serves again", func() bool { return complete(g.url, call{model: "adapter-1@v1", prompt: "back", tokens: 2}).whole() })
}

// Guards against a lost weight store that stops requests for loaded adapters, or that leaves requests for others waiting
// in place of refusing them.
func TestWeightStoreLost(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 1, engines: []bool{true}})
	loaded, absent := call{model: "adapter-1@v1", prompt: "loaded", tokens: 4}, call{model: "adapter-2@v1", prompt: "absent", tokens: 4}
	url := d.entries[0].url
	d.weightStore.kill()
	if r := complete(url, loaded); !r.whole() {
		t.Errorf("adapter that is loaded: %s", r)
	}
	if r := complete(url, absent); !r.notRun() || r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("adapter that cannot be loaded: %s", r)
	}
	d.startWeights()
	until(t, "the adapter is loaded", func() bool { return complete(url, absent).whole() })
	if n := len(d.runs()); n != 3 {
		t.Errorf("%d runs: a refused request ran", n)
	}
}

// Guards G4 and G5 against a service that is slow and loses the answers to writes that took effect.
func TestLostAndLateAnswers(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, services: 2, batch: 64})
	o := &orders{seen: make(map[string][]answer)}
	const rounds, keys = 5, 12
	for round := range rounds {
		d.disturb(keyvalue.Fault{LatencyMilli: int64(round%2) * 150, LoseAnswers: 6})
		var wg sync.WaitGroup
		for i := range 2 * keys {
			wg.Go(func() { o.send(d.entries[(i+i/keys)%2].url, fmt.Sprintf("order-%d-%d", round, i%keys)) })
		}
		wg.Wait()
	}
	d.disturb(keyvalue.Fault{})
	var wg sync.WaitGroup
	for i := range rounds * keys {
		wg.Go(func() {
			a := o.settle(t, d.entries[i%2].url, fmt.Sprintf("order-%d-%d", i/keys, i%keys))
			if a.status != 200 {
				t.Errorf("no process died, but the outcome is unknown: %+v", a)
			}
		})
	}
	wg.Wait()
	o.judge(t, d)
}
