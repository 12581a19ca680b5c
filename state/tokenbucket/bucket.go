package tokenbucket

import "time"

// maxWait bounds the waits that a Bucket names; a bucket without a rate never has room.
const maxWait = time.Hour

// Bucket bounds units to a rate and a capacity. It is not safe for concurrent use.
type Bucket struct {
	perSecond float64
	capacity  float64
	// level is the number of units as of at; it is negative while units are reserved ahead.
	level float64
	at    time.Time
}

// New returns a bucket without a rate that is empty at a time, from which it fills at the first rate that is set.
func New(since time.Time) *Bucket { return &Bucket{at: since} }

// SetLimit changes the rate, in units per second, and the capacity, in units; what has accrued stays up to the capacity.
func (b *Bucket) SetLimit(now time.Time, perSecond, capacity float64) {
	if b.perSecond > 0 {
		b.advance(now)
	}
	b.perSecond, b.capacity = max(perSecond, 0), max(capacity, 0)
	b.advance(now)
}

// Level returns the units that are left.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Full reports whether the bucket has no room for more.
func (b *Bucket) Full(now time.Time) bool { return b.Level(now) >= b.capacity }

// Reserve takes units that are due within a wait. wait is the time until they may be used, or, if ok is false, until they could be at once. More units
// than the capacity are due once the bucket is full, and later ones wait for what they exceed it by.
func (b *Bucket) Reserve(now time.Time, units float64, longest time.Duration) (wait time.Duration, ok bool) {
	b.advance(now)
	missing := min(units, b.capacity) - b.level
	switch {
	case b.perSecond == 0:
		return maxWait, false
	case missing > 0:
		wait = time.Duration(min(missing/b.perSecond, maxWait.Seconds()) * float64(time.Second))
	}
	if wait > longest {
		return wait, false
	}
	b.level -= units
	return wait, true
}

// Return puts back units that were taken and not used.
func (b *Bucket) Return(now time.Time, units float64) {
	b.advance(now)
	b.level = min(b.level+max(units, 0), b.capacity)
}

func (b *Bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += elapsed.Seconds() * b.perSecond
		b.at = now
	}
	b.level = min(b.level, b.capacity)
}
