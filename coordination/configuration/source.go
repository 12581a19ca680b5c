package configuration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
	"shallotring.dev/transport/timeline"
)

// Store is the part of the key-value service that a Source reads.
type Store interface {
	List(ctx context.Context, prefix string) (list []keyvalue.Record, at ident.Revision, err error)
	Watch(ctx context.Context, prefix string, after ident.Revision, fn func([]keyvalue.Change, ident.Revision) error) (err error)
}

// Identity names the process of a Source.
type Identity struct {
	Process ident.Process
	Role    registry.Role
	Zone    ident.Zone
}

// Source keeps the configuration in force at a process; its methods may be called from several goroutines.
type Source struct {
	identity Identity
	store    Store
	peers    func() []Peer
	// witnesses returns the last known agents.
	witnesses       func() []Witness
	watchersPerZone int
	clock           quartz.Clock
	log             *timeline.Log
	// refreshing admits one Refresh at a time, so that many requests for a new revision cost one read.
	refreshing chan struct{}

	set atomic.Pointer[resource.Set]

	mu sync.Mutex
	// values has the encoded shards in force.
	values     [resource.ShardCount][]byte
	generation ident.Revision
	failures   map[int]failure
	// changed is closed and replaced when the configuration in force changes.
	changed chan struct{}
	// lastContact is the newest time at which the service is known to have responded to some process.
	lastContact time.Time
	// outageAgreedAt is the newest time at which most of the probed peers reported the service as lost.
	outageAgreedAt time.Time
	// synced is set once the process has read all shards from the service. It is reset when the process follows peers,
	// or when the changes after its generation were compacted.
	synced bool
	// lastFallback limits full reads to one per fallbackInterval while all peers have lost contact with the service.
	lastFallback time.Time
	// staging marks a source that only collects the responses of several peers.
	staging    bool
	violations *metrics.Counter
}

// failure is a received shard that cannot be decoded.
type failure struct {
	revision ident.Revision
	err      error
}

// Option changes a new Source.
type Option func(*Source)

// WithClock sets the clock.
func WithClock(c quartz.Clock) Option { return func(s *Source) { s.clock = c } }

// WithLog sets the log.
func WithLog(l *timeline.Log) Option { return func(s *Source) { s.log = l } }

// WithPeers sets the function that returns the last known entries, from the registry and the settings.
// Peers named by the settings are needed to start while the service is down.
func WithPeers(fn func() []Peer) Option { return func(s *Source) { s.peers = fn } }

// WithWitnesses sets the function that returns the last known agents. They serve no configuration; they only help to
// tell an outage of the service from a partition.
func WithWitnesses(fn func() []Witness) Option { return func(s *Source) { s.witnesses = fn } }

// WithWatchers sets the number of entries per zone that watch the service.
func WithWatchers(n int) Option { return func(s *Source) { s.watchersPerZone = n } }

const defaultWatchersPerZone = 3

// New returns a source with nothing in force.
func New(id Identity, store Store, options ...Option) *Source {
	s := &Source{
		identity:        id,
		store:           store,
		peers:           func() []Peer { return nil },
		witnesses:       func() []Witness { return nil },
		watchersPerZone: defaultWatchersPerZone,
		clock:           quartz.NewReal(),
		log:             timeline.Discard(),
		refreshing:      make(chan struct{}, 1),
		failures:        make(map[int]failure),
		changed:         make(chan struct{}),
		// The counter is not registered, so that the sources of one process do not share it.
		violations: &metrics.Counter{},
	}
	for _, o := range options {
		o(s)
	}
	s.set.Store(resource.NewSet())
	return s
}

// Current returns the configuration in force.
func (s *Source) Current() *resource.Set { return s.set.Load() }

// Generation returns the service's revision up to which every change is in force; zero before the first read.
func (s *Source) Generation() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generationLocked()
}

func (s *Source) generationLocked() ident.Revision {
	g := s.generation
	for _, f := range s.failures {
		g = min(g, f.revision-1)
	}
	return g
}

// Failure returns why the newest configuration is not in force; it is empty if nothing is known to be missing.
func (s *Source) Failure() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number := range resource.ShardCount {
		if f, ok := s.failures[number]; ok {
			return fmt.Sprintf("revision %d: %v", f.revision, f.err)
		}
	}
	if s.isolatedLocked() {
		return "isolated from the key-value service and from most peers"
	}
	return ""
}

// storedShard is an encoded shard as the service or a peer sent it.
type storedShard struct {
	number   int
	revision ident.Revision
	value    []byte
}

// decodedShard is a shard after decoding, which takes too long to be done with the mutex locked.
type decodedShard struct {
	storedShard
	shard *resource.Shard
	err   error
}

// decodeNewer decodes the shards that are newer than those in force.
func (s *Source) decodeNewer(list []storedShard) (shards []decodedShard) {
	set := s.set.Load()
	for _, x := range list {
		if x.number < 0 || x.number >= resource.ShardCount {
			continue
		}
		if _, r := set.Shard(x.number); x.revision <= r {
			continue
		}
		d := decodedShard{storedShard: x}
		d.shard, d.err = resource.DecodeShard(x.number, x.value)
		shards = append(shards, d)
	}
	return shards
}

// apply puts newer shards into force and then raises the generation; the log event names the origin.
func (s *Source) apply(list []storedShard, generation ident.Revision, origin string) {
	shards := s.decodeNewer(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.set.Load()
	after := before.ApplyAll(s.updatesLocked(before, shards))
	s.generation = max(s.generation, generation)
	if after == before {
		return
	}
	s.assertRevisionsIncrease(before, after)
	s.set.Store(after)
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.Event(timeline.Event{Kind: timeline.ConfigurationInForce, Revision: after.Generation(), Detail: origin})
}

// updatesLocked returns the shards to apply and records those that cannot be decoded.
func (s *Source) updatesLocked(before *resource.Set, shards []decodedShard) (updates []resource.Update) {
	for _, x := range shards {
		if x.revision <= s.newestRevisionLocked(before, x.number) {
			continue
		}
		if x.err != nil {
			s.failures[x.number] = failure{revision: x.revision, err: x.err}
			continue
		}
		delete(s.failures, x.number)
		s.values[x.number] = x.value
		updates = append(updates, resource.Update{Number: x.number, Revision: x.revision, Shard: x.shard})
	}
	return updates
}

// newestRevisionLocked returns the newest known revision of a shard, in force or failing to decode.
func (s *Source) newestRevisionLocked(set *resource.Set, number int) ident.Revision {
	_, r := set.Shard(number)
	if f, ok := s.failures[number]; ok {
		r = max(r, f.revision)
	}
	return r
}

// assertRevisionsIncrease panics if a shard would return to an older revision, because requests would then run on a
// reverted configuration.
func (s *Source) assertRevisionsIncrease(before, after *resource.Set) {
	for number := range resource.ShardCount {
		_, old := before.Shard(number)
		_, now := after.Shard(number)
		if now >= old {
			continue
		}
		s.violations.Inc()
		detail := fmt.Sprintf("shard %02x went from revision %d to %d", number, old, now)
		s.log.Event(timeline.Event{Kind: timeline.InvariantViolated, Reason: "G8", Detail: detail})
		panic("configuration: " + detail)
	}
}
