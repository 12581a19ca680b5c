package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// burst lets a few retries through while there is little fresh traffic.
	burst = 10
	// baseBackoff and maxBackoff bound the full-jitter backoff.
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
	// maxDoublings keeps the shift below the width of a duration.
	maxDoublings = 10
)

// Budget allows retries as a fraction of fresh requests; it belongs to one goroutine.
type Budget struct {
	ratio  float64
	tokens float64
	random *rand.Rand
}

// New returns a budget with the given share of retries and source of jitter.
func New(ratio float64, random *rand.Rand) *Budget {
	return &Budget{ratio: max(ratio, 0), tokens: burst, random: random}
}

// Fresh records a first try.
func (b *Budget) Fresh() { b.tokens = min(b.tokens+b.ratio, burst) }

// Take reports whether one more retry is allowed and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the time to wait before the given try, with full jitter.
func (b *Budget) Backoff(try int) time.Duration {
	limit := min(baseBackoff<<min(max(try, 0), maxDoublings), maxBackoff)
	return time.Duration(b.random.Int64N(int64(limit) + 1))
}

// Worthwhile reports whether a try after the given wait can still end before the deadline; a zero deadline sets no bound.
// It is asked before Take, so that hopeless retries do not use up the budget.
func Worthwhile(now time.Time, wait time.Duration, deadline time.Time) bool {
	return deadline.IsZero() || now.Add(wait).Before(deadline)
}
