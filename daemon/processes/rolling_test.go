package processes

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotring.dev/standin/engine"
)

// checkStreams checks that each stream is complete or ends with an explicit error, and returns the number of complete ones.
func checkStreams(t *testing.T, list []completion) (whole int) {
	t.Helper()
	if len(list) == 0 {
		t.Error("no stream ran")
	}
	for _, r := range list {
		if !r.completeOrErr() {
			t.Errorf("incomplete stream ends as if it were complete: %s", r)
		}
		if r.complete() {
			whole++
		}
	}
	return whole
}

// engineRuns returns the runs of all engines.
func (d *deployment) engineRuns() (list []engine.Run) {
	for _, e := range d.endpoints {
		if e.Kind == "Engine" {
			list = append(list, d.journal(e).Runs...)
		}
	}
	return list
}

// startOrders starts callers that each send one order after another until end is called. An order is retried while its outcome is
// not-run.
func (d *deployment) startOrders(callers int) (o *orderLog, end func()) {
	o = &orderLog{responses: make(map[string][]orderResponse)}
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

// startLongStream starts a stream that lasts longer than the balancer wait of a stopping entry and returns after its first chunk.
func (d *deployment) startLongStream(url string) (result chan completion) {
	result, started := make(chan completion, 1), make(chan struct{})
	go func() {
		result <- sendCall(url, call{model: "adapter-1@v1", prompt: "long report", tokens: 1200, stream: true, onFirstChunk: func() { close(started) }})
	}()
	<-started
	return result
}

// Guards against a planned stop that interrupts, duplicates or loses a stream or an order, while every entry and every agent is
// restarted in turn (guarantee G7).
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{true, true}, services: 2})
	before := len(d.engineRuns())
	l := startStreams(t, 8, 60, d.balancer())
	o, endOrders := d.startOrders(4)
	l.waitForMore(16)
	longStreams := 0
	for _, g := range d.entries {
		longStream := d.startLongStream(g.url)
		longStreams++
		g.process.stop()
		if r := <-longStream; !r.complete() {
			t.Errorf("the planned stop of %s interrupted a stream in progress: %s", g.name, r)
		}
		l.waitForMore(8)
		g.process = d.startEntry(g)
		waitUntil(t, g.name+" is ready again", func() bool { return ready(g.adminAddress) })
		l.waitForMore(8)
	}
	for _, e := range d.endpoints {
		e.agent.stop()
		l.waitForMore(8)
		e.agent = d.startAgent(e, "agent-"+string(e.Name)+"-next")
		waitUntil(t, string(e.Name)+" has a ready agent again", func() bool { return ready(e.adminAddress) })
		l.waitForMore(8)
	}
	endOrders()
	o.check(t, d)
	for key, list := range o.responses {
		for _, a := range list {
			if a.status != 200 && a.outcome != "not-run" {
				t.Errorf("%s is neither completed nor refused: %+v", key, a)
			}
		}
	}
	list := l.stop()
	for _, r := range list {
		if !r.complete() {
			t.Errorf("incomplete or refused stream: %s", r)
		}
	}
	if n := len(d.engineRuns()) - before - longStreams; n != len(list) {
		t.Errorf("%d streams ran %d times at the engines", len(list), n)
	}
	t.Logf("%d streams", len(list))
	d.checkEngines()
}
