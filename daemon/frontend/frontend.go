package frontend

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"golang.org/x/time/rate"

	"shallotring.dev/state/call"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/overload"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/quarantine"
	"shallotring.dev/state/retry"
	"shallotring.dev/state/routing"
	"shallotring.dev/state/suspicion"
	"shallotring.dev/transport/guard"
)

const (
	// fullSpeedLoads is the number of loads in flight at all engines up to which each runs at full speed, and loadTime is the
	// duration of one load at full speed. Both are properties of the weight store.
	fullSpeedLoads = 8
	loadTime       = 250 * time.Millisecond
	// prefillPerToken is the time to read one prompt token: the engines in use read about 38 tokens per millisecond.
	prefillPerToken = 26 * time.Microsecond
	// stepTime is the time in which a batch produces one token per request: 4 to 6 ms on the engines in use.
	stepTime = 5 * time.Millisecond
	// zoneCostPerKiB is the cost of sending one KiB to another availability zone, since traffic between zones is paid for. With it,
	// sending a long prompt costs about as much as a load of an adapter.
	zoneCostPerKiB = 16 * time.Millisecond
	// affinityCost is the cost of an engine that is not preferred for an adapter that it would have to load: an engine that held
	// the adapter recently loads it in a tenth of the time.
	affinityCost = 120 * time.Millisecond
	// displacedLoads is the number of later loads that one more replica of an adapter is assumed to cost: it takes the slot of a rarely
	// used adapter and a share of the weight store, on which the requests for cold adapters wait.
	displacedLoads = 1
	// sampledEngines is the number of random engines that are compared for loading an adapter; under load, few of them have a
	// free adapter slot.
	sampledEngines = 8
	// refreshInterval is the interval at which usage reports are sent to the agents and expired state of endpoints is detected.
	refreshInterval = 100 * time.Millisecond
)

// Headers translates the headers of requests and responses.
type Headers interface {
	Decode(h http.Header) (c call.Call, err error)
	Forward(h http.Header, d call.Dispatch)
	DecodeResponse(status int, h http.Header) call.ResponseInfo
	SetRequestID(h http.Header, id ident.RequestID)
	SetChallenge(h http.Header)
}

// RetryLimit bounds the retries of all entries together: in any span of Window, they are at most Ratio times the requests plus Extra.
type RetryLimit struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Frontend serves the callers of one entry host.
type Frontend struct {
	headers    Headers
	host       ident.Host
	zone       ident.Zone
	agentPort  int
	retryLimit RetryLimit
	clock      quartz.Clock
	log        *slog.Logger
	metrics    *instruments

	routes             atomic.Pointer[routing.Table]
	confirmation       confirmation
	keyLines           *rate.Limiter
	draining           atomic.Bool
	closingConnections atomic.Bool
	// guard has the account of the memory that callers hold.
	guard *guard.Guard
	// endTime is the time at which the process exits. It is set once the remaining time is too short for a stream.
	endTime atomic.Pointer[time.Time]

	mu           sync.Mutex
	placement    *placement.Table
	endpoints    map[ident.Endpoint]*endpoint
	departures   departures
	versions     map[ident.Adapter]ident.Version
	retryBudgets map[ident.Service]*retry.Window
	random       *rand.Rand
	pauses       overload.Pauses
	// quarantine has the prompt parts on which engines crash.
	quarantine *quarantine.List
	suspects   suspects
	// suspecting is set while any request is under suspicion or in quarantine.
	suspecting atomic.Bool
	// quarantined is set while any prompt part is in quarantine, and unusedProbations has the end of those whose request reached no engine.
	quarantined      atomic.Bool
	unusedProbations map[call.PartID]time.Time
	quarantineRecord QuarantineRecord
	// links has the link to each agent by its address. A link outlives the endpoint, since a restarted engine has the same agent.
	links map[string]*agentLink
	// rosterEntries is the number of entries according to the store, 0 if it is not known.
	rosterEntries int
	// entries is the number of entries as of entriesAt, 0 before an agent has reported it.
	entries   int
	entriesAt time.Time
	// sendSequence numbers the requests for sends to endpoints with a limit.
	sendSequence int64
	usage        usage
	ctx          context.Context
	wg           sync.WaitGroup
}

