package placement

import (
	"math/rand/v2"
	"time"
)

// Weights are the two weights of a deployment, relative to 1.
type Weights struct {
	// LoadStall weighs the wait for an adapter to be loaded.
	LoadStall float64
	// BatchEfficiency weighs batch capacity that stays empty.
	BatchEfficiency float64
}

// Terms selects terms of the cost; the benchmark takes each out in turn.
type Terms uint

// Terms of the cost.
const (
	StallTerm Terms = 1 << iota
	QueueTerm
	BatchTerm
	PrefixTerm
	CorrectionTerm
	ReplicaTerm
	AffinityTerm
	// BacklogTerm charges for the prompts that an endpoint still has to read, and ZoneTerm for leaving the availability zone.
	BacklogTerm
	ZoneTerm
	// FormerTerm prefers endpoints that held an absent adapter lately.
	FormerTerm
	// DirectTerms are those of entries that send to endpoints without an agent in the path; a full batch gains nothing there.
	DirectTerms = StallTerm | QueueTerm | PrefixTerm | CorrectionTerm | ReplicaTerm | AffinityTerm | BacklogTerm | ZoneTerm | FormerTerm
	// AllTerms are those of entries that send through agents.
	AllTerms = StallTerm | QueueTerm | BatchTerm | PrefixTerm | CorrectionTerm | ReplicaTerm | AffinityTerm
)

// Option sets a property of a table.
type Option func(*Table)

// WithWeights sets the weights of the deployment; the default is 1 for both.
func WithWeights(w Weights) Option { return func(t *Table) { t.weights = w } }

// WithRandom sets the source of random choices; each entry needs its own, or all of them choose alike.
func WithRandom(r *rand.Rand) Option { return func(t *Table) { t.random = r } }

// WithLoadBudget sets the shared load budget.
func WithLoadBudget(perSecond float64, inFlight int) Option {
	return func(t *Table) { t.loadRate, t.loadsInFlight = max(perSecond, 0.01), max(inFlight, 1) }
}

// WithLoadTime sets the time of one load while the budget is not exceeded.
func WithLoadTime(d time.Duration) Option { return func(t *Table) { t.loadTime = milli(d) } }

// WithServiceTime sets the time of one request that is assumed until it has been measured.
func WithServiceTime(d time.Duration) Option {
	return func(t *Table) { t.service.assumed = d.Seconds() }
}

// WithPrefill sets the prefill time of one prompt token, which is what a cached prefix saves.
func WithPrefill(perToken time.Duration) Option {
	return func(t *Table) { t.prefill = milli(perToken) }
}

// WithStep sets the time in which a batch produces one token for each request while no prompt is read.
func WithStep(d time.Duration) Option { return func(t *Table) { t.step = milli(d) } }

// WithZoneCharge sets the cost of sending one KiB to another availability zone.
func WithZoneCharge(d time.Duration) Option { return func(t *Table) { t.zoneCharge = milli(d) } }

// WithAffinity sets the cost of an endpoint that is not preferred for an absent adapter.
func WithAffinity(d time.Duration) Option { return func(t *Table) { t.affinity = milli(d) } }

// WithSamples sets the number of random endpoints that are compared for an absent adapter.
func WithSamples(n int) Option { return func(t *Table) { t.samples = n } }

// WithDisplaced sets the number of loads that one more replica than wanted is taken to cost later.
func WithDisplaced(loads float64) Option { return func(t *Table) { t.displaced = loads } }

// WithTerms selects the terms of the cost; the default is AllTerms.
func WithTerms(terms Terms) Option { return func(t *Table) { t.terms = terms } }

func milli(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
