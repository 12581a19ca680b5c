package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a retry storm when all requests fail: the retries must stay a fraction of the new requests.
func TestRetriesAreAFractionOfNewRequests(t *testing.T) {
	for _, c := range []struct {
		ratio       float64
		newRequests int
		maxRetries  int
	}{{0.1, 0, 10}, {0.1, 1000, 110}, {0, 1000, 10}, {-1, 1000, 10}} {
		b := New(c.ratio, rand.New(rand.NewPCG(1, 1)))
		retries := 0
		for range c.newRequests {
			b.RecordFirstTry()
			for b.Take() {
				retries++
			}
		}
		for b.Take() {
			retries++
		}
		if retries > c.maxRetries || retries < c.maxRetries-1 {
			t.Errorf("ratio %v, %d new requests: %d retries, want %d", c.ratio, c.newRequests, retries, c.maxRetries)
		}
	}
}

// Guards against an overflow for large try numbers, and against jitter that omits part of the range, so that retries stay
// synchronized.
func TestBackoffUsesTheFullRange(t *testing.T) {
	b := New(0.1, rand.New(rand.NewPCG(1, 1)))
	for _, c := range []struct {
		try   int
		limit time.Duration
	}{{-1, 20 * time.Millisecond}, {0, 20 * time.Millisecond}, {1, 40 * time.Millisecond}, {9, time.Second}, {1000, time.Second}} {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			d := b.Backoff(c.try)
			low, high = min(low, d), max(high, d)
		}
		if low < 0 || high > c.limit || low > c.limit/20 || high < c.limit*19/20 {
			t.Errorf("try %d: backoff from %v to %v, want the whole range up to %v", c.try, low, high, c.limit)
		}
	}
}

// Guards against spending the budget on tries that cannot start before the deadline.
func TestStartsBeforeDeadline(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		wait     time.Duration
		deadline time.Time
		want     bool
	}{
		{time.Second, time.Time{}, true},
		{time.Second, now.Add(2 * time.Second), true},
		{time.Second, now.Add(time.Second), false},
	} {
		if got := StartsBeforeDeadline(now, c.wait, c.deadline); got != c.want {
			t.Errorf("wait %v, deadline %v: starts before the deadline: %v, want %v", c.wait, c.deadline, got, c.want)
		}
	}
}
