package sidecar

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/control"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
)

const (
	// reportEvery is the interval of the engine's reports, which cost nothing on the same host.
	reportEvery = 100 * time.Millisecond
	// loadingEvery is the interval while adapters are on their way: requests wait for the news.
	loadingEvery = 20 * time.Millisecond
	// stateEvery is the longest time between two messages to an entry, which takes the agent as lost after a few of them.
	stateEvery = 400 * time.Millisecond
	// entrySilence is the time after which an entry that sends nothing is gone.
	entrySilence = 2500 * time.Millisecond
	// downAfter is the number of reports in a row that fail before the engine counts as down.
	downAfter = 2
	// claimEvery is the pause between attempts to get a fencing number.
	claimEvery = 500 * time.Millisecond
	// events bounds the messages that wait for the control goroutine; a link waits when it is full.
	events = 256
)

// Engine is the engine on this host.
type Engine interface {
	Report(ctx context.Context) (r holdings.Report, err error)
	Order(ctx context.Context, o holdings.Order) (result holdings.Result, err error)
	Identity(ctx context.Context) (id ident.Endpoint, err error)
}

// Claim returns a fencing number that is higher than any that this host has used.
type Claim func(ctx context.Context) (fence ident.Incarnation, err error)

// Sidecar orders one engine.
type Sidecar struct {
	engine Engine
	claim  Claim
	clock  quartz.Clock
	log    *slog.Logger

	events chan event
	plan   atomic.Pointer[plan]

	// The fields below belong to the control goroutine.
	keeper   *holdings.Keeper
	endpoint ident.Endpoint
	born     int64
	failures int
	links    map[*link]bool
	sentAt   time.Time
	// ordered holds the times of the loads that are on their way.
	ordered map[ident.AdapterVersion]time.Time
	last    control.State

	orders  *metrics.Counter
	refused *metrics.Counter
	unknown *metrics.Counter
	loads   *metrics.Histogram
}

// plan is what the configuration says of the engine.
type plan struct {
	model    ident.BaseModel
	adapters int
}

type event struct {
	link    *link
	account control.Account
	left    bool
	joined  bool
	fence   ident.Incarnation
}

type link struct {
	conn *control.Conn
	host ident.Host
	// states holds the newest state that is still to be sent.
	states chan control.State
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
		s.refused = set.GetOrCreateCounter("shallotring_sidecar_orders_refused_total")
		s.unknown = set.GetOrCreateCounter("shallotring_sidecar_orders_unknown_total")
		s.loads = set.GetOrCreateHistogram("shallotring_sidecar_load_seconds")
	}
}

// New returns a sidecar of an engine.
func New(engine Engine, claim Claim, options ...Option) *Sidecar {
	s := &Sidecar{
		engine: engine, claim: claim, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler), events: make(chan event, events),
		keeper: holdings.New(), links: make(map[*link]bool), ordered: make(map[ident.AdapterVersion]time.Time),
	}
	WithMetrics(metrics.NewSet())(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// Configure sets the base model that the engine serves and the number of adapters that it may hold.
func (s *Sidecar) Configure(model ident.BaseModel, adapters int) {
	s.plan.Store(&plan{model: model, adapters: adapters})
}

// Run serves entries on the listener and orders the engine until the context ends.
func (s *Sidecar) Run(ctx context.Context, l net.Listener) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
		_ = l.Close()
	})
	wg.Go(func() { s.acquire(ctx) })
	wg.Go(func() { s.control(ctx) })
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept entries")
		}
		wg.Go(func() { s.serve(ctx, c) })
	}
}

// acquire gets the fencing number once; later processes of this host get higher ones.
func (s *Sidecar) acquire(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		fence, err := s.claim(ctx)
		if err == nil {
			s.log.Info("fencing number taken", slog.Int64("Fence", int64(fence)))
			s.emit(ctx, event{fence: fence})
			return
		}
		if !lost {
			lost = true
			s.log.Warn("no fencing number, the engine is not ordered", slog.Any("Error", err))
		}
		s.sleep(ctx, claimEvery)
	}
}

