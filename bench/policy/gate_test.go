package policy

import (
	"fmt"
	"testing"
	"time"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
)

// Requests arrive only in a span around the fault of the workloads shift and flood, in which engines with full slots load many
// adapters.
const (
	firstArrival = workload.FaultTime - 10*time.Second
	lastArrival  = workload.FaultTime + 30*time.Second
)

// comparedQueue is the queue of one of the benchmark's agents. It passes the agent's events to a gate and compares the decisions of
// both.
type comparedQueue struct {
	admission.Queue
	policy      *comparedPolicy
	gate        *gate.Gate
	running     map[int]ident.TryID
	loadNumbers map[ident.AdapterVersion]uint64
	// nextLoad and victim are the benchmark's decisions; loaded, evicted, started and accepted are the gate's.
	nextLoad, victim ident.AdapterVersion
	loaded, evicted  ident.AdapterVersion
	started          ident.TryID
	accepted         bool
}

// comparedPolicy is the project's policy with a gate beside each of the benchmark's agents.
type comparedPolicy struct {
	Shallotring
	*testing.T
	name   string
	queues []*comparedQueue
	// Numbers of compared decisions.
	pushes, refusals, starts, loads, evictions int
}

func (c *comparedPolicy) Queue() fleet.Queue {
	g := gate.DefaultConfig()
	g.Endpoint, g.ChecksFencing, g.Slots, g.BatchSize, g.QueueLimit = "e", true, workload.Slots, 0, fleet.QueueLimit
	g.PermitRetryInterval, g.SurveyInterval, g.FinishedRetention = 0, 24*time.Hour, 0
	m := &comparedQueue{
		Queue: *admission.New(fleet.QueueLimit), policy: c, gate: gate.New(g),
		running: make(map[int]ident.TryID), loadNumbers: make(map[ident.AdapterVersion]uint64),
	}
	c.queues = append(c.queues, m)
	return m
}

func (m *comparedQueue) step(now time.Time, e gate.Event) {
	for _, x := range m.gate.Step(now, e) {
		switch x := x.(type) {
		case gate.Survey:
			m.step(now, gate.Surveyed{Number: x.Number, StartID: "s"})
		case gate.Accept:
			m.accepted = true
		case gate.Start:
			m.started = x.ID
		case gate.Load:
			m.loaded, m.loadNumbers[x.Adapter] = x.Adapter, x.Number
		case gate.Unload:
			m.evicted = x.Adapter
			m.step(now, gate.UnloadEnded{Number: x.Number})
		case gate.Violation:
			m.policy.Fatalf("%s: %+v", m.policy.name, x)
		}
	}
}

func (m *comparedQueue) Push(now time.Time, it admission.Item) *outcome.Refusal {
	refusal := m.Queue.Push(now, it)
	m.step(now, gate.Permits{Wait: m.policy.LoadWait()})
	m.accepted = false
	m.step(now, gate.Run{
		ID: it.ID, Endpoint: "e", Adapter: it.Adapter, Caller: it.Caller, Deadline: it.Deadline,
		Declaration: gate.Declaration{Declared: true, Digest: "d"},
	})
	if m.accepted != (refusal == nil) {
		m.policy.Fatalf("%s: the gate accepts %v: %v, but the benchmark's refusal is %v", m.policy.name, it.ID, m.accepted, refusal)
	}
	if m.policy.pushes++; refusal != nil {
		m.policy.refusals++
	}
	return refusal
}

// Pop gives the gate one free batch slot, because the benchmark's engine starts requests between two steps only.
func (m *comparedQueue) Pop(now time.Time, ready func(admission.Item) bool) (it admission.Item, ok bool) {
	if it, ok = m.Queue.Pop(now, ready); !ok {
		return it, ok
	}
	m.started = ident.TryID{}
	m.gate.BatchSize = len(m.running) + 1
	m.step(now, gate.Tick{})
	if m.started != it.ID {
		m.policy.Fatalf("%s: the gate starts %v, the benchmark starts %v", m.policy.name, m.started, it.ID)
	}
	m.policy.starts++
	var number int
	if _, err := fmt.Sscan(string(it.ID.RequestID), &number); err != nil {
		m.policy.Fatal(err)
	}
	m.running[number] = it.ID
	return it, ok
}

