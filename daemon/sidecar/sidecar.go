package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/wait"
	"shallotring.dev/protocol/control"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
	"shallotring.dev/state/sendlimit"
	"shallotring.dev/state/sendpool"
)

const (
	// pollInterval is the interval at which the engine is polled, which is cheap on the same host.
	pollInterval = 100 * time.Millisecond
	// loadingPollInterval is the interval while loads are in flight, since requests wait for them.
	loadingPollInterval = 20 * time.Millisecond
	// maxStateInterval is the longest time between two states that are sent to an entry. An entry that receives none for a few
	// intervals considers the agent lost.
	maxStateInterval = 400 * time.Millisecond
	// entrySilenceTimeout is the time after which the connection of an entry that sends nothing is closed.
	entrySilenceTimeout = 2500 * time.Millisecond
	// maxFailedPolls is the number of consecutive failed polls after which the engine counts as down.
	maxFailedPolls = 2
	// maxReportAge is the age of the engine's last report from which the state counts as stale.
	maxReportAge = time.Second
	// claimRetryDelay is the delay before another request for a fencing number.
	claimRetryDelay = 250 * time.Millisecond
	// maxQueuedEvents bounds the events that wait for controlEngine; when the queue is full, the connections of entries wait.
	maxQueuedEvents = 256
)

// Engine is the engine on this host; Identity returns the id of its incarnation.
type Engine interface {
	Report(ctx context.Context) (r holdings.Report, err error)
	Order(ctx context.Context, o holdings.Order) (result holdings.Result, err error)
	Identity(ctx context.Context) (id ident.Endpoint, err error)
}

// Claim returns a fencing number that is higher than any that this host has used before.
type Claim func(ctx context.Context) (fencingNumber ident.Incarnation, err error)

// Sidecar sends the orders to one engine and its state to the entries.
type Sidecar struct {
	engine Engine
	claim  Claim
	clock  quartz.Clock
	log    *slog.Logger

	// sends hands out the requests to endpoints with a limit.
	sends *sendpool.Pool

	events chan event
	// reclaim asks for another fencing number.
	reclaim  chan struct{}
	capacity atomic.Pointer[routing.Engine]

	// Only controlEngine and the methods that it calls use the fields below.
	keeper      *holdings.Keeper
	endpoint    ident.Endpoint
	startMilli  int64
	failedPolls int
	// reportedAt is the time of the engine's last report.
	reportedAt time.Time
	// unidentified is set while the engine has started again and its new identity is not known.
	unidentified bool
	// pausedUntil is the time until which the engine has asked for no calls.
	pausedUntil time.Time
	links       map[*entryLink]bool
	publishedAt time.Time
	// loadOrderedAt holds the times at which the loads in flight were ordered.
	loadOrderedAt map[ident.AdapterVersion]time.Time
	published     control.State
	// incarnations are the last incarnations of the engine, the current one last.
	incarnations []*incarnation
	// evidence is what entries have seen of requests that may crash endpoints, the latest last.
	evidence []receivedEvidence
	// limit is the rate of requests that the engine takes from all hosts together. While it has one, ownCalls is the number of the agent's
	// own calls that had accrued at accruedAt.
	limit     sendlimit.Limit
	ownCalls  float64
	accruedAt time.Time
	// orderedAt is the time of the last order to the engine.
	orderedAt time.Time

	orders        *metrics.Counter
	refusedOrders *metrics.Counter
	unknownOrders *metrics.Counter
	// limitedCalls counts the reports and orders sent to the engine while it named a limit.
	limitedCalls *metrics.Counter
	// engineLosses counts how often the engine stopped responding.
	engineLosses *metrics.Counter
	loadSeconds  *metrics.Histogram
}

// event is a usage report of an entry, the start or the end of an entry's connection, or a new fencing number.
type event struct {
	link          *entryLink
	report        control.UsageReport
	disconnected  bool
	connected     bool
	fencingNumber ident.Incarnation
}

// Option changes how a sidecar is built.
type Option func(*Sidecar)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(s *Sidecar) { s.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(s *Sidecar) { s.log = l } }

