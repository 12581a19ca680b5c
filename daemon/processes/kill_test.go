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

// Guards against streams that are truncated without an error, or mixed up, when a process is killed in the middle of them
// (guarantee G3), and against a deployment that does not recover afterwards.
func TestKillDuringStreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kill func(d *deployment)
	}{
		{"agent", func(d *deployment) {
			e := d.endpoints[0]
			e.agent.kill()
			e.agent = d.startAgent(e, "agent-next")
			waitUntil(d.t, "the successor serves", func() bool { return ready(e.adminAddress) })
		}},
		{"entry", func(d *deployment) {
			g := d.entries[0]
			g.process.kill()
			g.process = d.startEntry(g)
			waitUntil(d.t, "the next entry serves", func() bool { return ready(g.adminAddress) })
		}},
		{"zone", func(d *deployment) {
			g, e := d.entries[0], d.endpoints[0]
			g.process.kill()
			e.agent.kill()
			e.standin.kill()
			waitUntil(d.t, "the other zone serves", func() bool {
				return sendCall(d.entries[1].url, call{model: "adapter-1@v1", prompt: "zone lost", tokens: 2}).complete()
			})
			e.standin = startProcess(d.t, "engine-next", "standin", e.standinArgs...)
			e.agent, g.process = d.startAgent(e, "agent-next"), d.startEntry(g)
			waitUntil(d.t, "the zone is ready again", func() bool { return ready(e.adminAddress) && ready(g.adminAddress) })
		}},
		{"engine", func(d *deployment) {
			e := d.endpoints[0]
			e.standin.kill()
			e.standin = startProcess(d.t, "engine-next", "standin", e.standinArgs...)
			d.drainOtherEngines(e)
			waitUntil(d.t, "the next engine runs requests", func() bool {
				_, ok := fetch(e.url + "/journal")
				return ok && len(d.journal(e).Runs) > 0
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{true, true}})
			l := startStreams(t, 12, 100, d.balancer())
			l.waitForMore(24)
			c.kill(d)
			l.waitForMore(48)
			list := l.stop()
			whole := checkStreams(t, list)
			t.Logf("%d of %d streams are complete", whole, len(list))
			if whole < 60 {
				t.Errorf("%d of %d streams are complete, want at least 60", whole, len(list))
			}
			for _, g := range d.entries {
				d.waitForEntry(g)
			}
			d.checkEngines()
		})
	}
}

// orderLog sends orders and records all responses by idempotency key.
type orderLog struct {
	mu        sync.Mutex
	responses map[string][]orderResponse
	sent      atomic.Int64
}

func (o *orderLog) send(url, key string) (a orderResponse) {
	a = sendOrder(url, key)
	o.sent.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.responses[key] = append(o.responses[key], a)
	return a
}

// isFinal reports whether retries with the same key cannot change the outcome any more.
func isFinal(a orderResponse) bool {
	return a.status == 200 || a.status == 409 && strings.Contains(a.body, "outcome_unknown")
}

// sendUntilFinal retries an order until the response is final.
func (o *orderLog) sendUntilFinal(t *testing.T, url, key string) (a orderResponse) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a = o.send(url, key); isFinal(a) {
			return a
		}
	}
	t.Errorf("%s has no final outcome: %+v", key, a)
	return a
}

