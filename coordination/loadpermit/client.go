package loadpermit

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
)

const (
	// lookupInterval bounds the reads of the holder's record by one agent.
	lookupInterval = 2 * time.Second
	callTimeout    = 500 * time.Millisecond
)

// Getter is the part of the key-value service that a Client uses.
type Getter interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
}

// Granter is the call of an entry that grants permits.
type Granter interface {
	Permit(ctx context.Context, q *wire.PermitRequest) (a *wire.PermitResponse, err error)
}

// Share is the fixed share of the budget that an agent uses while there is no holder.
type Share interface {
	Take(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (g permit.Grant, err error)
	Done(e ident.Endpoint)
}

// Client asks the holder for permits and falls back to the fixed share once no holder has answered for a lease time.
type Client struct {
	store   Getter
	granter func(address string) Granter
	share   Share
	clock   quartz.Clock

	mu       sync.Mutex
	holder   Granter
	process  ident.Process
	lookedUp time.Time
	// failing is the time of the first of the failures since the last answer, failed that of the latest.
	failing time.Time
	failed  time.Time
	// done counts ended loads that the holder has not been told of.
	done uint32
	// granted counts the permits of this holder, former those of its predecessors, that no ended load has returned.
	granted     int
	former      int
	formerUntil time.Time
	fallback    int
}

// NewClient returns a client; granter makes the client of the entry with an address.
func NewClient(s Getter, granter func(address string) Granter, share Share, clock quartz.Clock) *Client {
	return &Client{store: s, granter: granter, share: share, clock: clock}
}

// Take asks for up to wanted permits for loads with the given stalled work.
func (c *Client) Take(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (g permit.Grant, err error) {
	defer func() { err = eris.Wrap(err, "take load permits") }()
	a, err := c.ask(ctx, e, wanted, stalled)
	if err == nil {
		return permit.Grant{
			Granted: int(a.GetGranted()),
			Expiry:  time.Duration(a.GetExpireMilli()) * time.Millisecond,
			Wait:    time.Duration(a.GetWaitMilli()) * time.Millisecond,
		}, nil
	}
	if !c.holderLost() {
		return permit.Grant{}, err
	}
	g, err = c.share.Take(ctx, e, wanted, stalled)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fallback += g.Granted
	return g, err
}

// Done reports that a load has ended; it does not wait for the holder.
func (c *Client) Done(e ident.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.fallback > 0:
		c.fallback--
		c.share.Done(e)
		return
	case c.former > 0 && c.clock.Now().Before(c.formerUntil):
		// The current holder would take it for the end of one of its own loads.
		c.former--
		return
	}
	c.granted = max(c.granted-1, 0)
	c.done++
	go func() {
		// An ended load that the holder cannot be told of now is reported with the next request.
		_, _ = c.ask(context.Background(), e, 0, 0)
	}()
}

func (c *Client) ask(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (a *wire.PermitResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() { c.note(err) }()
	h, err := c.lookUp(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	q := &wire.PermitRequest{
		Endpoint: string(e), Wanted: uint32(wanted), Done: c.done, StalledMilli: stalled.Milliseconds(),
	}
	c.done = 0
	c.mu.Unlock()
	a, err = h.Permit(ctx, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// The holder may have counted the ended loads although its answer was lost. Reported twice they would free the
		// permits of other loads; unreported they expire.
		if c.holder == h {
			c.holder = nil
		}
		return nil, err
	}
	c.granted += int(a.GetGranted())
	return a, nil
}

// lookUp returns the known holder, or reads who it is.
func (c *Client) lookUp(ctx context.Context) (h Granter, err error) {
	if h, err = c.known(); h != nil || err != nil {
		return h, err
	}
	// The read is outside the lock, because the agent's control loop takes the lock in Done.
	r, found, err := c.store.Get(ctx, registry.PermitKey)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, eris.New("there is no holder of the load permits")
	}
	var p registry.ProcessRecord
	if err = json.Unmarshal(r.Value, &p); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = c.granter(p.Address)
	if p.Process != c.process {
		c.process = p.Process
		c.former, c.formerUntil = c.former+c.granted, c.clock.Now().Add(permit.LongestLoad)
		c.granted, c.done = 0, 0
	}
	return c.holder, nil
}

// known returns the holder of the last read, or an error if it is too early for another read.
func (c *Client) known() (h Granter, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil {
		return c.holder, nil
	}
	now := c.clock.Now()
	if !c.lookedUp.IsZero() && now.Sub(c.lookedUp) < lookupInterval {
		return nil, eris.New("no holder of the load permits is known")
	}
	c.lookedUp = now
	return nil, nil
}

// note keeps since when no holder has answered. An agent that has not asked for some time starts anew: its last answer
// may be old although there was a holder all the time.
func (c *Client) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failing = time.Time{}
		return
	}
	now := c.clock.Now()
	if c.failing.IsZero() || now.Sub(c.failed) > 2*lookupInterval {
		c.failing = now
	}
	c.failed = now
}

func (c *Client) holderLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.failing) > registry.LeaseTime
}
