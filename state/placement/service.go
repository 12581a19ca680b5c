package placement

import "math"

const (
	// serviceMemory is the time constant of the measured service time in seconds.
	serviceMemory = 30.0
	// serviceSample is the decayed number of ended tries below which the assumed time is used.
	serviceSample = 5.0
	// scaleStep is the part of the difference by which the scale follows a report.
	scaleStep = 0.02
	maxScale  = 10_000
)

// service measures the time of one request by Little's law, and how much of all traffic this entry sees.
type service struct {
	assumed     float64
	outstanding int
	integral    float64
	finished    float64
	updated     float64
	running     int
	queued      int
	// scale is all work in the endpoints divided by this entry's own.
	scale float64
}

func (m *service) advance(s float64) {
	passed := max(s-m.updated, 0)
	keep := math.Exp(-passed / serviceMemory)
	m.integral = m.integral*keep + float64(m.outstanding)*passed
	m.finished *= keep
	m.updated = s
}

func (m *service) began(s float64) {
	m.advance(s)
	m.outstanding++
}

func (m *service) ended(s float64) {
	m.advance(s)
	m.outstanding = max(m.outstanding-1, 0)
	m.finished++
}

// reported keeps the sums over all endpoints when a report replaces the one of e.
func (m *service) reported(e *endpoint, r Report) {
	if e.known {
		m.running -= e.Running
		m.queued -= e.Queued
	}
	e.known = true
	m.running += r.Running
	m.queued += r.Queued
}

func (m *service) rescale() {
	if m.outstanding == 0 {
		return
	}
	now := float64(m.running+m.queued) / float64(m.outstanding)
	m.scale += (min(max(now, 1), maxScale) - m.scale) * scaleStep
}

// time returns the seconds that a request runs, without the part that it waits.
func (m *service) time() float64 {
	if m.finished < serviceSample {
		return m.assumed
	}
	total := m.running + m.queued
	if total == 0 {
		return m.integral / m.finished
	}
	return m.integral / m.finished * float64(m.running) / float64(total)
}