// WithMetrics sets the set that the counters belong to.
func WithMetrics(set *metrics.Set) Option {
	return func(s *Sidecar) {
		s.orders = set.GetOrCreateCounter("shallotring_sidecar_orders_total")
		s.refusedOrders = set.GetOrCreateCounter("shallotring_sidecar_orders_refused_total")
		s.unknownOrders = set.GetOrCreateCounter("shallotring_sidecar_orders_unknown_total")
		s.limitedCalls = set.GetOrCreateCounter("shallotring_sidecar_limited_calls_total")
		s.engineLosses = set.GetOrCreateCounter("shallotring_sidecar_engine_losses_total")
		s.loadSeconds = set.GetOrCreateHistogram("shallotring_sidecar_load_seconds")
	}
}

// New returns a sidecar for an engine.
func New(engine Engine, claim Claim, options ...Option) *Sidecar {
	s := &Sidecar{
		engine: engine, claim: claim, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler), events: make(chan event, maxQueuedEvents), reclaim: make(chan struct{}, 1),
		sends: sendpool.New(), keeper: holdings.New(), links: make(map[*entryLink]bool), loadOrderedAt: make(map[ident.AdapterVersion]time.Time),
	}
	WithMetrics(metrics.NewSet())(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// Configure sets what the engine is to hold and can hold.
func (s *Sidecar) Configure(capacity routing.Engine) { s.capacity.Store(&capacity) }

// Run serves entries on the listener and controls the engine until the context ends.
func (s *Sidecar) Run(ctx context.Context, l net.Listener) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
		_ = l.Close()
	})
	wg.Go(func() { s.acquireFencingNumber(ctx) })
	wg.Go(func() { s.controlEngine(ctx) })
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept the connection of an entry")
		}
		wg.Go(func() { s.serveEntry(ctx, c) })
	}
}

// acquireFencingNumber gets the fencing number of this process, retries until it succeeds, and gets another one after the engine has
// refused it; later processes on this host get higher ones.
func (s *Sidecar) acquireFencingNumber(ctx context.Context) {
	logged := false
	for ctx.Err() == nil {
		fencingNumber, err := s.claim(ctx)
		if err == nil {
			logged = false
			s.log.Info("fencing number acquired", slog.Int64("Fence", int64(fencingNumber)))
			s.emit(ctx, event{fencingNumber: fencingNumber})
			select {
			case <-s.reclaim:
			case <-ctx.Done():
				return
			}
		}
		if err != nil && !logged {
			logged = true
			s.log.Warn("no fencing number yet; the engine gets no orders until the claim succeeds", slog.Any("Error", err))
		}
		wait.For(ctx, s.clock, claimRetryDelay)
	}
}

func (s *Sidecar) emit(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// controlEngine runs in the only goroutine that uses the keeper and sends orders to the engine.
func (s *Sidecar) controlEngine(ctx context.Context) {
	timer := s.clock.NewTimer(0)
	defer timer.Stop()
	for {
		pollNow := false
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			pollNow = s.handleEvent(e)
			if !pollNow {
				continue
			}
		case <-timer.C:
		}
		s.pollAndOrder(ctx)
		interval := pollInterval
		if s.keeper.HasPendingLoads() {
			interval = loadingPollInterval
		}
		timer.Reset(interval)
	}
}

// handleEvent applies an event and reports whether the engine should be polled now.
func (s *Sidecar) handleEvent(e event) (poll bool) {
	if e.fencingNumber != 0 {
		s.keeper.SetFencingNumber(e.fencingNumber)
		return true
	}
	now := s.clock.Now()
	if e.connected {
		s.replaceLinks(now, e.link.host)
		s.links[e.link] = true
		s.sendKnownEvidence(now, e.link)
		s.log.Info("entry connected", slog.String("Entry", string(e.link.host)), slog.Int("Entries", len(s.links)))
		if s.published.Holdings != nil {
			state := s.published
			state.Crashes = s.crashes(now)
			e.link.enqueueState(state)
		}
	}
	if !s.links[e.link] {
		// The entry has connected again meanwhile.
		return false
	}
	if e.disconnected {
		delete(s.links, e.link)
		s.keeper.RemoveEntry(now, e.link.host)
		return false
	}
	if e.report.Evidence != nil {
		s.relayEvidence(now, e.link, *e.report.Evidence)
		return false
	}
	current := s.aboutEngine(e.link, e.report)
	if e.report.Interrupted != nil {
		s.recordInterruption(now, e.link.host, e.link.reportedStart, e.report.Interrupted)
		s.publish()
	}
	if !current {
		return false
	}
	for _, u := range e.report.Uses {
		s.keeper.RecordUse(now, e.link.host, u)
	}
	for _, w := range e.report.Wants {
		s.keeper.SetDemand(now, e.link.host, w)
	}
	return len(e.report.Wants) > 0
}

