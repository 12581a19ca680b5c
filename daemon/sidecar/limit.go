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
	ownCallsPerSecond = 0.7
	ownCallShare      = 0.24
)

// ownCallInterval returns the least time between two calls of the agent to an engine with a limit.
func ownCallInterval(l sendlimit.Limit) time.Duration {
	return max(time.Duration(float64(time.Second)/(ownCallsPerSecond+ownCallShare*l.PerSecond)), pollInterval)
}

// maxReportAge returns the age of the engine's last report from which the state counts as stale.
func (s *Sidecar) maxReportAge() time.Duration {
	if s.limit.Named {
		return maxReportAge + 2*ownCallInterval(s.limit)
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

// recordCall records a call to the engine.
func (s *Sidecar) recordCall(report bool) {
	s.calledAt, s.polled = s.clock.Now(), report
	if s.limit.Named {
		s.limitedCalls.Inc()
	}
}

// callLimited makes the call that is due to an engine with a limit: an order that its last report leads to, or the next report.
func (s *Sidecar) callLimited(ctx context.Context) {
	now := s.clock.Now()
	if now.Before(s.pausedUntil) || now.Sub(s.calledAt) < ownCallInterval(s.limit) {
		return
	}
	if s.polled && s.failedPolls == 0 {
		if o, ok := s.keeper.Next(now); ok {
			s.sendOrder(ctx, o)
			return
		}
	}
	s.pollEngine(ctx)
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
