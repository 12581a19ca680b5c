package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/claim"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/engine"
	"shallotring.dev/state/gate"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/admin"
	"shallotring.dev/transport/guard"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/timeline"
)

// drainedRefusalTime is the time for which a drained agent still refuses tries and responds to Settle calls before it closes
// its listener. The registry of an entry observes the released claim well within it.
const drainedRefusalTime = time.Second

// configurationPollInterval is the time between two polls of the configuration in force; Leaving takes effect within it.
const configurationPollInterval = 250 * time.Millisecond

// bodyCopies is the number of copies of a body that exist while its message is decoded.
const bodyCopies = 2

// ErrViolation means that the process has stopped because continuing would violate a guarantee.
var ErrViolation = eris.New("agent stopped, because continuing would violate a guarantee")

// Agent is one agent process.
type Agent struct {
	settings      Settings
	process       ident.Process
	store         claim.Store
	configuration Configuration
	permits       Permits
	hosts         HostList
	clock         quartz.Clock
	log           *timeline.Log
	adjustLimits  func(*gate.Config)

	metrics *metrics.Set
	meters  *meters
	client  *engine.Client
	claim   *claim.Claim
	// claimChanges counts the changes of the claim's status; claimMu keeps their order when they are posted to the gate.
	claimChanges atomic.Int64
	claimMu      sync.Mutex
	// adminClaim gives the admin port access to the claim, which does not exist yet when the port opens.
	adminClaim atomic.Pointer[claim.Claim]
	inbox      chan message
	// tries has the channels of each admitted try; only the control goroutine uses it.
	tries    map[ident.TryID]*tryChannels
	notReady atomic.Pointer[string]
	shares   atomic.Pointer[callerShares]
	// bodyBytes counts the bytes of the request bodies of all tries, which bodyLimit bounds.
	bodyBytes atomic.Int64
	bodyLimit int64
	// claimIncarnation is the incarnation of the last acquired claim, which the gate may not know of yet.
	claimIncarnation atomic.Int64

	// work ends when the agent stops; its cause is the reason.
	work       context.Context
	stop       context.CancelCauseFunc
	goroutines sync.WaitGroup
	drained    chan struct{}
	drainOnce  sync.Once

	listener  *server.Server
	adminPort *server.Server
}

// New opens the listeners of an agent; Run starts its work.
func New(s Settings, options ...Option) (a *Agent, err error) {
	defer func() { err = eris.Wrap(err, "set up agent") }()
	a = &Agent{
		settings:     s,
		process:      ident.NewProcess(string(registry.RoleAgent)),
		clock:        quartz.NewReal(),
		log:          timeline.Discard(),
		adjustLimits: func(*gate.Config) {},
		inbox:        make(chan message),
		tries:        make(map[ident.TryID]*tryChannels),
		drained:      make(chan struct{}),
		metrics:      metrics.NewSet(),
	}
	for _, o := range options {
		o(a)
	}
	a.bodyLimit = min(s.BodyBytesTotal, max(guard.LimitsOf(0, 0).Bytes/bodyCopies, server.PeerBodyBytes))
	a.meters = newMeters(a.metrics, &a.bodyBytes)
	if err = s.Check(); err != nil {
		return nil, err
	}
	if a.store == nil || a.configuration == nil {
		return nil, eris.New("a key-value store and a configuration are needed")
	}
	if a.permits == nil {
		a.permits = NewFixedShare(a.configuration, a.clock)
	}
	a.setHostList()
	a.work, a.stop = context.WithCancelCause(context.Background())
	a.meters.set.NewGauge("shallotring_agent_claim_age_seconds", func() float64 { return a.claimAge().Seconds() })
	a.setNotReady("starting")
	return a, a.listen()
}

func (a *Agent) listen() (err error) {
	s := a.settings
	limits := server.PeerLimits()
	limits.Connections = s.Connections
	a.listener, err = server.Listen(s.PeerAddress, a.handler(), server.WithLimits(limits),
		server.WithTLS(s.PeerTLS), server.AllowInsecure(s.AllowInsecure), server.WithLog(a.log.Logger))
	if err != nil {
		return err
	}
	a.adminPort, err = server.Listen(s.AdminAddress, admin.Handler(a.meters.set, a.notReadyReason), server.WithLimits(server.AdminLimits()),
		server.WithTLS(s.AdminTLS), server.AllowInsecure(s.AllowInsecure), server.WithLog(a.log.Logger))
	if err != nil {
		return errors.Join(err, a.listener.Close())
	}
	return nil
}

// Address returns the address of the listener for entries.
func (a *Agent) Address() string { return a.listener.Addr() }

// AdminAddress returns the address of the admin port.
func (a *Agent) AdminAddress() string { return a.adminPort.Addr() }

// Stop stops the agent at once, without waiting for running tries; their outcome is unknown.
func (a *Agent) Stop() { a.stop(eris.New("agent stopped before the drain was complete")) }

// Run claims the endpoint and serves it until ctx ends or a Drain call arrives; both drain first.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run agent") }()
	a.log.Event(timeline.Event{Kind: timeline.ProcessStarted, Endpoint: a.settings.Endpoint})
	defer func() { a.log.Event(timeline.Event{Kind: timeline.ProcessStopped, Endpoint: a.settings.Endpoint}) }()
	defer a.close()
	a.spawn(func() { a.stopOnError(a.adminPort.Serve()) })
	g, err := a.claimEndpoint(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	a.spawn(func() { a.runControlLoop(g) })
	a.spawn(func() { a.stopOnError(a.listener.Serve()) })
	a.spawn(a.keepClaim)
	a.spawn(a.watchConfiguration)
	if a.hosts != nil {
		a.spawn(a.watchHosts)
	}
	a.setReady()
	return a.waitForStop(ctx)
}

