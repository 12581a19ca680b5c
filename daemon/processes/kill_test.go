package processes

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"shallotring.dev/standin/engine"
)

// Guards G3 against processes that die in the middle of streams: a stream that breaks ends with an explicit error, a
// whole one is the caller's own, and the deployment serves again afterwards.
func TestKilledUnderStreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kill func(d *deployment)
	}{
		{"agent", func(d *deployment) {
			e := d.endpoints[0]
			e.agent.kill()
			e.agent = d.startAgent(e, "agent-next")
			until(d.t, "the successor serves", func() bool { return ready(e.admin) })
		}},
		{"entry", func(d *deployment) {
			g := d.entries[0]
			g.process.kill()
			g.process = d.startEntry(g)
			until(d.t, "the next entry serves", func() bool { return ready(g.admin) })
		}},
		{"zone", func(d *deployment) {
			g, e := d.entries[0], d.endpoints[0]
			g.process.kill()
			e.agent.kill()
			e.standin.kill()
			until(d.t, "the other zone serves", func() bool {
				return complete(d.entries[1].url, call{model: "adapter-1@v1", prompt: "zone lost", tokens: 2}).whole()
			})
			e.standin = start(d.t, "engine-next", "standin", e.command...)
			e.agent, g.process = d.startAgent(e, "agent-next"), d.startEntry(g)
			until(d.t, "the zone is back", func() bool { return ready(e.admin) && ready(g.admin) })
		}},
		{"engine", func(d *deployment) {
			e := d.endpoints[0]
			e.standin.kill()
			e.standin = start(d.t, "engine-next", "standin", e.command...)
			d.drainOthers(e)
			until(d.t, "the next engine runs requests", func() bool {
				_, ok := fetch(e.url + "/journal")
				return ok && len(d.journal(e).Runs) > 0
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, plan{entries: 2, engines: []bool{true, true}})
			l := streams(t, 12, 100, d.balancer())
			l.more(24)
			c.kill(d)
			l.more(48)
			list := l.stop()
			whole := judge(t, list)
			t.Logf("%d of %d streams are whole", whole, len(list))
			if whole < 60 {
				t.Errorf("%d of %d streams are whole", whole, len(list))
			}
			for _, g := range d.entries {
				d.awaitEntry(g)
			}
			d.checkEngines()
		})
	}
}

// orders of many callers, each sent to both entries and repeated until it is settled.
type orders struct {
	mu   sync.Mutex
	seen map[string][]answer
	sent atomic.Int64
}

func (o *orders) send(url, key string) (a answer) {
	a = order(url, key)
	o.sent.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen[key] = append(o.seen[key], a)
	return a
}

// settled reports whether a repeat of the key cannot change anything any more.
func settled(a answer) bool {
	return a.status == 200 || a.status == 409 && strings.Contains(a.body, "outcome_unknown")
}

// settle repeats an order until the answer is final.
func (o *orders) settle(t *testing.T, url, key string) (a answer) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a = o.send(url, key); settled(a) {
			return a
		}
	}
	t.Errorf("%s is not settled: %+v", key, a)
	return a
}

// judge compares what callers were told with the journals of the services.
func (o *orders) judge(t *testing.T, d *deployment) {
	t.Helper()
	count := make(map[string]int)
	requests := make(map[string]string)
	for _, r := range d.orders() {
		count[r.Key]++
		name, _, _ := strings.Cut(r.RequestID, "/")
		requests[name] = r.Key
	}
	completed, unknown, refused := 0, 0, 0
	for key, list := range o.seen {
		if count[key] > 1 {
			t.Errorf("%s ran %d times", key, count[key])
		}
		for _, a := range list {
			switch {
			case a.outcome == "not-run":
				refused++
				if requests[a.request] != "" {
					t.Errorf("%s: request %s ran, but its caller was told not-run: %+v", key, a.request, a)
				}
				if a.status == 503 && a.retryAfter == "" {
					t.Errorf("%s: not-run without Retry-After: %+v", key, a)
				}
			case a.status == 200:
				completed++
				if count[key] != 1 {
					t.Errorf("%s completed and ran %d times", key, count[key])
				}
			default:
				unknown++
			}
		}
	}
	t.Logf("%d keys, %d answers completed, %d not run, %d other, %d runs", len(o.seen), completed, refused, unknown, len(d.orders()))
}

// Guards G4 and G5 against processes that die while keyed orders are in progress and are repeated through both entries:
// each key runs at most once by the services' journals, and whoever is told not-run did not run.
func TestKilledUnderOrders(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kill func(d *deployment)
	}{
		{"entry", func(d *deployment) {
			g := d.entries[0]
			g.process.kill()
			g.process = d.startEntry(g)
		}},
		{"frozen entry", func(d *deployment) {
			g := d.entries[0]
			g.process.signal(syscall.SIGSTOP)
			d.releaseServices()
			// The other entry has every bucket and every outcome before the first one goes on.
			for i := range orderKeys {
				(&orders{seen: make(map[string][]answer)}).settle(d.t, d.entries[1].url, fmt.Sprintf("order-%d", i))
			}
			g.process.signal(syscall.SIGCONT)
		}},
		{"agent", func(d *deployment) {
			e := d.endpoints[0]
			e.agent.kill()
			e.agent = d.startAgent(e, "agent-next")
		}},
		{"entry and agent", func(d *deployment) {
			g, e := d.entries[1], d.endpoints[1]
			g.process.kill()
			e.agent.kill()
			g.process, e.agent = d.startEntry(g), d.startAgent(e, "agent-next")
		}},
	} {
		for _, hold := range []string{"hold-before", "hold-after"} {
			t.Run(c.name+" "+hold, func(t *testing.T) {
				t.Parallel()
				killUnderOrders(t, c.kill, hold)
			})
		}
	}
}

