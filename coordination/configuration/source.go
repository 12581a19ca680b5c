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

// Source holds the configuration in force; its methods may be called from several goroutines.
type Source struct {
	identity Identity
	store    Store
	peers    func() []Peer
	// witnesses returns the last known agents.
	witnesses func() []Witness
	watchers  int
	clock     quartz.Clock
	log       *timeline.Log
	// fetching admits one Refresh at a time, so that many requests for a new revision cost one read.
	fetching chan struct{}

	set atomic.Pointer[resource.Set]

	mu         sync.Mutex
	values     [resource.ShardCount][]byte
	generation ident.Revision
	failures   map[int]failure
	changed    chan struct{}
	// contact is the newest time at which the service is known to have answered some process.
	contact time.Time
	// agreed is the newest time at which most peers reported the service as lost.
	agreed time.Time
	// direct is set while the process itself reads the service.
	direct bool
	// lastFallback bounds the full reads of a process that no peer serves.
	lastFallback time.Time
	// staging marks a source that only collects the answers of several peers.
	staging    bool
	violations *metrics.Counter
}

// failure is a stored shard that cannot be applied.
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

// WithPeers sets the function that returns the last known entries, as the registry and the settings name them.
// Peers named by the settings are needed to start while the service is down.
func WithPeers(fn func() []Peer) Option { return func(s *Source) { s.peers = fn } }

// WithWitnesses sets the function that returns the last known agents. They serve no configuration; they only tell an
// outage of the service from a partition.
func WithWitnesses(fn func() []Witness) Option { return func(s *Source) { s.witnesses = fn } }

// WithWatchers sets the number of entries per zone that watch the service.
func WithWatchers(n int) Option { return func(s *Source) { s.watchers = n } }

const defaultWatchers = 3

// New returns a source with nothing in force.
func New(id Identity, store Store, options ...Option) *Source {
	s := &Source{
		identity:  id,
		store:     store,
		peers:     func() []Peer { return nil },
		witnesses: func() []Witness { return nil },
		watchers:  defaultWatchers,
		clock:     quartz.NewReal(),
		log:       timeline.Discard(),
		fetching:  make(chan struct{}, 1),
		failures:  make(map[int]failure),
		changed:   make(chan struct{}),
		// Not registered, so that sources of one process do not share it.
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

// Failure says why the newest configuration is not in force; it is empty if nothing is known to be missing.
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

// stored is a shard value as the service or a peer sent it.
type stored struct {
	number   int
	revision ident.Revision
	value    []byte
}

// decoded is a stored shard after decoding, which takes too long to hold the lock meanwhile.
type decoded struct {
	stored
	shard *resource.Shard
	err   error
}

func (s *Source) decode(list []stored) (shards []decoded) {
	set := s.set.Load()
	for _, x := range list {
		if x.number < 0 || x.number >= resource.ShardCount {
			continue
		}
		if _, r := set.Shard(x.number); x.revision <= r {
			continue
		}
		d := decoded{stored: x}
		d.shard, d.err = resource.DecodeShard(x.number, x.value)
		shards = append(shards, d)
	}
	return shards
}

// apply brings newer shards into force and then raises the generation.
func (s *Source) apply(list []stored, generation ident.Revision, from string) {
	shards := s.decode(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.set.Load()
	after := before.ApplyAll(s.updatesLocked(before, shards))
	s.generation = max(s.generation, generation)
	if after == before {
		return
	}
	s.assertUpwards(before, after)
	s.set.Store(after)
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.Event(timeline.Event{Kind: timeline.ConfigurationSet, Revision: after.Newest(), Detail: from})
}

// updatesLocked returns the shards to apply and notes those that cannot be applied.
func (s *Source) updatesLocked(before *resource.Set, shards []decoded) (updates []resource.Update) {
	for _, x := range shards {
		if x.revision <= s.revisionLocked(before, x.number) {
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

// revisionLocked returns the newest revision known of a shard, in force or failing.
func (s *Source) revisionLocked(set *resource.Set, number int) ident.Revision {
	_, r := set.Shard(number)
	if f, ok := s.failures[number]; ok {
		r = max(r, f.revision)
	}
	return r
}

// assertUpwards ends the process if a shard would go back, because requests would then run on a reverted configuration.
func (s *Source) assertUpwards(before, after *resource.Set) {
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
