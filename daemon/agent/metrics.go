package agent

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"shallotring.dev/state/gate"
	"shallotring.dev/state/outcome"
)

// meters are the metrics of one agent. Their set is not the global one, so that several agents can run in one process.
type meters struct {
	set          *metrics.Set
	running      atomic.Int64
	queued       atomic.Int64
	remembered   atomic.Int64
	stallSeconds *metrics.Histogram
	loadSeconds  *metrics.Histogram
	trySeconds   *metrics.FloatCounter
	batchSize    atomic.Int64
	resident     atomic.Int64
	// lastUpdate is the time of the last update; only the control goroutine uses it.
	lastUpdate time.Time
}

// Results of commands to the engine.
const (
	resultCompleted = "completed"
	resultFailed    = "failed"
)

func resultOf(completed bool) string {
	if completed {
		return resultCompleted
	}
	return resultFailed
}

func newMeters(set *metrics.Set, bodies *atomic.Int64) *meters {
	m := &meters{set: set}
	m.stallSeconds = m.set.NewHistogram("shallotring_agent_stall_seconds")
	m.loadSeconds = m.set.NewHistogram("shallotring_agent_load_duration_seconds")
	m.trySeconds = m.set.NewFloatCounter("shallotring_agent_try_seconds_total")
	gauge := func(name string, v *atomic.Int64) {
		m.set.NewGauge(name, func() float64 { return float64(v.Load()) })
	}
	gauge("shallotring_agent_running_tries", &m.running)
	gauge("shallotring_agent_queued_tries", &m.queued)
	gauge("shallotring_agent_remembered_tries", &m.remembered)
	gauge("shallotring_agent_batch_size_tries", &m.batchSize)
	gauge("shallotring_agent_resident_adapters", &m.resident)
	m.set.NewGauge("shallotring_agent_batch_fill_ratio", m.fillRatio)
	m.set.NewGauge("shallotring_agent_request_body_bytes", func() float64 { return float64(bodies.Load()) })
	for _, o := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Unknown} {
		m.tries(o)
	}
	for _, result := range []string{resultCompleted, resultFailed} {
		m.loads(result)
		m.evictions(result)
	}
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
	return m.set.GetOrCreateCounter(fmt.Sprintf("shallotring_invariant_violations_total{guarantee=%q}", string(g)))
}

func (m *meters) hostListFailures() *metrics.Counter {
	return m.set.GetOrCreateCounter("shallotring_agent_host_list_failures_total")
}

func (m *meters) recordStall(d time.Duration) { m.stallSeconds.Update(d.Seconds()) }

// fillRatio is the fraction of the batch slots that run a try.
func (m *meters) fillRatio() float64 {
	if size := m.batchSize.Load(); size > 0 {
		return float64(m.running.Load()) / float64(size)
	}
	return 0
}

func (m *meters) update(now time.Time, r gate.Report) {
	if !m.lastUpdate.IsZero() {
		m.trySeconds.Add(float64(m.running.Load()) * now.Sub(m.lastUpdate).Seconds())
	}
	m.lastUpdate = now
	resident := 0
	for _, a := range r.Adapters {
		if !a.Loading && !a.Failing {
			resident++
		}
	}
	m.resident.Store(int64(resident))
	m.batchSize.Store(int64(r.BatchSize))
	m.running.Store(int64(r.Running))
	m.queued.Store(int64(r.Queued))
	m.remembered.Store(int64(r.Remembered))
}
