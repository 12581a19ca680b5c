package processes

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	"shallotring.dev/standin/keyvalue"
)

// Guards guarantees G2 to G5 against combined faults: while streams and orders are in progress, processes are killed, frozen and
// stopped in a random order and the key-value service fails. The seeds fix the faults, but not their exact times.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	const steps = 6
	d := deploy(t, plan{entries: 2, enginesCheckFencing: []bool{true, true, false}, services: 2})
	l := startStreams(t, 6, 60, d.balancer())
	o, endOrders := d.startOrders(4)
	l.waitForMore(12)
	for range steps {
		name := d.injectRandomFault(random)
		t.Log(name)
		l.waitForMore(12)
	}
	d.setKeyValueFault(keyvalue.Fault{})
	endOrders()
	checkStreams(t, l.stop())
	d.waitUntilReady()
	d.sendAllUntilFinal(o)
	o.check(t, d)
	d.checkEngines()
}

// injectRandomFault injects a fault into one process or the key-value service and returns a description.
func (d *deployment) injectRandomFault(random *rand.Rand) (name string) {
	g := d.entries[random.IntN(len(d.entries))]
	e := d.endpoints[random.IntN(len(d.endpoints))]
	next := fmt.Sprintf("agent-%s-%d", e.Name, random.Uint32())
	switch random.IntN(8) {
	case 0:
		g.process.kill()
		g.process = d.startEntry(g)
		return g.name + " is killed"
	case 1:
		g.process.stop()
		g.process = d.startEntry(g)
		return g.name + " is stopped"
	case 2:
		g.process.signal(syscall.SIGSTOP)
		d.t.Cleanup(func() { g.process.signal(syscall.SIGCONT) })
		other := d.entries[0]
		if g == other {
			other = d.entries[1]
		}
		waitUntil(d.t, "the other entry serves", func() bool {
			return sendCall(other.url, call{model: "adapter-1@v1", prompt: "frozen", tokens: 2}).complete()
		})
		g.process.signal(syscall.SIGCONT)
		return g.name + " is frozen and resumed"
	case 3:
		e.agent.kill()
		e.agent = d.startAgent(e, next)
		return string(e.Name) + ": agent is killed"
	case 4:
		e.agent.stop()
		e.agent = d.startAgent(e, next)
		return string(e.Name) + ": agent is stopped"
	case 5:
		// No successor can claim the endpoint while the key-value service fails.
		d.setKeyValueFault(keyvalue.Fault{})
		first := e.agent
		first.signal(syscall.SIGSTOP)
		e.agent = d.startAgent(e, next)
		waitUntil(d.t, "the successor serves", func() bool { return ready(e.adminAddress) })
		first.signal(syscall.SIGCONT)
		return string(e.Name) + ": agent is frozen past its lease and resumed"
	case 6:
		if e.Kind == "Engine" {
			d.sendJSON("POST", e.url+"/fault/restart", nil)
		}
		return string(e.Name) + ": endpoint restarts"
	}
	f := []keyvalue.Fault{{LoseAnswers: 10}, {LatencyMilli: 100, LoseAnswers: 3}, {Outage: "refused"}, {Outage: "silent"}, {}}[random.IntN(5)]
	d.setKeyValueFault(f)
	return fmt.Sprintf("key-value service: %+v", f)
}

// sendAllUntilFinal retries every order until its response is final, with half of the orders through each entry.
func (d *deployment) sendAllUntilFinal(o *orderLog) {
	o.mu.Lock()
	var keys []string
	for key := range o.responses {
		keys = append(keys, key)
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	slots := make(chan struct{}, 32)
	for i, key := range keys {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			o.sendUntilFinal(d.t, d.entries[i%2].url, key)
		})
	}
	wg.Wait()
}