func (m *comparedQueue) Expired(now time.Time) []admission.Item {
	m.step(now, gate.Tick{})
	return m.Queue.Expired(now)
}

func (m *comparedQueue) Loaded(now time.Time, av ident.AdapterVersion) {
	m.Queue.Loaded(now, av)
	m.step(now, gate.LoadEnded{Number: m.loadNumbers[av], Digest: "d"})
}

func (m *comparedQueue) NextLoad(now time.Time, absent func(ident.AdapterVersion) bool) (av ident.AdapterVersion, stalled float64, ok bool) {
	av, stalled, ok = m.Queue.NextLoad(now, absent)
	m.nextLoad, m.victim = av, ident.AdapterVersion{}
	return av, stalled, ok
}

func (c *comparedPolicy) Done(p *fleet.Request) {
	m := c.queues[p.Engine]
	if id, ok := m.running[p.Number]; ok {
		delete(m.running, p.Number)
		m.gate.BatchSize = len(m.running)
		m.step(c.fleet.Clock.Now(), gate.Ended{ID: id, Outcome: outcome.Completed, Reached: true})
	}
	c.Shallotring.Done(p)
}

func (c *comparedPolicy) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	av, ok = c.Shallotring.Victim(e)
	c.queues[e.Index].victim = av
	return av, ok
}

func (c *comparedPolicy) Permit(e *fleet.Engine, stalled float64) bool {
	if !c.Shallotring.Permit(e, stalled) {
		return false
	}
	m, now := c.queues[e.Index], c.fleet.Clock.Now()
	m.loaded, m.evicted = ident.AdapterVersion{}, ident.AdapterVersion{}
	m.step(now, gate.Permits{Granted: 1, Until: now.Add(time.Second)})
	if m.loaded != m.nextLoad || m.evicted != m.victim {
		c.Fatalf("%s: the gate loads %v and evicts %v, the benchmark loads %v and evicts %v", c.name, m.loaded, m.evicted, m.nextLoad, m.victim)
	}
	if c.loads++; !m.victim.IsZero() {
		c.evictions++
	}
	return true
}

// TestGateDecidesAsTheBenchmark guards against benchmark results that do not apply to the real agent. It fails if the agent's gate
// accepts, starts, loads or evicts differently from the benchmark's agent for the same events.
func TestGateDecidesAsTheBenchmark(t *testing.T) {
	for _, spec := range workload.Specs() {
		if spec.Store.FailureRatio > 0 || spec.Restart {
			continue // the benchmark's agent has other retry times after failed loads and does not query a restarted engine
		}
		for seed := range uint64(2) {
			c := &comparedPolicy{T: t, name: fmt.Sprint(spec.Name, " seed ", seed)}
			c.Seed, c.Terms = seed, placement.AllTerms
			var list []workload.Request
			// At 1.2 times the capacity, queues are full, so that refusals and evictions are compared too.
			for _, r := range spec.Generate(1.2, seed) {
				if r.At >= firstArrival && r.At < lastArrival {
					list = append(list, r)
				}
			}
			fleet.Run(spec, list, c, seed)
			t.Logf("%s: %d pushes, %d refusals, %d starts, %d loads, %d evictions",
				c.name, c.pushes, c.refusals, c.starts, c.loads, c.evictions)
			if c.loads < 100 || c.starts < 200 || c.evictions < 20 {
				t.Errorf("%s: only %d starts, %d loads and %d evictions were compared", c.name, c.starts, c.loads, c.evictions)
			}
		}
	}
}
