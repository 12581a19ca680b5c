package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestWindowLimitsRetriesInAnySpan guards against more retries in some span than the shared budget allows, at random times of
// requests and retries.
func TestWindowLimitsRetriesInAnySpan(t *testing.T) {
	const ratio, extra, peers, length = 0.2, 54, 4, 10 * time.Second
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		w := NewWindow(ratio, extra, length)
		now := time.Unix(1_800_000_000, 0)
		var firstTries, retries []time.Time
		for range 5000 {
			now = now.Add(time.Duration(r.ExpFloat64() * float64(20*time.Millisecond)))
			if r.IntN(500) == 0 {
				now = now.Add(time.Duration(r.IntN(25)) * time.Second)
			}
			if r.IntN(3) == 0 {
				w.RecordFirstTry(now)
				firstTries = append(firstTries, now)
			} else if w.Take(now, peers) {
				retries = append(retries, now)
			}
		}
		if len(retries) == 0 {
			t.Fatalf("seed %d: no retry was allowed", seed)
		}
		for i, from := range retries {
			retriesInSpan, firstTriesInSpan := 0, 0
			for _, x := range retries[i:] {
				if x.Sub(from) >= length {
					break
				}
				retriesInSpan++
			}
			// First tries count in the same span or the one before.
			first, _ := slices.BinarySearchFunc(firstTries, from.Add(-length+1), time.Time.Compare)
			for _, x := range firstTries[first:] {
				if x.Sub(from) >= length {
					break
				}
				firstTriesInSpan++
			}
			if float64(retriesInSpan) > ratio*float64(firstTriesInSpan)+float64(extra)/peers {
				t.Fatalf("seed %d: %d retries for %d first tries, more than the budget allows", seed, retriesInSpan, firstTriesInSpan)
			}
		}
	}
}
