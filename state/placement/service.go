package placement

import "math"

const (
	// serviceTimeConstantSeconds is the time constant with which the measured service time decays.
	serviceTimeConstantSeconds = 30.0
	// minFinishedTries is the decayed number of finished tries below which the assumed time is used.
	minFinishedTries = 5.0
	// scaleStep is the fraction of the difference by which the scale moves towards the latest value at each report.
	scaleStep = 0.02
	maxScale  = 10_000
)

// serviceMeter measures the duration of one request by Little's law, and the ratio of all traffic to this entry's own. All times
// are in seconds.
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
	// scale is the number of requests at all endpoints divided by this entry's own.
	scale float64
}

func (m *serviceMeter) advance(s float64) {
	passed := max(s-m.updated, 0)
	decay := math.Exp(-passed / serviceTimeConstantSeconds)
	m.requestSeconds = m.requestSeconds*decay + float64(m.outstanding)*passed
	m.finished *= decay
	m.updated = s
}

func (m *serviceMeter) recordStart(s float64) {
	m.advance(s)
	m.outstanding++
}

func (m *serviceMeter) recordEnd(s float64) {
	m.advance(s)
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

func (m *serviceMeter) updateScale() {
	if m.outstanding == 0 {
		return
	}
	latest := float64(m.running+m.queued) / float64(m.outstanding)
	m.scale += (min(max(latest, 1), maxScale) - m.scale) * scaleStep
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
