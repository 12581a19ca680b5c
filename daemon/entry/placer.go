package entry

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

const (
	// refreshInterval is the interval at which the claims and the configuration are read. A retry also reads them at once.
	refreshInterval = 200 * time.Millisecond
	// placerChannelCapacity is the capacity of each channel to the placer's goroutine.
	placerChannelCapacity = 1024
)

// target is the endpoint chosen for a try and the address and incarnation of its agent.
type target struct {
	endpoint    ident.Endpoint
	incarnation ident.Incarnation
	address     string
	// try is the request in the counts of the table.
	try placement.Try
}

// placeResult holds the chosen endpoint, or the refusal if none is eligible.
type placeResult struct {
	target  target
	refusal *outcome.Refusal
}

// placeRequest is a request to the placer's goroutine to choose an endpoint.
type placeRequest struct {
	query placement.Query
	reply chan placeResult
}

// pollResult is the outcome of one load report call.
type pollResult struct {
	claim  Claim
	report *wire.ReportResponse // nil if the agent could not be reached
	err    error
}

// endpointState is the latest claim, resource and load report of an endpoint.
type endpointState struct {
	claim    Claim
	resource *resource.Endpoint
	report   *wire.ReportResponse
	failing  bool // the latest report call failed
	// unconfirmed is true if only the latest report call failed, by its timeout.
	unconfirmed bool
}

// placer chooses the endpoint of each try. The goroutine of run owns all of its state except weights; other goroutines
// use its channels.
type placer struct {
	entry     *Entry
	table     *placement.Table
	endpoints map[ident.Endpoint]*endpointState
	// set and claims are the inputs of the latest refresh.
	set           *resource.Set
	claims        []Claim
	placeRequests chan placeRequest
	endedTries    chan placement.Try
	pollResults   chan pollResult
	stopped       chan struct{}
	// policy is the one applied to the table; weights holds the table's weights for the metrics.
	policy  resource.Policy
	weights atomic.Pointer[placement.Weights]
}

func newPlacer(e *Entry) *placer {
	return &placer{
		entry:         e,
		table:         placement.New(placement.WithRandom(newRandom())),
		endpoints:     make(map[ident.Endpoint]*endpointState),
		placeRequests: make(chan placeRequest, placerChannelCapacity),
		endedTries:    make(chan placement.Try, placerChannelCapacity),
		pollResults:   make(chan pollResult, placerChannelCapacity),
		stopped:       make(chan struct{}),
	}
}

func (c *placer) run(ctx context.Context) {
	defer close(c.stopped)
	t := c.entry.clock.NewTicker(refreshInterval, "claims")
	defer t.Stop()
	c.refresh()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.refresh()
		case request := <-c.placeRequests:
			request.reply <- c.choose(request.query)
		case try := <-c.endedTries:
			c.table.Done(c.entry.clock.Now(), try)
		case result := <-c.pollResults:
			c.handlePollResult(result)
		}
	}
}

func (c *placer) choose(q placement.Query) placeResult {
	if len(q.Exclude) > 0 {
		c.refresh()
	}
	now := c.entry.clock.Now()
	name, ok := c.table.Choose(now, q)
	if !ok {
		// The claim of an endpoint may be newer than the last refresh.
		c.refresh()
		name, ok = c.table.Choose(now, q)
	}
	if !ok {
		name, ok = c.chooseUnconfirmed(now, q)
	}
	if !ok {
		return placeResult{refusal: &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: time.Second}}
	}
	state := c.endpoints[name]
	return placeResult{target: target{endpoint: name, incarnation: state.claim.Incarnation, address: state.claim.Address, try: c.table.Sent(now, name, q)}}
}

// chooseUnconfirmed chooses among the endpoints whose agents have missed one report call, which are used only if no other endpoint is left:
// a host that is short of processor time for a second is no reason to refuse requests.
func (c *placer) chooseUnconfirmed(now time.Time, q placement.Query) (name ident.Endpoint, ok bool) {
	for _, state := range c.endpoints {
		if state.unconfirmed {
			c.table.Observe(now, state.placementReport())
		}
	}
	return c.table.Choose(now, q)
}

