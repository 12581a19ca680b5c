package admission

import (
	"math"
	"slices"
	"time"

	"shallotring.dev/state/ident"
)

const (
	// arrivalTimeConstant is the time constant with which a caller's number of arrivals decays.
	arrivalTimeConstant = 10 * time.Second
	// minArrivals is the decayed number of arrivals below which a caller with nothing in the queue is inactive and its
	// record is removed.
	minArrivals = 0.05
	// minShareArrivals is the decayed number of arrivals below which a caller is never over its share, because so few cannot
	// tell a burst from a flood.
	minShareArrivals = 8
)

// caller is the record of one caller.
type caller struct {
	name  ident.Caller
	share float64
	// waiting is the number of its items in the queue.
	waiting int
	// arrivals is the number of arrivals, decayed with arrivalTimeConstant up to the time updated.
	arrivals float64
	updated  time.Time
	// tag is the virtual time at which the caller is served next; it rises by 1/share with each item.
	tag float64
}

// callers orders the active callers by start-time fair queuing and measures their arrival rates.
type callers struct {
	byName map[ident.Caller]*caller
	// list holds the same callers in a fixed order: sums in map order would differ in their last bits between runs.
	list []*caller
	// virtualTime is the tag of the caller whose item was popped last. A caller that returns starts there and gains nothing from
	// its absence.
	virtualTime float64
}

func newCallers() callers { return callers{byName: make(map[ident.Caller]*caller)} }

// recordArrival counts a new item of a caller, whether the queue accepts it or not.
func (c *callers) recordArrival(now time.Time, name ident.Caller, share float64) {
	x, ok := c.byName[name]
	if !ok {
		c.removeInactive(now)
		x = &caller{name: name, updated: now}
		c.byName[name] = x
		c.list = append(c.list, x)
	}
	x.share = shareOrDefault(share)
	x.arrivals = x.decayed(now) + 1
	x.updated = now
	if x.waiting == 0 {
		x.tag = max(x.tag, c.virtualTime)
	}
}

// removeInactive deletes the records of inactive callers.
func (c *callers) removeInactive(now time.Time) {
	c.list = slices.DeleteFunc(c.list, func(x *caller) bool {
		if x.waiting > 0 || x.decayed(now) >= minArrivals {
			return false
		}
		delete(c.byName, x.name)
		return true
	})
}

// addWaiting changes the number of a caller's waiting items by n.
func (c *callers) addWaiting(name ident.Caller, n int) {
	if x, ok := c.byName[name]; ok {
		x.waiting += n
	}
}

func (c *callers) waiting(name ident.Caller) int {
	if x, ok := c.byName[name]; ok {
		return x.waiting
	}
	return 0
}

// itemsAhead returns the number of waiting items that the fair order serves before a new item of the caller.
func (c *callers) itemsAhead(name ident.Caller) (n int) {
	own, share := 0, 1.0
	if x, ok := c.byName[name]; ok {
		own, share = x.waiting, x.share
	}
	for _, x := range c.list {
		n += min(x.waiting, int(math.Ceil(float64(own+1)*x.share/share)))
	}
	return n
}

func (c *callers) tag(name ident.Caller) float64 {
	if x, ok := c.byName[name]; ok {
		return x.tag
	}
	return c.virtualTime
}

// recordPopped advances the virtual time after an item of the caller was taken from the queue.
func (c *callers) recordPopped(name ident.Caller, share float64) {
	if x, ok := c.byName[name]; ok {
		c.virtualTime = max(c.virtualTime, x.tag)
		x.tag += 1 / shareOrDefault(share)
	}
}

// shareFraction returns the caller's part of the shares of all active callers; a lone caller gets half, which leaves room
// for another one.
func (c *callers) shareFraction(now time.Time, name ident.Caller) float64 {
	own, sum := 1.0, 0.0
	for _, x := range c.list {
		if x.name == name {
			own = x.share
		}
		if x.name == name || x.active(now) {
			sum += x.share
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

// excess returns the caller's arrivals divided by its fair part of all arrivals. It is 1 while the caller has too few arrivals
// or no other caller is active.
func (c *callers) excess(now time.Time, name ident.Caller) float64 {
	own, ok := c.byName[name]
	if !ok || own.decayed(now) < minShareArrivals || !c.contended(now, name) {
		return 1
	}
	arrivals, shares := 0.0, 0.0
	for _, x := range c.list {
		arrivals += x.decayed(now)
		shares += x.share
	}
	return own.decayed(now) / arrivals * shares / own.share
}

// active reports whether the caller has waiting items or recent arrivals.
func (x *caller) active(now time.Time) bool { return x.waiting > 0 || x.decayed(now) >= minArrivals }

// decayed returns the decayed number of arrivals at the given time.
func (x *caller) decayed(now time.Time) float64 {
	return x.arrivals * math.Exp(-max(now.Sub(x.updated), 0).Seconds()/arrivalTimeConstant.Seconds())
}

func shareOrDefault(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
