package admission

import (
	"math"
	"time"
)

const (
	// drainTimeConstant is the time constant, in busy time, with which the counts behind the drain rate decay.
	drainTimeConstant = 10 * time.Second
	// minDrainItems is the number of finished items from which on the measured rate is used.
	minDrainItems = 4
	// minDrainItemsPerSecond keeps the expected wait finite at an endpoint that finishes nothing any more.
	minDrainItemsPerSecond = 0.001
)

// drainRate measures how fast items finish while others wait. Idle time does not count, so that low traffic does not make an
// endpoint look slow.
type drainRate struct {
	// total counts the finished items; finished and busySeconds are decayed with drainTimeConstant.
	total       int
	finished    float64
	busySeconds float64
	updated     time.Time
}

// advance decays the counts and adds the time since the last call if items waited during it.
func (d *drainRate) advance(now time.Time, waiting bool) {
	if !d.updated.IsZero() && waiting {
		elapsed := max(now.Sub(d.updated), 0).Seconds()
		decay := math.Exp(-elapsed / drainTimeConstant.Seconds())
		d.finished *= decay
		d.busySeconds = d.busySeconds*decay + elapsed
	}
	d.updated = now
}

// recordFinished counts a finished item if others wait.
func (d *drainRate) recordFinished(now time.Time, waiting bool) {
	d.advance(now, waiting)
	if waiting {
		d.total++
		d.finished++
	}
}

// perSecond returns the items finished per second; ok is false until minDrainItems items have finished.
func (d *drainRate) perSecond(now time.Time, waiting bool) (perSecond float64, ok bool) {
	d.advance(now, waiting)
	if d.total < minDrainItems || d.busySeconds <= 0 {
		return 0, false
	}
	return max(d.finished/d.busySeconds, minDrainItemsPerSecond), true
}
