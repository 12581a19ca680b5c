package placement

import "math"

const (
	// serviceTimeConstantSeconds is the time constant with which the measured service time decays.
	serviceTimeConstantSeconds = 30.0
	// minFinishedTries is the decayed number of finished tries below which the assumed time is used.
	minFinishedTries = 5.0
	// trafficRatioStep is the fraction of the difference by which the traffic ratio moves towards the latest value at each report.
	trafficRatioStep = 0.02
	maxTrafficRatio  = 10_000
)

// serviceMeter measures the duration of one request by Little's law, and the ratio of all traffic to this entry's own. All times
// are in seconds on the table's scale.
type serviceMeter struct {
	assumedTime float64
	// outstanding is the number of tries that this entry has sent and that have not finished.
	outstanding int
	// requestSeconds is the decaying integral of outstanding over time, finished the decaying number of finished tries.
	requestSeconds float64
	finished       float64
	updated        float64
	// running and queued are the sums over all endpoints' reports.
	running int
	queued  int
	// trafficRatio is the number of requests at all endpoints divided by this entry's own.
	trafficRatio float64
}

func (m *serviceMeter) advance(seconds float64) {
	passed := max(seconds-m.updated, 0)
	decay := math.Exp(-passed / serviceTimeConstantSeconds)
	m.requestSeconds = m.requestSeconds*decay + float64(m.outstanding)*passed
	m.finished *= decay
	m.updated = seconds
}

func (m *serviceMeter) recordStart(seconds float64) {
	m.advance(seconds)
	m.outstanding++
}

func (m *serviceMeter) recordEnd(seconds float64) {
	m.advance(seconds)
	m.outstanding = max(m.outstanding-1, 0)
	m.finished++
}

// replaceReport updates the sums over all endpoints when r replaces the report of e.
func (m *serviceMeter) replaceReport(e *endpoint, r Report) {
	if e.counted {
		m.running -= e.Running
		m.queued -= e.Queued
	}
	e.counted = true
	m.running += r.Running
	m.queued += r.Queued
}

func (m *serviceMeter) updateTrafficRatio() {
	if m.outstanding == 0 {
		return
	}
	latest := float64(m.running+m.queued) / float64(m.outstanding)
	m.trafficRatio += (min(max(latest, 1), maxTrafficRatio) - m.trafficRatio) * trafficRatioStep
}

// requestTime returns the seconds that a request runs, without its time in the queue.
func (m *serviceMeter) requestTime() float64 {
	if m.finished < minFinishedTries {
		return m.assumedTime
	}
	total := m.running + m.queued
	if total == 0 {
		return m.requestSeconds / m.finished
	}
	return m.requestSeconds / m.finished * float64(m.running) / float64(total)
}
