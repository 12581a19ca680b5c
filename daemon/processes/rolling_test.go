package processes

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotring.dev/standin/engine"
)

// judge checks what callers saw of their streams: each is whole or ends with an explicit error.
func judge(t *testing.T, list []reply) (whole int) {
	t.Helper()
	if len(list) == 0 {
		t.Error("no stream ran")
	}
	for _, r := range list {
		if !r.honest() {
			t.Errorf("incomplete stream ends as if it were complete: %s", r)
		}
		if r.whole() {
			whole++
		}
	}
	return whole
}

// runs returns the runs of the whole deployment by the name of the model and the prompt.
func (d *deployment) runs() (list []engine.Run) {
	for _, e := range d.endpoints {
		if e.Kind == "Engine" {
			list = append(list, d.journal(e).Runs...)
		}
	}
	return list
}

// continuousOrders sends one order after another, each repeated while it is not run, until end is called.
func (d *deployment) continuousOrders(callers int) (o *orders, end func()) {
	o = &orders{seen: make(map[string][]answer)}
	pick := d.balancer()
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				key := fmt.Sprintf("crew-%d-order-%d", i, n)
				for a := o.send(pick(), key); !stop.Load() && a.status != 200 && a.outcome == "not-run"; a = o.send(pick(), key) {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	end = func() {
		stop.Store(true)
		wg.Wait()
	}
	d.t.Cleanup(end)
	return o, end
}

// long begins a stream that lasts longer than the balancer wait of a stopping entry.
func (d *deployment) long(url string) (result chan reply) {
	result, begun := make(chan reply, 1), make(chan struct{})
	go func() {
		result <- complete(url, call{model: "adapter-1@v1", prompt: "long report", tokens: 1200, stream: true, first: func() { close(begun) }})
	}()
	<-begun
	return result
}

// Guards G7: a planned stop that cuts, doubles or loses a stream or an order while every entry and every agent is restarted in turn.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, engines: []bool{true, true}, services: 2})
	before := len(d.runs())
	l := streams(t, 8, 60, d.balancer())
	o, endOrders := d.continuousOrders(4)
	l.more(16)
	longs := 0
	for _, g := range d.entries {
		long := d.long(g.url)
		longs++
		g.process.stop()
		if r := <-long; !r.whole() {
			t.Errorf("%s cut a stream that was in progress: %s", g.name, r)
		}
		l.more(8)
		g.process = d.startEntry(g)
		until(t, g.name+" is ready again", func() bool { return ready(g.admin) })
		l.more(8)
	}
	for _, e := range d.endpoints {
		e.agent.stop()
		l.more(8)
		e.agent = d.startAgent(e, "agent-"+string(e.Name)+"-next")
		until(t, string(e.Name)+" has a ready agent again", func() bool { return ready(e.admin) })
		l.more(8)
	}
	endOrders()
	o.judge(t, d)
	for key, list := range o.seen {
		for _, a := range list {
			if a.status != 200 && a.outcome != "not-run" {
				t.Errorf("%s is neither completed nor refused: %+v", key, a)
			}
		}
	}
	list := l.stop()
	for _, r := range list {
		if !r.whole() {
			t.Errorf("cut or refused: %s", r)
		}
	}
	if n := len(d.runs()) - before - longs; n != len(list) {
		t.Errorf("%d streams ran %d times at the engines", len(list), n)
	}
	t.Logf("%d streams", len(list))
	d.checkEngines()
}
