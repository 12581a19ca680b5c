package holdings

import "time"

// loadStart is the time within which an engine with a free place begins to load an adapter, most often within a fifth of it. One
// that has not begun by then has all its places in use, and nothing says when one becomes free.
const loadStart = 500 * time.Millisecond

// Wait is the wait of one request for an adapter at one engine.
type Wait struct {
	Began time.Time
	// Deadline is that of the request.
	Deadline time.Time
}

// Next returns when to look again, and whether to leave for another engine; loading says whether the adapter is on its way. A wait
// takes a third of the time that the request had at its beginning, so that other engines can still be tried.
func (w Wait) Next(now time.Time, loading bool) (again time.Duration, leave bool) {
	most := w.Deadline.Sub(w.Began) / 3
	waited := now.Sub(w.Began)
	switch {
	case waited >= most || (waited >= loadStart && !loading):
		return 0, true
	case waited >= loadStart:
		return most - waited, false
	}
	return min(most, loadStart) - waited, false
}
