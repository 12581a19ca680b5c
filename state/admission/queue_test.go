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

func newItem(n int, caller string) Item {
	return Item{
		ID: ident.TryID{RequestID: ident.RequestID(fmt.Sprint(n)), Try: 1}, Caller: ident.Caller(caller),
		Adapter: ident.AdapterVersion{Adapter: "a", Version: "1"},
	}
}

func always(Item) bool { return true }

// pushItems pushes n items of a caller and returns the number accepted.
func pushItems(q *Queue, seconds float64, caller string, n int) (accepted int) {
	for i := range n {
		if q.Push(at(seconds), newItem(i, caller)) == nil {
			accepted++
		}
	}
	return accepted
}

// serve pops and finishes n items, one every interval, and returns the time of the last.
func serve(q *Queue, from float64, n int, interval float64) (end float64) {
	for range n {
		from += interval
		q.Pop(at(from), always)
		q.RecordFinished(at(from))
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
		{"accepts an item whose deadline has passed", func(*Queue) {}, Item{Caller: "x", Deadline: at(19)}, outcome.Deadline},
		{"lets the queue grow without bound", func(q *Queue) {
			for i := range 16 {
				pushItems(q, 20, fmt.Sprint("c", i), 1)
			}
		}, Item{Caller: "x"}, outcome.QueueFull},
		{"lets one caller take the whole queue", func(q *Queue) { pushItems(q, 20, "x", 20); pushItems(q, 20, "y", 1) }, Item{Caller: "x"}, outcome.CallerLimit},
		{"refuses the others when one caller floods", func(q *Queue) { pushItems(q, 20, "y", 50) }, Item{Caller: "x"}, ""},
		{"accepts work that cannot start before its deadline", func(q *Queue) {
			pushItems(q, 0, "x", 8)
			serve(q, 0, 7, 1)
			pushItems(q, 20, "x", 6)
		}, Item{Caller: "x", Deadline: at(22)}, outcome.Deadline},
		{"refuses because traffic is low, not because the endpoint is slow", func(q *Queue) {
			for i := range 10 {
				pushItems(q, float64(i), "x", 1)
				serve(q, float64(i), 1, 0.1)
			}
			pushItems(q, 20, "x", 1)
		}, Item{Caller: "x", Deadline: at(21)}, ""},
		{"accepts work whose adapter cannot be loaded in time", func(*Queue) {}, Item{Caller: "x", Deadline: at(21), LoadWait: 2 * time.Second}, outcome.Deadline},
		{"lets a flooding caller spend the load budget of all", func(q *Queue) {
			for i := range 40 {
				pushItems(q, 20, "x", 1)
				pushItems(q, 20, fmt.Sprint("c", i%4), i%2)
				serve(q, 20, 2, 0)
			}
		}, Item{Caller: "x", LoadWait: time.Second}, outcome.CallerLimit},
		{"refuses a runnable item because others wait for a load", func(q *Queue) {
			pushItems(q, 0, "x", 8)
			serve(q, 0, 8, 1)
			for i := range 6 {
				q.Push(at(20), Item{Caller: ident.Caller(fmt.Sprint("c", i)), Adapter: newItem(0, "").Adapter, LoadWait: time.Minute})
			}
		}, Item{Caller: "x", Deadline: at(22)}, ""},
		{"leaves items whose load has finished out of the expected wait", func(q *Queue) {
			pushItems(q, 0, "x", 8)
			serve(q, 0, 8, 1)
			for i := range 6 {
				q.Push(at(8), Item{Caller: ident.Caller(fmt.Sprint("c", i)), Adapter: newItem(0, "").Adapter, LoadWait: time.Minute})
			}
			q.Loaded(at(8), newItem(0, "").Adapter)
		}, Item{Caller: "x", Deadline: at(22)}, outcome.Deadline},
		{"accepts more items of a flooding caller than its part of the queue", func(q *Queue) {
			for i := range 40 {
				pushItems(q, 20, "x", 1)
				pushItems(q, 20, fmt.Sprint("c", i%4), i%2)
				serve(q, 20, 1, 0)
			}
			pushItems(q, 20, "x", 3)
		}, Item{Caller: "x"}, outcome.CallerLimit},
		{"refuses a lone caller with caller-limit when its part of the queue is full", func(q *Queue) { pushItems(q, 20, "x", 8) }, Item{Caller: "x"}, outcome.QueueFull},
		{"compares a lone caller with one that is inactive", func(q *Queue) {
			pushItems(q, -40, "x", 1)
			pushItems(q, -40, "y", 1)
			serve(q, -40, 2, 0)
			pushItems(q, 20, "x", 8)
		}, Item{Caller: "x"}, outcome.QueueFull},
		{"refuses the loads of a lone caller because of one that is inactive", func(q *Queue) {
			pushItems(q, -40, "x", 1)
			pushItems(q, -40, "y", 1)
			serve(q, -40, 2, 0)
			for range 20 {
				pushItems(q, 20, "x", 1)
				serve(q, 20, 1, 0)
			}
		}, Item{Caller: "x", LoadWait: time.Second}, ""},
		{"refuses the loads of a lone caller for exceeding a share", func(q *Queue) { pushItems(q, 20, "x", 7) }, Item{Caller: "x", LoadWait: time.Second}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(16)
			c.prepare(q)
			refusal := q.Push(at(20), c.item)
			if got := reasonOf(refusal); got != c.want {
				t.Errorf("refused with %q, want %q", got, c.want)
			}
			if refusal != nil && refusal.Reason != outcome.Deadline && refusal.RetryAfter <= 0 {
				t.Error("refusal without a retry-after time")
			}
		})
	}
}

