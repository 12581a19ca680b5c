package schedule

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Clock is a simulated clock with an agenda; it belongs to one goroutine.
type Clock struct {
	now    time.Time
	order  uint64
	agenda agenda
	random *rand.Rand
	halted bool
}

type item struct {
	at    time.Time
	order uint64
	fn    func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = item{}
	*a = (*a)[:last]
	return x
}

// New returns a clock whose random choices follow from the seed.
func New(seed uint64) *Clock {
	return &Clock{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 0x50a4)),
	}
}

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Random returns the source of all choices of the schedule.
func (c *Clock) Random() *rand.Rand { return c.random }

// After runs fn after a duration; functions of one time run in the order of their registration.
func (c *Clock) After(d time.Duration, fn func()) {
	c.order++
	heap.Push(&c.agenda, item{at: c.now.Add(max(d, 0)), order: c.order, fn: fn})
}

// Every runs fn at an interval until it returns false.
func (c *Clock) Every(d time.Duration, fn func() bool) {
	c.After(d, func() {
		if fn() {
			c.Every(d, fn)
		}
	})
}

// Run lets a duration pass, or less if the clock is halted.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for !c.halted && len(c.agenda) > 0 && !c.agenda[0].at.After(end) {
		it := heap.Pop(&c.agenda).(item)
		c.now = it.at
		it.fn()
	}
	if !c.halted {
		c.now = end
	}
}

// Halt stops the run after the current function.
func (c *Clock) Halt() { c.halted = true }

// Halted reports whether the run was stopped.
func (c *Clock) Halted() bool { return c.halted }

// Chance is true in the given number of cases out of 1000.
func (c *Clock) Chance(perMille int) bool { return c.random.IntN(1000) < perMille }

// Between returns a duration of at least low and less than high.
func (c *Clock) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}
