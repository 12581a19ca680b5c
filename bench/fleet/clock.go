package fleet

import (
	"container/heap"
	"time"
)

// epoch is the simulated time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at time.Duration
	// number is the order of scheduling, in which events of the same time run.
	number int
	run    func()
}

type events []event

func (l events) Len() int { return len(l) }
func (l events) Less(i, j int) bool {
	return l[i].at < l[j].at || (l[i].at == l[j].at && l[i].number < l[j].number)
}
func (l events) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *events) Push(x any)   { *l = append(*l, x.(event)) }
func (l *events) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	(*l)[last] = event{}
	*l = (*l)[:last]
	return x
}

// Clock is the simulated clock: it runs the scheduled events in order of their time.
type Clock struct {
	now       time.Duration
	scheduled int
	events    events
}

// Since returns the simulated time since the start of the run.
func (c *Clock) Since() time.Duration { return c.now }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return epoch.Add(c.now) }

func (c *Clock) schedule(d time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: c.now + d, number: c.scheduled, run: run})
}

func (c *Clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
