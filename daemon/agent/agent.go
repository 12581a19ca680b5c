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
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/timeline"
)

// refusalTime is the time for which a drained agent refuses tries and answers settlements before it closes its listener.
// The registry of an entry follows a released claim well within it.
const refusalTime = time.Second

// configurationPoll is the time between two looks at the configuration in force; Leaving takes effect within it.
const configurationPoll = 250 * time.Millisecond

// ErrViolation means that the process has ended because going on would violate a guarantee.
var ErrViolation = eris.New("a guarantee would be violated")

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
	limits        func(*gate.Config)

	metrics *metrics.Set
	meters  *meters
	client  *engine.Client
	claim   *claim.Claim
	// claimChanges counts the changes of the claim's status; claimOrder keeps their order on the way to the gate.
	claimChanges atomic.Int64
	claimOrder   sync.Mutex
	// claimed shares the claim with the admin port, which is open before there is one.
	claimed atomic.Pointer[claim.Claim]
	inbox   chan message
	streams map[ident.TryID]*stream
	unready atomic.Pointer[string]
	shares  atomic.Pointer[shares]
	// bodies counts the bytes of the bodies of all tries.
	bodies atomic.Int64
	// held is the incarnation that commands are sent with.
	held atomic.Int64

	work    context.Context
	stop    context.CancelCauseFunc
	jobs    sync.WaitGroup
	drained chan struct{}
	once    sync.Once

	listener  *server.Server
	adminPort *server.Server
}

// New opens the listeners of an agent; Run starts its work.
func New(s Settings, options ...Option) (a *Agent, err error) {
	defer func() { err = eris.Wrap(err, "set up agent") }()
	a = &Agent{
		settings: s,
		process:  ident.NewProcess(string(registry.RoleAgent)),
		clock:    quartz.NewReal(),
		log:      timeline.Discard(),
		limits:   func(*gate.Config) {},
		inbox:    make(chan message),
		streams:  make(map[ident.TryID]*stream),
		drained:  make(chan struct{}),
		metrics:  metrics.NewSet(),
	}
	for _, o := range options {
		o(a)
	}
	a.meters = newMeters(a.metrics, &a.bodies)
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
	a.notReady("starting")
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
	a.adminPort, err = server.Listen(s.AdminAddress, admin.Handler(a.meters.set, a.readiness), server.WithLimits(server.AdminLimits()),
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

// Stop ends the agent at once, without waiting for running tries; their outcome is unknown.
func (a *Agent) Stop() { a.stop(eris.New("stopped before the drain was complete")) }

// Run claims the endpoint and serves it until ctx ends or a Drain call arrives; both drain first.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run agent") }()
	a.log.Event(timeline.Event{Kind: timeline.ProcessStarted, Endpoint: a.settings.Endpoint})
	defer func() { a.log.Event(timeline.Event{Kind: timeline.ProcessStopped, Endpoint: a.settings.Endpoint}) }()
	defer a.close()
	a.spawn(func() { a.check(a.adminPort.Serve()) })
	g, err := a.begin(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	a.spawn(func() { a.control(g) })
	a.spawn(func() { a.check(a.listener.Serve()) })
	a.spawn(a.keepClaim)
	a.spawn(a.watchConfiguration)
	if a.hosts != nil {
		a.spawn(a.watchHosts)
	}
	a.ready()
	return a.wait(ctx)
}

// begin waits for the declaration of the endpoint and for the claim.
func (a *Agent) begin(ctx context.Context) (g *gate.Gate, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.work, cancel)()
	e, err := a.declared(ctx)
	if err != nil {
		return nil, err
	}
	a.client, err = engine.New(a.settings.BaseURL, a.clientOptions()...)
	if err != nil {
		return nil, err
	}
	a.notReady("waiting for the claim on the endpoint")
	service := e.Kind == resource.Service
	a.claim = claim.New(a.store, a.claimRecord(), claim.WithClock(a.clock), claim.ChecksFencing(e.ChecksFencing || service))
	a.claimed.Store(a.claim)
	i, err := a.claim.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	a.held.Store(int64(i))
	a.log.Event(timeline.Event{Kind: timeline.EndpointClaimed, Endpoint: e.Name, Incarnation: i})
	return gate.New(a.gateConfig(e, i)), nil
}

func (a *Agent) gateConfig(e *resource.Endpoint, i ident.Incarnation) gate.Config {
	c := gate.DefaultConfig()
	c.Endpoint, c.Service, c.ChecksFencing = e.Name, e.Kind == resource.Service, e.ChecksFencing
	c.Incarnation, c.Slots, c.BatchSize = i, e.Slots, e.BatchSize
	policy := a.configuration.Current().Policy()
	c.QueueLimit, c.LoadTime = policy.QueuePerEndpoint, time.Duration(policy.LoadTime)
	c.KeyedRetention = max(c.KeyedRetention, time.Duration(policy.KeyRetention)+time.Hour)
	a.limits(&c)
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

// wait returns after the drain or at the first reason to stop at once.
func (a *Agent) wait(ctx context.Context) (err error) {
	select {
	case <-ctx.Done():
		a.drain("stop was asked for")
	case <-a.drained:
	case <-a.work.Done():
		return context.Cause(a.work)
	}
	select {
	case <-a.drained:
	case <-a.work.Done():
		return context.Cause(a.work)
	}
	// Nothing is sent to the endpoint any more. The claim goes first, so that entries stop choosing this agent while it still
	// refuses what is on its way; a request on an idle connection that the shutdown closes would be unknown to its entry.
	a.claim.Release(a.work)
	a.log.Event(timeline.Event{Kind: timeline.EndpointReleased, Endpoint: a.settings.Endpoint})
	if err = a.sleep(a.work, refusalTime); err != nil {
		return context.Cause(a.work)
	}
	// The last frames of the tries may still be on their way to slow receivers.
	return a.listener.Shutdown(a.work)
}

// drain refuses new tries from now on; the first reason is logged.
func (a *Agent) drain(reason string) {
	a.once.Do(func() {
		a.notReady("leaving")
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
	a.jobs.Wait()
}

func (a *Agent) spawn(fn func()) {
	a.jobs.Go(fn)
}

// check stops the agent when a listener fails.
func (a *Agent) check(err error) {
	if err != nil {
		a.stop(err)
	}
}

// claimAge is the time since the last renewal of the claim; zero before there is a claim.
func (a *Agent) claimAge() time.Duration {
	if c := a.claimed.Load(); c != nil {
		return c.Age()
	}
	return 0
}

func (a *Agent) ready()                 { a.unready.Store(nil) }
func (a *Agent) notReady(reason string) { a.unready.Store(&reason) }

func (a *Agent) readiness() (reason string) {
	if r := a.unready.Load(); r != nil {
		return *r
	}
	return ""
}