// pollAndOrder polls the engine and sends the orders that are due, with another poll after each; then it publishes the state.
func (s *Sidecar) pollAndOrder(ctx context.Context) {
	if capacity := s.capacity.Load(); capacity != nil {
		s.keeper.Configure(*capacity)
	}
	s.updateLimit()
	if s.limit.Named {
		s.callLimited(ctx)
		s.publish()
		return
	}
	// Each order changes the report that the next one depends on. Eight orders are enough for all that one call can need.
	for range 8 {
		if s.clock.Now().Before(s.pausedUntil) || !s.pollEngine(ctx) {
			break
		}
		o, ok := s.keeper.Next(s.clock.Now())
		if !ok {
			break
		}
		s.sendOrder(ctx, o)
	}
	s.publish()
}

// pollEngine reads the engine's report into the keeper; ok is false if the engine's report or identity could not be read.
func (s *Sidecar) pollEngine(ctx context.Context) (ok bool) {
	s.recordCall()
	polledAt := s.clock.Now()
	r, err := s.engine.Report(ctx)
	now := s.clock.Now()
	if s.recordPause(now, err) {
		return false
	}
	if err != nil {
		if upstream.Unsent(err) {
			// The engine has got nothing, and its end is to be noticed soon.
			s.ownCalls++
		}
		if s.failedPolls++; s.failedPolls == maxFailedPolls {
			s.engineLosses.Inc()
			s.endIncarnation()
			s.log.Warn("engine does not respond; it counts as down", slog.String("Endpoint", string(s.endpoint)), slog.Bool("Leaving", s.keeper.Report().Leaving),
				slog.Int("Running", s.keeper.Report().Running), slog.Int64("SinceOrderMilli", now.Sub(s.orderedAt).Milliseconds()), slog.Any("Error", err))
		}
		return false
	}
	if s.failedPolls >= maxFailedPolls {
		s.log.Info("engine responds again", slog.String("Endpoint", string(s.endpoint)), slog.Int64("Born", r.StartMilli))
	}
	s.failedPolls, s.reportedAt = 0, now
	if r.StartMilli != s.startMilli || s.endpoint == "" {
		id, err := s.engine.Identity(ctx)
		if s.unidentified = err != nil; s.unidentified {
			s.log.Warn("engine did not report its identity; its state is not updated", slog.Int64("Born", r.StartMilli), slog.Any("Error", err))
			return false
		}
		s.log.Info("engine started", slog.String("Endpoint", string(id)), slog.Int64("Born", r.StartMilli), slog.String("Former", string(s.endpoint)))
		if s.endpoint != "" {
			// A late order to the previous incarnation may have the same id and sequence as one of now.
			s.replaceFencingNumber()
		}
		s.sends.Forget(s.endpoint)
		s.endpoint, s.startMilli = id, r.StartMilli
		clear(s.loadOrderedAt)
	}
	s.recordIncarnation(polledAt, r.Leaving)
	s.recordLimit(now, r.Limit)
	if previous := s.keeper.Report().Models; len(r.Models) > 0 && !slices.Equal(r.Models, previous) {
		s.log.Info("base model loaded", slog.String("Model", string(r.Models[0].Model)), slog.String("Version", string(r.Models[0].Version)),
			slog.String("Endpoint", string(s.endpoint)), slog.Int64("Sequence", r.Sequence))
	}
	for _, av := range s.keeper.Observe(now, s.endpoint, r) {
		start, ordered := s.loadOrderedAt[av]
		delete(s.loadOrderedAt, av)
		if ordered {
			s.loadSeconds.Update(now.Sub(start).Seconds())
		}
		s.log.Info("adapter loaded", slog.String("Adapter", av.String()), slog.String("Endpoint", string(s.endpoint)), slog.Bool("Ordered", ordered),
			slog.Int64("Sequence", r.Sequence), slog.Int("Resident", len(r.Resident)), slog.Int("Loading", len(r.Loading)))
	}
	return true
}

