package sendlimit

import (
	"math"
	"time"

	"shallotring.dev/state/tokenbucket"
)

const (
	// minPerSecond and maxPerSecond bound the rates that are told apart from none and from no bound.
	minPerSecond, maxPerSecond = 1e-6, 1e6
	// burstTime is the time whose sends may be made at once after a pause.
	burstTime = 500 * time.Millisecond
	// recheckDelay is the time after which a budget without any sends may be asked again.
	recheckDelay = time.Second
)

// Budget bounds sends to a rate. It is not safe for concurrent use.
type Budget struct {
	perSecond float64
	bucket    *tokenbucket.Bucket
}

// NewBudget returns a budget of a rate in sends per second. phase, from 0 to 1, is the part of the first send that has accrued.
func NewBudget(now time.Time, perSecond, phase float64) *Budget {
	b := &Budget{perSecond: clamp(perSecond)}
	if b.perSecond == 0 {
		return b
	}
	b.bucket = tokenbucket.New(now.Add(-time.Duration(phase / b.perSecond * float64(time.Second))))
	b.bucket.SetLimit(now, b.perSecond, b.burst())
	return b
}

// SetRate changes the rate; what has accrued stays.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	if perSecond = clamp(perSecond); perSecond == b.perSecond {
		return
	}
	if b.bucket == nil || perSecond == 0 {
		*b = *NewBudget(now, perSecond, 0)
		return
	}
	b.perSecond = perSecond
	b.bucket.SetLimit(now, perSecond, b.burst())
}

// Reserve takes one send that is due within maxWait. wait is the time until it may be made, or, if ok is false, until one could be made at
// once.
func (b *Budget) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	if b.bucket == nil {
		return recheckDelay, false
	}
	return b.bucket.Reserve(now, 1, maxWait)
}

func (b *Budget) burst() float64 { return 1 + math.Floor(b.perSecond*burstTime.Seconds()) }

func clamp(perSecond float64) float64 {
	if !(perSecond >= minPerSecond) {
		return 0
	}
	return min(perSecond, maxPerSecond)
}
