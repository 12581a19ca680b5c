package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/retry"
	"shallotring.dev/state/slots"
)

// BaseModel is the only base model of the simulated deployment.
const BaseModel ident.BaseModel = "base"

const (
	reportInterval      = 500 * time.Millisecond
	reportDelay         = 100 * time.Millisecond
	cacheEventDelay     = 300 * time.Millisecond
	cacheEventLossRatio = 0.1
	retryRatio          = 0.1
	maxTries            = 3
	// QueueLimit is the maximum number of waiting requests at an engine.
	QueueLimit = 64
	// drainDuration is the time after the last arrival in which accepted requests can finish.
	drainDuration = 100 * time.Second
)

// Queue holds the waiting requests of an agent.
type Queue interface {
	// Push adds an item or returns its refusal.
	Push(now time.Time, it admission.Item) *outcome.Refusal
	// Pop removes and returns the next item that is ready.
	Pop(now time.Time, ready func(admission.Item) bool) (admission.Item, bool)
	Remove(id ident.TryID) bool
	// Expired removes and returns the items whose deadline has passed.
	Expired(now time.Time) []admission.Item
	Each(fn func(admission.Item))
	// RecordFinished records that a request has finished.
	RecordFinished(now time.Time)
	// Loaded records that an adapter has become resident.
	Loaded(now time.Time, av ident.AdapterVersion)
	ExpectedWait(now time.Time) time.Duration
	// NextLoad returns the adapter to load next among those for which absent reports true, and the work that
	// waits for it, in request seconds.
	NextLoad(now time.Time, absent func(ident.AdapterVersion) bool) (ident.AdapterVersion, float64, bool)
}

// Policy makes the decisions of all entries and agents: to which engine a request goes, which adapter is evicted and which engine
// may start a load. The other methods report events to it.
type Policy interface {
	// Start is called once before the first request.
	Start(f *Fleet)
	// Queue returns a new queue for one agent.
	Queue() Queue
	// Route returns the index of the engine for a request; ok is false if none may run it.
	Route(p *Request) (engine int, ok bool)
	// Victim returns the adapter that an engine evicts for the next load.
	Victim(e *Engine) (av ident.AdapterVersion, ok bool)
	// Permit grants or refuses a load; stalled comes from NextLoad.
	Permit(e *Engine, stalled float64) bool
	LoadEnded(e *Engine, duration time.Duration)
	// Sent is called when a request goes to its engine, Done when the engine has refused or finished it or its deadline
	// has passed.
	Sent(p *Request)
	Done(p *Request)
	// Reported receives the load report of an engine.
	Reported(r EngineState)
	// Cached receives the event that a prompt prefix has entered or left the cache of an engine.
	Cached(e *Engine, av ident.AdapterVersion, prefixID uint64, present bool)
	// LoadWait returns the time that a load is expected to wait for its permit.
	LoadWait() time.Duration
}

// Request is a request with its progress.
type Request struct {
	workload.Request
	// Engine is the index of the engine of the current try.
	Engine int
	// Excluded are the endpoints that have refused the request.
	Excluded  []ident.Endpoint
	deadline  time.Time
	try       ident.Try
	arrivedAt time.Duration
	// readyAt is the time at which the adapter became resident, negative until then.
	readyAt          time.Duration
	remainingPrefill int
	// uncachedPrefix is the number of prefix tokens still to be processed because the engine had not cached them.
	uncachedPrefix  int
	remainingOutput int
	decoding        bool
	stallRecorded   bool
}

func (p *Request) id() ident.TryID {
	return ident.TryID{RequestID: ident.RequestID(fmt.Sprint(p.Number)), Try: p.try}
}

// measured reports whether the request arrived after the warm-up.
func (p *Request) measured() bool { return p.At >= workload.WarmUp }

// Fleet is the state of one run.
type Fleet struct {
	Clock        *Clock
	Spec         workload.Spec
	Engines      []*Engine
	Policy       Policy
	Result       *Result
	Arrivals     []workload.Request
	store        *store
	retryBudgets [workload.Entries]*retry.Budget
}