func (s *Sidecar) sendOrder(ctx context.Context, o holdings.Order) {
	s.orders.Inc()
	s.recordCall()
	start := s.clock.Now()
	s.orderedAt = start
	result, err := s.engine.Order(ctx, o)
	now := s.clock.Now()
	switch {
	case err != nil && !upstream.Unsent(err) && result == holdings.Unknown:
		s.unknownOrders.Inc()
	case result != holdings.Accepted:
		s.refusedOrders.Inc()
	}
	s.keeper.Sent(now, o, result)
	s.recordPause(now, err)
	if result == holdings.Fenced {
		// The engine has seen a higher number, so it refuses every order with this one.
		s.keeper.SetFencingNumber(0)
		s.replaceFencingNumber()
	}
	if result == holdings.Accepted && !o.Unload && o.Model == "" {
		s.loadOrderedAt[o.Adapter] = start
	}
	s.log.Info("order sent to the engine", slog.Bool("Unload", o.Unload), slog.String("Model", string(o.Model)), slog.String("Adapter", o.Adapter.String()), slog.String("Endpoint", string(o.Endpoint)),
		slog.Int64("Expected", o.ExpectedSequence), slog.Int64("Fence", int64(o.FencingNumber)), slog.String("Result", result.String()),
		slog.Int64("DurationMilli", now.Sub(start).Milliseconds()), slog.Any("Error", err))
}

// replaceFencingNumber asks for another fencing number, unless that is under way; orders carry the current one until then.
func (s *Sidecar) replaceFencingNumber() {
	select {
	case s.reclaim <- struct{}{}:
	default:
	}
}

// recordPause reports whether the engine has asked for time without calls, and stops the calls for that time.
func (s *Sidecar) recordPause(now time.Time, err error) (paused bool) {
	var busy *holdings.BusyError
	if !errors.As(err, &busy) {
		return false
	}
	s.pausedUntil = now.Add(busy.RetryAfter)
	s.log.Warn("engine wants no calls for a time", slog.String("Endpoint", string(s.endpoint)), slog.Int64("RetryAfterMilli", busy.RetryAfter.Milliseconds()))
	return true
}

// publish sends the state to the entries if it has changed so much that they would decide otherwise, or if maxStateInterval has passed.
func (s *Sidecar) publish() {
	now := s.clock.Now()
	r := s.keeper.Report()
	up := s.failedPolls < maxFailedPolls && s.endpoint != "" && !s.unidentified
	state := control.State{
		Endpoint: s.endpoint, Born: s.startMilli, Up: up, Stale: up && now.Sub(s.reportedAt) > s.maxReportAge(), Leaving: r.Leaving, Running: r.Running, Queued: r.Queued,
		Starting: r.Starting, PromptRate: int(s.keeper.PromptRate(now)), Pinned: s.keeper.Pinned(now), Entries: s.entryCount(),
		SharesLimits: true, Limit: s.limit, RelaysEvidence: true,
		Holdings: control.NewHoldings(r.Models, r.Resident, r.Loading), Crashes: s.crashes(now),
	}
	if now.Sub(s.publishedAt) < maxStateInterval && similar(state, s.published) {
		return
	}
	s.publishedAt, s.published = now, state
	for x := range s.links {
		x.enqueueState(state)
	}
}

func (s *Sidecar) entryCount() int {
	hosts := make(map[ident.Host]bool, len(s.links))
	for x := range s.links {
		hosts[x.host] = true
	}
	return len(hosts)
}
