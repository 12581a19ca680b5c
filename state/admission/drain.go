package admission

import (
	"math"
	"time"
)

const (
	// drainWindow is the busy time over which the drain rate is averaged.
	drainWindow = 10 * time.Second
	// drainSample is the number of finished items before the rate is trusted.
	drainSample = 4
	// leastRate keeps the expected wait finite at an endpoint that has come to a stop.
	leastRate = 0.001
)

// drain measures how fast items finish while others wait; idle time does not count, so that low traffic is not taken for a
// slow endpoint.
type drain struct {
	seen     int
	finished float64
	busy     float64
	updated  time.Time
}

func (d *drain) advance(now time.Time, waiting bool) {
	if !d.updated.IsZero() && waiting {
		passed := max(now.Sub(d.updated), 0).Seconds()
		keep := math.Exp(-passed / drainWindow.Seconds())
		d.finished *= keep
		d.busy = d.busy*keep + passed
	}
	d.updated = now
}

func (d *drain) served(now time.Time, waiting bool) {
	d.advance(now, waiting)
	if waiting {
		d.seen++
		d.finished++
	}
}

// rate returns the items finished per second; ok is false while too little is known.
func (d *drain) rate(now time.Time, waiting bool) (perSecond float64, ok bool) {
	d.advance(now, waiting)
	if d.seen < drainSample || d.busy <= 0 {
		return 0, false
	}
	return max(d.finished/d.busy, leastRate), true
}
