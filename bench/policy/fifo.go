package policy

import (
	"slices"
	"time"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// fifo is a bounded queue in order of arrival that does not divide its capacity between callers.
type fifo struct{ items []admission.Item }

func (q *fifo) Push(now time.Time, it admission.Item) *outcome.Refusal {
	if len(q.items) >= fleet.QueueLimit {
		return &outcome.Refusal{Reason: outcome.QueueFull, RetryAfter: time.Second}
	}
	it.Arrived = now
	q.items = append(q.items, it)
	return nil
}

func (q *fifo) Pop(_ time.Time, ready func(admission.Item) bool) (it admission.Item, ok bool) {
	for i, x := range q.items {
		if ready(x) {
			q.items = slices.Delete(q.items, i, i+1)
			return x, true
		}
	}
	return it, false
}

func (q *fifo) Remove(id ident.TryID) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(x admission.Item) bool { return x.ID == id })
	return len(q.items) < n
}

func (q *fifo) Expired(now time.Time) (list []admission.Item) {
	q.items = slices.DeleteFunc(q.items, func(x admission.Item) bool {
		if now.Before(x.Deadline) {
			return false
		}
		list = append(list, x)
		return true
	})
	return list
}

func (q *fifo) Each(fn func(admission.Item)) {
	for _, x := range q.items {
		fn(x)
	}
}

func (q *fifo) RecordFinished(time.Time) {}

func (q *fifo) Loaded(time.Time, ident.AdapterVersion) {}

func (q *fifo) ExpectedWait(time.Time) time.Duration { return 0 }

// NextLoad returns the absent adapter whose item has waited longest.
func (q *fifo) NextLoad(_ time.Time, absent func(ident.AdapterVersion) bool) (av ident.AdapterVersion, stalled float64, ok bool) {
	for _, x := range q.items {
		if absent(x.Adapter) {
			return x.Adapter, 1, true
		}
	}
	return av, 0, false
}
