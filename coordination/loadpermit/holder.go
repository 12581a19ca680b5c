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
	tick = time.Second
	// lookInterval is the time between two reads of the record by an entry that does not hold the permits. Every entry
	// reads, so that a shorter interval takes a large part of the service's reads.
	lookInterval = registry.KeepAliveInterval
	// grantTime is the time after the start of the last successful keep-alive for which a holder grants. It is shorter
	// than the lease, so that two holders never grant at the same time.
	grantTime      = 6 * time.Second
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

// Holder competes for the lease of the permits and grants them while it has the lease.
type Holder struct {
	store         Store
	self          registry.ProcessRecord
	configuration Configuration
	clock         quartz.Clock

	// lease, renewed and looked belong to Run.
	lease   keyvalue.LeaseID
	renewed time.Time
	looked  time.Time

	mu         sync.Mutex
	grantFrom  time.Time
	grantUntil time.Time
	rate       float64
	inFlight   int
	budget     *permit.Budget
}

// Option changes a new Holder.
type Option func(*Holder)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(h *Holder) { h.clock = c } }

// New returns a holder that Run lets compete for the lease.
func New(s Store, self registry.ProcessRecord, c Configuration, options ...Option) *Holder {
	h := &Holder{store: s, self: self, configuration: c, clock: quartz.NewReal()}
	for _, o := range options {
		o(h)
	}
	return h
}

// Run competes for the lease until ctx ends and then gives it up.
func (h *Holder) Run(ctx context.Context) (err error) {
	t := h.clock.NewTicker(tick, "permit")
	defer t.Stop()
	for {
		// A failed step is repeated at the next tick; grants end by grantUntil meanwhile.
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
	defer func() { err = eris.Wrap(err, "hold the load permits") }()
	now := h.clock.Now()
	if h.lease == 0 {
		if !h.looked.IsZero() && now.Sub(h.looked) < lookInterval {
			return nil
		}
		h.looked = now
		return h.acquire(ctx)
	}
	if now.Sub(h.renewed) < registry.KeepAliveInterval {
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
	h.extend(now)
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
		// The record of a write whose answer was lost goes with the lease.
		_ = h.store.Revoke(ctx, lease)
		return err
	}
	h.lease = lease
	h.begin(start)
	return nil
}

// begin waits for the expiry of permits that the former holder may have granted.
func (h *Holder) begin(start time.Time) {
	h.mu.Lock()
	h.grantFrom = h.clock.Now().Add(permit.Expiry)
	h.budget = nil
	h.mu.Unlock()
	h.extend(start)
}

func (h *Holder) extend(start time.Time) {
	h.renewed = start
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grantUntil = start.Add(grantTime)
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

// Permit grants permits to an agent; it fails with Unavailable if this process does not hold the budget.
func (h *Holder) Permit(_ context.Context, q *wire.PermitRequest) (a *wire.PermitResponse, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !now.Before(h.grantUntil) {
		return nil, twirp.NewError(twirp.Unavailable, "this entry does not hold the load permits")
	}
	a = &wire.PermitResponse{ExpireMilli: permit.Expiry.Milliseconds()}
	if now.Before(h.grantFrom) {
		return a, nil
	}
	b := h.current(now)
	e := ident.Endpoint(q.GetEndpoint())
	for range q.GetDone() {
		b.Done(e)
	}
	stalled := time.Duration(q.GetStalledMilli()) * time.Millisecond
	for range q.GetWanted() {
		if !b.TakeFor(now, e, stalled.Seconds()) {
			break
		}
		// An agent uses a permit as soon as it gets it.
		b.Begin(now, e)
		a.Granted++
	}
	a.WaitMilli = b.Wait(now).Milliseconds()
	return a, nil
}

// current returns the budget of the policy in force; a changed policy starts a new budget.
func (h *Holder) current(now time.Time) *permit.Budget {
	p := h.configuration.Current().Policy()
	if h.budget == nil || h.rate != p.LoadsPerSecond || h.inFlight != p.LoadsInFlight {
		h.rate, h.inFlight = p.LoadsPerSecond, p.LoadsInFlight
		h.budget = permit.New(h.rate, h.inFlight, now)
	}
	return h.budget
}
