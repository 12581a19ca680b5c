package frontend

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/call"
	"shallotring.dev/state/sendlimit"
)

const (
	// observationTime is the time for which an entry's own observation of a limit counts beside the state of the engine's agent, which
	// the agent has to learn it from.
	observationTime = 500 * time.Millisecond
	// grantTimeout is the longest wait for an agent's response to a SendRequest.
	grantTimeout = 150 * time.Millisecond
	// lostAgentShare is the part of its share of a limit that an entry uses without the agent that hands out the sends: others may
	// still reach the agent.
	lostAgentShare = 0.5
	// maxSendDenials is the maximum number of endpoints at which one request is denied a send.
	maxSendDenials = 6
	// maxSendWait is the longest wait for a send if the route has no latency goal.
	maxSendWait = time.Second
)

// endpointLimit is what an entry knows of the limit of an endpoint; the frontend's lock guards it.
type endpointLimit struct {
	// observed is the limit that the last response has named at observedAt, or that the agent's last state names.
	observed   sendlimit.Limit
	observedAt time.Time
	// limited is set since limitedSince while the endpoint has a limit.
	limited      bool
	limitedSince time.Time
	// freeAt is the time at which the next send is expected to be free.
	freeAt time.Time
	// share has the sends of this entry while no agent hands them out; nil before the first.
	share *sendlimit.Budget
}

// adoptLimit takes over the limit that the agent's state names, which stays in force if the agent is lost; the lock is held.
func (e *endpoint) adoptLimit(now time.Time, s control.State) {
	if s.SharesLimits && (!e.observed.Named || now.Sub(e.observedAt) >= observationTime) {
		e.observed = s.Limit
	}
}

// refreshLimit returns the limit of an endpoint and records its beginning and end; the lock is held.
func (f *Frontend) refreshLimit(now time.Time, e *endpoint) (l sendlimit.Limit) {
	l = e.observed
	if l.Named == e.limited {
		return l
	}
	e.limited, e.limitedSince = l.Named, now
	if !l.Named {
		e.freeAt, e.share = time.Time{}, nil
	}
	f.metrics.limitChanges.Inc()
	f.log.Info("limit of an endpoint changed", slog.String("Endpoint", string(e.name)), l.Attr(), slog.Bool("Agent", e.agentState(now) != nil))
	return l
}

// recordLimit records the limit that a response to a request sent at start names, or that it names none.
func (f *Frontend) recordLimit(x *request, e *endpoint, info call.ResponseInfo, start time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if info.InvalidLimit {
		f.metrics.invalidLimits.Inc()
		f.log.Warn("endpoint named a limit that cannot be read", x.id(), slog.String("Endpoint", string(e.name)), info.Limit.Attr())
		if !info.Limit.Named {
			return
		}
	}
	now := f.clock.Now()
	known := f.refreshLimit(now, e)
	if !info.Limit.Named && (!known.Named || start.Before(e.limitedSince)) {
		// The response may be older than the limit.
		return
	}
	e.observed, e.observedAt = info.Limit, now
	if info.Limit != known {
		f.log.Info("response names another limit", x.id(), slog.String("Endpoint", string(e.name)), info.Limit.Attr(), slog.Float64("FormerPerSecond", known.PerSecond))
		if l := f.grantor(now, e); l != nil {
			l.enqueue(control.UsageReport{Observed: &control.LimitObservation{Endpoint: e.ID, Limit: info.Limit}})
		}
	}
	f.updatePlacement(e)
}

// countLimitedSend counts a request to an endpoint with a limit.
func (f *Frontend) countLimitedSend(x *request, e *endpoint) {
	f.mu.Lock()
	limit := e.observed
	f.mu.Unlock()
	if !limit.Named {
		return
	}
	f.metrics.limitedSends.Inc()
	f.log.Info("request sent to an endpoint with a limit", x.id(), slog.String("Endpoint", string(e.name)), limit.Attr(), slog.Int("Send", x.sends))
}

// grantor returns the link to the agent that hands out the sends to an endpoint: the engine's own agent, or the one that all entries choose
// for an endpoint without an agent; nil if it is not connected. The lock is held.
func (f *Frontend) grantor(now time.Time, e *endpoint) (best *agentLink) {
	if e.link != nil {
		if s := e.agentState(now); s == nil || !s.SharesLimits {
			return nil
		}
		return e.link
	}
	highest := uint64(0)
	for _, l := range f.links {
		if l.state == nil || !l.state.SharesLimits || now.Sub(l.stateAt) > stateExpiry {
			continue
		}
		if h := xxhash.Sum64String(l.address + "\x00" + string(e.ID)); best == nil || h > highest {
			best, highest = l, h
		}
	}
	return best
}

