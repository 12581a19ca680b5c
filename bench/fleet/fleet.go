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

// BaseModel is the only base model of the fleet.
const BaseModel ident.BaseModel = "base"

const (
	reportInterval = 500 * time.Millisecond
	reportLag      = 100 * time.Millisecond
	cacheEventLag  = 300 * time.Millisecond
	cacheEventLoss = 0.1
	retryRatio     = 0.1
	maxTries       = 3
	// QueueLimit bounds the waiting requests of an engine.
	QueueLimit = 64
	// drainTime is the time after the last arrival in which accepted requests finish.
	drainTime = 100 * time.Second
)

// Queue is what an agent needs of its queue.
type Queue interface {
	Push(now time.Time, it admission.Item) *outcome.Refusal
	Pop(now time.Time, ready func(admission.Item) bool) (admission.Item, bool)
	Remove(id ident.TryID) bool
	Expired(now time.Time) []admission.Item
	Each(fn func(admission.Item))
	Served(now time.Time)
	Loaded(now time.Time, av ident.AdapterVersion)
	ExpectedWait(now time.Time) time.Duration
	NextLoad(now time.Time, absent func(ident.AdapterVersion) bool) (ident.AdapterVersion, float64, bool)
}

// Policy decides at the entries and agents.
type Policy interface {
	// Start is called once before the first request.
	Start(f *Fleet)
	Queue() Queue
	Route(p *Request) (engine int, ok bool)
	Victim(e *Engine) (av ident.AdapterVersion, ok bool)
	Permit(e *Engine, stalled float64) bool
	LoadEnded(e *Engine, took time.Duration)
	Sent(p *Request)
	Done(p *Request)
	Reported(r EngineState)
	Cached(e *Engine, av ident.AdapterVersion, manual uint64, present bool)
	// LoadWait is the time that a load is expected to wait for its permit.
	LoadWait() time.Duration
}

// Request is a request in the fleet.
type Request struct {
	workload.Request
	Engine   int
	Excluded []ident.Endpoint
	deadline time.Time
	try      ident.Try
	arrived  time.Duration
	// ready is the time at which the adapter was resident, negative until then.
	ready    time.Duration
	prefill  int
	again    int
	left     int
	decoding bool
	counted  bool
}

func (p *Request) id() ident.TryID {
	return ident.TryID{RequestID: ident.RequestID(fmt.Sprint(p.Number)), Try: p.try}
}

func (p *Request) measured() bool { return p.At >= workload.WarmUp }

// Fleet is one run.
type Fleet struct {
	Clock   *Clock
	Spec    workload.Spec
	Engines []*Engine
	Policy  Policy
	Result  *Result
	Arrival []workload.Request
	store   *store
	retries [workload.Entries]*retry.Budget
}

// Run simulates a workload under a policy.
func Run(spec workload.Spec, list []workload.Request, policy Policy, seed uint64) *Result {
	f := &Fleet{Clock: &Clock{}, Spec: spec, Policy: policy, Result: newResult(), Arrival: list}
	f.store = &store{clock: f.Clock, spec: spec.Store, random: rand.New(rand.NewPCG(seed, 10)), result: f.Result}
	for i := range f.retries {
		f.retries[i] = retry.New(retryRatio, rand.New(rand.NewPCG(seed, uint64(20+i))))
	}
	for i := range workload.Engines {
		f.Engines = append(f.Engines, &Engine{
			Index: i, Name: ident.Endpoint(fmt.Sprintf("engine-%02d", i)), Slots: slots.New(workload.Slots), Queue: policy.Queue(),
			fleet: f, waiting: make(map[ident.TryID]*Request), failed: make(map[ident.AdapterVersion]failure),
			random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		})
	}
	policy.Start(f)
	for i, e := range f.Engines {
		policy.Reported(e.state())
		f.Clock.after(reportInterval*time.Duration(i)/workload.Engines, func() { f.report(e) })
	}
	f.arrive(0)
	if spec.Restart {
		f.Clock.after(workload.Event, func() {
			for _, e := range f.Engines[:workload.Engines/4] {
				e.restart()
			}
		})
	}
	f.Clock.run(workload.End + drainTime)
	return f.Result
}

func (f *Fleet) report(e *Engine) {
	state := e.state()
	f.Clock.after(reportLag, func() { f.Policy.Reported(state) })
	f.Clock.after(reportInterval, func() { f.report(e) })
}

func (f *Fleet) arrive(i int) {
	if i >= len(f.Arrival) {
		return
	}
	f.Clock.after(f.Arrival[i].At-f.Clock.now, func() {
		p := &Request{Request: f.Arrival[i], deadline: f.Clock.Now().Add(f.Spec.Deadline)}
		f.retries[p.Entry].Fresh()
		f.dispatch(p)
		f.arrive(i + 1)
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
	if refusal := f.Engines[engine].arrive(p); refusal != nil {
		f.refused(p, refusal)
	}
}

// refused tries a refused request elsewhere while the retry budget and the deadline allow it.
func (f *Fleet) refused(p *Request, refusal *outcome.Refusal) {
	if refusal.RetryAfter <= 0 && refusal.Reason != outcome.Deadline {
		f.Result.NoRetryAfter++
	}
	f.Policy.Done(p)
	budget := f.retries[p.Entry]
	wait := budget.Backoff(int(p.try))
	if p.try >= maxTries || refusal.Reason == outcome.CallerLimit || !retry.Worthwhile(f.Clock.Now(), wait, p.deadline) || !budget.Take() {
		p.try = 0
		f.finish(p, false)
		return
	}
	p.Excluded = append(p.Excluded, f.Engines[p.Engine].Name)
	f.Clock.after(wait, func() { f.dispatch(p) })
}

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

// stalled records the time that a request has waited for its adapter; it is called once the request starts or expires.
func (f *Fleet) stalled(p *Request) {
	ready := p.ready
	if ready < 0 {
		ready = f.Clock.now
	}
	if !p.counted {
		f.Result.stalled(p, ready-p.arrived)
	}
	p.counted = true
}

func (f *Fleet) loadWait(e *Engine, av ident.AdapterVersion) time.Duration {
	if e.Slots.State(av) == slots.Loading {
		return f.Spec.Store.LoadTime
	}
	return f.Policy.LoadWait() + f.Spec.Store.LoadTime
}

// replicated counts a load of an adapter that another engine already has.
func (f *Fleet) replicated(av ident.AdapterVersion) {
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
