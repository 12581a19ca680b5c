package frontend

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/retry"
	"shallotring.dev/state/routing"
)

const (
	// transfers is the number of adapters on their way to all engines at which each still loads at full speed, and loadTime the
	// time of one load then; both are the weight store's.
	transfers = 8
	loadTime  = 250 * time.Millisecond
	// prefill is the time to read one prompt token: about 38 tokens a millisecond on the engines in use.
	prefill = 26 * time.Microsecond
	// step is the time of one token of a batch: 4 to 6 ms on the engines in use.
	step = 5 * time.Millisecond
	// zoneCharge is the cost of one KiB to another availability zone, where traffic between zones is paid for: a long prompt
	// costs about as much as it loses by a wait of some tens of milliseconds.
	zoneCharge = 2 * time.Millisecond
	// affinity is the cost of an engine that is not preferred for an absent adapter: an engine that held it lately loads it
	// in a tenth of the time.
	affinity = 120 * time.Millisecond
	// displaced is the number of loads that another copy of an adapter is taken to cost: the tail of the adapters does not fit
	// into the engines anyway, and a load takes less time than a few prompts.
	displaced = 0.3
	// samples is the number of random engines that are compared for an absent adapter: few of them have a free place under load.
	samples = 8
	// balance is the interval of the accounts to agents and of the checks of what is known of endpoints.
	balance = 100 * time.Millisecond
)

// Headers translates the headers of requests and answers.
type Headers interface {
	Decode(h http.Header) (c call.Call, err error)
	Forward(h http.Header, d call.Dispatch)
	Verdict(status int, h http.Header) call.Verdict
	Named(h http.Header, id ident.RequestID)
}

// RetryLimit bounds the repeats of all entries together.
type RetryLimit struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Frontend serves the callers of one entry host.
type Frontend struct {
	headers Headers
	host    ident.Host
	zone    ident.Zone
	control int
	retries RetryLimit
	clock   quartz.Clock
	log     *slog.Logger
	metrics *instruments

	routes   atomic.Pointer[routing.Table]
	draining atomic.Bool
	closing  atomic.Bool
	// end is the time at which the process ends, once it has too little time left for a stream.
	end atomic.Pointer[time.Time]

	mu        sync.Mutex
	placement *placement.Table
	endpoints map[ident.Endpoint]*endpoint
	versions  map[ident.Adapter]ident.Version
	budgets   map[ident.Service]*retry.Window
	random    *rand.Rand
	// links outlive the endpoints: an engine that starts again keeps its agent.
	links map[string]*link
	ctx   context.Context
	wg    sync.WaitGroup
}

// Option changes how a frontend is built.
type Option func(*Frontend)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(f *Frontend) { f.clock = c } }

// WithLog sets the log of decisions.
func WithLog(l *slog.Logger) Option { return func(f *Frontend) { f.log = l } }

// WithMetrics sets the set that counters and histograms belong to.
func WithMetrics(set *metrics.Set) Option {
	return func(f *Frontend) { f.metrics = newInstruments(set) }
}

// WithRetryLimit bounds repeats.
func WithRetryLimit(l RetryLimit) Option { return func(f *Frontend) { f.retries = l } }

// WithControlPort sets the port of the agents.
func WithControlPort(port int) Option { return func(f *Frontend) { f.control = port } }

// New returns a frontend without configuration and endpoints.
func New(headers Headers, host ident.Host, zone ident.Zone, options ...Option) *Frontend {
	f := &Frontend{
		headers: headers, host: host, zone: zone, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler),
		metrics: newInstruments(metrics.NewSet()), retries: RetryLimit{Ratio: 0.1, Extra: 10, Window: 10 * time.Second},
		endpoints: make(map[ident.Endpoint]*endpoint), versions: make(map[ident.Adapter]ident.Version),
		budgets: make(map[ident.Service]*retry.Window), links: make(map[string]*link),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range options {
		o(f)
	}
	f.placement = placement.New(
		placement.WithTerms(placement.DirectTerms), placement.WithPrefill(prefill), placement.WithStep(step), placement.WithZoneCharge(zoneCharge),
		placement.WithAffinity(affinity), placement.WithDisplacedLoads(displaced), placement.WithSamples(samples), placement.WithLoadTime(loadTime),
		placement.WithLoadBudget(transfers/loadTime.Seconds(), transfers), placement.WithRandom(f.random),
	)
	return f
}

