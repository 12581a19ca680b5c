package sidecar

import (
	"context"
	"log/slog"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/sendlimit"
)

const (
	// ownCallsPerSecond is the rate of the agent's own calls to an engine with a limit, and ownCallShare the share of the limit by which it
	// is higher. They come on top of the requests of callers.
	ownCallsPerSecond = 0.5
	ownCallShare      = 0.24
	// maxOwnCalls is the number of calls that may be made at once after a pause. The engine's report is read when all of them have accrued,
	// so that orders need not wait.
	maxOwnCalls = 2
	// loadReportDelay is the time after an order at which the report is expected to show its effect.
	loadReportDelay = 300 * time.Millisecond
)

// ownCallRate returns the rate of the agent's calls to an engine with a limit, in calls per second.
func ownCallRate(l sendlimit.Limit) float64 {
	return min(ownCallsPerSecond+ownCallShare*l.PerSecond, 1/pollInterval.Seconds())
}

// maxReportAge returns the age of the engine's last report from which the state counts as stale.
func (s *Sidecar) maxReportAge() time.Duration {
	if s.limit.Named {
		return maxReportAge + time.Duration(2*maxOwnCalls/ownCallRate(s.limit)*float64(time.Second))
	}
	return maxReportAge
}

// recordLimit records the limit that a report of the engine names, or that it names none.
func (s *Sidecar) recordLimit(now time.Time, l sendlimit.Limit) {
	s.sends.ObserveReport(now, s.endpoint, l)
	s.updateLimit()
}

// updateLimit takes over the limit of the engine, which entries may have observed.
func (s *Sidecar) updateLimit() {
	l := s.sends.Limit(s.endpoint)
	if l == s.limit {
		return
	}
	s.log.Info("limit of the engine changed", slog.String("Endpoint", string(s.endpoint)), l.Attr(), slog.Float64("FormerPerSecond", s.limit.PerSecond))
	s.limit = l
}

// recordCall counts a call to the engine if it has a limit.
func (s *Sidecar) recordCall() {
	if s.limit.Named {
		s.limitedCalls.Inc()
	}
}

// accrueCalls adds the calls to an engine with a limit that have become due.
func (s *Sidecar) accrueCalls(now time.Time) {
	if !s.accruedAt.IsZero() {
		s.ownCalls = min(s.ownCalls+now.Sub(s.accruedAt).Seconds()*ownCallRate(s.limit), maxOwnCalls)
	}
	s.accruedAt = now
}

// callLimited makes the calls that are due to an engine with a limit: orders that its last report leads to, or the next report.
func (s *Sidecar) callLimited(ctx context.Context) {
	for range maxOwnCalls {
		now := s.clock.Now()
		s.accrueCalls(now)
		if now.Before(s.pausedUntil) || s.ownCalls < 1 {
			return
		}
		if s.failedPolls == 0 {
			if o, ok := s.keeper.Next(now); ok {
				s.ownCalls--
				s.sendOrder(ctx, o)
				continue
			}
		}
		orderShows := s.orderedAt.After(s.reportedAt) && now.Sub(s.orderedAt) >= loadReportDelay
		if s.ownCalls < maxOwnCalls && !orderShows && s.failedPolls == 0 {
			return
		}
		s.ownCalls--
		if !s.pollEngine(ctx) {
			return
		}
	}
}

// shareLimit records the limit that an entry has observed, or hands out the send that it asks for.
func (s *Sidecar) shareLimit(x *entryLink, r control.UsageReport) (err error) {
	now := s.clock.Now()
	if o := r.Observed; o != nil {
		s.sends.Observe(now, o.Endpoint, o.Limit)
		s.log.Info("entry observed a limit", slog.String("Entry", string(x.host)), slog.String("Endpoint", string(o.Endpoint)), o.Limit.Attr())
	}
	if r.Send == nil {
		return nil
	}
	g := s.sends.Reserve(now, r.Send.Endpoint, r.Send.Limit, time.Duration(r.Send.MaxWaitMilli)*time.Millisecond)
	return x.conn.Send(control.State{Grant: &control.SendGrant{Sequence: r.Send.Sequence, Granted: g.Granted, WaitMilli: (g.Wait + time.Millisecond - 1).Milliseconds(), Limit: g.Limit}})
}
