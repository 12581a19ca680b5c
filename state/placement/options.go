package placement

import (
	"math/rand/v2"
	"time"
)

// Weights are the cost weights that a deployment sets; 1 is neutral.
type Weights struct {
	// LoadStall is the weight of the wait for an adapter to be loaded.
	LoadStall float64
	// BatchEfficiency is the weight of batch slots that stay free.
	BatchEfficiency float64
}

// Terms is a set of terms of the cost; the benchmark leaves out each in turn.
type Terms uint

// Terms of the cost.
const (
	// StallTerm adds the cost of the wait for an adapter to be loaded.
	StallTerm Terms = 1 << iota
	// QueueTerm adds the expected time in the queue.
	QueueTerm
	// BatchTerm adds the cost of batch slots that stay free.
	BatchTerm
	// PrefixTerm subtracts the prefill time that a cached prompt prefix saves.
	PrefixTerm
	// CorrectionTerm corrects the reported number of requests by what this entry has sent and finished since the report.
	CorrectionTerm
	// ReplicaTerm adds the cost of using or loading a replica beyond the planned number.
	ReplicaTerm
	// AffinityTerm also compares the preferred endpoints of an adapter; a load there costs less than at random ones.
	AffinityTerm
	// BacklogTerm adds the cost of the prompts that an endpoint still has to read.
	BacklogTerm
	// ZoneTerm adds the cost of traffic to another availability zone.
	ZoneTerm
	// PreviousHolderTerm prefers endpoints that held the adapter recently over others that would have to load it.
	PreviousHolderTerm
	// DirectTerms are the terms for entries that send to endpoints without an agent in the path; a full batch gains nothing there.
	DirectTerms = StallTerm | QueueTerm | PrefixTerm | CorrectionTerm | ReplicaTerm | AffinityTerm | BacklogTerm | ZoneTerm | PreviousHolderTerm
	// AllTerms are the terms for entries that send through agents.
	AllTerms = StallTerm | QueueTerm | BatchTerm | PrefixTerm | CorrectionTerm | ReplicaTerm | AffinityTerm
)

// Option sets a property of a table.
type Option func(*Table)

// WithWeights sets the weights of the deployment; the default is 1 for both.
func WithWeights(w Weights) Option { return func(t *Table) { t.weights = w } }

// WithRandom sets the source of random choices. Each entry needs its own source; with equal ones, all entries choose alike.
func WithRandom(r *rand.Rand) Option { return func(t *Table) { t.random = r } }

// WithLoadBudget sets the load budget that all endpoints share: loads per second and loads in flight.
func WithLoadBudget(perSecond float64, inFlight int) Option {
	return func(t *Table) { t.loadsPerSecond, t.maxLoadsInFlight = max(perSecond, 0.01), max(inFlight, 1) }
}

// WithLoadTime sets the duration of one load while the load budget is not exceeded.
func WithLoadTime(d time.Duration) Option { return func(t *Table) { t.loadMilli = milli(d) } }

// WithServiceTime sets the duration of one request that is assumed until it has been measured.
func WithServiceTime(d time.Duration) Option {
	return func(t *Table) { t.meter.assumedTime = d.Seconds() }
}

// WithPrefill sets the prefill time of one prompt token, which is what a cached prefix saves.
func WithPrefill(perToken time.Duration) Option {
	return func(t *Table) { t.prefillMilli = milli(perToken) }
}

// WithStep sets the time in which a batch produces one token for each of its requests while it reads no prompt.
func WithStep(d time.Duration) Option { return func(t *Table) { t.stepMilli = milli(d) } }

// WithStreamWeight sets the weight of a delay of running streams, relative to a wait for the first chunk.
func WithStreamWeight(w float64) Option { return func(t *Table) { t.streamWeight = w } }

// WithZoneCost sets the cost of sending one KiB to another availability zone.
func WithZoneCost(d time.Duration) Option { return func(t *Table) { t.zoneMilliPerKiB = milli(d) } }

// WithAffinity sets the cost of an endpoint that is not preferred for an adapter that it would have to load.
func WithAffinity(d time.Duration) Option { return func(t *Table) { t.affinityMilli = milli(d) } }

// WithSamples sets the number of random endpoints that are compared for loading an adapter.
func WithSamples(n int) Option { return func(t *Table) { t.samples = n } }

// WithDisplacedLoads sets the number of later loads that a replica beyond the planned number is assumed to cost.
func WithDisplacedLoads(loads float64) Option { return func(t *Table) { t.displacedLoads = loads } }

// WithTerms selects the terms of the cost; the default is AllTerms.
func WithTerms(terms Terms) Option { return func(t *Table) { t.terms = terms } }

func milli(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
