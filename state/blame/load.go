package blame

import (
	"math"
	"time"
)

// load is a number of runs in progress, and its mean over about the last waveTime.
type load struct {
	running     int
	mean        float64
	since, last time.Time
}

// advance brings the mean up to a time.
func (l *load) advance(now time.Time) {
	if d := now.Sub(l.last); d > 0 {
		l.mean = float64(l.running) + (l.mean-float64(l.running))*math.Exp(-d.Seconds()/waveTime.Seconds())
		l.last = now
	}
}

// change records that runs have begun, or ended if n is negative.
func (l *load) change(now time.Time, n int) {
	if l.since.IsZero() {
		l.since, l.last = now, now
	}
	l.advance(now)
	l.running = max(l.running+n, 0)
}

// loads has the runs of all candidates, and of each that has runs in progress or has had some lately.
type loads[K comparable] struct {
	all  load
	list map[K]*load
}

func newLoads[K comparable]() loads[K] { return loads[K]{list: make(map[K]*load)} }

// change records that a run with a candidate has begun, or ended if n is negative.
func (l *loads[K]) change(now time.Time, c K, n int) {
	x := l.list[c]
	if x == nil {
		x = &load{}
		l.list[c] = x
	}
	x.change(now, n)
}

// of returns the mean number of runs with a candidate.
func (l *loads[K]) of(now time.Time, c K) float64 {
	if x := l.list[c]; x != nil {
		return l.mean(now, x)
	}
	return 0
}

// mean returns the mean of a load since the first run of any candidate.
func (l *loads[K]) mean(now time.Time, x *load) float64 {
	x.advance(now)
	if known := -math.Expm1(-now.Sub(l.all.since).Seconds() / waveTime.Seconds()); known > 0 {
		return x.mean / known
	}
	return float64(x.running)
}

// forget drops the candidates without runs.
func (l *loads[K]) forget() {
	for c, x := range l.list {
		if x.running == 0 {
			delete(l.list, c)
		}
	}
}