// Run keeps the links to agents until the context ends.
func (f *Frontend) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	for _, l := range f.links {
		f.start(l)
	}
	f.mu.Unlock()
	t := f.clock.NewTicker(balance)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			f.wg.Wait()
			return
		case <-t.C:
			f.settle()
		}
	}
}

// Configure puts a configuration in force; an older one is ignored.
func (f *Frontend) Configure(t *routing.Table) {
	if old := f.routes.Load(); old != nil && t.Version <= old.Version {
		if t.Version < old.Version {
			f.violated("G8", "an older configuration would be put in force", slog.Int64("Version", t.Version), slog.Int64("InForce", old.Version))
		}
		return
	}
	f.routes.Store(t)
	f.metrics.version.Set(float64(t.Version))
	f.log.Info("configuration in force", slog.Int64("Version", t.Version), slog.Int("Routes", t.Len()), slog.Int("Services", len(t.Services)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		f.observe(e)
	}
}

// Declare sets the version of an adapter that requests run on from now.
func (f *Frontend) Declare(av ident.AdapterVersion) {
	f.mu.Lock()
	f.versions[av.Adapter] = av.Version
	f.mu.Unlock()
	f.log.Info("version declared", slog.String("Adapter", string(av.Adapter)), slog.String("Version", string(av.Version)))
}

// Join adds or changes an endpoint.
func (f *Frontend) Join(d inventory.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[d.ID]
	if e != nil && (e.StartMilli != d.StartMilli || e.Address != d.Address || e.Service != d.Service) {
		f.remove(e, "started again")
		e = nil
	}
	if e == nil {
		e = f.add(d)
		f.log.Info("endpoint joined", slog.String("Endpoint", string(d.ID)), slog.String("Service", string(d.Service)),
			slog.String("Address", d.Address), slog.String("Zone", string(d.Zone)), slog.Bool("Leaving", d.Leaving), slog.Int64("Born", d.StartMilli))
	} else if e.Leaving != d.Leaving {
		f.log.Info("endpoint changed", slog.String("Endpoint", string(d.ID)), slog.Bool("Leaving", d.Leaving), slog.Int64("RemainingMilli", d.Remaining.Milliseconds()))
	}
	// An endpoint that has said it leaves does not come back in the same life.
	d.Leaving = d.Leaving || e.Leaving
	e.Endpoint = d
	f.supersede(e)
	f.observe(e)
}

// supersede marks the former lives at an address, whose discovery entries run out later.
func (f *Frontend) supersede(e *endpoint) {
	for _, x := range f.endpoints {
		if x == e || x.Address != e.Address {
			continue
		}
		former := x
		if e.StartMilli < x.StartMilli {
			former = e
		}
		if !former.superseded {
			former.superseded = true
			f.log.Info("endpoint superseded", slog.String("Endpoint", string(former.ID)), slog.String("Address", e.Address), slog.Int64("Born", former.StartMilli))
			f.observe(former)
		}
	}
}

// Leave removes an endpoint; requests that it runs go on.
func (f *Frontend) Leave(id ident.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		f.remove(e, "gone from discovery")
	}
}

// Ready reports why the platform must send no new connections; an empty reason means that it may.
func (f *Frontend) Ready() (reason string) {
	if f.draining.Load() {
		return "stopping"
	}
	if f.routes.Load() == nil {
		return "no configuration"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpoints) == 0 {
		return "no endpoints"
	}
	return ""
}

// Drain makes the entry report that it is not ready; it goes on serving.
func (f *Frontend) Drain() { f.draining.Store(true) }

// CloseConnections asks callers to send no further requests on their connections.
func (f *Frontend) CloseConnections() { f.closing.Store(true) }

// RefuseStreams refuses streams, which may run for longer than the process has left, and from now on every request whose time
// reaches beyond the process's end.
func (f *Frontend) RefuseStreams(end time.Time) { f.end.Store(&end) }
