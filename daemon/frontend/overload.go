package frontend

import (
	"fmt"
	"time"

	"shallotring.dev/state/outcome"
	"shallotring.dev/state/overload"
	"shallotring.dev/state/placement"
)

// overloadRefusal returns the refusal of a request that is not worth what it costs while there is too little room, nil for others; the lock is held.
func (f *Frontend) overloadRefusal(now time.Time, x *request, s placement.Selection) *outcome.Refusal {
	r := overload.Request{Left: x.deadline.Sub(now), Urgent: f.routes.Load().Urgent(x.route, x.service)}
	p := overload.Prospect{Wait: s.Wait, Cost: s.Cost}
	if !overload.Refuses(r, p) {
		return nil
	}
	f.metrics.overloadRefusals.Inc()
	return &outcome.Refusal{
		Reason: outcome.Overload, RetryAfter: min(max(p.Cost-x.route.LatencyGoal/2, unavailableRetryAfter), r.Left/3),
		Detail: fmt.Sprintf("expected wait %d ms, cost %d ms, streams %d", p.Wait.Milliseconds(), p.Cost.Milliseconds(), s.Streams),
	}
}

// recordPauses records the longest pause of a stream, by which the placement weighs the delay of streams; the lock is held.
func (f *Frontend) recordPauses(x *request, longest time.Duration) {
	if x.route.MaxPause > 0 && longest > x.route.MaxPause {
		f.metrics.longPauses.Inc()
	}
	f.pauses.Record(longest, x.route.MaxPause)
	f.weighStreams()
}

// weighStreams passes the weight of a delay of streams to the placement if the configuration tells which pauses callers accept; the lock is held.
func (f *Frontend) weighStreams() {
	if f.routes.Load().LimitsPauses() {
		f.placement.Configure(placement.WithStreamWeight(f.pauses.Weight()))
	}
}
