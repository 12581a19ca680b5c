package loadpermit

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/resource"
)

const (
	// leaseCheckInterval is the time between two checks of whether a poll or a keep-alive is due.
	leaseCheckInterval = time.Second
	// pollInterval is the time between two reads of the holder's record by an entry that is not the holder. Every entry
	// polls, so a shorter interval would take a large part of the reads that the key-value service can serve.
	pollInterval = registry.KeepAliveInterval
	// grantPeriod is the time for which a holder grants permits after the start of its last successful keep-alive. It is
	// shorter than the lease, so that two holders never grant at the same time.
	grantPeriod    = 6 * time.Second
	releaseTimeout = 2 * time.Second
)

// Store is the part of the key-value service that a Holder uses.
type Store interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
	Grant(ctx context.Context, ttl time.Duration) (id keyvalue.LeaseID, err error)
	KeepAlive(ctx context.Context, id keyvalue.LeaseID) (err error)
	Revoke(ctx context.Context, id keyvalue.LeaseID) (err error)
}

// Configuration provides the policy in force.
type Configuration interface {
	Current() *resource.Set
}

// Holder competes for the lease of the load budget and grants permits while it has the lease.
type Holder struct {
	store         Store
	self          registry.ProcessRecord
	configuration Configuration
	clock         quartz.Clock

	// lease, lastRenewal and lastPoll are used only by Run.
	lease       keyvalue.LeaseID
	lastRenewal time.Time
	lastPoll    time.Time

	mu             sync.Mutex
	grantFrom      time.Time
	grantUntil     time.Time
	loadsPerSecond float64
	loadsInFlight  int
	budget         *permit.Budget
}

// Option configures a new Holder.
type Option func(*Holder)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(h *Holder) { h.clock = c } }

// NewHolder returns a holder; it competes for the lease while Run runs.
func NewHolder(s Store, self registry.ProcessRecord, c Configuration, options ...Option) *Holder {
	h := &Holder{store: s, self: self, configuration: c, clock: quartz.NewReal()}
	for _, o := range options {
		o(h)
	}
	return h
}

// Run competes for the lease until ctx ends and then releases it.
func (h *Holder) Run(ctx context.Context) (err error) {
	t := h.clock.NewTicker(leaseCheckInterval, "permit")
	defer t.Stop()
	for {
		// A failed step is retried at the next tick. Without a renewed lease, grants stop at grantUntil.
		_ = h.step(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			h.release(ctx)
			return ctx.Err()
		}
	}
}

func (h *Holder) step(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "acquire or renew the lease of the load permits") }()
	now := h.clock.Now()
	if h.lease == 0 {
		if !h.lastPoll.IsZero() && now.Sub(h.lastPoll) < pollInterval {
			return nil
		}
		h.lastPoll = now
		return h.acquire(ctx)
	}
	if now.Sub(h.lastRenewal) < registry.KeepAliveInterval {
		return nil
	}
	err = h.store.KeepAlive(ctx, h.lease)
	if eris.Is(err, keyvalue.ErrLeaseExpired) {
		h.lease = 0
		return err
	}
	if err != nil {
		return err
	}
	h.extendGranting(now)
	return nil
}

// acquire stores this process as the holder if there is none.
func (h *Holder) acquire(ctx context.Context) (err error) {
	_, found, err := h.store.Get(ctx, registry.PermitKey)
	if err != nil || found {
		return err
	}
	value, err := json.Marshal(h.self)
	if err != nil {
		return err
	}
	start := h.clock.Now()
	lease, err := h.store.Grant(ctx, registry.LeaseTime)
	if err != nil {
		return err
	}
	_, swapped, err := h.store.CompareAndSwap(ctx, keyvalue.Swap{Key: registry.PermitKey, Value: value, Lease: lease})
	if err != nil || !swapped {
		// The write may have taken effect although its response was lost; revoking the lease deletes the record.
		_ = h.store.Revoke(ctx, lease)
		return err
	}
	h.lease = lease
	h.startGranting(start)
	return nil
}

// startGranting delays grants until the permits that the previous holder may have granted have expired.
func (h *Holder) startGranting(start time.Time) {
	h.mu.Lock()
	h.grantFrom = h.clock.Now().Add(permit.UnusedPermitTimeout)
	h.budget = nil
	h.mu.Unlock()
	h.extendGranting(start)
}

func (h *Holder) extendGranting(start time.Time) {
	h.lastRenewal = start
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grantUntil = start.Add(grantPeriod)
}

func (h *Holder) release(ctx context.Context) {
	h.mu.Lock()
	h.grantUntil = time.Time{}
	h.mu.Unlock()
	if h.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = h.store.Revoke(ctx, h.lease)
	h.lease = 0
}

// Permit grants permits to an agent; it fails with Unavailable if this process is not the holder.
func (h *Holder) Permit(_ context.Context, request *wire.PermitRequest) (response *wire.PermitResponse, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !now.Before(h.grantUntil) {
		return nil, twirp.NewError(twirp.Unavailable, "this entry does not hold the load permits")
	}
	response = &wire.PermitResponse{ExpireMilli: permit.UnusedPermitTimeout.Milliseconds()}
	if now.Before(h.grantFrom) {
		return response, nil
	}
	b := h.currentBudget(now)
	e := ident.Endpoint(request.GetEndpoint())
	for range request.GetDone() {
		b.Done(e)
	}
	stalled := time.Duration(request.GetStalledMilli()) * time.Millisecond
	for range request.GetWanted() {
		if !b.TakeFor(now, e, stalled.Seconds()) {
			break
		}
		// An agent uses a permit as soon as it gets it.
		b.Begin(now, e)
		response.Granted++
	}
	response.WaitMilli = b.Wait(now).Milliseconds()
	return response, nil
}

// currentBudget returns the budget of the policy in force; a change of its limits starts a new budget.
func (h *Holder) currentBudget(now time.Time) *permit.Budget {
	p := h.configuration.Current().Policy()
	if h.budget == nil || h.loadsPerSecond != p.LoadsPerSecond || h.loadsInFlight != p.LoadsInFlight {
		h.loadsPerSecond, h.loadsInFlight = p.LoadsPerSecond, p.LoadsInFlight
		h.budget = permit.New(h.loadsPerSecond, h.loadsInFlight, now)
	}
	return h.budget
}
