package processes

import (
	"net/http"
	"syscall"
	"testing"

	"shallotring.dev/standin/hosts"
)

// Guards G6 and G7: an endpoint that is leaving, by command, by signal or by the host list that lags, gets no new work
// once its agent knows, and what runs there is finished.
func TestDrain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(d *deployment, e *endpoint)
		// again says whether the endpoint may be claimed again at once.
		again bool
	}{
		{"command", func(d *deployment, e *endpoint) { d.operate(0, "drain", string(e.Name)) }, false},
		{"signal", func(_ *deployment, e *endpoint) { e.agent.signal(syscall.SIGTERM) }, true},
		{"host list", func(d *deployment, e *endpoint) { d.setHost(hosts.Entry{Host: e.Host, Leaving: true}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			drain(t, c.leave, c.again)
		})
	}
}

func (d *deployment) setHost(e hosts.Entry) {
	d.t.Helper()
	d.send(http.MethodPut, "http://"+d.hosts+"/hosts", e)
}

func drain(t *testing.T, leave func(d *deployment, e *endpoint), again bool) {
	d := deploy(t, plan{entries: 2, engines: []bool{true, true}})
	e := d.endpoints[0]
	// Three batches at once: entries fill one engine's batch before they use another, so less may stay at one engine.
	l := streams(t, 3*d.plan.batch, 100, d.balancer())
	l.more(16)
	leave(d, e)
	until(t, "the agent is leaving", func() bool { return !ready(e.admin) || !e.agent.running() })
	marked := len(d.journal(e).Runs)
	// Tries that were admitted before the mark may still start; what starts after the agent has left may not be there.
	if code := e.agent.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	left := len(d.journal(e).Runs)
	l.more(24)
	if n := len(d.journal(e).Runs); n != left {
		t.Errorf("%d runs at the endpoint after its agent has left", n-left)
	}
	t.Logf("%d runs before the mark, %d more of admitted tries", marked, left-marked)
	e.agent = d.startAgent(e, "agent-again")
	if again {
		until(t, "the next agent serves", func() bool { return ready(e.admin) })
		l.more(24)
		until(t, "the endpoint gets work again", func() bool { return len(d.journal(e).Runs) > left })
	} else {
		until(t, "the next agent answers", func() bool {
			_, ok := fetch("http://" + e.admin + "/readyz")
			return ok
		})
		l.more(24)
		if n := len(d.journal(e).Runs); n != left {
			t.Errorf("%d runs at a leaving endpoint after a restart of its agent", n-left)
		}
	}
	for _, r := range l.stop() {
		if !r.whole() {
			t.Errorf("cut or refused: %s", r)
		}
	}
	d.checkEngines()
}

// Guards against a drain that cannot be shortened: the second signal ends a process whose requests last, with a broken
// stream and an exit code that says so.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 1, engines: []bool{true}})
	for _, c := range []struct {
		name string
		p    *process
		code int
	}{
		{"agent", d.endpoints[0].agent, 1},
		{"entry", d.entries[0].process, 1},
	} {
		result := make(chan reply, 1)
		begun := make(chan struct{})
		go func() {
			result <- complete(d.entries[0].url, call{
				model: "adapter-1@v1", prompt: c.name, tokens: 1_000_000, stream: true, first: func() { close(begun) },
			})
		}()
		<-begun
		c.p.signal(syscall.SIGTERM)
		until(t, c.name+" is draining", func() bool {
			admin := d.entries[0].admin
			if c.name == "agent" {
				admin = d.endpoints[0].admin
			}
			return !ready(admin)
		})
		if !c.p.running() {
			t.Errorf("%s: ended at the first signal with a request in progress", c.name)
		}
		c.p.signal(syscall.SIGTERM)
		if code := c.p.exit(); code != c.code {
			t.Errorf("%s: exit code %d, want %d", c.name, code, c.code)
		}
		if r := <-result; r.whole() || !r.honest() {
			t.Errorf("%s: the cut stream has %d bytes, done %t, failed %q", c.name, len(r.text), r.done, r.failed)
		}
		if c.name == "agent" {
			e := d.endpoints[0]
			e.agent = d.startAgent(e, "agent-next")
			until(t, "the next agent serves", func() bool { return ready(e.admin) })
			d.awaitEntry(d.entries[0])
		}
	}
}