func reasonOf(r *outcome.Refusal) outcome.Reason {
	if r == nil {
		return ""
	}
	return r.Reason
}

// Guards against a retry-after time that ignores the drain rate: callers would retry into a full queue or stay away from an
// empty one.
func TestRetryAfterFollowsDrainRate(t *testing.T) {
	for _, c := range []struct {
		interval float64
		want     time.Duration
	}{{0.01, 100 * time.Millisecond}, {0.5, 4 * time.Second}, {10, 30 * time.Second}} {
		q := New(32)
		for i := range 32 {
			pushItems(q, 0, fmt.Sprint("c", i), 1)
		}
		end := serve(q, 0, 16, c.interval)
		if got := q.RetryAfter(at(end)); got < c.want*9/10 || got > c.want*11/10 {
			t.Errorf("one item each %v s: retry after %v, want %v", c.interval, got, c.want)
		}
	}
}

// Guards against serving callers in order of arrival, which gives the one with the most requests the most service.
func TestFairShares(t *testing.T) {
	q := New(100)
	served := map[ident.Caller]int{}
	for i := range 30 {
		q.Push(start, Item{Caller: "flood", ID: newItem(i, "").ID})
	}
	for i := range 10 {
		q.Push(start, Item{Caller: "small", ID: newItem(i, "").ID})
		q.Push(start, Item{Caller: "double", Share: 2, ID: newItem(i, "").ID})
	}
	for range 12 {
		x, _ := q.Pop(start, always)
		served[x.Caller]++
	}
	if served["flood"] != 3 || served["small"] != 3 || served["double"] != 6 {
		t.Errorf("served %v, want 3, 3 and 6", served)
	}
}

// Guards against a caller that earns credit while it sends nothing and then blocks the others when it returns.
func TestAbsentCallerEarnsNoCredit(t *testing.T) {
	q := New(200)
	pushItems(q, 0, "away", 1)
	q.Pop(start, always)
	pushItems(q, 0, "busy", 60)
	for range 50 {
		q.Pop(start, always)
	}
	pushItems(q, 1, "away", 10)
	n := 0
	for range 10 {
		if x, _ := q.Pop(at(1), always); x.Caller == "away" {
			n++
		}
	}
	if n > 6 {
		t.Errorf("%d of 10 served for the caller that returned, want about half", n)
	}
}

// Guards against a load order that ignores how much work waits, starves a request that has waited long or favours a flooding
// caller.
func TestNextLoad(t *testing.T) {
	pushWaiting := func(name, caller string, seconds float64, n int) func(*Queue) {
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
		{"most stalled work first", []func(*Queue){pushWaiting("one", "x", 0, 1), pushWaiting("three", "y", 0, 3)}, "three", false},
		{"long wait outweighs more items", []func(*Queue){pushWaiting("old", "x", 0, 1), pushWaiting("three", "y", 9, 3)}, "old", false},
		{"flooding caller counts less", []func(*Queue){pushWaiting("resident", "z", 9, 2), pushWaiting("flood", "x", 9, 12), pushWaiting("two", "y", 4, 2)}, "two", false},
		{"nothing to load", []func(*Queue){pushWaiting("resident", "x", 0, 3)}, "", true},
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

// Guards against a queue that loses or duplicates an item, and against counts of waiting items that drift until a caller is
// refused for ever.
func TestItemsAreNeitherLostNorDuplicated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(8)
		waiting := map[ident.TryID]bool{}
		now := start
		for n := range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			x := newItem(n, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"))
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
					q.RecordFinished(now)
				}
			case 3:
				for _, y := range q.Expired(now) {
					delete(waiting, y.ID)
				}
			}
			counted := 0
			for _, c := range q.callers.byName {
				counted += c.waiting
			}
			if q.Len() != len(waiting) || q.Len() > 8 || counted != q.Len() {
				t.Fatalf("length %d, %d waiting, %d counted", q.Len(), len(waiting), counted)
			}
		}
	})
}
