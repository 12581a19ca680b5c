package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"shallotring.dev/state/outcome"
)

// meters are the metrics of the entry.
type meters struct {
	set           *metrics.Set
	completed     *metrics.Counter
	notRun        *metrics.Counter
	unknown       *metrics.Counter
	tries         *metrics.Counter
	retries       *metrics.Counter
	brokenStreams *metrics.Counter
	damagedFrames *metrics.Counter
	reportsFailed *metrics.Counter
	violations    *metrics.Counter
	duration      *metrics.Histogram
	stall         *metrics.Histogram
}

func newMeters(e *Entry, s *metrics.Set) *meters {
	s.NewGauge("shallotring_entry_requests_in_progress", func() float64 { return float64(e.admission.count()) })
	s.NewGauge("shallotring_entry_request_body_bytes", func() float64 { return float64(e.guard.Held()) })
	s.NewGauge("shallotring_entry_load_stall_weight", func() float64 { return e.placer.weightsInForce().LoadStall })
	s.NewGauge("shallotring_entry_batch_efficiency_weight", func() float64 { return e.placer.weightsInForce().BatchEfficiency })
	return &meters{
		set:           s,
		completed:     s.NewCounter(`shallotring_entry_requests_total{outcome="completed"}`),
		notRun:        s.NewCounter(`shallotring_entry_requests_total{outcome="not-run"}`),
		unknown:       s.NewCounter(`shallotring_entry_requests_total{outcome="unknown"}`),
		tries:         s.NewCounter("shallotring_entry_tries_total"),
		retries:       s.NewCounter("shallotring_entry_retries_total"),
		brokenStreams: s.NewCounter("shallotring_entry_broken_streams_total"),
		damagedFrames: s.NewCounter("shallotring_entry_damaged_frames_total"),
		reportsFailed: s.NewCounter("shallotring_entry_reports_failed_total"),
		violations:    s.GetOrCreateCounter(`shallotring_invariant_violations_total{guarantee="G4"}`),
		stall:         s.NewHistogram("shallotring_entry_stall_seconds"),
		duration:      s.NewHistogram("shallotring_entry_request_duration_seconds"),
	}
}

// refusalCounter returns the counter of the requests refused for the reason.
func (m *meters) refusalCounter(r outcome.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("shallotring_entry_refusals_total{reason=%q}", string(r)))
}

// countFinishedRequest counts a finished request by its outcome.
func (m *meters) countFinishedRequest(r *Record) {
	switch r.Outcome {
	case outcome.Completed:
		m.completed.Inc()
		if r.ReplayOf == "" {
			m.stall.Update(float64(r.StallMilli) / 1000)
		}
	case outcome.NotRun:
		m.notRun.Inc()
		m.refusalCounter(r.Reason).Inc()
	default:
		m.unknown.Inc()
	}
	m.duration.Update(r.Finished.Sub(r.Received).Seconds())
}