// orderKeys is the number of keys in one test.
const orderKeys = 24

func (d *deployment) releaseServices() {
	d.t.Helper()
	for _, e := range d.endpoints {
		d.send("POST", e.url+"/fault/release", nil)
	}
}

func killUnderOrders(t *testing.T, kill func(d *deployment), hold string) {
	d := deploy(t, plan{entries: 2, services: 2, batch: 64})
	o := &orders{seen: make(map[string][]answer)}
	for _, e := range d.endpoints {
		d.send("POST", e.url+"/fault/"+hold, nil)
	}
	var wg sync.WaitGroup
	for i := range 2 * orderKeys {
		// Two callers send each key, through different entries.
		wg.Go(func() { o.send(d.entries[(i+i/orderKeys)%2].url, fmt.Sprintf("order-%d", i%orderKeys)) })
	}
	until(t, "orders are in progress and repeats are answered", func() bool {
		return o.sent.Load() >= orderKeys/2 && (hold == "hold-before" || len(d.orders()) >= orderKeys/2)
	})
	kill(d)
	d.releaseServices()
	wg.Wait()
	d.awaitReady()
	for i := range orderKeys {
		wg.Go(func() {
			key := fmt.Sprintf("order-%d", i)
			a, b := o.settle(t, d.entries[0].url, key), o.settle(t, d.entries[1].url, key)
			if a.status != b.status || a.body != b.body {
				t.Errorf("%s: the entries disagree: %+v and %+v", key, a, b)
			}
		})
	}
	wg.Wait()
	o.judge(t, d)
}

// Guards G5 for completions with a key: an engine that restarts in the middle of them runs none a second time.
func TestRestartedEngineUnderKeyedCompletions(t *testing.T) {
	t.Parallel()
	const keys = 8
	d := deploy(t, plan{entries: 2, engines: []bool{true, true}})
	prompt := func(i int) string { return fmt.Sprintf("contract %d", i) }
	send := func(i, through int) reply {
		return complete(d.entries[through%2].url, call{
			model: fmt.Sprintf("adapter-%d@v1", i%adapterCount+1), prompt: prompt(i), tokens: 200, stream: i%2 == 0, key: fmt.Sprintf("contract-%d", i),
		})
	}
	var wg sync.WaitGroup
	for i := range 2 * keys {
		wg.Go(func() { send(i%keys, i+i/keys) })
	}
	until(t, "the contracts run", func() bool { return len(d.runs()) >= keys })
	for _, e := range d.endpoints {
		d.send("POST", e.url+"/fault/restart", nil)
	}
	wg.Wait()
	for i := range keys {
		var r reply
		until(t, "the contract is settled", func() bool {
			r = send(i, i)
			return r.status == 200 || strings.Contains(r.failed, "outcome_unknown") || strings.Contains(r.failed, "already_completed")
		})
	}
	count := make(map[string]int)
	for _, r := range d.runs() {
		count[r.PromptDigest]++
	}
	for i := range keys {
		if n := count[engine.PromptDigest(prompt(i))]; n > 1 {
			t.Errorf("%s ran %d times", prompt(i), n)
		}
	}
	d.checkEngines()
}

// Guards the exclusion of section 5.2: an agent that is frozen past its lease and woken after its successor has started
// carries out no command with its old fencing number, at an engine that checks the number and at one that does not.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks fencing %t", checks), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, plan{entries: 2, engines: []bool{checks}, batch: 2})
			e := d.endpoints[0]
			// More callers than places in the batch: the frozen agent has tries to start and adapters to load when it wakes.
			l := streams(t, 8, 60, d.balancer())
			l.more(16)
			first := e.agent
			first.signal(syscall.SIGSTOP)
			e.agent = d.startAgent(e, "successor")
			until(t, "the successor serves", func() bool { return ready(e.admin) })
			l.more(16)
			before := d.journal(e).Runs
			newest := before[len(before)-1].FencingNumber
			first.signal(syscall.SIGCONT)
			l.more(32)
			for _, r := range d.journal(e).Runs[len(before):] {
				if r.FencingNumber < newest {
					t.Errorf("%s ran with fencing number %d after %d", r.RequestID, r.FencingNumber, newest)
				}
			}
			judge(t, l.stop())
			d.checkEngines()
			if !first.running() {
				t.Error("the frozen agent ended instead of waiting for the claim")
			}
			first.stop()
		})
	}
}