// acquireSend waits until a request may be sent to an endpoint that has a limit, for maxWait at most; granted is false if it may not.
func (f *Frontend) acquireSend(ctx context.Context, x *request, e *endpoint, maxWait time.Duration) (granted bool) {
	start := f.clock.Now()
	f.mu.Lock()
	limit := f.refreshLimit(start, e)
	if !limit.Named {
		f.mu.Unlock()
		return true
	}
	agent := f.grantor(start, e)
	f.mu.Unlock()
	var g control.SendGrant
	answered := false
	if agent != nil {
		g, answered = f.askForSend(ctx, agent, control.SendRequest{Endpoint: e.name, Limit: limit, MaxWaitMilli: maxWait.Milliseconds()})
	}
	now := f.clock.Now()
	f.mu.Lock()
	if !answered {
		g = e.takeShare(now, limit, f.entryCount(now), agent != nil || e.link != nil, f.random.Float64(), maxWait)
	} else if !g.Limit.Named && e.link == nil {
		// Another entry has observed the end of the limit; states of agents are about their own engines only.
		e.observed = sendlimit.Limit{}
		f.refreshLimit(now, e)
	}
	wait := time.Duration(g.WaitMilli) * time.Millisecond
	if e.freeAt = now.Add(wait); !g.Granted {
		f.metrics.limitDenials.Inc()
	}
	f.updatePlacement(e)
	f.log.Info("send to an endpoint with a limit requested", x.id(), slog.String("Endpoint", string(e.name)), limit.Attr(), slog.Bool("Granted", g.Granted),
		slog.Int64("WaitMilli", g.WaitMilli), slog.Int64("MaxWaitMilli", maxWait.Milliseconds()), slog.Bool("Agent", answered), slog.Int64("DurationMilli", now.Sub(start).Milliseconds()))
	f.mu.Unlock()
	if !g.Granted || wait == 0 {
		return g.Granted
	}
	t := f.clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// takeShare takes a send from this entry's own share of the limit, which is a part of an equal share if an agent hands out the others. The
// lock is held.
func (e *endpoint) takeShare(now time.Time, l sendlimit.Limit, entries int, agentLost bool, phase float64, maxWait time.Duration) (g control.SendGrant) {
	perSecond := l.PerSecond / float64(entries)
	if agentLost {
		perSecond *= lostAgentShare
	}
	if e.share == nil {
		e.share = sendlimit.NewBudget(now, perSecond, phase)
	}
	e.share.SetRate(now, perSecond)
	wait, ok := e.share.Reserve(now, maxWait)
	return control.SendGrant{Granted: ok, WaitMilli: int64(math.Ceil(wait.Seconds() * 1000))}
}

// askForSend asks an agent for a send; answered is false if it does not respond in time.
func (f *Frontend) askForSend(ctx context.Context, l *agentLink, r control.SendRequest) (g control.SendGrant, answered bool) {
	response := make(chan control.SendGrant, 1)
	f.mu.Lock()
	f.sendSequence++
	r.Sequence = f.sendSequence
	l.asks[r.Sequence] = response
	queued := l.enqueue(control.UsageReport{Send: &r})
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(l.asks, r.Sequence)
		f.mu.Unlock()
	}()
	if !queued {
		return g, false
	}
	t := f.clock.NewTimer(grantTimeout)
	defer t.Stop()
	select {
	case g = <-response:
		return g, true
	case <-t.C:
	case <-ctx.Done():
	}
	return g, false
}

// enqueue queues a message to the agent and reports whether it did.
func (l *agentLink) enqueue(report control.UsageReport) (queued bool) {
	select {
	case l.reports <- report:
		return true
	default:
		return false
	}
}

// handleGrant passes the agent's response to the request that waits for it.
func (l *agentLink) handleGrant(g control.SendGrant) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if response := l.asks[g.Sequence]; response != nil {
		response <- g
		delete(l.asks, g.Sequence)
	}
}

// maxSendWait returns how long a request may wait for a send.
func (x *request) maxSendWait(now time.Time) time.Duration {
	wait := maxSendWait
	if x.route.LatencyGoal > 0 {
		wait = x.route.LatencyGoal
	}
	return max(min(wait, x.deadline.Sub(now)/2), 0)
}

// limitedEndpoints calls visit with the endpoints that could serve a request but for their limit; the lock is held.
func (f *Frontend) limitedEndpoints(now time.Time, x *request, visit func(e *endpoint)) {
	q := f.placementQuery(x)
	for _, e := range f.endpoints {
		if !e.limited || !f.placement.Serves(e.ID, q) || e.closed(now) || f.barred(e) || now.Before(e.suspendedUntil) || e.replaced(now) || slices.Contains(x.excluded, e.ID) {
			continue
		}
		s := e.agentState(now)
		if s != nil && (s.Leaving || !s.Up) {
			continue
		}
		if (s == nil || !f.loadsAdapters(e.Service)) && !x.adapter.IsZero() && !e.holds(now, x.adapter) {
			continue
		}
		visit(e)
	}
}

// soonestLimited returns the endpoint with the earliest send that can still serve a request, and the longest wait for it; e is nil if there
// is none. Endpoints that hold the adapter go first. The lock is held.
func (f *Frontend) soonestLimited(now time.Time, x *request) (e *endpoint, maxWait time.Duration) {
	maxWait = x.maxSendWait(now)
	holds := false
	f.limitedEndpoints(now, x, func(c *endpoint) {
		h := x.adapter.IsZero() || c.holds(now, x.adapter)
		if !h && len(c.waits) > 0 && c.waits[x.adapter] == nil {
			// The agent orders loads as rarely as its engine wants requests; a second one would not be in time.
			return
		}
		if c.freeAt.Sub(now) > maxWait || e != nil && (holds && !h || holds == h && !c.freeAt.Before(e.freeAt)) {
			return
		}
		e, holds = c, h
	})
	return e, maxWait
}

// limitDelay returns the time after which a send to one of the endpoints that could serve a request is expected to be free, with a random
// part so that callers do not return all at once; 0 if no limit keeps the request from them. The lock is held.
func (f *Frontend) limitDelay(now time.Time, x *request) (delay time.Duration) {
	f.limitedEndpoints(now, x, func(e *endpoint) {
		if d := e.freeAt.Sub(now); d > 0 && (delay == 0 || d < delay) {
			delay = d
		}
	})
	return delay + time.Duration(f.random.Float64()*float64(delay))
}
