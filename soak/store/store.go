package store

import (
	"slices"
	"strings"
	"time"

	"shallotring.dev/soak/schedule"
	"shallotring.dev/state/ident"
)

// Status tells what a client learned of its call.
type Status int

// Results of a call.
const (
	Answered Status = iota
	// Lost means that the call may have taken effect.
	Lost
	// Down means that the call certainly had no effect.
	Down
)

// Record is one stored value.
type Record struct {
	Key      string
	Value    []byte
	Revision ident.Revision
	Lease    int64
}

// Store is the state of the service; its faults are plain fields that the schedule sets.
type Store struct {
	Clock *schedule.Clock
	// Unavailable refuses or swallows all calls.
	Unavailable bool
	// Slow delays calls by up to several seconds.
	Slow bool
	// LosesAnswers drops the answers of many calls that took effect.
	LosesAnswers bool
	// Changed is told each write before any client.
	Changed func(Record)

	revision ident.Revision
	records  map[string]Record
	leases   map[int64]time.Time
	lease    int64
}

// New returns an empty store.
func New(c *schedule.Clock) *Store {
	return &Store{Clock: c, revision: 1, records: make(map[string]Record), leases: make(map[int64]time.Time), Changed: func(Record) {}}
}

// Call carries out apply at the service and reports to done exactly once, not later than the timeout.
func (s *Store) Call(timeout time.Duration, apply func(), done func(Status)) {
	answered := false
	finish := func(r Status) {
		if !answered {
			answered = true
			done(r)
		}
	}
	if s.Unavailable && s.Clock.Chance(500) {
		s.Clock.After(s.latency(), func() { finish(Down) })
		return
	}
	s.Clock.After(timeout, func() { finish(Lost) })
	s.Clock.After(s.latency(), func() {
		if s.Unavailable {
			return
		}
		apply()
		if s.LosesAnswers && s.Clock.Chance(400) {
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

// Revision returns the number of the latest write.
func (s *Store) Revision() ident.Revision { return s.revision }

// Get returns a record.
func (s *Store) Get(key string) (r Record, ok bool) {
	s.expire()
	r, ok = s.records[key]
	return r, ok
}

// List returns the records under a prefix in order of key.
func (s *Store) List(prefix string) (list []Record) {
	s.expire()
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Swap stores a value if the key is at the expected revision; zero means absent.
func (s *Store) Swap(key string, expect ident.Revision, value []byte, lease int64) (at ident.Revision, ok bool) {
	s.expire()
	if s.records[key].Revision != expect {
		return 0, false
	}
	if _, live := s.leases[lease]; lease != 0 && !live {
		return 0, false
	}
	s.revision++
	r := Record{Key: key, Value: value, Revision: s.revision, Lease: lease}
	s.records[key] = r
	s.Changed(r)
	return s.revision, true
}

// Delete removes a record.
func (s *Store) Delete(key string) {
	if _, ok := s.records[key]; ok {
		s.revision++
		delete(s.records, key)
	}
}

// Grant opens a lease.
func (s *Store) Grant(ttl time.Duration) (id int64) {
	s.lease++
	s.leases[s.lease] = s.Clock.Now().Add(ttl)
	return s.lease
}

// KeepAlive extends a lease; ok is false if it has expired.
func (s *Store) KeepAlive(id int64, ttl time.Duration) (ok bool) {
	s.expire()
	if _, ok = s.leases[id]; ok {
		s.leases[id] = s.Clock.Now().Add(ttl)
	}
	return ok
}

// Revoke ends a lease and removes its records.
func (s *Store) Revoke(id int64) {
	delete(s.leases, id)
	s.drop()
}

func (s *Store) expire() {
	expired := false
	for id, until := range s.leases {
		if !s.Clock.Now().Before(until) {
			delete(s.leases, id)
			expired = true
		}
	}
	if expired {
		s.drop()
	}
}

func (s *Store) drop() {
	for k, r := range s.records {
		if _, live := s.leases[r.Lease]; r.Lease != 0 && !live {
			s.revision++
			delete(s.records, k)
		}
	}
}

// Outage ends the service for a time; in half of the cases the leases get that time added, as after a change of the
// service's leader.
func (s *Store) Outage(d time.Duration) {
	s.expire()
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