// Option changes how a frontend is built.
type Option func(*Frontend)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(f *Frontend) { f.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(f *Frontend) { f.log = l } }

// WithMetrics sets the set that counters and histograms belong to.
func WithMetrics(set *metrics.Set) Option {
	return func(f *Frontend) { f.metrics = newInstruments(set) }
}

// WithRetryLimit bounds the retries.
func WithRetryLimit(l RetryLimit) Option { return func(f *Frontend) { f.retryLimit = l } }

// WithGuard sets the guard that counts the memory and the connections of callers.
func WithGuard(g *guard.Guard) Option { return func(f *Frontend) { f.guard = g } }

// WithControlPort sets the port on which the agents accept entries.
func WithControlPort(port int) Option { return func(f *Frontend) { f.agentPort = port } }

// WithQuarantineRecord sets where the prompt parts in quarantine are kept.
func WithQuarantineRecord(r QuarantineRecord) Option {
	return func(f *Frontend) { f.quarantineRecord = r }
}

// New returns a frontend without configuration and endpoints.
func New(headers Headers, host ident.Host, zone ident.Zone, options ...Option) *Frontend {
	f := &Frontend{
		headers: headers, host: host, zone: zone, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler),
		metrics: newInstruments(metrics.NewSet()), retryLimit: RetryLimit{Ratio: 0.1, Extra: 10, Window: 10 * time.Second},
		endpoints: make(map[ident.Endpoint]*endpoint), departures: newDepartures(), versions: make(map[ident.Adapter]ident.Version),
		retryBudgets: make(map[ident.Service]*retry.Window), links: make(map[string]*agentLink),
		usage:  newUsage(),
		pauses: overload.NewPauses(), quarantine: quarantine.New(), quarantineRecord: noQuarantineRecord{}, unusedProbations: make(map[call.PartID]time.Time),
		suspects:     suspects{List: suspicion.New(), requestRecord: noRecord{}, unused: make(map[fingerprint.Fingerprint]bool)},
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		confirmation: confirmation{bootTime: bootTime}, keyLines: rate.NewLimiter(maxKeyRefusalLines, maxKeyRefusalLines),
	}
	for _, o := range options {
		o(f)
	}
	if f.guard == nil {
		f.guard = guard.New(guard.LimitsOf(0, 0))
	}
	f.placement = placement.New(
		placement.WithTerms(placement.DirectTerms), placement.WithPrefill(prefillPerToken), placement.WithStep(stepTime), placement.WithZoneCost(zoneCostPerKiB),
		placement.WithAffinity(affinityCost), placement.WithDisplacedLoads(displacedLoads), placement.WithSamples(sampledEngines), placement.WithLoadTime(loadTime),
		placement.WithLoadBudget(fullSpeedLoads/loadTime.Seconds(), fullSpeedLoads), placement.WithRandom(f.random),
	)
	return f
}

// Run maintains the links to the agents until the context ends.
func (f *Frontend) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	for _, l := range f.links {
		f.startLink(l)
	}
	f.mu.Unlock()
	t := f.clock.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			f.wg.Wait()
			return
		case <-t.C:
			f.refreshEndpoints()
		}
	}
}

// Configure puts a configuration in force, unless it is older than the current one.
func (f *Frontend) Configure(t *routing.Table) {
	if old := f.routes.Load(); old != nil && t.Version <= old.Version {
		if t.Version < old.Version {
			f.recordViolation("G8", "received a configuration that is older than the one in force", slog.Int64("Version", t.Version), slog.Int64("InForce", old.Version))
		}
		return
	}
	f.routes.Store(t)
	f.metrics.configurationVersion.Set(float64(t.Version))
	f.log.Info("configuration in force", slog.Int64("Version", t.Version), slog.Int("Routes", t.Len()), slog.Int("Services", len(t.Services)))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.weighStreams()
	for _, e := range f.endpoints {
		f.updatePlacement(e)
	}
}