// applyPolicy configures the table with the policy in force.
func (c *placer) applyPolicy(p resource.Policy) {
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

// weightsInForce returns the table's weights; it is safe for concurrent use.
func (c *placer) weightsInForce() (w placement.Weights) {
	if p := c.weights.Load(); p != nil {
		w = *p
	}
	return w
}

// refresh updates the table if the configuration or the claims have changed.
func (c *placer) refresh() {
	set, claims := c.entry.configuration.Current(), c.entry.agents.Claims()
	if set == c.set && slices.Equal(claims, c.claims) {
		return
	}
	c.set, c.claims = set, slices.Clone(claims)
	c.applyPolicy(set.Policy())
	claimed := make(map[ident.Endpoint]bool, len(c.endpoints))
	for _, claim := range claims {
		r, ok := set.Endpoint(claim.Endpoint)
		if !ok {
			continue
		}
		claimed[claim.Endpoint] = true
		previous := c.endpoints[claim.Endpoint]
		if previous != nil && previous.claim == claim && previous.resource == r {
			continue
		}
		next := &endpointState{claim: claim, resource: r}
		if previous != nil && previous.claim.Incarnation == claim.Incarnation {
			next.report, next.failing, next.unconfirmed = previous.report, previous.failing, previous.unconfirmed
		}
		c.endpoints[claim.Endpoint] = next
		c.updateTable(next)
	}
	for name := range c.endpoints {
		if !claimed[name] {
			delete(c.endpoints, name)
			c.table.Remove(name)
		}
	}
}

func (c *placer) handlePollResult(result pollResult) {
	state := c.endpoints[result.claim.Endpoint]
	if state == nil || state.claim.Incarnation != result.claim.Incarnation {
		return
	}
	if err := checkReporter(result); err != nil {
		c.entry.meters.reportsFailed.Inc()
		result.report, result.err = nil, err
	}
	c.logReachability(state, result.err)
	state.unconfirmed = !state.failing && errors.Is(result.err, context.DeadlineExceeded)
	if state.failing = result.report == nil; !state.failing {
		state.report = result.report
	}
	c.updateTable(state)
}

// checkReporter returns an error if a report is not of the endpoint and incarnation that it was requested from: the address may belong to
// another agent now.
func checkReporter(result pollResult) (err error) {
	r := result.report
	if r == nil || (r.GetEndpoint() == string(result.claim.Endpoint) && r.GetIncarnation() == int64(result.claim.Incarnation)) {
		return nil
	}
	return eris.Errorf("the load report is of endpoint %s with incarnation %d, not of incarnation %d", r.GetEndpoint(), r.GetIncarnation(), result.claim.Incarnation)
}

// logReachability logs that the agent of an endpoint stops or begins again to respond.
func (c *placer) logReachability(state *endpointState, err error) {
	name := slog.String("Endpoint", string(state.claim.Endpoint))
	switch {
	case err != nil && !state.failing:
		c.entry.log.Warn("agent does not respond to the load report call; its endpoint is avoided", name, slog.String("Error", err.Error()))
	case err == nil && state.failing:
		c.entry.log.Info("agent responds to the load report call again; its endpoint is used", name)
	}
}

// updateTable writes the state of an endpoint to the table. It removes an endpoint whose agent cannot be reached, so
// that it gets no new tries.
func (c *placer) updateTable(state *endpointState) {
	if state.failing {
		c.table.Remove(state.claim.Endpoint)
		return
	}
	c.table.Observe(c.entry.clock.Now(), state.placementReport())
}

func (k *endpointState) placementReport() placement.Report {
	r := placement.Report{
		Endpoint:  k.resource.Name,
		Kind:      k.resource.Kind,
		BaseModel: k.resource.BaseModel,
		Service:   k.resource.Service,
		Zone:      k.resource.Zone,
		Leaving:   k.resource.Leaving || k.claim.Leaving || k.report.GetLeaving(),
		BatchSize: k.resource.BatchSize,
		Slots:     k.resource.AdapterSlots(),
	}
	if k.report == nil {
		return r
	}
	r.Running, r.Queued = int(k.report.GetRunning()), int(k.report.GetQueued())
	// The agent's reported limits take precedence: a changed resource may not have reached the agent yet.
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

// place requests an endpoint from the goroutine of run.
func (c *placer) place(ctx context.Context, request placeRequest) (result placeResult, err error) {
	select {
	case c.placeRequests <- request:
	case <-ctx.Done():
		return result, context.Cause(ctx)
	}
	// The reply is received even if ctx ends: it comes without delay, and the table already counts the try as sent.
	select {
	case result = <-request.reply:
		return result, nil
	case <-c.stopped:
		return placeResult{refusal: &outcome.Refusal{Reason: outcome.Leaving, RetryAfter: time.Second}}, nil
	}
}

// notifyTryEnd notifies the goroutine of run that a try has ended.
func (c *placer) notifyTryEnd(try placement.Try) {
	select {
	case c.endedTries <- try:
	case <-c.stopped:
	}
}