func (s *Sidecar) emit(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

func (s *Sidecar) sleep(ctx context.Context, d time.Duration) {
	t := s.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// serve reads one entry's messages; a second goroutine sends the newest state.
func (s *Sidecar) serve(ctx context.Context, c net.Conn) {
	x := &link{conn: control.NewConn(c), states: make(chan control.State, 1)}
	defer x.conn.Close()
	stop := context.AfterFunc(ctx, x.conn.Close)
	defer stop()
	var first control.Account
	if err := x.conn.Receive(&first, entrySilence); err != nil || first.Host == "" {
		s.log.Warn("entry connection refused", slog.String("Peer", c.RemoteAddr().String()), slog.Any("Error", err))
		return
	}
	x.host = first.Host
	done := make(chan struct{})
	defer close(done)
	go func() {
		var sent *control.Holdings
		for {
			select {
			case state := <-x.states:
				// Holdings change rarely and are the most of a message, and bytes between zones are paid for.
				if state.Holdings.Equal(sent) {
					state.Holdings = nil
				} else {
					sent = state.Holdings
				}
				if err := x.conn.Send(state); err != nil {
					x.conn.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	s.emit(ctx, event{link: x, joined: true, account: first})
	for {
		var a control.Account
		if err := x.conn.Receive(&a, entrySilence); err != nil {
			s.log.Info("entry lost", slog.String("Entry", string(x.host)), slog.Any("Error", err))
			s.emit(ctx, event{link: x, left: true})
			return
		}
		s.emit(ctx, event{link: x, account: a})
	}
}

// control is the only goroutine that uses the keeper and orders the engine.
func (s *Sidecar) control(ctx context.Context) {
	timer := s.clock.NewTimer(0)
	defer timer.Stop()
	for {
		wanted := false
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			wanted = s.take(e)
			if !wanted {
				continue
			}
		case <-timer.C:
		}
		s.round(ctx)
		every := reportEvery
		if s.keeper.HasPendingLoads() {
			every = loadingEvery
		}
		timer.Reset(every)
	}
}

// take applies an event and reports whether the engine should be looked at now.
func (s *Sidecar) take(e event) (now bool) {
	if e.fence != 0 {
		s.keeper.SetFencingNumber(e.fence)
		return true
	}
	at := s.clock.Now()
	if e.joined {
		s.links[e.link] = true
		s.log.Info("entry connected", slog.String("Entry", string(e.link.host)), slog.Int("Entries", len(s.links)))
		if s.last.Holdings != nil {
			e.link.offer(s.last)
		}
	}
	if e.left {
		delete(s.links, e.link)
		for other := range s.links {
			if other.host == e.link.host {
				return false
			}
		}
		s.keeper.RemoveEntry(at, e.link.host)
		return false
	}
	for _, u := range e.account.Uses {
		s.keeper.RecordUse(at, e.link.host, u)
	}
	for _, w := range e.account.Wants {
		s.keeper.SetDemand(at, e.link.host, w)
	}
	return len(e.account.Wants) > 0
}

// round reads a report and sends the orders that are due, with a report after each.
func (s *Sidecar) round(ctx context.Context) {
	if p := s.plan.Load(); p != nil {
		s.keeper.Configure(p.model, p.adapters)
	}
	// Each order changes the report that the next one depends on; a handful covers all that one round can need.
	for range 8 {
		if !s.observe(ctx) {
			break
		}
		o, ok := s.keeper.Next(s.clock.Now())
		if !ok {
			break
		}
		s.order(ctx, o)
	}
	s.publish()
}

func (s *Sidecar) observe(ctx context.Context) (ok bool) {
	r, err := s.engine.Report(ctx)
	now := s.clock.Now()
	if err != nil {
		if s.failures++; s.failures == downAfter {
			s.log.Warn("engine lost", slog.String("Endpoint", string(s.endpoint)), slog.Any("Error", err))
		}
		return false
	}
	if s.failures >= downAfter {
		s.log.Info("engine regained", slog.String("Endpoint", string(s.endpoint)), slog.Int64("Born", r.StartMilli))
	}
	s.failures = 0
	if r.StartMilli != s.born || s.endpoint == "" {
		id, err := s.engine.Identity(ctx)
		if err != nil {
			s.log.Warn("engine does not name itself", slog.Int64("Born", r.StartMilli), slog.Any("Error", err))
			return false
		}
		s.log.Info("engine started", slog.String("Endpoint", string(id)), slog.Int64("Born", r.StartMilli), slog.String("Former", string(s.endpoint)))
		s.endpoint, s.born = id, r.StartMilli
		clear(s.ordered)
	}
	for _, av := range s.keeper.Observe(now, s.endpoint, r) {
		began, known := s.ordered[av]
		delete(s.ordered, av)
		if known {
			s.loads.Update(now.Sub(began).Seconds())
		}
		s.log.Info("adapter loaded", slog.String("Adapter", av.String()), slog.String("Endpoint", string(s.endpoint)), slog.Bool("Ordered", known),
			slog.Int64("Sequence", r.Sequence), slog.Int("Resident", len(r.Resident)), slog.Int("Loading", len(r.Loading)))
	}
	return true
}

func (s *Sidecar) order(ctx context.Context, o holdings.Order) {
	s.orders.Inc()
	began := s.clock.Now()
	result, err := s.engine.Order(ctx, o)
	now := s.clock.Now()
	switch {
	case err != nil && !upstream.Unsent(err) && result == holdings.Unknown:
		s.unknown.Inc()
	case result != holdings.Accepted:
		s.refused.Inc()
	}
	s.keeper.Sent(now, o, result)
	if result == holdings.Accepted && !o.Unload && o.Model == "" {
		s.ordered[o.Adapter] = began
	}
	s.log.Info("engine ordered", slog.Bool("Unload", o.Unload), slog.String("Model", string(o.Model)), slog.String("Adapter", o.Adapter.String()), slog.String("Endpoint", string(o.Endpoint)),
		slog.Int64("Expected", o.ExpectedSequence), slog.Int64("Fence", int64(o.FencingNumber)), slog.String("Result", result.String()),
		slog.Int64("DurationMilli", now.Sub(began).Milliseconds()), slog.Any("Error", err))
}

// publish sends the state to the entries if it has changed or they would take the agent as lost.
func (s *Sidecar) publish() {
	now := s.clock.Now()
	r := s.keeper.Report()
	state := control.State{
		Endpoint: s.endpoint, Born: s.born, Up: s.failures < downAfter && s.endpoint != "", Leaving: r.Leaving, Running: r.Running, Queued: r.Queued,
		Starting: r.Starting, PromptRate: int(s.keeper.PromptRate(now)), Pinned: s.keeper.Pinned(now), Entries: s.entries(),
		Holdings: &control.Holdings{Models: r.Models, Resident: r.Resident, Loading: r.Loading},
	}
	if now.Sub(s.sentAt) < stateEvery && same(state, s.last) {
		return
	}
	s.sentAt, s.last = now, state
	for x := range s.links {
		x.offer(state)
	}
}

func (s *Sidecar) entries() int {
	hosts := make(map[ident.Host]bool, len(s.links))
	for x := range s.links {
		hosts[x.host] = true
	}
	return len(hosts)
}

// offer replaces a state that the entry has not taken yet.
func (x *link) offer(state control.State) {
	select {
	case <-x.states:
	default:
	}
	x.states <- state
}
