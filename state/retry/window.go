package retry

import "time"

const (
	// bucketCount is the number of buckets into which the window is divided. One more is counted, so that no span of the window's
	// length contains more retries than are allowed.
	bucketCount = 10
	// usableFraction is the fraction of its part of the budget that a process uses: it knows the number of the other processes,
	// but not their retries.
	usableFraction = 0.8
)

// Window limits the retries in any span of a given length to a fraction of the first tries in it plus a fixed number of retries
// that all processes share. It is not safe for concurrent use.
type Window struct {
	ratio       float64
	extra       float64
	bucketWidth time.Duration
	epoch       time.Time
	lastBucket  int64
	firstTries  [bucketCount + 1]float64
	retries     [bucketCount + 1]float64
}

// NewWindow returns a window of the given length; ratio is the fraction of first tries and extra the fixed number.
func NewWindow(ratio float64, extra int, length time.Duration) *Window {
	return &Window{ratio: ratio, extra: float64(extra), bucketWidth: max(length/bucketCount, time.Millisecond)}
}

// RecordFirstTry records the first try of a request.
func (w *Window) RecordFirstTry(now time.Time) { w.firstTries[w.bucketAt(now)]++ }

// Take reports whether one more retry is allowed and counts it; peers is the number of processes that share the fixed number.
func (w *Window) Take(now time.Time, peers int) bool {
	i := w.bucketAt(now)
	firstTries, retries := 0.0, 0.0
	for b := range w.firstTries {
		if b != (i+1)%len(w.firstTries) {
			// The oldest bucket is only partly in the span, so its first tries do not count.
			firstTries += w.firstTries[b]
		}
		retries += w.retries[b]
	}
	if retries+1 > usableFraction*(w.ratio*firstTries+w.extra/float64(max(peers, 1))) {
		return false
	}
	w.retries[i]++
	return true
}

// bucketAt returns the index of the current bucket and clears those that have expired.
func (w *Window) bucketAt(now time.Time) int {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	n := int64(now.Sub(w.epoch) / w.bucketWidth)
	for w.lastBucket < n {
		w.lastBucket++
		i := int(w.lastBucket) % len(w.firstTries)
		w.firstTries[i], w.retries[i] = 0, 0
		if n-w.lastBucket > int64(len(w.firstTries)) {
			w.lastBucket = n - int64(len(w.firstTries))
		}
	}
	return int(w.lastBucket) % len(w.firstTries)
}
