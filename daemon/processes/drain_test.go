package processes

import (
	"net/http"
	"syscall"
	"testing"

	"shallotring.dev/standin/hosts"
)

// Guards against new requests at an endpoint whose agent knows that the endpoint is leaving (guarantee G6), and against requests in
// progress there that are interrupted (guarantee G7). The endpoint leaves by the drain command, by SIGTERM or by a host list that lags.
func TestDrain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(d *deployment, e *endpoint)
		// reclaimable states whether the next agent may claim the endpoint at once.
		reclaimable bool
	}{
		{"command", func(d *deployment, e *endpoint) { d.runOperator(0, "drain", string(e.Name)) }, false},
		{"signal", func(_ *deployment, e *endpoint) { e.agent.signal(syscall.SIGTERM) }, true},
		{"host list", func(d *deployment, e *endpoint) { d.setHost(hosts.HostState{Host: e.Host, Leaving: true}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runDrain(t, c.leave, c.reclaimable)
		})
	}
}

func (d *deployment) setHost(e hosts.HostState) {
	d.t.Helper()
	d.sendJSON(http.MethodPut, "http://"+d.hostsAddress+"/hosts", e)
}

func runDrain(t *testing.T, leave func(d *deployment, e *endpoint), reclaimable bool) {
	d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{true, true}})
	e := d.endpoints[0]
	// Entries fill one engine's batch before they use another, so fewer streams than three batches may all go to one engine.
	l := startStreams(t, 3*d.plan.batchSize, 100, d.balancer())
	l.waitForMore(16)
	leave(d, e)
	waitUntil(t, "the agent is leaving", func() bool { return !ready(e.adminAddress) || !e.agent.running() })
	runsAtDrain := len(d.journal(e).Runs)
	// Tries that were admitted before the agent knew may still start; after the exit of the agent none may start.
	if code := e.agent.waitForExit(); code != 0 {
		t.Errorf("agent has exit code %d after its drain", code)
	}
	runsAtExit := len(d.journal(e).Runs)
	l.waitForMore(24)
	if n := len(d.journal(e).Runs); n != runsAtExit {
		t.Errorf("%d runs at the endpoint after the exit of its agent", n-runsAtExit)
	}
	t.Logf("%d runs before the drain, %d more of admitted tries", runsAtDrain, runsAtExit-runsAtDrain)
	e.agent = d.startAgent(e, "agent-again")
	if reclaimable {
		waitUntil(t, "the next agent serves", func() bool { return ready(e.adminAddress) })
		l.waitForMore(24)
		waitUntil(t, "the endpoint gets work again", func() bool { return len(d.journal(e).Runs) > runsAtExit })
	} else {
		waitUntil(t, "the next agent responds", func() bool {
			_, ok := fetch("http://" + e.adminAddress + "/readyz")
			return ok
		})
		l.waitForMore(24)
		if n := len(d.journal(e).Runs); n != runsAtExit {
			t.Errorf("%d runs at a leaving endpoint after a restart of its agent", n-runsAtExit)
		}
	}
	for _, r := range l.stop() {
		if !r.complete() {
			t.Errorf("incomplete or refused stream: %s", r)
		}
	}
	d.checkEngines()
}

// Guards against a drain that cannot be shortened. A second SIGTERM ends a process that still has requests in progress; their
// streams end with an error, and the exit code is 1.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 1, enginesCheckFencing: []bool{true}})
	for _, c := range []struct {
		name string
		p    *process
		code int
	}{
		{"agent", d.endpoints[0].agent, 1},
		{"entry", d.entries[0].process, 1},
	} {
		result := make(chan completion, 1)
		started := make(chan struct{})
		go func() {
			result <- sendCall(d.entries[0].url, call{
				model: "adapter-1@v1", prompt: c.name, tokens: 1_000_000, stream: true, onFirstChunk: func() { close(started) },
			})
		}()
		<-started
		c.p.signal(syscall.SIGTERM)
		waitUntil(t, c.name+" is draining", func() bool {
			admin := d.entries[0].adminAddress
			if c.name == "agent" {
				admin = d.endpoints[0].adminAddress
			}
			return !ready(admin)
		})
		if !c.p.running() {
			t.Errorf("%s: exited at the first signal with a request in progress", c.name)
		}
		c.p.signal(syscall.SIGTERM)
		if code := c.p.waitForExit(); code != c.code {
			t.Errorf("%s: exit code %d, want %d", c.name, code, c.code)
		}
		if r := <-result; r.complete() || !r.completeOrErr() {
			t.Errorf("%s: the interrupted stream is complete or has no explicit error: %d bytes, done %t, failed %q", c.name, len(r.text), r.receivedDone, r.failure)
		}
		if c.name == "agent" {
			e := d.endpoints[0]
			e.agent = d.startAgent(e, "agent-next")
			waitUntil(t, "the next agent serves", func() bool { return ready(e.adminAddress) })
			d.waitForEntry(d.entries[0])
		}
	}
}
