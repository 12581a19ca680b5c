package bucket

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/ledger"
	"shallotring.dev/transport/timeline"
)

// Count is the number of ledger buckets.
const Count = 32

const (
	defaultTickInterval = 100 * time.Millisecond
	// defaultCallTimeout is below ledger.Config.SlowAfter, so that a write without a response is read back before waiting
	// calls are refused.
	defaultCallTimeout    = 400 * time.Millisecond
	handoverDelay         = 2 * time.Second // long enough for every entry to observe a new entry
	unavailableRetryAfter = time.Second
)

// Store is the part of the key-value service that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	List(ctx context.Context, prefix string) (list []keyvalue.Record, at ident.Revision, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
}

// Settler is the part of the agent service that the ledger calls. Settle reports whether a try started, and forbids it if it
// did not.
type Settler interface {
	Settle(ctx context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error)
}

// Forwarder is the part of the entry service that the ledger calls at other entries.
type Forwarder interface {
	Intend(ctx context.Context, r *wire.IntendRequest) (*wire.IntendResponse, error)
	Conclude(ctx context.Context, r *wire.ConcludeRequest) (*wire.ConcludeResponse, error)
}

// Owner owns this entry's share of the ledger buckets and forwards calls for the others.
type Owner struct {
	self            registry.ProcessRecord
	store           Store
	peers           func() []registry.ProcessRecord
	clock           quartz.Clock
	log             *timeline.Log
	config          ledger.Config
	keyRetention    func() time.Duration
	agentAddress    func(ident.Endpoint) (string, bool)
	agentClient     func(address string) Settler
	entryClient     func(address string) Forwarder
	callTimeout     time.Duration
	tickInterval    time.Duration
	metricSet       *metrics.Set
	counters        counters
	drivers         [Count]*driver
	stopping        atomic.Bool
	done            chan struct{}
	backgroundCalls sync.WaitGroup
}

// Option configures a new Owner.
type Option func(*Owner)

// WithClock sets the clock.
func WithClock(c quartz.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithTimeline sets the log of timeline events.
func WithTimeline(l *timeline.Log) Option { return func(o *Owner) { o.log = l } }

// WithMetrics sets the set that the metrics are registered in.
func WithMetrics(s *metrics.Set) Option { return func(o *Owner) { o.metricSet = s } }

// WithConfig sets the limits of the buckets.
func WithConfig(c ledger.Config) Option { return func(o *Owner) { o.config = c } }

// WithRetention sets the function that returns Policy.KeyRetention; it is called on each tick.
func WithRetention(fn func() time.Duration) Option { return func(o *Owner) { o.keyRetention = fn } }

// WithAgentAddress sets the function that looks up an agent's address; without it, the claim in the key-value service
// is read.
func WithAgentAddress(fn func(ident.Endpoint) (address string, ok bool)) Option {
	return func(o *Owner) { o.agentAddress = fn }
}

// WithHTTPClient sets the client of the calls to agents and entries.
func WithHTTPClient(c *http.Client) Option {
	return func(o *Owner) {
		o.agentClient = func(address string) Settler { return wire.NewAgentProtobufClient("http://"+address, c) }
		o.entryClient = func(address string) Forwarder { return wire.NewEntryProtobufClient("http://"+address, c) }
	}
}

// WithClients replaces the twirp clients of agents and entries, for example to use TLS.
func WithClients(agent func(address string) Settler, entry func(address string) Forwarder) Option {
	return func(o *Owner) { o.agentClient, o.entryClient = agent, entry }
}

// WithCallTimeout limits the time of each call to the key-value service or an agent; a call to another entry may take four
// times as long.
func WithCallTimeout(d time.Duration) Option { return func(o *Owner) { o.callTimeout = d } }

// New returns an owner; peers lists the live entries and may include self.
func New(self registry.ProcessRecord, s Store, peers func() []registry.ProcessRecord, options ...Option) *Owner {
	o := &Owner{
		self: self, store: s, peers: peers, clock: quartz.NewReal(), log: timeline.Discard(),
		config: ledger.DefaultConfig(), metricSet: metrics.NewSet(), callTimeout: defaultCallTimeout,
		tickInterval: defaultTickInterval, done: make(chan struct{}),
	}
	WithHTTPClient(http.DefaultClient)(o)
	for _, fn := range options {
		fn(o)
	}
	if o.keyRetention == nil {
		o.keyRetention = func() time.Duration { return o.config.Retention }
	}
	o.counters = newCounters(o.metricSet)
	for i := range o.drivers {
		o.drivers[i] = newDriver(o, i)
	}
	return o
}

// Run drives the buckets until ctx ends; it may be called once.
func (o *Owner) Run(ctx context.Context) (err error) {
	var group sync.WaitGroup
	for _, d := range o.drivers {
		group.Go(func() { d.run(ctx) })
	}
	group.Wait()
	close(o.done)
	o.backgroundCalls.Wait()
	return nil
}

// Release releases every bucket, so that other entries can take them over. It returns once all are released or ctx ends.
// Calls are forwarded from then on.
func (o *Owner) Release(ctx context.Context) (err error) {
	o.stopping.Store(true)
	for _, d := range o.drivers {
		if err = d.release(ctx); err != nil {
			return err
		}
	}
	return nil
}

// chosenEntry returns the entry that rendezvous hashing chooses as the owner of a bucket; it may not own the bucket yet. ok
// is false if there is none.
func (o *Owner) chosenEntry(bucket int) (r registry.ProcessRecord, ok bool) {
	return rendezvousChoice(bucket, o.liveEntries())
}

// liveEntries returns the live entries; it leaves out this one once it is stopping.
func (o *Owner) liveEntries() (list []registry.ProcessRecord) {
	if !o.stopping.Load() {
		list = append(list, o.self)
	}
	for _, p := range o.peers() {
		if p.Process != o.self.Process && p.Role == registry.RoleEntry {
			list = append(list, p)
		}
	}
	return list
}

// withTimeout limits a call by the owner's clock.
func (o *Owner) withTimeout(parent context.Context, d time.Duration) (ctx context.Context, end context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	t := o.clock.AfterFunc(d, cancel)
	return ctx, func() {
		t.Stop()
		cancel()
	}
}
