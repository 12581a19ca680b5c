package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a retry storm: under a total failure the retries stay a fraction of fresh requests.
func TestRetriesAreAFractionOfFreshRequests(t *testing.T) {
	for _, c := range []struct {
		ratio float64
		fresh int
		most  int
	}{{0.1, 0, 10}, {0.1, 1000, 110}, {0, 1000, 10}, {-1, 1000, 10}} {
		b := New(c.ratio, rand.New(rand.NewPCG(1, 1)))
		retries := 0
		for range c.fresh {
			b.Fresh()
			for b.Take() {
				retries++
			}
		}
		for b.Take() {
			retries++
		}
		if retries > c.most || retries < c.most-1 {
			t.Errorf("ratio %v, %d fresh: %d retries, want %d", c.ratio, c.fresh, retries, c.most)
		}
	}
}

// Guards against an overflow for large tries, and against jitter that leaves out part of the range and so keeps retries aligned.
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
			t.Errorf("try %d: from %v to %v, want the range up to %v", c.try, low, high, c.limit)
		}
	}
}

// Guards against spending the budget on tries that cannot finish in time.
func TestWorthwhile(t *testing.T) {
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
		if got := Worthwhile(now, c.wait, c.deadline); got != c.want {
			t.Errorf("wait %v, deadline %v: %v, want %v", c.wait, c.deadline, got, c.want)
		}
	}
}
