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
	// loadRate and loadsInFlight are the shared load budget.
	loadRate      = 20
	loadsInFlight = 8
	// readinessDelay is the time in which the load balancer sees that an entry leaves.
	readinessDelay = time.Second
)

// claimed is one claim as an entry knows it.
type claimed struct {
	endpoint    ident.Endpoint
	incarnation ident.Incarnation
	address     string
}

type known struct {
	claimed
	resource *resource.Endpoint
	report   *gate.Report
	failing  bool
}

// entry drives attempts, placement and ledger buckets as daemon/entry and coordination/bucket do.
type entry struct {
	process
	table     *placement.Table
	budget    *retry.Budget
	claims    []claimed
	peers     []ident.Process
	known     map[ident.Endpoint]*known
	lines     []*line
	exchanges []*exchange
	ready     bool
	leaving   bool
	permits   *permit.Budget
	stopped   func()
}

func (f *Fleet) startEntry() {
	e := &entry{known: make(map[ident.Endpoint]*known)}
	e.init(f, "entry")
	random := func() *rand.Rand { return rand.New(rand.NewPCG(f.clock.Random().Uint64(), 1)) }
	e.table = placement.New(placement.WithRandom(random()), placement.WithLoadBudget(loadRate, loadsInFlight))
	e.budget = retry.New(0.3, random())
	for n := range buckets {
		e.lines = append(e.lines, newLine(e, n))
	}
	f.entries = append(f.entries, e)
	e.begin(func() {
		e.ready = true
		e.every(claimInterval, e.refresh)
		e.every(reportInterval, e.poll)
		e.every(ledgerTick, e.tickLines)
	})
}

// refresh reads the lists of claims and of processes; a stale list stays in use.
func (e *entry) refresh() {
	e.follow()
	// A former agent that goes on gets work from entries whose list is stale.
	if e.fleet.staleHosts && e.clock().Chance(950) || e.fleet.options.Without == ClaimCheck && e.clock().Chance(998) && len(e.claims) > 0 {
		return
	}
	var claims, peers []store.Record
	e.call(storeCall, func() {
		claims, peers = e.fleet.store.List(claimPrefix), e.fleet.store.List(presencePrefix+"entry-")
	}, func(s store.Status) {
		if s != store.Answered {
			return
		}
		e.claims, e.peers = nil, nil
		for _, r := range claims {
			_, address, _ := strings.Cut(string(r.Value), " ")
			e.claims = append(e.claims, claimed{
				endpoint:    ident.Endpoint(strings.TrimPrefix(r.Key, claimPrefix)),
				incarnation: ident.Incarnation(r.Revision), address: address,
			})
		}
		for _, r := range peers {
			e.peers = append(e.peers, ident.Process(strings.TrimPrefix(r.Key, presencePrefix)))
		}
		e.follow()
	})
}

// follow brings the routing view in line with the claims and the declared endpoints.
func (e *entry) follow() {
	seen := make(map[ident.Endpoint]bool)
	for _, c := range e.claims {
		r, ok := e.set.Endpoint(c.endpoint)
		if !ok {
			continue
		}
		seen[c.endpoint] = true
		k := e.known[c.endpoint]
		if k != nil && k.claimed == c && k.resource == r {
			continue
		}
		n := &known{claimed: c, resource: r}
		if k != nil && k.incarnation == c.incarnation {
			n.report, n.failing = k.report, k.failing
		}
		e.known[c.endpoint] = n
		e.show(n)
	}
	for _, s := range e.fleet.sites {
		if e.known[s.name] != nil && !seen[s.name] {
			delete(e.known, s.name)
			e.table.Remove(s.name)
		}
	}
}

func (e *entry) show(k *known) {
	if k.failing {
		e.table.Remove(k.endpoint)
		return
	}
	r := placement.Report{
		Endpoint: k.endpoint, Kind: k.resource.Kind, BaseModel: k.resource.BaseModel, Service: k.resource.Service,
		Zone: k.resource.Zone, Leaving: k.resource.Leaving, BatchSize: k.resource.BatchSize, Slots: k.resource.Slots,
	}
	if p := k.report; p != nil {
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

// poll reads the load reports; they can arrive late.
func (e *entry) poll() {
	for _, c := range e.claims {
		a := e.fleet.addresses[c.address]
		var to *process
		if a != nil {
			to = &a.process
		}
		e.fleet.call(&e.process, to, reportTimeout, func(reply func(any)) {
			if a.gate == nil {
				return
			}
			r := a.gate.Report()
			reply(&r)
		}, func(answer any, s callStatus) {
			delay := time.Duration(0)
			if e.fleet.staleReports {
				delay = e.clock().Between(0, 5*time.Second)
			}
			e.later(delay, func() { e.observe(c, answer, s) })
		})
	}
}

func (e *entry) observe(c claimed, answer any, s callStatus) {
	k := e.known[c.endpoint]
	if k == nil || k.incarnation != c.incarnation {
		return
	}
	if k.failing = s != answered; !k.failing {
		k.report = answer.(*gate.Report)
	}
	e.show(k)
}

// choose places a request.
func (e *entry) choose(q placement.Query) (c claimed, refusal *outcome.Refusal) {
	if len(q.Exclude) > 0 || len(e.known) == 0 {
		e.follow()
	}
	now := e.clock().Now()
	name, ok := e.table.Choose(now, q)
	if !ok {
		return c, &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: time.Second}
	}
	e.table.Sent(now, name, q)
	return e.known[name].claimed, nil
}

// grant hands out load permits; a new holder waits until those of the former one are void.
func (e *entry) grant(name ident.Endpoint, x gate.RequestPermits) (n int) {
	now := e.clock().Now()
	if e.permits == nil {
		e.permits = permit.New(loadRate, loadsInFlight, now.Add(permit.Expiry))
	}
	for n < x.Wanted && e.permits.TakeFor(now, name, x.Stalled.Seconds()) {
		e.permits.Begin(now, name)
		n++
	}
	return n
}

func (e *entry) returned(name ident.Endpoint) {
	if e.permits != nil {
		e.permits.Done(name)
	}
}

// stop is a planned stop: readiness first, then the requests in progress, then the ledger buckets.
func (e *entry) stop(done func()) {
	e.stopped = done
	e.leaving = true
	e.fleet.note(string(e.id), "was told to leave")
	e.later(readinessDelay, e.finishStop)
}

func (e *entry) finishStop() {
	if e.fleet.options.Without != GracefulStop {
		idle := len(e.exchanges) == 0
		if idle {
			for _, l := range e.lines {
				idle = l.handedOver() && idle
			}
		}
		if !idle {
			e.later(100*time.Millisecond, e.finishStop)
			return
		}
	}
	var cut []string
	for _, x := range e.exchanges {
		cut = append(cut, string(x.request.ID))
	}
	e.fleet.judge.Stopped(e.id, cut)
	e.revoke()
	e.crash()
	e.stopped()
}

// crash ends the entry; the connections of its callers and to its agents break.
func (e *entry) crash() {
	e.kill()
	list := e.exchanges
	e.exchanges = nil
	for _, x := range list {
		e.fleet.judge.Cut(x.request)
		x.closeStream()
	}
}

func (e *entry) ended(x *exchange) {
	e.exchanges = slices.DeleteFunc(e.exchanges, func(y *exchange) bool { return y == x })
}