// Run simulates a workload under a policy. The second number of each random source (10 for the store, from 20 for the retry budgets,
// from 100 for the engines; the policies use 200 and 300) keeps the sources independent of each other.
func Run(spec workload.Spec, arrivals []workload.Request, policy Policy, seed uint64) *Result {
	f := &Fleet{Clock: &Clock{}, Spec: spec, Policy: policy, Result: newResult(), Arrivals: arrivals}
	f.store = &store{clock: f.Clock, spec: spec.Store, random: rand.New(rand.NewPCG(seed, 10)), result: f.Result}
	for i := range f.retryBudgets {
		f.retryBudgets[i] = retry.New(retryRatio, rand.New(rand.NewPCG(seed, uint64(20+i))))
	}
	for i := range workload.Engines {
		f.Engines = append(f.Engines, &Engine{
			Index: i, Name: ident.Endpoint(fmt.Sprintf("engine-%02d", i)), Slots: slots.New(workload.Slots), Queue: policy.Queue(),
			fleet: f, waiting: make(map[ident.TryID]*Request), loadFailures: make(map[ident.AdapterVersion]loadFailure),
			random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		})
	}
	policy.Start(f)
	for i, e := range f.Engines {
		policy.Reported(e.state())
		f.Clock.schedule(reportInterval*time.Duration(i)/workload.Engines, func() { f.report(e) })
	}
	f.scheduleArrival(0)
	if spec.Restart {
		f.Clock.schedule(workload.FaultTime, func() {
			for _, e := range f.Engines[:workload.Engines/4] {
				e.restart()
			}
		})
	}
	f.Clock.run(workload.End + drainDuration)
	return f.Result
}

func (f *Fleet) report(e *Engine) {
	state := e.state()
	f.Clock.schedule(reportDelay, func() { f.Policy.Reported(state) })
	f.Clock.schedule(reportInterval, func() { f.report(e) })
}

func (f *Fleet) scheduleArrival(i int) {
	if i >= len(f.Arrivals) {
		return
	}
	f.Clock.schedule(f.Arrivals[i].At-f.Clock.now, func() {
		p := &Request{Request: f.Arrivals[i], deadline: f.Clock.Now().Add(f.Spec.Deadline)}
		f.retryBudgets[p.Entry].RecordFirstTry()
		f.dispatch(p)
		f.scheduleArrival(i + 1)
	})
}

func (f *Fleet) dispatch(p *Request) {
	engine, ok := f.Policy.Route(p)
	if !ok {
		p.try = 0
		f.finish(p, false)
		return
	}
	p.Engine = engine
	p.try++
	f.Policy.Sent(p)
	if refusal := f.Engines[engine].enqueue(p); refusal != nil {
		f.handleRefusal(p, refusal)
	}
}

// handleRefusal retries a refused request at another engine while the number of tries, the retry budget and the deadline allow it.
func (f *Fleet) handleRefusal(p *Request, refusal *outcome.Refusal) {
	if refusal.RetryAfter <= 0 && refusal.Reason != outcome.Deadline {
		f.Result.RefusalsWithoutRetryAfter++
	}
	f.Policy.Done(p)
	budget := f.retryBudgets[p.Entry]
	wait := budget.Backoff(int(p.try))
	if p.try >= maxTries || refusal.Reason == outcome.CallerLimit || !retry.StartsBeforeDeadline(f.Clock.Now(), wait, p.deadline) || !budget.Take() {
		p.try = 0
		f.finish(p, false)
		return
	}
	p.Excluded = append(p.Excluded, f.Engines[p.Engine].Name)
	f.Clock.schedule(wait, func() { f.dispatch(p) })
}

// finish counts a request that has completed or will not be retried.
func (f *Fleet) finish(p *Request, completed bool) {
	if p.try > 0 {
		f.Policy.Done(p)
	}
	if !p.measured() {
		return
	}
	if completed {
		f.Result.Completed++
	} else {
		f.Result.Refused++
	}
}

// recordStall records the time that a request has waited for its adapter. It is called when the request starts or expires; only the
// first call counts.
func (f *Fleet) recordStall(p *Request) {
	readyAt := p.readyAt
	if readyAt < 0 {
		readyAt = f.Clock.now
	}
	if !p.stallRecorded {
		f.Result.recordStall(p, readyAt-p.arrivedAt)
	}
	p.stallRecorded = true
}

// loadWait returns the expected time until the adapter is resident.
func (f *Fleet) loadWait(e *Engine, av ident.AdapterVersion) time.Duration {
	if e.Slots.State(av) == slots.Loading {
		return f.Spec.Store.LoadTime
	}
	return f.Policy.LoadWait() + f.Spec.Store.LoadTime
}

// countReplica counts the load of an adapter that an engine already has or loads.
func (f *Fleet) countReplica(av ident.AdapterVersion) {
	if f.Clock.now < workload.WarmUp || f.Clock.now >= workload.End {
		return
	}
	for _, e := range f.Engines {
		if s := e.Slots.State(av); s == slots.Resident || s == slots.Loading {
			f.Result.Replicas++
			return
		}
	}
}
