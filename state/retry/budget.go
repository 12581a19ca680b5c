package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// maxTokens is the maximum number of stored tokens. It allows a few retries while there are few new requests.
	maxTokens = 10
	// baseBackoff and maxBackoff bound the backoff with full jitter.
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
	// maxDoublings bounds the shift, so that it does not overflow a duration.
	maxDoublings = 10
)

// Budget allows retries as a fraction of new requests: each new request adds a fraction of a token, and each retry takes a whole
// one. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
	random *rand.Rand
}

// New returns a budget with the given ratio of retries to new requests and source of jitter.
func New(ratio float64, random *rand.Rand) *Budget {
	return &Budget{ratio: max(ratio, 0), tokens: maxTokens, random: random}
}

// RecordFirstTry records the first try of a request.
func (b *Budget) RecordFirstTry() { b.tokens = min(b.tokens+b.ratio, maxTokens) }

// Take reports whether one more retry is allowed and, if so, counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the time to wait after the given try, with full jitter.
func (b *Budget) Backoff(try int) time.Duration {
	limit := min(baseBackoff<<min(max(try, 0), maxDoublings), maxBackoff)
	return time.Duration(b.random.Int64N(int64(limit) + 1))
}

// StartsBeforeDeadline reports whether a try after the given wait starts before the deadline; a zero deadline sets no
// bound. Callers check it before Take, so that retries that start too late do not use up the budget.
func StartsBeforeDeadline(now time.Time, wait time.Duration, deadline time.Time) bool {
	return deadline.IsZero() || now.Add(wait).Before(deadline)
}
