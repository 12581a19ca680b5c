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
	// lookupInterval is the shortest time between two reads of the holder's record by one agent.
	lookupInterval = 2 * time.Second
	callTimeout    = 500 * time.Millisecond
)

// Getter is the part of the key-value service that a Client uses.
type Getter interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
}

// Granter is the remote procedure of an entry that grants permits.
type Granter interface {
	Permit(ctx context.Context, request *wire.PermitRequest) (response *wire.PermitResponse, err error)
}

// Share is the fixed share of the budget that an agent uses while there is no holder.
type Share interface {
	Take(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (g permit.Grant, err error)
	Done(e ident.Endpoint)
}

// Client requests permits from the holder. It falls back to the fixed share once no holder has responded for a lease time.
type Client struct {
	store   Getter
	granter func(address string) Granter
	share   Share
	clock   quartz.Clock

	mu            sync.Mutex
	holder        Granter
	holderProcess ident.Process
	lastLookup    time.Time
	// failingSince is the time of the first failure since the last response, lastFailure that of the latest.
	failingSince time.Time
	lastFailure  time.Time
	// unreportedDone counts finished loads that have not been reported to the holder.
	unreportedDone uint32
	// holderPermits counts the permits of the current holder whose loads have not finished, previousPermits those of earlier
	// holders, whose loads count as finished after previousUntil.
	holderPermits   int
	previousPermits int
	previousUntil   time.Time
	// sharePermits counts the permits of the fixed share whose loads have not finished.
	sharePermits int
}

// NewClient returns a client; granter returns the client of the entry at an address.
func NewClient(s Getter, granter func(address string) Granter, share Share, clock quartz.Clock) *Client {
	return &Client{store: s, granter: granter, share: share, clock: clock}
}

// Take requests up to wanted permits; stalled is the summed waiting time of the tries that need the loads.
func (c *Client) Take(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (g permit.Grant, err error) {
	defer func() { err = eris.Wrap(err, "take load permits") }()
	response, err := c.request(ctx, e, wanted, stalled)
	if err == nil {
		return permit.Grant{
			Granted: int(response.GetGranted()),
			Expiry:  time.Duration(response.GetExpireMilli()) * time.Millisecond,
			Wait:    time.Duration(response.GetWaitMilli()) * time.Millisecond,
		}, nil
	}
	if !c.holderLost() {
		return permit.Grant{}, err
	}
	g, err = c.share.Take(ctx, e, wanted, stalled)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharePermits += g.Granted
	return g, err
}

// Done reports that a load has finished; it does not wait for the holder.
func (c *Client) Done(e ident.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sharePermits > 0:
		c.sharePermits--
		c.share.Done(e)
		return
	case c.previousPermits > 0 && c.clock.Now().Before(c.previousUntil):
		// The current holder would count it as the end of one of its own loads.
		c.previousPermits--
		return
	}
	c.holderPermits = max(c.holderPermits-1, 0)
	c.unreportedDone++
	go func() {
		// If no holder is known now, the finished load is reported with the next request.
		_, _ = c.request(context.Background(), e, 0, 0)
	}()
}

// request reports the finished loads to the holder and requests permits; with wanted zero it only reports.
func (c *Client) request(ctx context.Context, e ident.Endpoint, wanted int, stalled time.Duration) (response *wire.PermitResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() { c.recordResult(err) }()
	h, err := c.lookUp(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	request := &wire.PermitRequest{
		Endpoint: string(e), Wanted: uint32(wanted), Done: c.unreportedDone, StalledMilli: stalled.Milliseconds(),
	}
	c.unreportedDone = 0
	c.mu.Unlock()
	response, err = h.Permit(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// The holder may have counted the finished loads although its response was lost. They are not reported again: that
		// would free the permits of other loads, whereas permits that nobody returns expire.
		if c.holder == h {
			c.holder = nil
		}
		return nil, err
	}
	c.holderPermits += int(response.GetGranted())
	return response, nil
}

// lookUp returns the cached holder, or reads the record that names it.
func (c *Client) lookUp(ctx context.Context) (h Granter, err error) {
	if h, err = c.cachedHolder(); h != nil || err != nil {
		return h, err
	}
	// The lock is not held during the read, because the agent's control loop takes it in Done.
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
	if p.Process != c.holderProcess {
		c.holderProcess = p.Process
		c.previousPermits, c.previousUntil = c.previousPermits+c.holderPermits, c.clock.Now().Add(permit.MaxLoadDuration)
		c.holderPermits, c.unreportedDone = 0, 0
	}
	return c.holder, nil
}

// cachedHolder returns the holder of the last lookup; without one, it returns nil if a new lookup is due and an error otherwise.
func (c *Client) cachedHolder() (h Granter, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil {
		return c.holder, nil
	}
	now := c.clock.Now()
	if !c.lastLookup.IsZero() && now.Sub(c.lastLookup) < lookupInterval {
		return nil, eris.New("no holder of the load permits is known, and the next lookup is not due yet")
	}
	c.lastLookup = now
	return nil, nil
}

// recordResult updates failingSince, from which holderLost concludes that there is no holder. A failure long after the one
// before it starts a new period, because there may have been a holder while this agent made no requests.
func (c *Client) recordResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failingSince = time.Time{}
		return
	}
	now := c.clock.Now()
	if c.failingSince.IsZero() || now.Sub(c.lastFailure) > 2*lookupInterval {
		c.failingSince = now
	}
	c.lastFailure = now
}

func (c *Client) holderLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.failingSince) > registry.LeaseTime
}
