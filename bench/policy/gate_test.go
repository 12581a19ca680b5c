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

// Requests arrive in a span around the event of shift and flood; it covers many loads into full engines.
const (
	firstArrival = workload.Event - 10*time.Second
	lastArrival  = workload.Event + 30*time.Second
)

// mirror feeds what happens at one of the benchmark's agents to a gate and compares their decisions.
type mirror struct {
	admission.Queue
	test    *comparison
	gate    *gate.Gate
	running map[int]ident.TryID
	loads   map[ident.AdapterVersion]uint64
	// next and victim are the benchmark's choices; loaded, evicted, started and accepted are the gate's.
	next, victim    ident.AdapterVersion
	loaded, evicted ident.AdapterVersion
	started         ident.TryID
	accepted        bool
}

// comparison is the project's policy with a gate beside each agent.
type comparison struct {
	Own
	*testing.T
	name    string
	mirrors []*mirror
	// The numbers of decisions that were compared.
	pushes, refusals, starts, loads, evictions int
}

func (c *comparison) Queue() fleet.Queue {
	g := gate.DefaultConfig()
	g.Endpoint, g.ChecksFencing, g.Slots, g.BatchSize, g.QueueLimit = "e", true, workload.Slots, 0, fleet.QueueLimit
	g.PermitRetryInterval, g.SurveyInterval, g.FinishedRetention = 0, 24*time.Hour, 0
	m := &mirror{
		Queue: *admission.New(fleet.QueueLimit), test: c, gate: gate.New(g),
		running: make(map[int]ident.TryID), loads: make(map[ident.AdapterVersion]uint64),
	}
	c.mirrors = append(c.mirrors, m)
	return m
}

func (m *mirror) step(now time.Time, e gate.Event) {
	for _, x := range m.gate.Step(now, e) {
		switch x := x.(type) {
		case gate.Survey:
			m.step(now, gate.Surveyed{Number: x.Number, StartID: "s"})
		case gate.Accept:
			m.accepted = true
		case gate.Start:
			m.started = x.ID
		case gate.Load:
			m.loaded, m.loads[x.Adapter] = x.Adapter, x.Number
		case gate.Unload:
			m.evicted = x.Adapter
			m.step(now, gate.UnloadEnded{Number: x.Number})
		case gate.Violation:
			m.test.Fatalf("%s: %+v", m.test.name, x)
		}
	}
}

func (m *mirror) Push(now time.Time, it admission.Item) *outcome.Refusal {
	refusal := m.Queue.Push(now, it)
	m.step(now, gate.Permits{Wait: m.test.LoadWait()})
	m.accepted = false
	m.step(now, gate.Run{
		ID: it.ID, Endpoint: "e", Adapter: it.Adapter, Caller: it.Caller, Deadline: it.Deadline,
		Declaration: gate.Declaration{Declared: true, Digest: "d"},
	})
	if m.accepted != (refusal == nil) {
		m.test.Fatalf("%s: the gate accepts %v: %v, the benchmark refuses: %v", m.test.name, it.ID, m.accepted, refusal)
	}
	if m.test.pushes++; refusal != nil {
		m.test.refusals++
	}
	return refusal
}

// Pop lets the gate start one try, because the benchmark's engine takes new requests between two steps only.
func (m *mirror) Pop(now time.Time, ready func(admission.Item) bool) (it admission.Item, ok bool) {
	if it, ok = m.Queue.Pop(now, ready); !ok {
		return it, ok
	}
	m.started = ident.TryID{}
	m.gate.BatchSize = len(m.running) + 1
	m.step(now, gate.Tick{})
	if m.started != it.ID {
		m.test.Fatalf("%s: the gate starts %v, the benchmark %v", m.test.name, m.started, it.ID)
	}
	m.test.starts++
	var number int
	if _, err := fmt.Sscan(string(it.ID.RequestID), &number); err != nil {
		m.test.Fatal(err)
	}
	m.running[number] = it.ID
	return it, ok
}

func (m *mirror) Expired(now time.Time) []admission.Item {
	m.step(now, gate.Tick{})
	return m.Queue.Expired(now)
}

func (m *mirror) Loaded(now time.Time, av ident.AdapterVersion) {
	m.Queue.Loaded(now, av)
	m.step(now, gate.LoadEnded{Number: m.loads[av], Digest: "d"})
}

func (m *mirror) NextLoad(now time.Time, absent func(ident.AdapterVersion) bool) (av ident.AdapterVersion, stalled float64, ok bool) {
	av, stalled, ok = m.Queue.NextLoad(now, absent)
	m.next, m.victim = av, ident.AdapterVersion{}
	return av, stalled, ok
}

func (c *comparison) Done(p *fleet.Request) {
	m := c.mirrors[p.Engine]
	if id, ok := m.running[p.Number]; ok {
		delete(m.running, p.Number)
		m.gate.BatchSize = len(m.running)
		m.step(c.fleet.Clock.Now(), gate.Ended{ID: id, Outcome: outcome.Completed, Reached: true})
	}
	c.Own.Done(p)
}

func (c *comparison) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	av, ok = c.Own.Victim(e)
	c.mirrors[e.Index].victim = av
	return av, ok
}

func (c *comparison) Permit(e *fleet.Engine, stalled float64) bool {
	if !c.Own.Permit(e, stalled) {
		return false
	}
	m, now := c.mirrors[e.Index], c.fleet.Clock.Now()
	m.loaded, m.evicted = ident.AdapterVersion{}, ident.AdapterVersion{}
	m.step(now, gate.Permits{Granted: 1, Until: now.Add(time.Second)})
	if m.loaded != m.next || m.evicted != m.victim {
		c.Fatalf("%s: the gate loads %v for %v, the benchmark %v for %v", c.name, m.loaded, m.evicted, m.next, m.victim)
	}
	if c.loads++; !m.victim.IsZero() {
		c.evictions++
	}
	return true
}

// Guards against an agent whose program admits, starts, loads or evicts otherwise than the measured one for the same events.
func TestGateDecidesAsTheBenchmark(t *testing.T) {
	for _, spec := range workload.Specs() {
		if spec.Store.Failures > 0 || spec.Restart {
			continue // the benchmark's agent has other times of failures and no survey after a restart
		}
		for seed := range uint64(2) {
			c := &comparison{T: t, name: fmt.Sprint(spec.Name, " seed ", seed)}
			c.Seed, c.Terms = seed, placement.AllTerms
			var list []workload.Request
			for _, r := range spec.Generate(1.2, seed) {
				if r.At >= firstArrival && r.At < lastArrival {
					list = append(list, r)
				}
			}
			fleet.Run(spec, list, c, seed)
			t.Logf("%s: %d pushes, %d refusals, %d starts, %d loads, %d evictions",
				c.name, c.pushes, c.refusals, c.starts, c.loads, c.evictions)
			if c.loads < 100 || c.starts < 200 || c.evictions < 20 {
				t.Errorf("%s: only %d starts, %d loads and %d evictions compared", c.name, c.starts, c.loads, c.evictions)
			}
		}
	}
}