// check compares the responses that callers received with the journals of the services.
func (o *orderLog) check(t *testing.T, d *deployment) {
	t.Helper()
	count := make(map[string]int)
	requests := make(map[string]string)
	for _, r := range d.keyedRuns() {
		count[r.Key]++
		name, _, _ := strings.Cut(r.RequestID, "/")
		requests[name] = r.Key
	}
	completed, unknown, refused := 0, 0, 0
	for key, list := range o.responses {
		if count[key] > 1 {
			t.Errorf("%s ran %d times", key, count[key])
		}
		for _, a := range list {
			switch {
			case a.outcome == "not-run":
				refused++
				if requests[a.request] != "" {
					t.Errorf("%s: request %s ran, but was reported as not-run: %+v", key, a.request, a)
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
	t.Logf("%d keys, %d responses completed, %d not run, %d other, %d runs", len(o.responses), completed, refused, unknown, len(d.keyedRuns()))
}

// Guards against a key that runs twice, or runs although its caller was told not-run, when processes are killed or frozen while
// orders with keys are in progress and are retried through both entries (guarantees G4 and G5).
func TestKillDuringOrders(t *testing.T) {
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
			// The other entry owns every ledger bucket and knows every outcome before the frozen entry resumes.
			for i := range orderKeys {
				(&orderLog{responses: make(map[string][]orderResponse)}).sendUntilFinal(d.t, d.entries[1].url, fmt.Sprintf("order-%d", i))
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
				runKillDuringOrders(t, c.kill, hold)
			})
		}
	}
}

// orderKeys is the number of idempotency keys in one test.
const orderKeys = 24

func (d *deployment) releaseServices() {
	d.t.Helper()
	for _, e := range d.endpoints {
		d.sendJSON("POST", e.url+"/fault/release", nil)
	}
}

func runKillDuringOrders(t *testing.T, kill func(d *deployment), hold string) {
	d := deploy(t, plan{entries: 2, services: 2, batchSize: 64})
	log := &orderLog{responses: make(map[string][]orderResponse)}
	for _, e := range d.endpoints {
		d.sendJSON("POST", e.url+"/fault/"+hold, nil)
	}
	var wg sync.WaitGroup
	for i := range 2 * orderKeys {
		// Two callers send each key, through different entries.
		wg.Go(func() { log.send(d.entries[(i+i/orderKeys)%2].url, fmt.Sprintf("order-%d", i%orderKeys)) })
	}
	waitUntil(t, "orders are in progress and retries have responses", func() bool {
		return log.sent.Load() >= orderKeys/2 && (hold == "hold-before" || len(d.keyedRuns()) >= orderKeys/2)
	})
	kill(d)
	d.releaseServices()
	wg.Wait()
	d.waitUntilReady()
	for i := range orderKeys {
		wg.Go(func() {
			key := fmt.Sprintf("order-%d", i)
			a, b := log.sendUntilFinal(t, d.entries[0].url, key), log.sendUntilFinal(t, d.entries[1].url, key)
			if a.status != b.status || a.body != b.body {
				t.Errorf("%s: the entries disagree: %+v and %+v", key, a, b)
			}
		})
	}
	wg.Wait()
	log.check(t, d)
}

// Guards against a completion with a key that runs a second time after its engine restarted in the middle of it (guarantee G5).
func TestEngineRestartDuringKeyedCompletions(t *testing.T) {
	t.Parallel()
	const keys = 8
	d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{true, true}})
	prompt := func(i int) string { return fmt.Sprintf("contract %d", i) }
	send := func(i, entry int) completion {
		return sendCall(d.entries[entry%2].url, call{
			model: fmt.Sprintf("adapter-%d@v1", i%adapterCount+1), prompt: prompt(i), tokens: 200, stream: i%2 == 0, key: fmt.Sprintf("contract-%d", i),
		})
	}
	var wg sync.WaitGroup
	for i := range 2 * keys {
		wg.Go(func() { send(i%keys, i+i/keys) })
	}
	waitUntil(t, "the contracts run", func() bool { return len(d.engineRuns()) >= keys })
	for _, e := range d.endpoints {
		d.sendJSON("POST", e.url+"/fault/restart", nil)
	}
	wg.Wait()
	for i := range keys {
		var r completion
		waitUntil(t, "the contract has a final outcome", func() bool {
			r = send(i, i)
			return r.status == 200 || strings.Contains(r.failure, "outcome_unknown") || strings.Contains(r.failure, "already_completed")
		})
	}
	count := make(map[string]int)
	for _, r := range d.engineRuns() {
		count[r.PromptDigest]++
	}
	for i := range keys {
		if n := count[engine.PromptDigest(prompt(i))]; n > 1 {
			t.Errorf("%s ran %d times", prompt(i), n)
		}
	}
	d.checkEngines()
}

// Guards against two agents that command one engine (section 5.2 of the design). An agent that is frozen past its lease and resumes
// after its successor has started executes no command with its stale fencing number, whether or not the engine checks the number.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks fencing %t", checks), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{checks}, batchSize: 2})
			e := d.endpoints[0]
			// With more callers than batch slots, the frozen agent has tries to start and adapters to load when it resumes.
			l := startStreams(t, 8, 60, d.balancer())
			l.waitForMore(16)
			first := e.agent
			first.signal(syscall.SIGSTOP)
			e.agent = d.startAgent(e, "successor")
			waitUntil(t, "the successor serves", func() bool { return ready(e.adminAddress) })
			l.waitForMore(16)
			before := d.journal(e).Runs
			newest := before[len(before)-1].FencingNumber
			first.signal(syscall.SIGCONT)
			l.waitForMore(32)
			for _, r := range d.journal(e).Runs[len(before):] {
				if r.FencingNumber < newest {
					t.Errorf("%s ran with fencing number %d after %d", r.RequestID, r.FencingNumber, newest)
				}
			}
			checkStreams(t, l.stop())
			d.checkEngines()
			if !first.running() {
				t.Error("the frozen agent exited instead of waiting for the claim")
			}
			first.stop()
		})
	}
}
