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
	defaultTick        = 100 * time.Millisecond
	defaultCallTimeout = 400 * time.Millisecond // below the ledger's SlowAfter, so that a lost answer is read back first
	handoverDelay      = 2 * time.Second        // a new entry's presence is seen everywhere by then
	unavailableRetry   = time.Second
)

// Store is the part of the key-value service that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	List(ctx context.Context, prefix string) (list []keyvalue.Record, at ident.Revision, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
}

// Settler is the call of an agent that settles a try.
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
	self     registry.ProcessRecord
	store    Store
	peers    func() []registry.ProcessRecord
	clock    quartz.Clock
	log      *timeline.Log
	config   ledger.Config
	keep     func() time.Duration
	address  func(ident.Endpoint) (string, bool)
	agent    func(address string) Settler
	entry    func(address string) Forwarder
	timeout  time.Duration
	tick     time.Duration
	set      *metrics.Set
	counters counters
	lines    [Count]*line
	stopping atomic.Bool
	done     chan struct{}
	calls    sync.WaitGroup
}

// Option changes a setting of New.
type Option func(*Owner)

// WithClock sets the clock.
func WithClock(c quartz.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithTimeline sets the log of events.
func WithTimeline(l *timeline.Log) Option { return func(o *Owner) { o.log = l } }

// WithMetrics sets the set that the metrics are registered in.
func WithMetrics(s *metrics.Set) Option { return func(o *Owner) { o.set = s } }

// WithConfig sets the limits of the buckets.
func WithConfig(c ledger.Config) Option { return func(o *Owner) { o.config = c } }

// WithRetention sets the source of Policy.KeyRetention, which is asked on each tick.
func WithRetention(fn func() time.Duration) Option { return func(o *Owner) { o.keep = fn } }

// WithAgentAddress sets a directory of agents; without one, the claim in the key-value service is read.
func WithAgentAddress(fn func(ident.Endpoint) (address string, ok bool)) Option {
	return func(o *Owner) { o.address = fn }
}

// WithHTTPClient sets the client of the calls to agents and entries.
func WithHTTPClient(c *http.Client) Option {
	return func(o *Owner) {
		o.agent = func(address string) Settler { return wire.NewAgentProtobufClient("http://"+address, c) }
		o.entry = func(address string) Forwarder { return wire.NewEntryProtobufClient("http://"+address, c) }
	}
}

// WithClients replaces the twirp clients of agents and entries, for example to use TLS.
func WithClients(agent func(address string) Settler, entry func(address string) Forwarder) Option {
	return func(o *Owner) { o.agent, o.entry = agent, entry }
}

// WithCallTimeout bounds each call to the key-value service, an agent or another entry.
func WithCallTimeout(d time.Duration) Option { return func(o *Owner) { o.timeout = d } }

// New returns an owner; peers lists the live entries and may include self.
func New(self registry.ProcessRecord, s Store, peers func() []registry.ProcessRecord, options ...Option) *Owner {
	o := &Owner{
		self: self, store: s, peers: peers, clock: quartz.NewReal(), log: timeline.Discard(),
		config: ledger.DefaultConfig(), set: metrics.NewSet(), timeout: defaultCallTimeout, tick: defaultTick,
		done: make(chan struct{}),
	}
	WithHTTPClient(http.DefaultClient)(o)
	for _, fn := range options {
		fn(o)
	}
	if o.keep == nil {
		o.keep = func() time.Duration { return o.config.Retention }
	}
	o.counters = newCounters(o.set)
	for i := range o.lines {
		o.lines[i] = newLine(o, i)
	}
	return o
}

// Run drives the buckets until ctx ends; it may be called once.
func (o *Owner) Run(ctx context.Context) (err error) {
	var group sync.WaitGroup
	for _, l := range o.lines {
		group.Go(func() { l.run(ctx) })
	}
	group.Wait()
	close(o.done)
	o.calls.Wait()
	return nil
}

// Release hands every bucket over; it returns once all are released or ctx ends. Calls are forwarded from then on.
func (o *Owner) Release(ctx context.Context) (err error) {
	o.stopping.Store(true)
	for _, l := range o.lines {
		if err = l.release(ctx); err != nil {
			return err
		}
	}
	return nil
}

// winner returns the entry that should own a bucket; ok is false if there is none.
func (o *Owner) winner(bucket int) (r registry.ProcessRecord, ok bool) {
	return rendezvous(bucket, o.live())
}

func (o *Owner) live() (list []registry.ProcessRecord) {
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

// timed bounds a call by the passed-in clock.
func (o *Owner) timed(parent context.Context, d time.Duration) (ctx context.Context, end context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	t := o.clock.AfterFunc(d, cancel)
	return ctx, func() {
		t.Stop()
		cancel()
	}
}
