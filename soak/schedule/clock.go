package schedule

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Clock is a simulated clock with a queue of functions to run. It is not safe for concurrent use.
type Clock struct {
	now       time.Time
	lastOrder uint64
	queue     eventQueue
	random    *rand.Rand
	halted    bool
}

type event struct {
	at    time.Time
	order uint64
	fn    func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = event{}
	*a = (*a)[:last]
	return x
}

// New returns a clock whose random choices follow from the seed.
func New(seed uint64) *Clock {
	return &Clock{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		// The second number is arbitrary; another one would change the schedule of every seed.
		random: rand.New(rand.NewPCG(seed, 0x50a4)),
	}
}

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Random returns the source of all choices of the schedule.
func (c *Clock) Random() *rand.Rand { return c.random }

// After runs fn after a duration; functions that are due at the same time run in the order of their registration.
func (c *Clock) After(d time.Duration, fn func()) {
	c.lastOrder++
	heap.Push(&c.queue, event{at: c.now.Add(max(d, 0)), order: c.lastOrder, fn: fn})
}

// Every runs fn at an interval until it returns false.
func (c *Clock) Every(interval time.Duration, fn func() bool) {
	c.After(interval, func() {
		if fn() {
			c.Every(interval, fn)
		}
	})
}

// Run runs the functions that are due within a duration and advances the time to its end, unless Halt stops it earlier.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for !c.halted && len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.fn()
	}
	if !c.halted {
		c.now = end
	}
}

// Halt makes Run return after the current function.
func (c *Clock) Halt() { c.halted = true }

// Halted reports whether Halt was called.
func (c *Clock) Halted() bool { return c.halted }

// Chance returns true with a probability of perMille/1000.
func (c *Clock) Chance(perMille int) bool { return c.random.IntN(1000) < perMille }

// Between returns a duration of at least low and less than high.
func (c *Clock) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}
