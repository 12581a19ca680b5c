package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

// writtenClaim identifies a claim of this agent that is stored in the key-value service.
type writtenClaim struct {
	lease       keyvalue.LeaseID
	incarnation ident.Incarnation
}

// Acquire acquires the claim. It retries until no other agent holds the claim or ctx ends. At an endpoint that ignores
// fencing numbers it also waits until the previous holder has certainly stopped sending orders.
func (c *Claim) Acquire(ctx context.Context) (i ident.Incarnation, err error) {
	defer func() { err = eris.Wrapf(err, "claim endpoint %s", c.record.Endpoint) }()
	for {
		written, err := c.write(ctx)
		if err == nil {
			err = c.activate(ctx, written)
		}
		if err == nil {
			return written.incarnation, nil
		}
		if err = c.sleep(ctx, retryInterval); err != nil {
			return 0, err
		}
	}
}

// activate marks a written claim as held. An absent key does not show whether the previous lease expired or was revoked, so
// activate waits for TakeoverDelay in both cases and renews the lease after it.
func (c *Claim) activate(ctx context.Context, written writtenClaim) (err error) {
	if !c.checksFencing {
		if err = c.sleep(ctx, TakeoverDelay); err != nil {
			return err
		}
	}
	started := c.clock.Now()
	if err = c.keepAlive(ctx, written.lease); err != nil {
		return err
	}
	clear(c.pendingLeases)
	c.setStatus(Held, written.lease, written.incarnation, started)
	return nil
}

// write writes the claim if no other agent holds it. If the response to a write is lost, findWritten recognizes the claim by
// its lease and process.
func (c *Claim) write(ctx context.Context) (written writtenClaim, err error) {
	written, found, err := c.findWritten(ctx)
	if err != nil || found {
		return written, err
	}
	value, err := json.Marshal(c.record)
	if err != nil {
		return written, err
	}
	lease, err := c.grant(ctx)
	if err != nil {
		return written, err
	}
	// The write may take effect although its response is lost.
	c.pendingLeases[lease] = true
	at, swapped, err := c.swap(ctx, keyvalue.Swap{Key: c.key, Value: value, Lease: lease})
	switch {
	case err == nil && swapped:
		return writtenClaim{lease: lease, incarnation: ident.Incarnation(at)}, nil
	case errors.Is(err, keyvalue.ErrUnavailable), err == nil:
		delete(c.pendingLeases, lease)
		c.revoke(ctx, lease)
		if err == nil {
			err = ErrHeld
		}
		return written, err
	}
	if written, found, err = c.findWritten(ctx); err == nil && !found {
		err = keyvalue.ErrOutcomeUnknown
	}
	return written, err
}

// findWritten reads the stored claim; found is set if an earlier write of this agent stored it.
func (c *Claim) findWritten(ctx context.Context) (written writtenClaim, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, exists, err := c.store.Get(ctx, c.key)
	if err != nil || !exists {
		return written, false, err
	}
	var record registry.ClaimRecord
	if err = json.Unmarshal(r.Value, &record); err != nil {
		return written, false, err
	}
	_, pending := c.pendingLeases[r.Lease]
	if !pending || record.Process != c.record.Process {
		return written, false, ErrHeld
	}
	return writtenClaim{lease: r.Lease, incarnation: ident.Incarnation(r.ModRevision)}, true, nil
}

func (c *Claim) grant(ctx context.Context) (id keyvalue.LeaseID, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Grant(ctx, LeaseTime)
}

func (c *Claim) swap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.CompareAndSwap(ctx, s)
}

func (c *Claim) keepAlive(ctx context.Context, id keyvalue.LeaseID) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.KeepAlive(ctx, id)
}

// revoke ends a lease that is not needed; if the call fails, the lease expires by itself.
func (c *Claim) revoke(ctx context.Context, id keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = c.store.Revoke(ctx, id)
}
