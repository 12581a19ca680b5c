package claim

import (
	"context"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

// Times of a claim. Section 9.4 of the design derives them.
const (
	// LeaseTime is the time to live of the lease after each keep-alive.
	LeaseTime = 10 * time.Second
	// KeepAliveInterval is the time between two keep-alives.
	KeepAliveInterval = 3 * time.Second
	// MaxRenewalAge is the time after the start of the last keep-alive from which the claim is uncertain.
	MaxRenewalAge = 6 * time.Second
	// TakeoverDelay is the additional wait before a new agent uses the claim at an endpoint that ignores fencing numbers.
	TakeoverDelay = 2 * time.Second
	// retryInterval is the time between two checks of the claim, and the wait after a failed acquisition.
	retryInterval = 500 * time.Millisecond
	// callTimeout limits each call to the key-value service.
	callTimeout = time.Second
)

// Store is the part of the key-value service that a claim needs.
type Store interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
	Grant(ctx context.Context, ttl time.Duration) (id keyvalue.LeaseID, err error)
	KeepAlive(ctx context.Context, id keyvalue.LeaseID) (err error)
	Revoke(ctx context.Context, id keyvalue.LeaseID) (err error)
}

// Errors of an acquisition, or the reasons why an order must not be sent.
var (
	// ErrHeld means that another agent holds the claim.
	ErrHeld = eris.New("another agent holds the claim")
	// ErrLost means that this agent does not hold the claim.
	ErrLost = eris.New("claim is lost")
	// ErrNotRenewed means that the lease may expire before an order arrives at an endpoint that ignores fencing numbers.
	ErrNotRenewed = eris.New("claim may have expired: the last keep-alive is too old")
)

// Status is the state of a claim; it decides which orders an agent may send.
type Status int

// States of a claim.
const (
	// None means that the claim has not been acquired yet.
	None Status = iota
	// Held means that the last keep-alive is recent.
	Held
	// Uncertain means that the last keep-alive is at least MaxRenewalAge old but the claim is not known to be lost.
	Uncertain
	// Lost means that the claim has expired, or that another agent has acquired it.
	Lost
	// Released means that this agent has released the claim and does not acquire it again.
	Released
)

// Claim is one agent's claim on its endpoint, which permits it to send orders there. Acquire, Keep and Release must be called
// from one goroutine; the other methods are safe for concurrent use.
type Claim struct {
	store         Store
	record        registry.ClaimRecord
	key           string
	checksFencing bool
	clock         quartz.Clock

	mu          sync.Mutex
	status      Status
	lease       keyvalue.LeaseID
	incarnation ident.Incarnation
	// renewedAt is the monotonic time immediately before the last successful keep-alive was sent.
	renewedAt time.Time

	// pendingLeases are the leases of writes whose outcome is unknown.
	pendingLeases map[keyvalue.LeaseID]bool

	// renewNow makes Keep renew the claim at once; renewalDone is closed at the end of each renewal and then replaced.
	renewNow    chan struct{}
	renewalDone chan struct{}
	// renewalStart is the time at which the last renewal started; renewing is set until it ends.
	renewalStart time.Time
	renewing     bool
}

// Option changes how a claim is built.
type Option func(*Claim)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(x *Claim) { x.clock = c } }

// WithFencingChecks states whether the endpoint refuses stale fencing numbers, which keeps orders safe after the lease has
// expired.
func WithFencingChecks(checks bool) Option { return func(x *Claim) { x.checksFencing = checks } }

// New returns a claim that has not been acquired yet.
func New(store Store, r registry.ClaimRecord, options ...Option) *Claim {
	c := &Claim{store: store, record: r, key: registry.ClaimKey(r.Endpoint), clock: quartz.NewReal(),
		pendingLeases: make(map[keyvalue.LeaseID]bool), renewNow: make(chan struct{}, 1), renewalDone: make(chan struct{})}
	for _, o := range options {
		o(c)
	}
	return c
}

// Status returns the present state of the claim and the incarnation of its last acquisition.
func (c *Claim) Status() (s Status, i ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == Held && c.clock.Since(c.renewedAt) >= MaxRenewalAge {
		return Uncertain, c.incarnation
	}
	return c.status, c.incarnation
}

// Check returns the reason why an order must not be sent now, or nil. It is called immediately before each send. If the
// process is paused between the check and the send, an order of a previous agent can still arrive at an endpoint that
// ignores fencing numbers.
func (c *Claim) Check() (err error) {
	switch s, _ := c.Status(); s {
	case Held:
		return nil
	case Uncertain:
		if c.checksFencing {
			return nil
		}
		return ErrNotRenewed
	}
	return ErrLost
}

func (c *Claim) setStatus(s Status, lease keyvalue.LeaseID, i ident.Incarnation, renewedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A keep-alive that was in flight during the release must not mark the claim as held again.
	if c.status == Released {
		return
	}
	c.status, c.lease, c.incarnation, c.renewedAt = s, lease, i, renewedAt
}

func (c *Claim) sleep(ctx context.Context, d time.Duration) (err error) {
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
