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

// Own is the project's policy: the packages below state with one routing table for each entry.
type Own struct {
	Seed  uint64
	Terms placement.Terms
	// PlainEviction, PlainLoadOrder and PlainAdmission replace a part by the baselines' for the ablation.
	PlainEviction  bool
	PlainLoadOrder bool
	PlainAdmission bool
	fleet          *fleet.Fleet
	budget         *permit.Budget
	tables         [workload.Entries]*placement.Table
	used           lastUse
}

// Start makes the tables and the load budget.
func (o *Own) Start(f *fleet.Fleet) {
	o.fleet = f
	o.used = make(lastUse)
	o.budget = permit.New(loadsPerSecond, loadsInFlight, f.Clock.Now())
	for i := range o.tables {
		o.tables[i] = placement.New(
			placement.WithWeights(f.Spec.Weights), placement.WithTerms(o.Terms),
			placement.WithRandom(rand.New(rand.NewPCG(o.Seed, uint64(200+i)))),
			placement.WithPrefill(workload.PrefillToken),
		)
	}
}

// Queue returns an agent's queue.
func (o *Own) Queue() fleet.Queue {
	if o.PlainAdmission {
		return &fifo{}
	}
	return admission.New(fleet.QueueLimit)
}

func query(p *fleet.Request) placement.Query {
	return placement.Query{
		BaseModel: fleet.BaseModel, Adapter: p.Adapter, Prefix: p.Manual, PrefixTokens: ident.Tokens(p.Prefix),
		PromptTokens: ident.Tokens(p.Prompt), Exclude: p.Excluded,
	}
}

// Route asks the table of the entry that the request reached.
func (o *Own) Route(p *fleet.Request) (engine int, ok bool) {
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

// Victim evicts by the expected cost to reload.
func (o *Own) Victim(e *fleet.Engine) (av ident.AdapterVersion, ok bool) {
	if o.PlainEviction {
		return o.used.victim(e)
	}
	awaited := make(map[ident.AdapterVersion]bool)
	e.Queue.Each(func(it admission.Item) { awaited[it.Adapter] = true })
	return e.Slots.VictimExcept(o.fleet.Clock.Now(), func(av ident.AdapterVersion) bool { return awaited[av] })
}

// Permit asks the shared budget.
func (o *Own) Permit(e *fleet.Engine, stalled float64) bool {
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
func (o *Own) LoadEnded(e *fleet.Engine, _ time.Duration) { o.budget.Done(e.Name) }

// Sent tells the entry's table.
func (o *Own) Sent(p *fleet.Request) {
	o.used.use(o.fleet, p)
	o.tables[p.Entry].Sent(o.fleet.Clock.Now(), o.fleet.Engines[p.Engine].Name, query(p))
}

// Done tells the entry's table.
func (o *Own) Done(p *fleet.Request) {
	o.tables[p.Entry].Done(o.fleet.Clock.Now(), o.fleet.Engines[p.Engine].Name, query(p))
}

// Reported gives a load report to all tables.
func (o *Own) Reported(r fleet.EngineState) {
	for _, t := range o.tables {
		t.Observe(o.fleet.Clock.Now(), r.Report)
	}
}

// Cached gives a cache event to all tables.
func (o *Own) Cached(e *fleet.Engine, av ident.AdapterVersion, manual uint64, present bool) {
	for _, t := range o.tables {
		t.Cached(o.fleet.Clock.Now(), e.Name, av, manual, present)
	}
}

// LoadWait returns the wait for a permit.
func (o *Own) LoadWait() time.Duration { return o.budget.Wait(o.fleet.Clock.Now()) }
