package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotring.dev/platform/standin"
)

const (
	// limitWindow is the time in which the requests to an endpoint with a limit are counted, limitRatio and limitSlack how many more there
	// may be than the limit allows.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// toldDelay is the time after an entry has passed on a response that names a limit from which its requests count.
	toldDelay = 500 * time.Millisecond
	// changeGracePeriod is the time after a change of a limit in which the higher value counts.
	changeGracePeriod = time.Second
)

// limitedEndpoint is one incarnation of an endpoint that names a limit, as the judge follows it.
type limitedEndpoint struct {
	endpoint    *endpoint
	incarnation int
	// limits are the values that it has named, in requests per second, the first one at its start.
	limits   []timedLimit
	arrivals []limitedArrival
	// told has the time at which an entry first passed on a response that names a limit.
	told map[processIncarnation]time.Time
}

type timedLimit struct {
	perSecond float64
	at        time.Time
}

type limitedArrival struct {
	at time.Time
	by processIncarnation
}

// excuse is a time in which the requests of a process do not count.
type excuse struct{ from, until time.Time }

// limitRecords has the endpoints that name a limit, by id, and the excuses by host.
type limitRecords struct {
	limits  map[string]*limitedEndpoint
	excuses map[string][]excuse
}

func newLimitRecords() limitRecords {
	return limitRecords{limits: make(map[string]*limitedEndpoint), excuses: make(map[string][]excuse)}
}

// runLimitPhase makes endpoints name limits, of which some change, while faults occur.
func (d *deployment) runLimitPhase(ctx context.Context, random *rand.Rand, faultSlots chan struct{}) (count int) {
	rates := []float64{0, 0.25, 1, 2, 8}
	var chosen []*endpoint
	switch random.IntN(4) {
	case 0:
		chosen = d.engines
	case 1:
		chosen = append(chosen, d.plainEndpoints[random.IntN(len(d.plainEndpoints))], d.randomEngine(random))
	default:
		for _, i := range random.Perm(len(d.engines))[:1+random.IntN(len(d.engines))] {
			chosen = append(chosen, d.engines[i])
		}
	}
	var options []standin.LimitOption
	if random.IntN(3) == 0 {
		options = append(options, standin.ExceptReports())
	}
	set := func() {
		for _, e := range chosen {
			perSecond := rates[random.IntN(len(rates))]
			d.judge.nameLimit(e, perSecond)
			e.SetLimit([]string{fmt.Sprint(perSecond)}, options...)
		}
	}
	set()
	calm := random.IntN(2) == 0
	count = d.runPhase(ctx, random, faultSlots, time.Now().Add(contactTimeout+randomDuration(random, 4000, 7000)), calm)
	if random.IntN(2) == 0 {
		set()
		count += d.runPhase(ctx, random, faultSlots, time.Now().Add(limitWindow+randomDuration(random, 500, 2000)), calm)
	}
	for _, e := range chosen {
		e.LiftLimit()
	}
	d.judge.endLimits()
	return count
}

// nameLimit records that an endpoint names a limit from now on.
func (j *judge) nameLimit(e *endpoint, perSecond float64) {
	incarnation := e.incarnation()
	j.mu.Lock()
	defer j.mu.Unlock()
	x := j.limits[e.ID()]
	if x == nil || x.incarnation != incarnation {
		x = &limitedEndpoint{endpoint: e, incarnation: incarnation, told: make(map[processIncarnation]time.Time)}
		j.limits[e.ID()] = x
	}
	x.limits = append(x.limits, timedLimit{perSecond: perSecond, at: time.Now()})
}

// recordLimited records the arrival of a request at an endpoint; the caller holds the lock.
func (j *judge) recordLimited(c *call, a standin.Arrival, now time.Time) {
	x := j.limits[a.Engine]
	if x == nil || x.endpoint.incarnation() != x.incarnation {
		return
	}
	x.arrivals = append(x.arrivals, limitedArrival{at: now, by: processIncarnation{c.entry.host, c.incarnation}})
	j.counts["arrivals at limits"]++
}

// recordTold records that an entry has passed on a response that names a limit; the caller holds the lock.
func (j *judge) recordTold(c *call, a response, now time.Time) {
	if a.header.Get("Server-Limit") == "" || len(c.runs) == 0 {
		return
	}
	p := processIncarnation{c.entry.host, c.incarnation}
	if x := j.limits[c.runs[len(c.runs)-1].Engine]; x != nil && x.told[p].IsZero() {
		x.told[p] = now
	}
}

// excuse records that the requests of a host's processes do not count for limits until quietPeriod after the returned function is called.
func (j *judge) excuse(host string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	from := time.Now()
	index := len(j.excuses[host])
	j.excuses[host] = append(j.excuses[host], excuse{from: from, until: from.Add(time.Hour)})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.excuses[host][index].until = time.Now().Add(quietPeriod)
	}
}

// endLimits checks the endpoints that named limits and forgets them.
func (j *judge) endLimits() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, x := range j.limits {
		if start, n, allowed := x.worst(j.excuses); float64(n) > allowed {
			j.addViolationLocked("limit", "%s got %d requests in %s from %s on, %.1f allowed; limits %v", id, n, limitWindow, start.Format("05.000"), allowed, x.limits)
		}
	}
	clear(j.limits)
	clear(j.excuses)
}

// worst returns the window in which the arrivals exceed what is allowed most. Windows count from contactTimeout after the first limit.
func (x *limitedEndpoint) worst(excuses map[string][]excuse) (start time.Time, n int, allowed float64) {
	from := x.limits[0].at.Add(contactTimeout)
	var counted []time.Time
	for _, a := range x.arrivals {
		if told := x.told[a.by]; a.at.Before(from) || told.IsZero() || a.at.Sub(told) < toldDelay || excusedAt(excuses[a.by.host], a.at) {
			continue
		}
		counted = append(counted, a.at)
	}
	allowed = limitSlack
	for i, t := range counted {
		k := i
		for k < len(counted) && counted[k].Sub(t) <= limitWindow {
			k++
		}
		most := x.highest(t.Add(-changeGracePeriod), t.Add(limitWindow))
		if bound := limitRatio*most*limitWindow.Seconds() + limitSlack; float64(k-i)-bound > float64(n)-allowed {
			start, n, allowed = t, k-i, bound
		}
	}
	return start, n, allowed
}

// highest returns the highest limit that was in force between two times.
func (x *limitedEndpoint) highest(from, until time.Time) (most float64) {
	for i, l := range x.limits {
		if l.at.After(until) || i+1 < len(x.limits) && x.limits[i+1].at.Before(from) {
			continue
		}
		most = max(most, l.perSecond)
	}
	return most
}

func excusedAt(list []excuse, at time.Time) bool {
	for _, x := range list {
		if !at.Before(x.from) && at.Before(x.until) {
			return true
		}
	}
	return false
}
