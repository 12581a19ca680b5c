package claim

import (
	"context"
	"time"
)

const (
	// maxContactAge is the age up to which the last renewal counts as present contact with the key-value service.
	maxContactAge = time.Second
	// contactTimeout limits the wait for an early renewal. A key-value service that takes longer counts as unreachable. If the
	// service accepts calls and does not respond, a longer wait would make the querying process count as isolated before the
	// agents' responses arrive.
	contactTimeout = 400 * time.Millisecond
)

// ContactAge returns the time since the key-value service last renewed the claim. If that is more than maxContactAge, Keep
// renews the claim at once; ok is false if this fails. A process that has lost its connection to the key-value service
// queries the agents for it, to distinguish a network partition of its own from an outage of the service. Early renewals
// are at least retryInterval apart, like those after a failure, so that many queries in an outage cause no more calls than
// one. An agent without a claim has nothing to renew: ContactAge returns ErrLost.
func (c *Claim) ContactAge(ctx context.Context) (age time.Duration, ok bool, err error) {
	c.mu.Lock()
	done, renewing, startedRecently := c.renewalDone, c.renewing, c.clock.Since(c.renewalStart) < retryInterval
	c.mu.Unlock()
	if age, ok, err = c.recentContact(); ok || err != nil || startedRecently && !renewing {
		return age, ok, err
	}
	if !renewing {
		select {
		case c.renewNow <- struct{}{}:
		default:
		}
	}
	t := c.clock.NewTimer(contactTimeout, "claim", "contact")
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
	return c.recentContact()
}

// Age returns the time since the last renewal, or zero before the first.
func (c *Claim) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.renewedAt.IsZero() {
		return 0
	}
	return c.clock.Since(c.renewedAt)
}

func (c *Claim) recentContact() (age time.Duration, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != Held {
		return 0, false, ErrLost
	}
	age = c.clock.Since(c.renewedAt)
	return age, age <= maxContactAge, nil
}

// beginRenewal records the start of a renewal, which serves all earlier requests for an early one.
func (c *Claim) beginRenewal() (started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.renewNow:
	default:
	}
	c.renewalStart, c.renewing = c.clock.Now(), true
	return c.renewalStart
}

// endRenewal wakes the calls of ContactAge that wait for the renewal.
func (c *Claim) endRenewal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewing = false
	close(c.renewalDone)
	c.renewalDone = make(chan struct{})
}

// waitForCheck waits until the next check of the claim is due; requested is set if ContactAge requests an early renewal.
func (c *Claim) waitForCheck(ctx context.Context) (requested bool, err error) {
	t := c.clock.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.renewNow:
		return true, nil
	case <-t.C:
		return false, nil
	}
}