// claimEndpoint waits for the declaration of the endpoint, acquires the claim and returns the gate.
func (a *Agent) claimEndpoint(ctx context.Context) (g *gate.Gate, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.work, cancel)()
	e, err := a.waitForDeclaration(ctx)
	if err != nil {
		return nil, err
	}
	a.client, err = engine.New(a.settings.BaseURL, a.clientOptions()...)
	if err != nil {
		return nil, err
	}
	a.setNotReady("waiting for the claim on the endpoint")
	service := e.Kind == resource.Service
	a.claim = claim.New(a.store, a.claimRecord(), claim.WithClock(a.clock), claim.WithFencingChecks(e.ChecksFencing || service))
	a.adminClaim.Store(a.claim)
	i, err := a.claim.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	a.claimIncarnation.Store(int64(i))
	a.log.Event(timeline.Event{Kind: timeline.EndpointClaimed, Endpoint: e.Name, Incarnation: i})
	return gate.New(a.gateConfig(e, i)), nil
}

func (a *Agent) gateConfig(e *resource.Endpoint, i ident.Incarnation) gate.Config {
	c := gate.DefaultConfig()
	c.Endpoint, c.Service, c.ChecksFencing = e.Name, e.Kind == resource.Service, e.ChecksFencing
	c.Incarnation, c.Slots, c.BatchSize = i, e.AdapterSlots(), e.BatchSize
	policy := a.configuration.Current().Policy()
	c.QueueLimit, c.LoadTime = policy.QueuePerEndpoint, time.Duration(policy.LoadTime)
	// Tries with an idempotency key are remembered for at least an hour longer than their keys are retained.
	c.KeyedRetention = max(c.KeyedRetention, time.Duration(policy.KeyRetention)+time.Hour)
	a.adjustLimits(&c)
	return c
}

func (a *Agent) clientOptions() (list []engine.Option) {
	list = append(list,
		engine.WithGuard(func() error { return a.claim.Check() }),
		engine.WithObserver(func(id ident.StartID) {
			if id != "" {
				a.post(gate.StartIDObserved{StartID: id})
			}
		}),
	)
	return list
}

func (a *Agent) claimRecord() registry.ClaimRecord {
	address := a.settings.PeerAdvertise
	if address == "" {
		address = a.Address()
	}
	return registry.ClaimRecord{
		Process: a.process, Endpoint: a.settings.Endpoint, Address: address, Host: a.settings.Host, Zone: a.settings.Zone,
	}
}

// waitForStop returns after the drain and the release of the claim, or at the first reason to stop at once.
func (a *Agent) waitForStop(ctx context.Context) (err error) {
	select {
	case <-ctx.Done():
		a.drain("the process received a request to stop")
	case <-a.drained:
	case <-a.work.Done():
		return context.Cause(a.work)
	}
	select {
	case <-a.drained:
	case <-a.work.Done():
		return context.Cause(a.work)
	}
	// Nothing is sent to the endpoint any more. The claim is released before the listener shuts down, so that entries stop
	// choosing this agent while it still refuses the tries in flight. A try sent on an idle connection that the shutdown closes
	// has an unknown outcome for its entry.
	a.claim.Release(a.work)
	a.log.Event(timeline.Event{Kind: timeline.EndpointReleased, Endpoint: a.settings.Endpoint})
	if err = a.sleep(a.work, drainedRefusalTime); err != nil {
		return context.Cause(a.work)
	}
	// The shutdown waits for the last frames of the tries, which slow entries may still be reading.
	return a.listener.Shutdown(a.work)
}

// drain makes the gate refuse new tries; only the first reason is logged.
func (a *Agent) drain(reason string) {
	a.drainOnce.Do(func() {
		a.setNotReady("leaving")
		a.log.Event(timeline.Event{Kind: timeline.DrainStarted, Endpoint: a.settings.Endpoint, Detail: reason})
	})
	a.post(gate.Drain{})
}

func (a *Agent) close() {
	a.stop(context.Canceled)
	_ = a.listener.Close()
	_ = a.adminPort.Close()
	if a.client != nil {
		a.client.Close()
	}
	a.goroutines.Wait()
}

func (a *Agent) spawn(fn func()) {
	a.goroutines.Go(fn)
}

// stopOnError stops the agent if err is set, for example when a listener fails.
func (a *Agent) stopOnError(err error) {
	if err != nil {
		a.stop(err)
	}
}

// claimAge returns the time since the last renewal of the claim, or zero before there is a claim.
func (a *Agent) claimAge() time.Duration {
	if c := a.adminClaim.Load(); c != nil {
		return c.Age()
	}
	return 0
}

func (a *Agent) setReady()                 { a.notReady.Store(nil) }
func (a *Agent) setNotReady(reason string) { a.notReady.Store(&reason) }

func (a *Agent) notReadyReason() (reason string) {
	if r := a.notReady.Load(); r != nil {
		return *r
	}
	return ""
}
