package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func item(n int, caller string) Item {
	return Item{
		ID: ident.TryID{RequestID: ident.RequestID(fmt.Sprint(n)), Try: 1}, Caller: ident.Caller(caller),
		Adapter: ident.AdapterVersion{Adapter: "a", Version: "1"},
	}
}

func always(Item) bool { return true }

// fill pushes n items of a caller and returns the number accepted.
func fill(q *Queue, seconds float64, caller string, n int) (accepted int) {
	for i := range n {
		if q.Push(at(seconds), item(i, caller)) == nil {
			accepted++
		}
	}
	return accepted
}

// serve lets one item finish every interval while others wait.
func serve(q *Queue, from float64, n int, interval float64) (end float64) {
	for range n {
		from += interval
		q.Pop(at(from), always)
		q.Served(at(from))
	}
	return from
}

func TestPush(t *testing.T) {
	cases := []struct {
		name    string // the failure that the case guards against
		prepare func(q *Queue)
		item    Item
		want    outcome.Reason
	}{
		{"accepts what has expired", func(*Queue) {}, Item{Caller: "x", Deadline: at(19)}, outcome.Deadline},
		{"lets the queue grow without bound", func(q *Queue) {
			for i := range 16 {
				fill(q, 20, fmt.Sprint("c", i), 1)
			}
		}, Item{Caller: "x"}, outcome.QueueFull},
		{"lets one caller take the whole queue", func(q *Queue) { fill(q, 20, "x", 20); fill(q, 20, "y", 1) }, Item{Caller: "x"}, outcome.CallerLimit},
		{"refuses the others when one caller floods", func(q *Queue) { fill(q, 20, "y", 50) }, Item{Caller: "x"}, ""},
		{"accepts work that cannot start before its deadline", func(q *Queue) {
			fill(q, 0, "x", 8)
			serve(q, 0, 7, 1)
			fill(q, 20, "x", 6)
		}, Item{Caller: "x", Deadline: at(22)}, outcome.Deadline},
		{"refuses because traffic is low, not because the endpoint is slow", func(q *Queue) {
			for i := range 10 {
				fill(q, float64(i), "x", 1)
				serve(q, float64(i), 1, 0.1)
			}
			fill(q, 20, "x", 1)
		}, Item{Caller: "x", Deadline: at(21)}, ""},
		{"accepts work whose adapter cannot be loaded in time", func(*Queue) {}, Item{Caller: "x", Deadline: at(21), LoadWait: 2 * time.Second}, outcome.Deadline},
		{"lets a flooding caller spend the load budget of all", func(q *Queue) {
			for i := range 40 {
				fill(q, 20, "x", 1)
				fill(q, 20, fmt.Sprint("c", i%4), i%2)
				serve(q, 20, 2, 0)
			}
		}, Item{Caller: "x", LoadWait: time.Second}, outcome.CallerLimit},
		{"refuses what can run because other items wait for a load", func(q *Queue) {
			fill(q, 0, "x", 8)
			serve(q, 0, 8, 1)
			for i := range 6 {
				q.Push(at(20), Item{Caller: ident.Caller(fmt.Sprint("c", i)), Adapter: item(0, "").Adapter, LoadWait: time.Minute})
			}
		}, Item{Caller: "x", Deadline: at(22)}, ""},
		{"forgets that a load has ended", func(q *Queue) {
			fill(q, 0, "x", 8)
			serve(q, 0, 8, 1)
			for i := range 6 {
				q.Push(at(8), Item{Caller: ident.Caller(fmt.Sprint("c", i)), Adapter: item(0, "").Adapter, LoadWait: time.Minute})
			}
			q.Loaded(at(8), item(0, "").Adapter)
		}, Item{Caller: "x", Deadline: at(22)}, outcome.Deadline},
		{"lets a flooding caller fill its part of the queue in vain", func(q *Queue) {
			for i := range 40 {
				fill(q, 20, "x", 1)
				fill(q, 20, fmt.Sprint("c", i%4), i%2)
				serve(q, 20, 1, 0)
			}
			fill(q, 20, "x", 3)
		}, Item{Caller: "x"}, outcome.CallerLimit},
		{"calls a lone caller's full part of the queue its own fault", func(q *Queue) { fill(q, 20, "x", 8) }, Item{Caller: "x"}, outcome.QueueFull},
		{"compares a lone caller with one that has gone", func(q *Queue) {
			fill(q, -40, "x", 1)
			fill(q, -40, "y", 1)
			serve(q, -40, 2, 0)
			fill(q, 20, "x", 8)
		}, Item{Caller: "x"}, outcome.QueueFull},
		{"refuses the loads of a lone caller because of one that has gone", func(q *Queue) {
			fill(q, -40, "x", 1)
			fill(q, -40, "y", 1)
			serve(q, -40, 2, 0)
			for range 20 {
				fill(q, 20, "x", 1)
				serve(q, 20, 1, 0)
			}
		}, Item{Caller: "x", LoadWait: time.Second}, ""},
		{"holds a lone caller to a share", func(q *Queue) { fill(q, 20, "x", 7) }, Item{Caller: "x", LoadWait: time.Second}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(16)
			c.prepare(q)
			refusal := q.Push(at(20), c.item)
			if got := reason(refusal); got != c.want {
				t.Errorf("refused with %q, want %q", got, c.want)
			}
			if refusal != nil && refusal.Reason != outcome.Deadline && refusal.RetryAfter <= 0 {
				t.Error("refusal without a retry-after time")
			}
		})
	}
}

