package agent

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotring.dev/state/gate"
	"shallotring.dev/state/outcome"
)

// meters are the metrics of one agent; they have a set of their own, so that several agents fit in one process.
type meters struct {
	set        *metrics.Set
	running    atomic.Int64
	queued     atomic.Int64
	remembered atomic.Int64
	stall      *metrics.Histogram
}

func newMeters(bodies *atomic.Int64) *meters {
	m := &meters{set: metrics.NewSet()}
	m.stall = m.set.NewHistogram("shallotring_agent_stall_seconds")
	gauge := func(name string, v *atomic.Int64) {
		m.set.NewGauge(name, func() float64 { return float64(v.Load()) })
	}
	gauge("shallotring_agent_running_tries", &m.running)
	gauge("shallotring_agent_queued_tries", &m.queued)
	gauge("shallotring_agent_remembered_tries", &m.remembered)
	m.set.NewGauge("shallotring_agent_request_body_bytes", func() float64 { return float64(bodies.Load()) })
	for _, g := range []gate.Guarantee{gate.G1, gate.G2, gate.G4, gate.G5, gate.G6} {
		m.violations(g)
	}
	return m
}

func (m *meters) counter(name, label, value string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("shallotring_agent_%s{%s=%q}", name, label, value))
}

func (m *meters) tries(o outcome.Outcome) *metrics.Counter {
	return m.counter("tries_total", "outcome", string(o))
}

func (m *meters) refusals(r outcome.Reason) *metrics.Counter {
	return m.counter("refusals_total", "reason", string(r))
}

func (m *meters) loads(result string) *metrics.Counter {
	return m.counter("loads_total", "result", result)
}

func (m *meters) evictions(result string) *metrics.Counter {
	return m.counter("evictions_total", "result", result)
}

func (m *meters) violations(g gate.Guarantee) *metrics.Counter {
	return m.counter("violations_total", "guarantee", string(g))
}

func (m *meters) hostListFailures() *metrics.Counter {
	return m.set.GetOrCreateCounter("shallotring_agent_host_list_failures_total")
}

func (m *meters) stalled(d time.Duration) { m.stall.Update(d.Seconds()) }

func (m *meters) report(r gate.Report) {
	m.running.Store(int64(r.Running))
	m.queued.Store(int64(r.Queued))
	m.remembered.Store(int64(r.Remembered))
}
