package store

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/schedule"
	"shallotring.dev/state/ident"
)

// Status is what a client observes of the outcome of its call.
type Status int

// Values of Status.
const (
	// Answered means that the client received the response.
	Answered Status = iota
	// Lost means that the client received no response; the call may have taken effect.
	Lost
	// NotApplied means that the service refused the call, which had no effect.
	NotApplied
)

// Record is one stored value.
type Record struct {
	Key      string
	Value    []byte
	Revision ident.Revision
	Lease    int64
}

// Store is the state of the service. A schedule switches its faults on and off through the fields.
type Store struct {
	Clock *schedule.Clock
	// Unavailable lets every call fail: half of them are refused, the others get no response.
	Unavailable bool
	// Slow delays calls by up to several seconds.
	Slow bool
	// LosesResponses drops the responses of many calls that took effect.
	LosesResponses bool
	// OnWrite receives each write before any client can observe it.
	OnWrite func(Record)

	revision  ident.Revision
	records   map[string]Record
	leases    map[int64]time.Time
	lastLease int64
}

// New returns an empty store.
func New(c *schedule.Clock) *Store {
	return &Store{Clock: c, revision: 1, records: make(map[string]Record), leases: make(map[int64]time.Time), OnWrite: func(Record) {}}
}

// Call runs apply at the service and calls done exactly once, at the timeout at the latest.
func (s *Store) Call(timeout time.Duration, apply func(), done func(Status)) {
	finished := false
	finish := func(r Status) {
		if !finished {
			finished = true
			done(r)
		}
	}
	if s.Unavailable && s.Clock.Chance(500) {
		s.Clock.After(s.latency(), func() { finish(NotApplied) })
		return
	}
	s.Clock.After(timeout, func() { finish(Lost) })
	s.Clock.After(s.latency(), func() {
		if s.Unavailable {
			return
		}
		apply()
		if s.LosesResponses && s.Clock.Chance(400) {
			return
		}
		s.Clock.After(s.latency(), func() { finish(Answered) })
	})
}

func (s *Store) latency() time.Duration {
	if s.Slow {
		return s.Clock.Between(50*time.Millisecond, 4*time.Second)
	}
	return s.Clock.Between(time.Millisecond, 5*time.Millisecond)
}

// Revision returns the revision of the latest write.
func (s *Store) Revision() ident.Revision { return s.revision }

// Get returns a record.
func (s *Store) Get(key string) (r Record, ok bool) {
	s.expireLeases()
	r, ok = s.records[key]
	return r, ok
}

// List returns the records under a prefix in order of key.
func (s *Store) List(prefix string) (list []Record) {
	s.expireLeases()
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Swap stores a value if the key is at the expected revision (zero: the key is absent) and the lease, if any, is valid.
func (s *Store) Swap(key string, expect ident.Revision, value []byte, lease int64) (at ident.Revision, ok bool) {
	s.expireLeases()
	if s.records[key].Revision != expect {
		return 0, false
	}
	if _, live := s.leases[lease]; lease != 0 && !live {
		return 0, false
	}
	s.revision++
	r := Record{Key: key, Value: value, Revision: s.revision, Lease: lease}
	s.records[key] = r
	s.OnWrite(r)
	return s.revision, true
}

// Delete removes a record.
func (s *Store) Delete(key string) {
	if _, ok := s.records[key]; ok {
		s.revision++
		delete(s.records, key)
	}
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) (id int64) {
	s.lastLease++
	s.leases[s.lastLease] = s.Clock.Now().Add(ttl)
	return s.lastLease
}

// KeepAlive extends a lease; ok is false if it has expired.
func (s *Store) KeepAlive(id int64, ttl time.Duration) (ok bool) {
	s.expireLeases()
	if _, ok = s.leases[id]; ok {
		s.leases[id] = s.Clock.Now().Add(ttl)
	}
	return ok
}

// Revoke ends a lease and removes its records.
func (s *Store) Revoke(id int64) {
	delete(s.leases, id)
	s.removeUnleased()
}

func (s *Store) expireLeases() {
	expired := false
	for id, until := range s.leases {
		if !s.Clock.Now().Before(until) {
			delete(s.leases, id)
			expired = true
		}
	}
	if expired {
		s.removeUnleased()
	}
}

func (s *Store) removeUnleased() {
	for k, r := range s.records {
		if _, live := s.leases[r.Lease]; r.Lease != 0 && !live {
			s.revision++
			delete(s.records, k)
		}
	}
}

// StartOutage makes the service unavailable for a time. In half of the cases the leases are extended by that time
// afterwards, as after a change of the service's leader.
func (s *Store) StartOutage(d time.Duration) {
	s.expireLeases()
	s.Unavailable = true
	extend := s.Clock.Chance(500)
	s.Clock.After(d, func() {
		s.Unavailable = false
		if !extend {
			return
		}
		for id, until := range s.leases {
			s.leases[id] = until.Add(d)
		}
	})
}
