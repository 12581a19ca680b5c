package holdings

import "time"

// loadStartTimeout is the time within which an engine with a free slot starts to load an adapter, most often within a fifth of it. If
// no load has started by then, all slots of the engine are in use, and it is unknown when one becomes free.
const loadStartTimeout = 500 * time.Millisecond

// WaitFraction divides the time that a request has into the longest wait at one engine, so that other engines can still be tried.
const WaitFraction = 3

// Wait describes the wait of one request for an adapter at one engine.
type Wait struct {
	// Start is the time at which the wait started.
	Start time.Time
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// Next returns the time after which to check again, and whether to give up and try another engine; loading states whether the engine
// is loading the adapter. A wait lasts at most the time from its start to the deadline divided by WaitFraction.
func (w Wait) Next(now time.Time, loading bool) (recheck time.Duration, giveUp bool) {
	maxWait := w.Deadline.Sub(w.Start) / WaitFraction
	waited := now.Sub(w.Start)
	switch {
	case waited >= maxWait || (waited >= loadStartTimeout && !loading):
		return 0, true
	case waited >= loadStartTimeout:
		return maxWait - waited, false
	}
	return min(maxWait, loadStartTimeout) - waited, false
}
