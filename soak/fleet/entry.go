package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/store"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
	"shallotring.dev/state/retry"
)

const (
	claimInterval  = 200 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	reportTimeout  = time.Second
	// loadsPerSecond and loadsInFlight are the load budget that all endpoints share.
	loadsPerSecond = 20
	loadsInFlight  = 8
	// readinessDelay is the time that the load balancer needs to notice that an entry is leaving.
	readinessDelay = time.Second
)

// claimRecord is one claim as an entry has read it.
type claimRecord struct {
	endpoint    ident.Endpoint
	incarnation ident.Incarnation
	address     string
}

// endpointState is what an entry has read and received about one claimed endpoint.
type endpointState struct {
	claimRecord
	resource *resource.Endpoint
	report   *gate.Report
	// failing is set while the endpoint's agent does not respond to requests for load reports.
	failing bool
}

// entry executes the commands of requests and ledger buckets and places tries, as daemon/entry and coordination/bucket do.
type entry struct {
	process
	table          *placement.Table
	retryBudget    *retry.Budget
	claims         []claimRecord
	peers          []ident.Process
	endpointStates map[ident.Endpoint]*endpointState
	ledgerBuckets  []*ledgerBucket
	exchanges      []*exchange
	ready          bool
	leaving        bool
	loadPermits    *permit.Budget
	onStopped      func()
}

func (f *Fleet) startEntry() {
	e := &entry{endpointStates: make(map[ident.Endpoint]*endpointState)}
	e.init(f, "entry")
	random := func() *rand.Rand { return rand.New(rand.NewPCG(f.clock.Random().Uint64(), 1)) }
	e.table = placement.New(placement.WithRandom(random()), placement.WithLoadBudget(loadsPerSecond, loadsInFlight))
	e.retryBudget = retry.New(0.3, random())
	for n := range bucketCount {
		e.ledgerBuckets = append(e.ledgerBuckets, newLedgerBucket(e, n))
	}
	f.entries = append(f.entries, e)
	e.start(func() {
		e.ready = true
		e.runEvery(claimInterval, e.readClaims)
		e.runEvery(reportInterval, e.pollReports)
		e.runEvery(ledgerTickInterval, e.tickBuckets)
	})
}

// readClaims reads the lists of claims and of entries; if it cannot, the stale lists stay in use.
func (e *entry) readClaims() {
	e.syncTable()
	// An agent that has lost its claim and continues to run receives tries only from entries whose list is stale.
	if e.fleet.staleHosts && e.clock().Chance(950) || e.fleet.options.Without == ClaimCheck && e.clock().Chance(998) && len(e.claims) > 0 {
		return
	}
	var claims, peers []store.Record
	e.callStore(storeTimeout, func() {
		claims, peers = e.fleet.store.List(claimPrefix), e.fleet.store.List(presencePrefix+"entry-")
	}, func(s store.Status) {
		if s != store.Answered {
			return
		}
		e.claims, e.peers = nil, nil
		for _, r := range claims {
			_, address, _ := strings.Cut(string(r.Value), " ")
			e.claims = append(e.claims, claimRecord{
				endpoint:    ident.Endpoint(strings.TrimPrefix(r.Key, claimPrefix)),
				incarnation: ident.Incarnation(r.Revision), address: address,
			})
		}
		for _, r := range peers {
			e.peers = append(e.peers, ident.Process(strings.TrimPrefix(r.Key, presencePrefix)))
		}
		e.syncTable()
	})
}

// syncTable updates the routing table to the claims and the declared endpoints.
func (e *entry) syncTable() {
	seen := make(map[ident.Endpoint]bool)
	for _, c := range e.claims {
		r, ok := e.resources.Endpoint(c.endpoint)
		if !ok {
			continue
		}
		seen[c.endpoint] = true
		old := e.endpointStates[c.endpoint]
		if old != nil && old.claimRecord == c && old.resource == r {
			continue
		}
		updated := &endpointState{claimRecord: c, resource: r}
		if old != nil && old.incarnation == c.incarnation {
			updated.report, updated.failing = old.report, old.failing
		}
		e.endpointStates[c.endpoint] = updated
		e.updateTable(updated)
	}
	for _, s := range e.fleet.endpoints {
		if e.endpointStates[s.name] != nil && !seen[s.name] {
			delete(e.endpointStates, s.name)
			e.table.Remove(s.name)
		}
	}
}

