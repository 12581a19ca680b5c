package registry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

const (
	// LeaseTime is the time to live of the leases of claims and presence records; a lease survives two lost keep-alives.
	LeaseTime = 10 * time.Second
	// KeepAliveInterval is the time between keep-alives of one lease.
	KeepAliveInterval = 3 * time.Second
	// releaseTimeout limits the removal of the record when the process stops.
	releaseTimeout = 2 * time.Second
)

// PresenceStore is the part of the key-value service that a Presence uses.
type PresenceStore interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
	Grant(ctx context.Context, ttl time.Duration) (id keyvalue.LeaseID, err error)
	KeepAlive(ctx context.Context, id keyvalue.LeaseID) (err error)
	Revoke(ctx context.Context, id keyvalue.LeaseID) (err error)
}

// Presence stores the record of one live process under a lease and keeps the lease alive.
type Presence struct {
	store  PresenceStore
	clock  quartz.Clock
	record ProcessRecord
	lease  keyvalue.LeaseID
	// recordStored is true while the record is known to be stored under the lease.
	recordStored bool
}

// NewPresence returns the presence of a process; Run announces it.
func NewPresence(store PresenceStore, clock quartz.Clock, record ProcessRecord) *Presence {
	return &Presence{store: store, clock: clock, record: record}
}

// Run announces the process until ctx ends and then removes the record. After a failed call the record may be missing
// from the key-value service until the next keep-alive.
func (p *Presence) Run(ctx context.Context) (err error) {
	t := p.clock.NewTicker(KeepAliveInterval, "presence")
	defer t.Stop()
	for {
		// A failed step is retried at the next tick.
		_ = p.step(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			p.release(ctx)
			return ctx.Err()
		}
	}
}

// step renews the lease, or announces the process under a new one.
func (p *Presence) step(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "announce the process") }()
	if p.lease != 0 {
		err = p.store.KeepAlive(ctx, p.lease)
		if eris.Is(err, keyvalue.ErrLeaseExpired) {
			p.lease, p.recordStored = 0, false
		} else if err != nil {
			return err
		}
	}
	if p.lease == 0 {
		if p.lease, err = p.store.Grant(ctx, LeaseTime); err != nil {
			return err
		}
	}
	if p.recordStored {
		return nil
	}
	return p.announce(ctx)
}

// announce stores the record. It replaces a record that an earlier lease or a write without a response left behind.
func (p *Presence) announce(ctx context.Context) (err error) {
	key := ProcessKey(p.record.Process)
	old, found, err := p.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if found && old.Lease == p.lease {
		p.recordStored = true
		return nil
	}
	value, err := json.Marshal(p.record)
	if err != nil {
		return err
	}
	_, p.recordStored, err = p.store.CompareAndSwap(ctx, keyvalue.Swap{
		Key:    key,
		Expect: old.ModRevision,
		Value:  value,
		Lease:  p.lease,
	})
	if eris.Is(err, keyvalue.ErrLeaseExpired) {
		p.lease = 0
	}
	return err
}

func (p *Presence) release(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// If the call fails, the record is removed when its lease expires.
	_ = p.store.Revoke(ctx, p.lease)
	p.lease, p.recordStored = 0, false
}
