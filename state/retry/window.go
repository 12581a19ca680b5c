package retry

import "time"

const (
	// buckets divide the window; one more than the window needs is counted, so that no span of its length holds more.
	buckets = 10
	// caution is the part of the allowance that is used: what others repeat is known only by their number.
	caution = 0.8
)

// Window bounds repeats in any span of a given length, as a share of the first tries in it and a fixed number that all
// processes share; it belongs to one goroutine.
type Window struct {
	ratio  float64
	extra  float64
	width  time.Duration
	epoch  time.Time
	last   int64
	fresh  [buckets + 1]float64
	repeat [buckets + 1]float64
}

// NewWindow returns a window of the given length.
func NewWindow(ratio float64, extra int, length time.Duration) *Window {
	return &Window{ratio: ratio, extra: float64(extra), width: max(length/buckets, time.Millisecond)}
}

// Fresh records a first try.
func (w *Window) Fresh(now time.Time) { w.fresh[w.at(now)]++ }

// Take reports whether one more repeat is allowed and counts it; peers is the number of processes that share the fixed number.
func (w *Window) Take(now time.Time, peers int) bool {
	i := w.at(now)
	fresh, repeats := 0.0, 0.0
	for b := range w.fresh {
		if b != (i+1)%len(w.fresh) {
			// The oldest bucket is only partly in the span, so its first tries do not count.
			fresh += w.fresh[b]
		}
		repeats += w.repeat[b]
	}
	if repeats+1 > caution*(w.ratio*fresh+w.extra/float64(max(peers, 1))) {
		return false
	}
	w.repeat[i]++
	return true
}

// at returns the current bucket and clears those that have passed.
func (w *Window) at(now time.Time) int {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	n := int64(now.Sub(w.epoch) / w.width)
	for w.last < n {
		w.last++
		i := int(w.last) % len(w.fresh)
		w.fresh[i], w.repeat[i] = 0, 0
		if n-w.last > int64(len(w.fresh)) {
			w.last = n - int64(len(w.fresh))
		}
	}
	return int(w.last) % len(w.fresh)
}
