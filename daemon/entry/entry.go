package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/roundtrip"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/admin"
	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/timeline"
)

// ErrAborted means that Abort ended a graceful stop before all requests in progress had finished.
var ErrAborted = eris.New("stopped before all requests in progress had finished")

// dialTimeout limits connecting to an agent; after it the try counts as not sent and may be retried at another
// endpoint.
const dialTimeout = time.Second

// Configuration provides the resources in force.
type Configuration interface {
	Current() *resource.Set
}

// Claim is an agent's claim on its endpoint and the incarnation of the agent.
type Claim = registry.Claim

// Agents lists the claims of the live agents.
type Agents interface {
	Claims() []Claim
}

// Ledger records the intent and the outcome of each try of a request that has an idempotency key.
type Ledger interface {
	Intend(ctx context.Context, r *wire.IntendRequest) (*wire.IntendResponse, error)
	Conclude(ctx context.Context, r *wire.ConcludeRequest) (*wire.ConcludeResponse, error)
}

// Entry is one entry process.
type Entry struct {
	settings        Settings
	process         timeline.Process
	configuration   Configuration
	agents          Agents
	ledger          Ledger
	peerHandler     http.Handler
	clock           quartz.Clock
	log             *timeline.Log
	isolationReason func() string
	metrics         *metrics.Set

	snapshot    atomic.Pointer[snapshot]
	placer      *placer
	client      *http.Client
	agentScheme string // prefix of the URLs of agents, "http://" or "https://"
	budget      *sharedBudget
	admission   *admission
	records     *records
	meters      *meters
	guard       *guard.Guard // memory and connections of callers

	servers     []*server.Server
	public      *server.Server
	admin       *server.Server
	stopping    atomic.Bool
	aborted     chan struct{}
	abortOnce   sync.Once
	outcomes    *outcomeQueue
	cancelCalls background // Settle calls that cancel abandoned tries
}

// Option changes how an entry is built.
type Option func(*Entry)

// WithConfiguration sets the source of the resources; it is required.
func WithConfiguration(c Configuration) Option { return func(e *Entry) { e.configuration = c } }

// WithAgents sets the source of the agents' claims; it is required.
func WithAgents(a Agents) Option { return func(e *Entry) { e.agents = a } }

// WithLedger sets the ledger; without one, requests with an idempotency key are refused with outcome not-run.
func WithLedger(l Ledger) Option { return func(e *Entry) { e.ledger = l } }

// WithPeerHandler sets the handler of the peer listener.
func WithPeerHandler(h http.Handler) Option { return func(e *Entry) { e.peerHandler = h } }

