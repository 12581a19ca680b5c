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

// held is a claim that the service has confirmed.
type held struct {
	lease       keyvalue.LeaseID
	incarnation ident.Incarnation
}

// Acquire takes the claim, waiting until no other agent holds it or ctx ends.
// At an endpoint that ignores fencing numbers it also waits until a former holder has certainly stopped.
func (c *Claim) Acquire(ctx context.Context) (i ident.Incarnation, err error) {
	defer func() { err = eris.Wrapf(err, "claim endpoint %s", c.record.Endpoint) }()
	for {
		h, err := c.attempt(ctx)
		if err == nil {
			err = c.confirm(ctx, h)
		}
		if err == nil {
			return h.incarnation, nil
		}
		if err = c.sleep(ctx, retryEvery); err != nil {
			return 0, err
		}
	}
}

// confirm makes the claim usable. An absent key does not tell whether the former lease expired or was revoked, so the
// margin is waited for in both cases, and the lease is renewed after it.
func (c *Claim) confirm(ctx context.Context, h held) (err error) {
	if !c.fenced {
		if err = c.sleep(ctx, SuccessorGap); err != nil {
			return err
		}
	}
	started := c.clock.Now()
	if err = c.keepAlive(ctx, h.lease); err != nil {
		return err
	}
	clear(c.pending)
	c.set(Held, h.lease, h.incarnation, started)
	return nil
}

// attempt writes the claim if no other agent holds it. A write whose answer was lost is found by its value.
func (c *Claim) attempt(ctx context.Context) (h held, err error) {
	h, found, err := c.find(ctx)
	if err != nil || found {
		return h, err
	}
	value, err := json.Marshal(c.record)
	if err != nil {
		return h, err
	}
	lease, err := c.grant(ctx)
	if err != nil {
		return h, err
	}
	// The write may take effect although its answer is lost.
	c.pending[lease] = true
	at, swapped, err := c.swap(ctx, keyvalue.Swap{Key: c.key, Value: value, Lease: lease})
	switch {
	case err == nil && swapped:
		return held{lease: lease, incarnation: ident.Incarnation(at)}, nil
	case errors.Is(err, keyvalue.ErrUnavailable), err == nil:
		delete(c.pending, lease)
		c.revoke(ctx, lease)
		if err == nil {
			err = ErrHeld
		}
		return h, err
	}
	if h, found, err = c.find(ctx); err == nil && !found {
		err = keyvalue.ErrOutcomeUnknown
	}
	return h, err
}

// find reads the claim; found is set if it is the result of an earlier write of this agent.
func (c *Claim) find(ctx context.Context) (h held, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, exists, err := c.store.Get(ctx, c.key)
	if err != nil || !exists {
		return h, false, err
	}
	var record registry.ClaimRecord
	if err = json.Unmarshal(r.Value, &record); err != nil {
		return h, false, err
	}
	_, own := c.pending[r.Lease]
	if !own || record.Process != c.record.Process {
		return h, false, ErrHeld
	}
	return held{lease: r.Lease, incarnation: ident.Incarnation(r.ModRevision)}, true, nil
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
