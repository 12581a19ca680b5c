package admission

import (
	"math"
	"slices"
	"time"

	"shallotring.dev/state/ident"
)

const (
	// window is the time constant of a caller's arrival rate.
	window = 10 * time.Second
	// idle is the decayed number of arrivals below which a caller with nothing in the queue is forgotten.
	idle = 0.05
	// sample is the decayed number of arrivals below which a caller is never over its share: too few to tell a burst from a flood.
	sample = 8
)

// caller is what the queue knows of one caller.
type caller struct {
	name     ident.Caller
	share    float64
	waiting  int
	arrivals float64
	updated  time.Time
	tag      float64
}

// callers keeps the shares of the callers that are active.
type callers struct {
	known map[ident.Caller]*caller
	// list has the same callers in a fixed order: sums in map order would differ in their last bits between runs.
	list []*caller
	// start is the tag of the item served last; a caller that comes back starts there and gains nothing from its absence.
	start float64
}

func newCallers() callers { return callers{known: make(map[ident.Caller]*caller)} }

func (c *callers) arrived(now time.Time, name ident.Caller, share float64) {
	x, ok := c.known[name]
	if !ok {
		c.forget(now)
		x = &caller{name: name, updated: now}
		c.known[name] = x
		c.list = append(c.list, x)
	}
	x.share = weight(share)
	x.arrivals = x.decayed(now) + 1
	x.updated = now
	if x.waiting == 0 {
		x.tag = max(x.tag, c.start)
	}
}

func (c *callers) forget(now time.Time) {
	c.list = slices.DeleteFunc(c.list, func(x *caller) bool {
		if x.waiting > 0 || x.decayed(now) >= idle {
			return false
		}
		delete(c.known, x.name)
		return true
	})
}

func (c *callers) queued(name ident.Caller, n int) {
	if x, ok := c.known[name]; ok {
		x.waiting += n
	}
}

func (c *callers) waiting(name ident.Caller) int {
	if x, ok := c.known[name]; ok {
		return x.waiting
	}
	return 0
}

// ahead is the number of waiting items that go before a new one of a caller by the fair order.
func (c *callers) ahead(name ident.Caller) (n int) {
	own, share := 0, 1.0
	if x, ok := c.known[name]; ok {
		own, share = x.waiting, x.share
	}
	for _, x := range c.list {
		n += min(x.waiting, int(math.Ceil(float64(own+1)*x.share/share)))
	}
	return n
}

func (c *callers) tag(name ident.Caller) float64 {
	if x, ok := c.known[name]; ok {
		return x.tag
	}
	return c.start
}

func (c *callers) served(name ident.Caller, share float64) {
	if x, ok := c.known[name]; ok {
		c.start = max(c.start, x.tag)
		x.tag += 1 / weight(share)
	}
}

// fraction is the caller's part of all shares; a caller alone leaves room for one more.
func (c *callers) fraction(now time.Time, name ident.Caller) float64 {
	own, sum := 1.0, 0.0
	for _, y := range c.list {
		if y.name == name {
			own = y.share
		}
		if y.name == name || y.active(now) {
			sum += y.share
		}
	}
	if !c.contended(now, name) {
		sum += own
	}
	return own / max(sum, own)
}

// contended reports whether another caller competes with the named one.
func (c *callers) contended(now time.Time, name ident.Caller) bool {
	return slices.ContainsFunc(c.list, func(x *caller) bool { return x.name != name && x.active(now) })
}

// excess is the caller's arrivals divided by its fair part of all arrivals; 1 while there is nobody to compare with.
func (c *callers) excess(now time.Time, name ident.Caller) float64 {
	own, ok := c.known[name]
	if !ok || own.decayed(now) < sample || !c.contended(now, name) {
		return 1
	}
	arrivals, shares := 0.0, 0.0
	for _, x := range c.list {
		arrivals += x.decayed(now)
		shares += x.share
	}
	return own.decayed(now) / arrivals * shares / own.share
}

// active reports whether the caller competes for the queue.
func (x *caller) active(now time.Time) bool { return x.waiting > 0 || x.decayed(now) >= idle }

func (x *caller) decayed(now time.Time) float64 {
	return x.arrivals * math.Exp(-max(now.Sub(x.updated), 0).Seconds()/window.Seconds())
}

func weight(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
