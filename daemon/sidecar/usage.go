package sidecar

import (
	"errors"
	"os"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/quotapool"
)

// shareUsage grants or denies the usage of a tenant that an entry asks for.
func (s *Sidecar) shareUsage(x *entryLink, r control.UsageRequest) (err error) {
	now := s.clock.Now()
	s.usage.Join(now, x.host, x.number, r.Shards)
	if r.Tenant == "" {
		return nil
	}
	g := s.usage.Ask(now, quotapool.Usage{Tenant: r.Tenant, Limit: r.Limit, Version: r.Version, Units: r.Units, Stock: r.Stock, Returned: r.Returned, Former: r.Former, Claimed: r.Claimed})
	s.usageRequests.Inc()
	if r.Units > 0 && !g.Granted {
		s.usageDenials.Inc()
	}
	if r.Units == 0 && r.Stock == 0 {
		return nil
	}
	return x.conn.Send(control.State{Usage: &control.UsageGrant{
		Sequence: r.Sequence, Granted: g.Granted, WaitMilli: roundUp(g.Wait), RetryAfterMilli: roundUp(g.RetryAfter), Stock: g.Stock, Left: g.Left,
	}})
}

// endUsage records the end of an entry's connection. An entry that has closed it uses no grants any more; one that is silent may be out of reach.
func (s *Sidecar) endUsage(x *entryLink, cause error) {
	s.usage.Leave(s.clock.Now(), x.host, x.number, errors.Is(cause, os.ErrDeadlineExceeded))
}

func roundUp(d time.Duration) (milliseconds int64) { return (d + time.Millisecond - 1).Milliseconds() }
