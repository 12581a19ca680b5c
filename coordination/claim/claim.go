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

// Times of section 9.4 of the design.
const (
	LeaseTime    = 10 * time.Second
	KeepAlive    = 3 * time.Second
	StopAfter    = 6 * time.Second
	SuccessorGap = 2 * time.Second
	retryEvery   = 500 * time.Millisecond
	callTimeout  = time.Second
)

// Store is the part of the key-value service that a claim needs.
type Store interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
	Grant(ctx context.Context, ttl time.Duration) (id keyvalue.LeaseID, err error)
	KeepAlive(ctx context.Context, id keyvalue.LeaseID) (err error)
	Revoke(ctx context.Context, id keyvalue.LeaseID) (err error)
}

// Errors that stop a command.
var (
	// ErrHeld means that another agent holds the claim.
	ErrHeld = eris.New("another agent holds the claim")
	// ErrLost means that the claim is certainly gone.
	ErrLost = eris.New("claim is lost")
	// ErrMargin means that the lease may expire before a command arrives at an endpoint that ignores fencing numbers.
	ErrMargin = eris.New("claim has not been renewed in time")
)

// Status tells what the claim allows.
type Status int

// States of a claim.
const (
	// None means that the claim has not been taken yet.
	None Status = iota
	// Held means that the last keep-alive is recent.
	Held
	// Unsure means that the last keep-alive is old but the claim is not known to be lost.
	Unsure
	// Lost means that the claim is gone: it expired or was taken.
	Lost
	// Released means that this agent has given the claim up for good.
	Released
)

// Claim is one agent's claim; Acquire, Keep and Release belong to one goroutine, the other methods to any.
type Claim struct {
	store  Store
	record registry.ClaimRecord
	key    string
	fenced bool
	clock  quartz.Clock

	mu          sync.Mutex
	status      Status
	lease       keyvalue.LeaseID
	incarnation ident.Incarnation
	// renewed is the time before the last successful keep-alive was sent, by the monotonic clock.
	renewed time.Time

	// pending holds the leases of writes whose outcome is unknown.
	pending map[keyvalue.LeaseID]bool

	// hasten asks Keep to renew the claim at once; attempted is closed at the end of each renewal.
	hasten    chan struct{}
	attempted chan struct{}
	// tried is the time at which the last renewal began; renewing is set until it ends.
	tried    time.Time
	renewing bool
}

// Option changes how a claim is built.
type Option func(*Claim)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(x *Claim) { x.clock = c } }

// ChecksFencing says that the endpoint refuses old fencing numbers, so that commands stay safe past the lease.
func ChecksFencing(checks bool) Option { return func(x *Claim) { x.fenced = checks } }

// New returns a claim that is not held yet.
func New(store Store, r registry.ClaimRecord, options ...Option) *Claim {
	c := &Claim{store: store, record: r, key: registry.ClaimKey(r.Endpoint), clock: quartz.NewReal(), pending: make(map[keyvalue.LeaseID]bool),
		hasten: make(chan struct{}, 1), attempted: make(chan struct{})}
	for _, o := range options {
		o(c)
	}
	return c
}

// Status returns what the claim allows now.
func (c *Claim) Status() (s Status, i ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == Held && c.clock.Since(c.renewed) >= StopAfter {
		return Unsure, c.incarnation
	}
	return c.status, c.incarnation
}

// Check says why a command must not be sent now. It is called immediately before each send; a pause between the check
// and the send can still let a command of a former agent arrive at an endpoint that ignores fencing numbers.
func (c *Claim) Check() (err error) {
	switch s, _ := c.Status(); s {
	case Held:
		return nil
	case Unsure:
		if c.fenced {
			return nil
		}
		return ErrMargin
	}
	return ErrLost
}

func (c *Claim) set(s Status, lease keyvalue.LeaseID, i ident.Incarnation, renewed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A keep-alive that was in flight during the release must not bring the claim back.
	if c.status == Released {
		return
	}
	c.status, c.lease, c.incarnation, c.renewed = s, lease, i, renewed
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
