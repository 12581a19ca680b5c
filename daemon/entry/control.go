package entry

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

const (
	// claimInterval is how often the list of claims is read; a retry reads it at once.
	claimInterval = 200 * time.Millisecond
	channelDepth  = 1024
)

// target is an endpoint that a try can be sent to.
type target struct {
	endpoint    ident.Endpoint
	incarnation ident.Incarnation
	address     string
}

type placed struct {
	target  target
	refusal *outcome.Refusal
}

type question struct {
	query placement.Query
	reply chan placed
}

type ended struct {
	endpoint ident.Endpoint
	query    placement.Query
}

type observed struct {
	claim  Claim
	report *wire.ReportResponse // nil if the agent could not be reached
}

// known is the part of an endpoint's state that is not in a load report.
type known struct {
	claim    Claim
	resource *resource.Endpoint
	report   *wire.ReportResponse
	failing  bool
}

// control owns the routing view; all of its state belongs to the goroutine of run.
type control struct {
	entry *Entry
	table *placement.Table
	known map[ident.Endpoint]*known
	// set and claims are those of the last refresh.
	set       *resource.Set
	claims    []Claim
	questions chan question
	ended     chan ended
	observed  chan observed
	stopped   chan struct{}
	// policy is the one that the table works by; weights are its weights for the metrics.
	policy  resource.Policy
	weights atomic.Pointer[placement.Weights]
}

func newControl(e *Entry) *control {
	return &control{
		entry:     e,
		table:     placement.New(placement.WithRandom(newRandom())),
		known:     make(map[ident.Endpoint]*known),
		questions: make(chan question, channelDepth),
		ended:     make(chan ended, channelDepth),
		observed:  make(chan observed, channelDepth),
		stopped:   make(chan struct{}),
	}
}

func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	t := c.entry.clock.NewTicker(claimInterval, "claims")
	defer t.Stop()
	c.refresh()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.refresh()
		case q := <-c.questions:
			q.reply <- c.choose(q.query)
		case d := <-c.ended:
			c.table.Done(c.entry.clock.Now(), d.endpoint, d.query)
		case o := <-c.observed:
			c.observe(o)
		}
	}
}

func (c *control) choose(q placement.Query) placed {
	if len(q.Exclude) > 0 || len(c.known) == 0 {
		c.refresh()
	}
	now := c.entry.clock.Now()
	name, ok := c.table.Choose(now, q)
	if !ok {
		return placed{refusal: &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: time.Second}}
	}
	c.table.Sent(now, name, q)
	k := c.known[name]
	return placed{target: target{endpoint: name, incarnation: k.claim.Incarnation, address: k.claim.Address}}
}

// follow puts the policy in force into the table.
func (c *control) follow(p resource.Policy) {
	if p == c.policy {
		return
	}
	c.policy = p
	c.table.Configure(
		placement.WithWeights(placement.Weights{LoadStall: p.LoadStallWeight, BatchEfficiency: p.BatchEfficiencyWeight}),
		placement.WithLoadBudget(p.LoadsPerSecond, p.LoadsInFlight),
		placement.WithLoadTime(time.Duration(p.LoadTime)),
	)
	w := c.table.Weights()
	c.weights.Store(&w)
}

// weightsInForce is safe for concurrent use.
func (c *control) weightsInForce() (w placement.Weights) {
	if p := c.weights.Load(); p != nil {
		w = *p
	}
	return w
}

// refresh follows the policy, the claims and the declared endpoints.
func (c *control) refresh() {
	set, claims := c.entry.configuration.Current(), c.entry.agents.Claims()
	if set == c.set && slices.Equal(claims, c.claims) {
		return
	}
	c.set, c.claims = set, slices.Clone(claims)
	c.follow(set.Policy())
	seen := make(map[ident.Endpoint]bool, len(c.known))
	for _, claim := range claims {
		r, ok := set.Endpoint(claim.Endpoint)
		if !ok {
			continue
		}
		seen[claim.Endpoint] = true
		k := c.known[claim.Endpoint]
		if k != nil && k.claim == claim && k.resource == r {
			continue
		}
		n := &known{claim: claim, resource: r}
		if k != nil && k.claim.Incarnation == claim.Incarnation {
			n.report, n.failing = k.report, k.failing
		}
		c.known[claim.Endpoint] = n
		c.show(n)
	}
	for name := range c.known {
		if !seen[name] {
			delete(c.known, name)
			c.table.Remove(name)
		}
	}
}

func (c *control) observe(o observed) {
	k := c.known[o.claim.Endpoint]
	if k == nil || k.claim.Incarnation != o.claim.Incarnation {
		return
	}
	if k.failing = o.report == nil; !k.failing {
		k.report = o.report
	}
	c.show(k)
}

// show puts what is known of an endpoint into the table; an agent that cannot be reached gets no new work.
func (c *control) show(k *known) {
	if k.failing {
		c.table.Remove(k.claim.Endpoint)
		return
	}
	c.table.Observe(c.entry.clock.Now(), k.view())
}

func (k *known) view() placement.Report {
	r := placement.Report{
		Endpoint:  k.resource.Name,
		Kind:      k.resource.Kind,
		BaseModel: k.resource.BaseModel,
		Service:   k.resource.Service,
		Zone:      k.resource.Zone,
		Leaving:   k.resource.Leaving || k.claim.Leaving || k.report.GetLeaving(),
		BatchSize: k.resource.BatchSize,
		Slots:     k.resource.Slots,
	}
	if k.report == nil {
		return r
	}
	r.Running, r.Queued = int(k.report.GetRunning()), int(k.report.GetQueued())
	// The agent's own limits are those that it acts on; a changed resource may not have reached it yet.
	r.BatchSize = cmp.Or(int(k.report.GetBatchSize()), r.BatchSize)
	r.Slots = cmp.Or(int(k.report.GetSlots()), r.Slots)
	r.Pinned = int(k.report.GetPinned())
	r.QueueWait = time.Duration(k.report.GetQueueMilli()) * time.Millisecond
	for _, a := range k.report.GetAdapters() {
		av := ident.AdapterVersion{Adapter: ident.Adapter(a.GetAdapter()), Version: ident.Version(a.GetVersion())}
		switch {
		case a.GetFailing():
			r.Failing = append(r.Failing, av)
		case a.GetLoading():
			r.Loading = append(r.Loading, av)
		default:
			r.Resident = append(r.Resident, av)
		}
	}
	return r
}

// place asks the control goroutine for an endpoint.
func (c *control) place(ctx context.Context, q question) (p placed, err error) {
	select {
	case c.questions <- q:
	case <-ctx.Done():
		return p, context.Cause(ctx)
	}
	// The reply follows at once and counts the try as sent, so it is always taken.
	select {
	case p = <-q.reply:
		return p, nil
	case <-c.stopped:
		return placed{refusal: &outcome.Refusal{Reason: outcome.Leaving, RetryAfter: time.Second}}, nil
	}
}

// done tells the control goroutine that a try has ended.
func (c *control) done(d ended) {
	select {
	case c.ended <- d:
	case <-c.stopped:
	}
}
