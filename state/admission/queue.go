package admission

import (
	"cmp"
	"slices"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

const (
	// maxShareExcess is the multiple of its fair share above which a caller may not spend the load budget that all callers
	// share, nor have more items in the queue than its allowance.
	maxShareExcess = 1.5
	// minRetryAfter and maxRetryAfter bound the retry time in a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Item is one waiting try.
type Item struct {
	ID     ident.TryID
	Caller ident.Caller
	// Share is the weight of the caller against other callers; zero means 1.
	Share    float64
	Adapter  ident.AdapterVersion
	Priority int32
	Deadline time.Time
	// Arrived is set by Push.
	Arrived time.Time
	// LoadWait is the expected time until the adapter is resident; zero if it is.
	LoadWait time.Duration
}

// Queue is a bounded queue with fair shares between callers. It is not safe for concurrent use.
type Queue struct {
	limit   int
	items   []Item
	callers callers
	drain   drainRate
	// order holds the indices of items in the order of service; it is reused by each Pop.
	order []int
	// runnable counts the items that need no load.
	runnable int
}

// New returns an empty queue for at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit, callers: newCallers()} }

// Push adds an item or returns the refusal.
func (q *Queue) Push(now time.Time, it Item) (refusal *outcome.Refusal) {
	if expired(now, it) {
		return &outcome.Refusal{Reason: outcome.Deadline}
	}
	q.callers.recordArrival(now, it.Caller, it.Share)
	if reason := q.refusalReason(now, it); reason != "" {
		return &outcome.Refusal{Reason: reason, RetryAfter: q.RetryAfter(now)}
	}
	it.Arrived = now
	q.drain.advance(now, q.runnable > 0)
	q.items = append(q.items, it)
	q.updateCounts(it, 1)
	return nil
}

// refusalReason returns why an item is refused; it is empty if the queue accepts the item.
func (q *Queue) refusalReason(now time.Time, it Item) outcome.Reason {
	switch {
	case it.LoadWait > 0 && q.callers.excess(now, it.Caller) > maxShareExcess:
		return outcome.CallerLimit
	case q.callers.excess(now, it.Caller) > maxShareExcess && q.callers.waiting(it.Caller) >= q.allowance(now, it.Caller):
		return outcome.CallerLimit
	case len(q.items) >= q.limit/2 && q.callers.waiting(it.Caller) >= q.allowance(now, it.Caller):
		if !q.callers.contended(now, it.Caller) {
			// The rest of the queue is reserved for other callers. A lone caller has not exceeded its share, so the entry may
			// retry at another endpoint.
			return outcome.QueueFull
		}
		return outcome.CallerLimit
	case len(q.items) >= q.limit:
		return outcome.QueueFull
	case !it.Deadline.IsZero() && now.Add(max(q.callerWait(now, it.Caller), it.LoadWait)).After(it.Deadline):
		return outcome.Deadline
	}
	return ""
}

// updateCounts updates the counts of waiting and runnable items: n is 1 for an added item and -1 for a removed one.
func (q *Queue) updateCounts(it Item, n int) {
	q.callers.addWaiting(it.Caller, n)
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

// allowance returns the number of items that a caller may have in the queue once half of it is taken.
func (q *Queue) allowance(now time.Time, c ident.Caller) int {
	return max(1, int(float64(q.limit)*q.callers.shareFraction(now, c)))
}

// Pop removes and returns the next item that is ready; ok is false if none is. Items of the caller that has been served least
// for its share come first, then those with the highest priority, then those that arrived first; ready is called in that order
// until it returns true.
func (q *Queue) Pop(now time.Time, ready func(Item) bool) (it Item, ok bool) {
	q.sort()
	for _, i := range q.order {
		if x := q.items[i]; ready(x) {
			q.delete(now, i)
			q.callers.recordPopped(x.Caller, x.Share)
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
	q.updateCounts(q.items[i], -1)
	q.items = slices.Delete(q.items, i, i+1)
}

// Remove removes an item; it reports false if the item is not in the queue.
func (q *Queue) Remove(id ident.TryID) bool {
	for i, x := range q.items {
		if x.ID == id {
			q.updateCounts(x, -1)
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
			q.updateCounts(x, -1)
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

// RecordFinished records that an item taken from the queue has finished, which measures the drain rate.
func (q *Queue) RecordFinished(now time.Time) { q.drain.recordFinished(now, q.runnable > 0) }

// ExpectedWait returns the time until a new item that needs no load would start, from the measured drain rate; zero while
// no rate has been measured. Items that wait for a load do not delay others.
func (q *Queue) ExpectedWait(now time.Time) time.Duration { return q.waitFor(now, q.runnable) }

// callerWait returns the expected wait of a new item of the caller, before which the fair order serves a limited number of
// items of each other caller.
func (q *Queue) callerWait(now time.Time, c ident.Caller) time.Duration {
	return q.waitFor(now, min(q.runnable, q.callers.itemsAhead(c)))
}

func (q *Queue) waitFor(now time.Time, items int) time.Duration {
	rate, ok := q.drain.perSecond(now, q.runnable > 0)
	if !ok {
		return 0
	}
	return time.Duration(float64(items) / rate * float64(time.Second))
}

// RetryAfter returns the time after which a refused item is likely to be accepted, because half of the queue has drained by
// then; it is one second while no rate has been measured.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	rate, ok := q.drain.perSecond(now, q.runnable > 0)
	if !ok {
		return time.Second
	}
	wait := float64(max(len(q.items)/2, 1)) / rate
	return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// NextLoad returns the absent adapter with the most stalled work and that work; ok is false if no waiting item needs a load.
// The stalled work is the waiting time summed over the items, in seconds. Each item counts for one second more than it has
// waited, so that new items count too, and the items of a caller over its share count less.
func (q *Queue) NextLoad(now time.Time, absent func(ident.AdapterVersion) bool) (av ident.AdapterVersion, stalled float64, ok bool) {
	for i, x := range q.items {
		if !absent(x.Adapter) || slices.ContainsFunc(q.items[:i], func(y Item) bool { return y.Adapter == x.Adapter }) {
			continue
		}
		if work := q.stalledWork(now, x.Adapter, q.items[i:]); !ok || work > stalled {
			av, stalled, ok = x.Adapter, work, true
		}
	}
	return av, stalled, ok
}

func (q *Queue) stalledWork(now time.Time, av ident.AdapterVersion, items []Item) (work float64) {
	for _, x := range items {
		if x.Adapter == av {
			work += (1 + now.Sub(x.Arrived).Seconds()) / max(q.callers.excess(now, x.Caller), 1)
		}
	}
	return work
}

func expired(now time.Time, x Item) bool { return !x.Deadline.IsZero() && !now.Before(x.Deadline) }
