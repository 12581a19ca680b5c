package policy

import (
	"math/rand/v2"
	"time"

	"shallotring.dev/bench/fleet"
	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/permit"
	"shallotring.dev/state/placement"
)

// Shallotring is the project's policy. It uses the same packages below state as the entries and agents, with one routing table per
// entry.
type Shallotring struct {
	Seed  uint64
	Terms placement.Terms
	// PlainEviction, PlainLoadOrder and PlainAdmission replace one part of the policy by that of the baselines for the ablation.
	PlainEviction  bool
	PlainLoadOrder bool
	PlainAdmission bool
	fleet          *fleet.Fleet
	budget         *permit.Budget
	tables         [workload.Entries]*placement.Table
	lastUse        lastUse
	// tries has the requests in progress in the counts of the tables.
	tries map[*fleet.Request]placement.Try
}

// Start creates the routing tables and the load budget.
func (o *Shallotring) Start(f *fleet.Fleet) {
	o.fleet = f
	o.lastUse = make(lastUse)
	o.tries = make(map[*fleet.Request]placement.Try)
	o.budget = permit.New(loadsPerSecond, loadsInFlight, f.Clock.Now())
	for i := range o.tables {
		o.tables[i] = placement.New(
			placement.WithWeights(f.Spec.Weights), placement.WithTerms(o.Terms),
			placement.WithRandom(rand.New(rand.NewPCG(o.Seed, uint64(200+i)))),
			placement.WithPrefill(workload.PrefillPerToken),
		)
	}
}

// Queue returns a new queue for one agent.
func (o *Shallotring) Queue() fleet.Queue {
	if o.PlainAdmission {
		return &fifo{}
	}
	return admission.New(fleet.QueueLimit)
}

func query(p *fleet.Request) placement.Query {
	return placement.Query{
		BaseModel: fleet.BaseModel, Adapter: p.Adapter, Prefix: p.PrefixID, PrefixTokens: ident.Tokens(p.PrefixTokens),
		PromptTokens: ident.Tokens(p.PromptTokens), Exclude: p.Excluded,
	}
}

// Route chooses by the routing table of the entry that received the request.
func (o *Shallotring) Route(p *fleet.Request) (engine int, ok bool) {
	name, ok := o.tables[p.Entry].Choose(o.fleet.Clock.Now(), query(p))
	if !ok {
		return 0, false
	}
	for _, e := range o.fleet.Engines {
		if e.Name == name {
			return e.Index, true
		}
	}
	return 0, false
}

// Victim returns the adapter with the lowest expected cost of loading it again, except those that waiting requests need.
func (o *Shallotring) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	if o.PlainEviction {
		return o.lastUse.victim(e)
	}
	queued := make(map[ident.AdapterVersion]bool)
	e.Queue.Each(func(it admission.Item) { queued[it.Adapter] = true })
	return e.Slots.VictimExcept(o.fleet.Clock.Now(), func(av ident.AdapterVersion) bool { return queued[av] })
}

// Permit takes a permit of the shared load budget, which prefers the load with the most stalled work.
func (o *Shallotring) Permit(e *fleet.Engine, stalled float64) bool {
	if o.PlainLoadOrder {
		stalled = 0
	}
	now := o.fleet.Clock.Now()
	if !o.budget.TakeFor(now, e.Name, stalled) {
		return false
	}
	o.budget.Begin(now, e.Name)
	return true
}

// LoadEnded returns the permit.
func (o *Shallotring) LoadEnded(e *fleet.Engine, _ time.Duration) { o.budget.Done(e.Name) }

// Sent records the request in the routing table of its entry.
func (o *Shallotring) Sent(p *fleet.Request) {
	o.lastUse.record(o.fleet, p)
	o.tries[p] = o.tables[p.Entry].Sent(o.fleet.Clock.Now(), o.fleet.Engines[p.Engine].Name, query(p))
}

// Done removes the request from the routing table of its entry.
func (o *Shallotring) Done(p *fleet.Request) {
	o.tables[p.Entry].Done(o.fleet.Clock.Now(), o.tries[p])
	delete(o.tries, p)
}

// Reported passes a load report to all routing tables.
func (o *Shallotring) Reported(r fleet.EngineState) {
	for _, t := range o.tables {
		t.Observe(o.fleet.Clock.Now(), r.Report)
	}
}

// Cached passes a cache event to all routing tables.
func (o *Shallotring) Cached(e *fleet.Engine, av ident.AdapterVersion, prefixID uint64, present bool) {
	for _, t := range o.tables {
		t.RecordCacheEvent(o.fleet.Clock.Now(), e.Name, av, prefixID, present)
	}
}

// LoadWait returns the expected wait for a permit.
func (o *Shallotring) LoadWait() time.Duration { return o.budget.Wait(o.fleet.Clock.Now()) }
