package claim

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

// Keep renews the claim until ctx ends or the claim is released, acquires it again after a loss, and reports each change of
// status.
func (c *Claim) Keep(ctx context.Context, report func(Status, ident.Incarnation)) (err error) {
	last, _ := c.Status()
	next := c.clock.Now().Add(KeepAliveInterval)
	for {
		requested, err := c.waitForCheck(ctx)
		if err != nil {
			return err
		}
		if requested || !c.clock.Now().Before(next) {
			started := c.beginRenewal()
			if err = c.Renew(ctx); err == nil {
				next = started.Add(KeepAliveInterval)
			}
			c.endRenewal()
		}
		s, i := c.Status()
		if s == Released {
			return nil
		}
		if s != last {
			report(s, i)
		}
		if s == Lost {
			if i, err = c.Acquire(ctx); err != nil {
				return err
			}
			next = c.clock.Now().Add(KeepAliveInterval)
			s = Held
			report(s, i)
		}
		last = s
	}
}

// Renew sends one keep-alive. The age of the renewal counts from the start of the call, because the service may have extended
// the lease as early as that.
func (c *Claim) Renew(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "renew claim") }()
	c.mu.Lock()
	lease, i, s := c.lease, c.incarnation, c.status
	c.mu.Unlock()
	if s != Held {
		return ErrLost
	}
	started := c.clock.Now()
	err = c.keepAlive(ctx, lease)
	switch {
	case err == nil:
		c.setStatus(Held, lease, i, started)
	case errors.Is(err, keyvalue.ErrLeaseExpired):
		c.setStatus(Lost, 0, i, started)
	}
	return err
}

// Release gives up the claim for good and revokes its lease. No order may be in flight.
func (c *Claim) Release(ctx context.Context) {
	c.mu.Lock()
	lease, s := c.lease, c.status
	c.status = Released
	c.mu.Unlock()
	if s == Held {
		c.revoke(ctx, lease)
	}
}

// Invalidate marks the claim of incarnation i as lost, for example because the endpoint has received a newer fencing number. It reports
// false and changes nothing if the claim is of another incarnation.
func (c *Claim) Invalidate(i ident.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation != i {
		return false
	}
	if c.status != Released {
		c.status = Lost
	}
	return true
}