// WithClock replaces the system's clock.
func WithClock(c quartz.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithLog replaces the log on standard error.
func WithLog(l *timeline.Log) Option { return func(e *Entry) { e.log = l } }

// WithProcess sets the name of the process in timeline events; the default is a random name.
func WithProcess(p ident.Process) Option { return func(e *Entry) { e.process.ID = p } }

// WithIsolation sets a function that returns why the process must refuse new requests, or "" if it need not.
func WithIsolation(reason func() string) Option { return func(e *Entry) { e.isolationReason = reason } }

// WithMetrics sets the set that the metrics are registered in and that the admin port serves.
func WithMetrics(s *metrics.Set) Option { return func(e *Entry) { e.metrics = s } }

// New opens the listeners of an entry; Run serves them.
func New(s Settings, options ...Option) (e *Entry, err error) {
	defer func() { err = eris.Wrap(err, "set up entry") }()
	if err = s.Check(); err != nil {
		return nil, err
	}
	e = &Entry{
		settings:        s,
		process:         timeline.Process{ID: ident.NewProcess("entry"), Role: "entry", Host: s.Host, Zone: s.Zone},
		clock:           quartz.NewReal(),
		isolationReason: func() string { return "" },
		aborted:         make(chan struct{}),
		metrics:         metrics.NewSet(),
	}
	for _, o := range options {
		o(e)
	}
	if e.configuration == nil || e.agents == nil {
		return nil, eris.New("a configuration source and a claim source are required")
	}
	if e.log == nil {
		e.log = timeline.New(os.Stderr, e.process, slog.LevelInfo)
	}
	e.guard = guard.New(s.callerLimits(), guard.WithLog(e.log.Logger), guard.WithMetrics(e.metrics))
	e.outcomes = newOutcomeQueue(e.ledger, e.clock, e.log)
	if err = e.buildClient(); err != nil {
		return nil, err
	}
	e.meters = newMeters(e, e.metrics)
	e.budget = newSharedBudget(e.configuration.Current().Policy().RetryRatio)
	e.admission = newAdmission(s.InProgress)
	e.records = newRecords(s.Records)
	e.placer = newPlacer(e)
	return e, e.listen()
}

// buildClient builds the pooled HTTP/1.1 client for calls to the agents.
func (e *Entry) buildClient() (err error) {
	d := &net.Dialer{
		Timeout: dialTimeout,
		// An unreachable host closes no connection; without keepalive probes its tries would last until their deadlines.
		// These detect it after 5 + 3 * 2 = 11 seconds.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	t := &http.Transport{
		DialContext: d.DialContext,
		// The agent sends the response header with its first frame, which accepts or refuses the try.
		ResponseHeaderTimeout: e.settings.AcceptTimeout,
		MaxIdleConns:          4096,
		MaxIdleConnsPerHost:   512,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ReadBufferSize:        16 << 10,
		WriteBufferSize:       16 << 10,
	}
	e.agentScheme = "http://"
	if e.settings.PeerTLS.Enabled() {
		e.agentScheme = "https://"
		t.DialTLSContext, err = server.DialTLS(e.settings.PeerTLS, d.DialContext)
	}
	e.client = &http.Client{
		Transport:     roundtrip.New(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return err
}

func (e *Entry) listen() (err error) {
	defer func() {
		if err != nil {
			e.closeServers()
		}
	}()
	s := e.settings
	open := func(address string, h http.Handler, o ...server.Option) (l *server.Server) {
		if err != nil || address == "" || h == nil {
			return nil
		}
		l, err = server.Listen(address, h, append(o, server.AllowInsecure(s.AllowInsecure), server.WithLog(e.log.Logger))...)
		if err == nil {
			e.servers = append(e.servers, l)
		}
		return l
	}
	e.public = open(s.Address, e.routes(), server.WithLimits(s.limits()), server.WithTLS(s.TLS), server.WithGuard(e.guard))
	e.admin = open(s.AdminAddress, admin.Handler(e.meters.set, e.notReadyReason), server.WithLimits(server.AdminLimits()), server.WithTLS(s.AdminTLS))
	open(s.PeerAddress, e.peerHandler, server.WithLimits(server.PeerLimits()), server.WithTLS(s.PeerTLS))
	return err
}

// Addr returns the address of the callers' listener.
func (e *Entry) Addr() string { return e.public.Addr() }

// AdminAddr returns the address of the admin port.
func (e *Entry) AdminAddr() string { return e.admin.Addr() }

// Metrics returns the metrics of the process.
func (e *Entry) Metrics() *metrics.Set { return e.meters.set }

// notReadyReason returns why the readiness check fails, or "" if the process is ready.
func (e *Entry) notReadyReason() (reason string) {
	if e.stopping.Load() {
		return "stopping"
	}
	return e.refusalReason()
}

// refusalReason returns why the process refuses new requests, or "" if it accepts them.
func (e *Entry) refusalReason() (reason string) {
	if e.configuration.Current().Generation() == 0 {
		return "no configuration is in force yet"
	}
	return e.isolationReason()
}

// Run serves until ctx ends and then stops gracefully. It returns once every request in progress has finished, or with
// ErrAborted after Abort.
func (e *Entry) Run(ctx context.Context) (err error) {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	e.log.Event(timeline.Event{Kind: timeline.ProcessStarted, Detail: e.Addr()})
	var work sync.WaitGroup
	work.Go(func() { e.placer.run(workCtx) })
	work.Go(func() { e.pollReports(workCtx) })
	work.Go(func() { e.outcomes.run(workCtx) })
	serveErrors := make(chan error, len(e.servers))
	for _, s := range e.servers {
		work.Go(func() {
			if err := s.Serve(); err != nil {
				serveErrors <- err
			}
		})
	}
	select {
	case <-ctx.Done():
		err = e.stop()
	case err = <-serveErrors:
	}
	e.closeServers()
	e.cancelCalls.stop()
	cancelWork()
	work.Wait()
	e.client.CloseIdleConnections()
	e.log.Event(timeline.Event{Kind: timeline.ProcessStopped})
	return err
}

// stop makes the readiness check fail, waits BalancerWait so that the load balancer can observe it, closes the callers'
// listener and waits for the requests in progress.
func (e *Entry) stop() (err error) {
	e.stopping.Store(true)
	e.log.Event(timeline.Event{Kind: timeline.ProcessStopping})
	wait := e.clock.NewTimer(e.settings.BalancerWait, "balancer")
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-e.aborted:
		return ErrAborted
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	err = e.public.Shutdown(ctx)
	if errors.Is(err, context.Canceled) {
		return ErrAborted
	}
	return err
}

// Abort ends a graceful stop at once and interrupts the requests in progress.
func (e *Entry) Abort(reason string) {
	e.abortOnce.Do(func() {
		e.log.Warn("graceful stop aborted; requests in progress are interrupted", slog.String("Reason", reason))
		close(e.aborted)
	})
}

func (e *Entry) closeServers() {
	for _, s := range e.servers {
		var c io.Closer = s
		c.Close()
	}
}