func reason(r *outcome.Refusal) outcome.Reason {
	if r == nil {
		return ""
	}
	return r.Reason
}

// Guards against a constant retry-after time that sends callers back into a full queue or keeps them away from an empty one.
func TestRetryAfterFollowsDrainRate(t *testing.T) {
	for _, c := range []struct {
		interval float64
		want     time.Duration
	}{{0.01, 100 * time.Millisecond}, {0.5, 4 * time.Second}, {10, 30 * time.Second}} {
		q := New(32)
		for i := range 32 {
			fill(q, 0, fmt.Sprint("c", i), 1)
		}
		end := serve(q, 0, 16, c.interval)
		if got := q.RetryAfter(at(end)); got < c.want*9/10 || got > c.want*11/10 {
			t.Errorf("one item each %v s: retry after %v, want %v", c.interval, got, c.want)
		}
	}
}

// Guards against serving callers in order of arrival, where the one with the most requests gets the most service.
func TestFairShares(t *testing.T) {
	q := New(100)
	served := map[ident.Caller]int{}
	for i := range 30 {
		q.Push(start, Item{Caller: "flood", ID: item(i, "").ID})
	}
	for i := range 10 {
		q.Push(start, Item{Caller: "small", ID: item(i, "").ID})
		q.Push(start, Item{Caller: "double", Share: 2, ID: item(i, "").ID})
	}
	for range 12 {
		x, _ := q.Pop(start, always)
		served[x.Caller]++
	}
	if served["flood"] != 3 || served["small"] != 3 || served["double"] != 6 {
		t.Errorf("served %v, want 3, 3 and 6", served)
	}
}

// Guards against a caller that saves up service while it is away and then blocks the others.
func TestAbsenceEarnsNothing(t *testing.T) {
	q := New(200)
	fill(q, 0, "away", 1)
	q.Pop(start, always)
	fill(q, 0, "busy", 60)
	for range 50 {
		q.Pop(start, always)
	}
	fill(q, 1, "away", 10)
	n := 0
	for range 10 {
		if x, _ := q.Pop(at(1), always); x.Caller == "away" {
			n++
		}
	}
	if n > 6 {
		t.Errorf("%d of 10 served for the caller that came back, want about half", n)
	}
}

// Guards against a load order that ignores how much work waits, starves an old request or favours a flooding caller.
func TestNextLoad(t *testing.T) {
	waits := func(name, caller string, seconds float64, n int) func(*Queue) {
		return func(q *Queue) {
			for range n {
				q.Push(at(seconds), Item{Caller: ident.Caller(caller), Adapter: ident.AdapterVersion{Adapter: ident.Adapter(name)}})
			}
		}
	}
	cases := []struct {
		name  string
		push  []func(*Queue)
		want  ident.Adapter
		empty bool
	}{
		{"most stalled work first", []func(*Queue){waits("one", "x", 0, 1), waits("three", "y", 0, 3)}, "three", false},
		{"aging", []func(*Queue){waits("old", "x", 0, 1), waits("three", "y", 9, 3)}, "old", false},
		{"flooding caller counts less", []func(*Queue){waits("resident", "z", 9, 2), waits("flood", "x", 9, 12), waits("two", "y", 4, 2)}, "two", false},
		{"nothing to load", []func(*Queue){waits("resident", "x", 0, 3)}, "", true},
	}
	for _, c := range cases {
		q := New(100)
		for _, push := range c.push {
			push(q)
		}
		av, work, ok := q.NextLoad(at(10), func(av ident.AdapterVersion) bool { return av.Adapter != "resident" })
		if av.Adapter != c.want || ok == c.empty || (ok && work <= 0) {
			t.Errorf("%s: next load %v %v %v, want %q", c.name, av, work, ok, c.want)
		}
	}
}

// Guards against losing or repeating an item, and against counts of waiting items that drift and so refuse a caller for ever.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(8)
		waiting := map[ident.TryID]bool{}
		now := start
		for n := range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			x := item(n, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"))
			x.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "deadline")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				if q.Push(now, x) == nil {
					waiting[x.ID] = true
				}
			case 2:
				if y, ok := q.Pop(now, always); ok {
					if !waiting[y.ID] {
						t.Fatalf("%v was not waiting", y.ID)
					}
					delete(waiting, y.ID)
					q.Served(now)
				}
			case 3:
				for _, y := range q.Expired(now) {
					delete(waiting, y.ID)
				}
			}
			counted := 0
			for _, c := range q.callers.known {
				counted += c.waiting
			}
			if q.Len() != len(waiting) || q.Len() > 8 || counted != q.Len() {
				t.Fatalf("length %d, %d waiting, %d counted", q.Len(), len(waiting), counted)
			}
		}
	})
}
