package processes

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	"shallotring.dev/standin/keyvalue"
)

// Guards G2 to G5 against faults in combination: processes die, freeze and stop in a random order and a key-value service
// fails meanwhile, while streams and orders go on. The seeds are fixed; the times at which faults strike are not.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			randomFaults(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func randomFaults(t *testing.T, random *rand.Rand) {
	const steps = 6
	d := deploy(t, plan{entries: 2, engines: []bool{true, true, false}, services: 2})
	l := streams(t, 6, 60, d.balancer())
	o, endOrders := d.continuousOrders(4)
	l.more(12)
	for range steps {
		name := d.fault(random)
		t.Log(name)
		l.more(12)
	}
	d.disturb(keyvalue.Fault{})
	endOrders()
	judge(t, l.stop())
	d.awaitReady()
	d.settleAll(o)
	o.judge(t, d)
	d.checkEngines()
}

// fault strikes one process or the key-value service.
func (d *deployment) fault(random *rand.Rand) (name string) {
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
		until(d.t, "the other entry serves", func() bool {
			return complete(other.url, call{model: "adapter-1@v1", prompt: "frozen", tokens: 2}).whole()
		})
		g.process.signal(syscall.SIGCONT)
		return g.name + " is frozen and woken"
	case 3:
		e.agent.kill()
		e.agent = d.startAgent(e, next)
		return string(e.Name) + ": agent is killed"
	case 4:
		e.agent.stop()
		e.agent = d.startAgent(e, next)
		return string(e.Name) + ": agent is stopped"
	case 5:
		// No successor can claim the endpoint while the service is lost.
		d.disturb(keyvalue.Fault{})
		first := e.agent
		first.signal(syscall.SIGSTOP)
		e.agent = d.startAgent(e, next)
		until(d.t, "the successor serves", func() bool { return ready(e.admin) })
		first.signal(syscall.SIGCONT)
		return string(e.Name) + ": agent is frozen past its lease and woken"
	case 6:
		if e.Kind == "Engine" {
			d.send("POST", e.url+"/fault/restart", nil)
		}
		return string(e.Name) + ": endpoint restarts"
	}
	f := []keyvalue.Fault{{LoseAnswers: 10}, {LatencyMilli: 100, LoseAnswers: 3}, {Outage: "refused"}, {Outage: "silent"}, {}}[random.IntN(5)]
	d.disturb(f)
	return fmt.Sprintf("key-value service: %+v", f)
}

// settleAll repeats every order until its outcome is final, through both entries.
func (d *deployment) settleAll(o *orders) {
	o.mu.Lock()
	var keys []string
	for key := range o.seen {
		keys = append(keys, key)
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	places := make(chan struct{}, 32)
	for i, key := range keys {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			o.settle(d.t, d.entries[i%2].url, key)
		})
	}
	wg.Wait()
}