// updateTable enters the state of an endpoint in the routing table, or removes the endpoint if its agent is unreachable.
func (e *entry) updateTable(state *endpointState) {
	if state.failing {
		e.table.Remove(state.endpoint)
		return
	}
	r := placement.Report{
		Endpoint: state.endpoint, Kind: state.resource.Kind, BaseModel: state.resource.BaseModel, Service: state.resource.Service,
		Zone: state.resource.Zone, Leaving: state.resource.Leaving, BatchSize: state.resource.BatchSize, Slots: state.resource.AdapterSlots(),
	}
	if p := state.report; p != nil {
		r.Leaving = r.Leaving || p.Leaving
		r.Running, r.Queued, r.QueueWait, r.Pinned = p.Running, p.Queued, p.Wait, p.Pinned
		for _, x := range p.Adapters {
			switch {
			case x.Failing:
				r.Failing = append(r.Failing, x.Adapter)
			case x.Loading:
				r.Loading = append(r.Loading, x.Adapter)
			default:
				r.Resident = append(r.Resident, x.Adapter)
			}
		}
	}
	e.table.Observe(e.clock().Now(), r)
}

// pollReports requests the load reports of all claimed endpoints; they can arrive late.
func (e *entry) pollReports() {
	for _, c := range e.claims {
		a := e.fleet.addresses[c.address]
		var callee *process
		if a != nil {
			callee = &a.process
		}
		e.fleet.call(&e.process, callee, reportTimeout, func(reply func(any)) {
			if a.gate == nil {
				return
			}
			r := a.gate.Report()
			reply(&r)
		}, func(response any, s callStatus) {
			delay := time.Duration(0)
			if e.fleet.staleReports {
				delay = e.clock().Between(0, 5*time.Second)
			}
			e.runAfter(delay, func() { e.handleReport(c, response, s) })
		})
	}
}

func (e *entry) handleReport(c claimRecord, response any, s callStatus) {
	state := e.endpointStates[c.endpoint]
	if state == nil || state.incarnation != c.incarnation {
		return
	}
	report, ok := response.(*gate.Report)
	state.failing = s != callAnswered || !ok || report.Incarnation != c.incarnation
	if !state.failing {
		state.report = report
	}
	e.updateTable(state)
}

// choose selects the endpoint for a try.
func (e *entry) choose(q placement.Query) (c claimRecord, try placement.Try, refusal *outcome.Refusal) {
	if len(q.Exclude) > 0 || len(e.endpointStates) == 0 {
		e.syncTable()
	}
	now := e.clock().Now()
	name, ok := e.table.Choose(now, q)
	if !ok {
		return c, try, &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: time.Second}
	}
	return e.endpointStates[name].claimRecord, e.table.Sent(now, name, q), nil
}

// grantPermits grants load permits. An entry that becomes the holder of the load budget first waits until the permits of the
// previous holder have expired.
func (e *entry) grantPermits(name ident.Endpoint, x gate.RequestPermits) (n int) {
	now := e.clock().Now()
	if e.loadPermits == nil {
		e.loadPermits = permit.New(loadsPerSecond, loadsInFlight, now.Add(permit.UnusedPermitTimeout))
	}
	for n < x.Wanted && e.loadPermits.TakeFor(now, name, x.Stalled.Seconds()) {
		e.loadPermits.Begin(now, name)
		n++
	}
	return n
}

func (e *entry) handleReturnedPermit(name ident.Endpoint) {
	if e.loadPermits != nil {
		e.loadPermits.Done(name)
	}
}

// stop starts a planned stop: the entry first becomes unready, then finishes the requests in progress, then releases its
// ledger buckets. It calls done when the entry has exited.
func (e *entry) stop(done func()) {
	e.onStopped = done
	e.leaving = true
	e.fleet.logEvent(string(e.id), "begins a planned stop")
	e.runAfter(readinessDelay, e.finishStop)
}

func (e *entry) finishStop() {
	if e.fleet.options.Without != GracefulStop {
		idle := len(e.exchanges) == 0
		if idle {
			for _, l := range e.ledgerBuckets {
				idle = l.releaseForStop() && idle
			}
		}
		if !idle {
			e.runAfter(100*time.Millisecond, e.finishStop)
			return
		}
	}
	var interrupted []string
	for _, x := range e.exchanges {
		interrupted = append(interrupted, string(x.request.ID))
	}
	e.fleet.judge.ProcessStopped(e.id, interrupted)
	e.revokePresence()
	e.crash()
	e.onStopped()
}

// crash ends the entry abruptly and closes the connections to its callers and agents.
func (e *entry) crash() {
	e.kill()
	list := e.exchanges
	e.exchanges = nil
	for _, x := range list {
		e.fleet.judge.CallerDisconnected(x.request)
		x.closeStream()
	}
}

func (e *entry) removeExchange(x *exchange) {
	e.exchanges = slices.DeleteFunc(e.exchanges, func(y *exchange) bool { return y == x })
}
