package keyvalue

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/protocol/keyvalue/gateway"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Service is the stand-in; its methods may be called concurrently.
type Service struct {
	clock            quartz.Clock
	progressInterval time.Duration

	mu                sync.Mutex
	revision          int64
	compactedRevision int64
	keys              map[string]gateway.KeyValue
	history           []gateway.Event
	leases            map[int64]*lease
	lastLease         int64
	changed           chan struct{}
	watchesCut        chan struct{}
	faults            faults
	calls             map[Call]int
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
	timer  *quartz.Timer
}

// Option configures a new Service.
type Option func(*Service)

// WithClock sets the clock for the expiry of leases, injected latency and progress reports.
func WithClock(c quartz.Clock) Option { return func(s *Service) { s.clock = c } }

// WithProgressInterval sets the interval of the progress reports of watches.
func WithProgressInterval(d time.Duration) Option { return func(s *Service) { s.progressInterval = d } }

const defaultProgressInterval = time.Second

// New returns an empty service.
func New(options ...Option) *Service {
	s := &Service{
		clock:            quartz.NewReal(),
		progressInterval: defaultProgressInterval,
		revision:         1,
		keys:             make(map[string]gateway.KeyValue),
		leases:           make(map[int64]*lease),
		changed:          make(chan struct{}),
		watchesCut:       make(chan struct{}),
		calls:            make(map[Call]int),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Revision returns the newest revision.
func (s *Service) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact drops the history up to the revision; a watch from a dropped revision is canceled with the compacted revision.
func (s *Service) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(revision)
}

func (s *Service) compact(revision int64) {
	s.compactedRevision = max(s.compactedRevision, min(revision, s.revision))
	s.history = slices.DeleteFunc(s.history, func(e gateway.Event) bool { return e.KV.ModRevision <= s.compactedRevision })
}

func inRange(key string, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return key == string(from)
	case bytes.Equal(end, []byte{0}):
		return key >= string(from)
	}
	return key >= string(from) && key < string(end)
}

func (s *Service) read(q gateway.RangeRequest) (a gateway.RangeResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Header.Revision = s.revision
	for k, kv := range s.keys {
		if inRange(k, q.Key, q.RangeEnd) {
			a.KVs = append(a.KVs, kv)
		}
	}
	slices.SortFunc(a.KVs, func(x, y gateway.KeyValue) int { return bytes.Compare(x.Key, y.Key) })
	return a
}

func (s *Service) txn(q gateway.TxnRequest) (a gateway.TxnResponse, callErr *gateway.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Succeeded = true
	for _, c := range q.Compare {
		a.Succeeded = a.Succeeded && s.compareHolds(c)
	}
	operations := q.Success
	if !a.Succeeded {
		operations = q.Failure
	}
	if callErr = s.validate(operations); callErr != nil {
		return a, callErr
	}
	s.apply(operations)
	a.Header.Revision = s.revision
	return a, nil
}

func (s *Service) compareHolds(c gateway.Compare) bool {
	kv := s.keys[string(c.Key)]
	if c.Target == gateway.TargetCreate {
		return kv.CreateRevision == c.CreateRevision
	}
	return kv.ModRevision == c.ModRevision
}

func (s *Service) validate(operations []gateway.Operation) *gateway.Error {
	for _, o := range operations {
		if o.Put == nil {
			continue
		}
		if len(o.Put.Value) > MaxValueBytes {
			return &gateway.Error{Code: gateway.CodeInvalidArgument, Message: "etcdserver: request is too large"}
		}
		if _, ok := s.leases[o.Put.Lease]; o.Put.Lease != 0 && !ok {
			return leaseNotFound()
		}
	}
	return nil
}

func leaseNotFound() *gateway.Error {
	return &gateway.Error{Code: gateway.CodeNotFound, Message: "etcdserver: requested lease not found"}
}

// apply executes the operations at one new revision; the revision stays if they change nothing.
func (s *Service) apply(operations []gateway.Operation) {
	next := s.revision + 1
	var events []gateway.Event
	for _, o := range operations {
		if o.Put != nil {
			events = append(events, s.put(o.Put, next))
			continue
		}
		if _, ok := s.keys[string(o.Delete.Key)]; ok {
			delete(s.keys, string(o.Delete.Key))
			kv := gateway.KeyValue{Key: o.Delete.Key, ModRevision: next}
			events = append(events, gateway.Event{Type: gateway.EventDelete, KV: kv})
		}
	}
	if len(events) == 0 {
		return
	}
	s.revision = next
	s.history = append(s.history, events...)
	s.notifyWatches()
}

func (s *Service) put(p *gateway.Put, revision int64) gateway.Event {
	old := s.keys[string(p.Key)]
	kv := gateway.KeyValue{
		Key:            p.Key,
		Value:          p.Value,
		CreateRevision: old.CreateRevision,
		ModRevision:    revision,
		Version:        old.Version + 1,
		Lease:          p.Lease,
	}
	if kv.CreateRevision == 0 {
		kv.CreateRevision = revision
	}
	s.keys[string(p.Key)] = kv
	return gateway.Event{KV: kv}
}

func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) grant(ttl time.Duration) (id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id = s.lastLease
	s.addLease(id, ttl)
	return id
}

func (s *Service) addLease(id int64, ttl time.Duration) {
	l := &lease{ttl: ttl, expiry: s.clock.Now().Add(ttl)}
	l.timer = s.clock.AfterFunc(ttl, func() { s.expireIfDue(id) })
	s.leases[id] = l
}

func (s *Service) keepAlive(id int64) (ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expiry = s.clock.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl
}

// expireIfDue ends a lease whose time to live has passed.
func (s *Service) expireIfDue(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A keep-alive may have extended the lease while the timer was firing.
	if l, ok := s.leases[id]; ok && !s.clock.Now().Before(l.expiry) {
		s.endLease(id)
	}
}

// Expire ends a lease at once, as if its holder had been paused for longer than the time to live.
func (s *Service) Expire(id int64) (existed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endLease(id)
}

// endLease removes a lease and deletes its keys.
func (s *Service) endLease(id int64) (existed bool) {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	var operations []gateway.Operation
	for k, kv := range s.keys {
		if kv.Lease == id {
			operations = append(operations, gateway.Operation{Delete: &gateway.Delete{Key: []byte(k)}})
		}
	}
	slices.SortFunc(operations, func(a, b gateway.Operation) int {
		return strings.Compare(string(a.Delete.Key), string(b.Delete.Key))
	})
	s.apply(operations)
	return true
}

// Close stops the timers of all leases and ends all watches.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.cutWatches()
}
