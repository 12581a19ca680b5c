package sendlimit

import (
	"math"
	"testing"
	"time"
)

// TestBudgetKeepsTheRate guards against more sends in a window than the rate and the burst allow, and against sends that are lost.
func TestBudgetKeepsTheRate(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		maxWait   time.Duration
	}{{0, 0}, {0.01, 0}, {0.25, 0}, {1, 0}, {1, 700 * time.Millisecond}, {7.5, 0}, {40, 50 * time.Millisecond}, {math.Inf(1), 0}, {math.NaN(), 0}, {1e-300, 0}} {
		now := time.Unix(0, 0)
		b := NewBudget(now, c.perSecond, 0)
		var at []time.Time
		for range 40000 {
			now = now.Add(time.Millisecond)
			if wait, ok := b.Reserve(now, c.maxWait); ok {
				if wait > c.maxWait {
					t.Fatalf("%+v: wait %s", c, wait)
				}
				at = append(at, now.Add(wait))
			} else if wait <= c.maxWait {
				t.Fatalf("%+v: refused with wait %s", c, wait)
			}
		}
		rate := clamp(c.perSecond)
		if want := math.Min(40*rate, 40000); math.Abs(float64(len(at))-want) > 2+rate {
			t.Errorf("%+v: %d sends in 40 s", c, len(at))
		}
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) > 4*time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > 4*rate+1+rate/2+1 {
				t.Fatalf("%+v: %d sends in 4 s", c, n)
			}
		}
	}
}

// TestBudgetsOfManyEntriesKeepTheSum guards against equal shares of a limit that all begin with a send.
func TestBudgetsOfManyEntriesKeepTheSum(t *testing.T) {
	const entries, perSecond = 400, 1.0
	now := time.Unix(0, 0)
	var shares []*Budget
	for i := range entries {
		shares = append(shares, NewBudget(now, perSecond/entries, float64(i)/entries))
	}
	sends := 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, b := range shares {
			if _, ok := b.Reserve(now, 0); ok {
				sends++
			}
		}
	}
	if sends < 2 || sends > 1.5*4*perSecond+5 {
		t.Errorf("%d sends in 4 s", sends)
	}
}

// TestBudgetFollowsChanges guards against a rate that is kept after it has changed in either direction.
func TestBudgetFollowsChanges(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(now, 10, 0)
	count := func(seconds int) (n int) {
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			if _, ok := b.Reserve(now, 0); ok {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		perSecond float64
		min, max  int
	}{{10, 38, 41}, {1, 3, 6}, {0, 0, 0}, {20, 76, 82}} {
		b.SetRate(now, c.perSecond)
		if n := count(4); n < c.min || n > c.max {
			t.Errorf("%g per second: %d sends in 4 s", c.perSecond, n)
		}
	}
}