// UpdateEndpoint adds an endpoint or applies a change to it.
func (f *Frontend) UpdateEndpoint(d inventory.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures.cancel(d.ID)
	f.updateEndpoint(d)
}

// updateEndpoint is UpdateEndpoint with the lock held.
func (f *Frontend) updateEndpoint(d inventory.Endpoint) {
	e := f.endpoints[d.ID]
	if e != nil && slices.Contains(e.formerStarts, d.StartMilli) && e.agentState(f.clock.Now()) != nil {
		// Discovery is behind the agent, whose recent state names the current incarnation.
		f.log.Info("discovery entry of a former incarnation is ignored", slog.String("Endpoint", string(d.ID)), slog.Int64("Born", d.StartMilli),
			slog.Int64("Current", e.StartMilli), slog.Bool("Leaving", d.Leaving))
		return
	}
	switch {
	case e != nil && (e.Address != d.Address || e.Service != d.Service):
		f.removeEndpoint(e, "moved")
		e = nil
	case e != nil && e.StartMilli != d.StartMilli:
		e = f.replaceEndpoint(e, d)
	}
	if e == nil {
		e = f.addEndpoint(d)
		f.log.Info("endpoint added", slog.String("Endpoint", string(d.ID)), slog.String("Service", string(d.Service)),
			slog.String("Address", d.Address), slog.String("Zone", string(d.Zone)), slog.Bool("Leaving", d.Leaving), slog.Int64("Born", d.StartMilli))
	} else if e.Leaving != d.Leaving {
		f.log.Info("endpoint changed", slog.String("Endpoint", string(d.ID)), slog.Bool("Leaving", d.Leaving), slog.Int64("RemainingMilli", d.Remaining.Milliseconds()))
	}
	// An endpoint that has announced that it is leaving does not return in the same incarnation.
	d.Leaving = d.Leaving || e.Leaving
	e.Endpoint, e.doubted = d, false
	f.markSuperseded(e)
	f.updatePlacement(e)
	f.updateDoubted(e.Service)
}

// markSuperseded marks the previous incarnations at the endpoint's address, whose discovery entries expire later.
func (f *Frontend) markSuperseded(e *endpoint) {
	for _, x := range f.endpoints {
		if x == e || x.Address != e.Address {
			continue
		}
		previous := x
		if e.StartMilli < x.StartMilli {
			previous = e
		}
		if !previous.superseded {
			previous.superseded = true
			f.recordEnd(previous, f.clock.Now(), nextIncarnation)
			f.log.Info("endpoint superseded", slog.String("Endpoint", string(previous.ID)), slog.String("Address", e.Address), slog.Int64("Born", previous.StartMilli))
			f.updatePlacement(previous)
		}
	}
}

// RemoveEndpoint removes an endpoint; its requests in progress continue.
func (f *Frontend) RemoveEndpoint(id ident.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures.cancel(id)
	if e := f.endpoints[id]; e != nil {
		f.departures.record(f.clock.Now(), e.Endpoint)
		f.removeEndpoint(e, "removed from discovery")
	}
}

// NotReadyReason returns why the platform must not send new connections; it is empty if the entry is ready.
func (f *Frontend) NotReadyReason() (reason string) {
	if f.draining.Load() {
		return "stopping"
	}
	if f.routes.Load() == nil {
		return "no configuration"
	}
	if f.keysUnconfirmed() {
		return "configuration not confirmed"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpoints) == 0 {
		return "no endpoints"
	}
	return ""
}

// Drain makes the entry report that it is not ready; it continues to serve requests.
func (f *Frontend) Drain() { f.draining.Store(true) }

// CloseConnections makes every following response ask the caller to close its connection.
func (f *Frontend) CloseConnections() { f.closingConnections.Store(true) }

// RefuseStreams makes the entry refuse all streams, which may last longer than the remaining time of the process, and all requests
// whose deadline is after the end of the process.
func (f *Frontend) RefuseStreams(end time.Time) { f.endTime.Store(&end) }
