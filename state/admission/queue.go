package admission

import (
	"cmp"
	"slices"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

const (
	// overShare is the multiple of its fair share from which a caller may no longer spend the shared load budget.
	overShare = 1.5
	// shortestRetry and longestRetry bound the time in a refusal.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 30 * time.Second
)

// Item is one try that waits.
type Item struct {
	ID       ident.TryID
	Caller   ident.Caller
	Share    float64
	Adapter  ident.AdapterVersion
	Priority int32
	Deadline time.Time
	Arrived  time.Time
	// LoadWait is the expected time until the adapter is resident; zero if it is.
	LoadWait time.Duration
}

// Queue is a bounded queue with fair shares between callers; it belongs to one goroutine.
type Queue struct {
	limit   int
	items   []Item
	callers callers
	drain   drain
	order   []int
	// runnable counts the items that need no load.
	runnable int
}

// New returns an empty queue for at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit, callers: newCallers()} }

// Push adds an item or says why it is refused.
func (q *Queue) Push(now time.Time, it Item) (refusal *outcome.Refusal) {
	if expired(now, it) {
		return &outcome.Refusal{Reason: outcome.Deadline}
	}
	q.callers.arrived(now, it.Caller, it.Share)
	if reason := q.refuses(now, it); reason != "" {
		return &outcome.Refusal{Reason: reason, RetryAfter: q.RetryAfter(now)}
	}
	it.Arrived = now
	q.drain.advance(now, q.runnable > 0)
	q.items = append(q.items, it)
	q.count(it, 1)
	return nil
}

func (q *Queue) refuses(now time.Time, it Item) outcome.Reason {
	switch {
	case it.LoadWait > 0 && q.callers.excess(now, it.Caller) > overShare:
		return outcome.CallerLimit
	case q.callers.excess(now, it.Caller) > overShare && q.callers.waiting(it.Caller) >= q.allowance(now, it.Caller):
		return outcome.CallerLimit
	case len(q.items) >= q.limit/2 && q.callers.waiting(it.Caller) >= q.allowance(now, it.Caller):
		if !q.callers.contended(now, it.Caller) {
			// The rest of the queue is kept for other callers, but a caller alone has done nothing wrong and may go elsewhere.
			return outcome.QueueFull
		}
		return outcome.CallerLimit
	case len(q.items) >= q.limit:
		return outcome.QueueFull
	case !it.Deadline.IsZero() && now.Add(max(q.expectedWait(now, it.Caller), it.LoadWait)).After(it.Deadline):
		return outcome.Deadline
	}
	return ""
}

// count keeps the sums when an item comes or goes.
func (q *Queue) count(it Item, n int) {
	q.callers.queued(it.Caller, n)
	if it.LoadWait == 0 {
		q.runnable += n
	}
}

// Loaded records that an adapter has become resident: its items no longer wait for a load.
func (q *Queue) Loaded(now time.Time, av ident.AdapterVersion) {
	q.drain.advance(now, q.runnable > 0)
	for i := range q.items {
		if x := &q.items[i]; x.Adapter == av && x.LoadWait > 0 {
			x.LoadWait = 0
			q.runnable++
		}
	}
}

// allowance is the number of places that a caller may hold once half of the queue is taken.
func (q *Queue) allowance(now time.Time, c ident.Caller) int {
	return max(1, int(float64(q.limit)*q.callers.fraction(now, c)))
}

// Pop removes and returns the next item that is ready; ok is false if none is. The caller that has been served least for its
// share goes first; ready is asked in that order until it says yes.
func (q *Queue) Pop(now time.Time, ready func(Item) bool) (it Item, ok bool) {
	q.sort()
	for _, i := range q.order {
		if x := q.items[i]; ready(x) {
			q.delete(now, i)
			q.callers.served(x.Caller, x.Share)
			return x, true
		}
	}
	return Item{}, false
}

func (q *Queue) sort() {
	q.order = q.order[:0]
	for i := range q.items {
		q.order = append(q.order, i)
	}
	slices.SortFunc(q.order, func(i, j int) int {
		x, y := &q.items[i], &q.items[j]
		return cmp.Or(
			cmp.Compare(q.callers.tag(x.Caller), q.callers.tag(y.Caller)),
			cmp.Compare(y.Priority, x.Priority),
			cmp.Compare(i, j),
		)
	})
}

func (q *Queue) delete(now time.Time, i int) {
	q.drain.advance(now, q.runnable > 0)
	q.count(q.items[i], -1)
	q.items = slices.Delete(q.items, i, i+1)
}

// Remove takes an item out; it reports false if the item does not wait here.
func (q *Queue) Remove(id ident.TryID) bool {
	for i, x := range q.items {
		if x.ID == id {
			q.count(x, -1)
			q.items = slices.Delete(q.items, i, i+1)
			return true
		}
	}
	return false
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Time) (list []Item) {
	if !slices.ContainsFunc(q.items, func(x Item) bool { return expired(now, x) }) {
		return nil
	}
	q.drain.advance(now, q.runnable > 0)
	kept := q.items[:0]
	for _, x := range q.items {
		if expired(now, x) {
			q.count(x, -1)
			list = append(list, x)
			continue
		}
		kept = append(kept, x)
	}
	q.items = kept
	return list
}

// Each calls fn for each waiting item in order of arrival.
func (q *Queue) Each(fn func(Item)) {
	for _, x := range q.items {
		fn(x)
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Served records that an item has finished, which measures the drain rate.
func (q *Queue) Served(now time.Time) { q.drain.served(now, q.runnable > 0) }

// ExpectedWait returns the time until a new item that needs no load would start, from the measured drain rate; zero while
// nothing is known. Items that wait for a load hold up no other.
func (q *Queue) ExpectedWait(now time.Time) time.Duration { return q.wait(now, q.runnable) }

// expectedWait is the wait of one caller: of each other caller, no more items go first than of its own.
func (q *Queue) expectedWait(now time.Time, c ident.Caller) time.Duration {
	return q.wait(now, min(q.runnable, q.callers.ahead(c)))
}

func (q *Queue) wait(now time.Time, items int) time.Duration {
	rate, ok := q.drain.rate(now, q.runnable > 0)
	if !ok {
		return 0
	}
	return time.Duration(float64(items) / rate * float64(time.Second))
}

// RetryAfter returns the time after which a refused item is likely to be accepted: half of the queue has drained by then.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	rate, ok := q.drain.rate(now, q.runnable > 0)
	if !ok {
		return time.Second
	}
	wait := float64(max(len(q.items)/2, 1)) / rate
	return min(max(time.Duration(wait*float64(time.Second)), shortestRetry), longestRetry)
}

// NextLoad returns the absent adapter with the most stalled work and that work in item seconds; ok is false if no waiting
// item needs a load. Each item counts for at least a moment, and the work of a caller over its share counts less.
func (q *Queue) NextLoad(now time.Time, absent func(ident.AdapterVersion) bool) (av ident.AdapterVersion, stalled float64, ok bool) {
	for i, x := range q.items {
		if !absent(x.Adapter) || slices.ContainsFunc(q.items[:i], func(y Item) bool { return y.Adapter == x.Adapter }) {
			continue
		}
		if work := q.stalled(now, x.Adapter, q.items[i:]); !ok || work > stalled {
			av, stalled, ok = x.Adapter, work, true
		}
	}
	return av, stalled, ok
}

func (q *Queue) stalled(now time.Time, av ident.AdapterVersion, items []Item) (work float64) {
	for _, x := range items {
		if x.Adapter == av {
			work += (1 + now.Sub(x.Arrived).Seconds()) / max(q.callers.excess(now, x.Caller), 1)
		}
	}
	return work
}

func expired(now time.Time, x Item) bool { return !x.Deadline.IsZero() && !now.Before(x.Deadline) }
