package claim

import (
	"context"
	"time"
)

const (
	// contactFresh is the age up to which the last renewal answers the question for the contact.
	contactFresh = time.Second
	// contactWait bounds the wait for an early renewal. A service that needs longer counts as lost. With a longer wait the
	// asking process would count as isolated in a silent outage before it has the answers.
	contactWait = 400 * time.Millisecond
)

// Contact returns the time since the key-value service last renewed the claim. If the last renewal is old, the next one
// is made at once, so that a process that is cut off can tell its own partition from an outage; ok is false if that
// fails. Early renewals are at least half a second apart, as those after a failure are, so that many processes that ask
// in an outage cause no more calls than one.
// An agent without a claim has nothing to renew and cannot tell: it returns ErrLost.
func (c *Claim) Contact(ctx context.Context) (age time.Duration, ok bool, err error) {
	c.mu.Lock()
	attempted, renewing, recent := c.attempted, c.renewing, c.clock.Since(c.tried) < retryEvery
	c.mu.Unlock()
	if age, ok, err = c.contact(); ok || err != nil || recent && !renewing {
		return age, ok, err
	}
	if !renewing {
		select {
		case c.hasten <- struct{}{}:
		default:
		}
	}
	t := c.clock.NewTimer(contactWait, "claim", "contact")
	defer t.Stop()
	select {
	case <-attempted:
	case <-t.C:
	case <-ctx.Done():
	}
	return c.contact()
}

// Age returns the time since the last renewal; zero before the first.
func (c *Claim) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.renewed.IsZero() {
		return 0
	}
	return c.clock.Since(c.renewed)
}

func (c *Claim) contact() (age time.Duration, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != Held {
		return 0, false, ErrLost
	}
	age = c.clock.Since(c.renewed)
	return age, age <= contactFresh, nil
}

// begin notes the begin of a renewal. Whoever asked for it before is answered by it.
func (c *Claim) begin() (started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.hasten:
	default:
	}
	c.tried, c.renewing = c.clock.Now(), true
	return c.tried
}

// announce tells those who wait in Contact that a renewal has ended.
func (c *Claim) announce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewing = false
	close(c.attempted)
	c.attempted = make(chan struct{})
}

// pause waits until the next look at the claim; asked is set if Contact has asked for it.
func (c *Claim) pause(ctx context.Context) (asked bool, err error) {
	t := c.clock.NewTimer(retryEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.hasten:
		return true, nil
	case <-t.C:
		return false, nil
	}
}
