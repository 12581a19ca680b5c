package quarantinerecord

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/quarantine"
)

// fakeStore keeps the values of keys; it fails while err is set.
type fakeStore struct {
	mu     sync.Mutex
	values map[string][]byte
	writes int
	err    error
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte) (at ident.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.err == nil {
		s.values[key] = value
	}
	return at, s.err
}

// fakeQuarantine has the parts in quarantine and those that were lifted.
type fakeQuarantine struct {
	parts  map[call.PartID]bool
	lifted map[call.PartID]bool
}

func (q *fakeQuarantine) RestoreQuarantine(e quarantine.Entry) { q.parts[e.Part] = true }
func (q *fakeQuarantine) LiftQuarantine(p call.PartID)         { delete(q.parts, p); q.lifted[p] = true }

func newFakes() (s *fakeStore, q *fakeQuarantine) {
	return &fakeStore{values: make(map[string][]byte)}, &fakeQuarantine{parts: make(map[call.PartID]bool), lifted: make(map[call.PartID]bool)}
}

func change(p call.PartID) quarantine.Change {
	now := time.Now()
	return quarantine.Change{Entry: quarantine.Entry{Part: p, Since: now, Until: now.Add(time.Hour), Incidents: 4, Of: 5, Share: 0.1, Evidence: 13}}
}

// records returns what a mirror reports of the store.
func (s *fakeStore) records() (list []mirror.Record) {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		list = append(list, mirror.Record{Key: key, Value: s.values[key]})
	}
	return list
}

// TestQuarantineIsShared guards against a process that does not learn of a part in quarantine from the store, and against writes of what the store has.
func TestQuarantineIsShared(t *testing.T) {
	s, q := newFakes()
	first, second := New(s, "edge-1"), New(s, "edge-2")
	first.Record(change(7))
	second.Record(change(7))
	if !first.writeAll(t.Context()) || s.writes != 1 {
		t.Fatalf("%d writes", s.writes)
	}
	second.Apply(s.records(), q)
	if !second.writeAll(t.Context()) || s.writes != 1 {
		t.Errorf("%d writes of one record", s.writes)
	}
	if !q.parts[7] {
		t.Error("the part of the store is not in quarantine")
	}
}

// TestLostRecordsAreWrittenAgain guards against a quarantine that ends because the store was away or went back to an older copy.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	s, q := newFakes()
	k := New(s, "edge-1")
	s.err = eris.New("away")
	k.Record(change(7))
	if k.writeAll(t.Context()) {
		t.Fatal("a failed write counts as done")
	}
	s.err = nil
	if !k.writeAll(t.Context()) || len(s.values) != 1 {
		t.Fatalf("the store has %d records after its return", len(s.values))
	}
	k.Apply(s.records(), q)
	clear(s.values)
	k.Apply([]mirror.Record{{Key: Key(7), Deleted: true}}, q)
	if !q.parts[7] || q.lifted[7] {
		t.Error("a missing record has lifted the quarantine")
	}
	if !k.writeAll(t.Context()) || len(s.values) != 1 {
		t.Errorf("the store has %d records after the restoration", len(s.values))
	}
}

// TestRestoredStoreDoesNotRevertALift guards against a quarantine that comes back with an older copy of the store.
func TestRestoredStoreDoesNotRevertALift(t *testing.T) {
	s, q := newFakes()
	k := New(s, "edge-1")
	k.Record(change(7))
	k.writeAll(t.Context())
	k.Apply(s.records(), q)
	older := maps.Clone(s.values)
	s.values[Key(7)], _ = json.Marshal(Record{Lifted: true})
	k.Apply(s.records(), q)
	s.values = older
	list := s.records()
	list[0].Restored = true
	k.Apply(list, q)
	k.writeAll(t.Context())
	k.Apply(s.records(), q)
	var r Record
	if err := json.Unmarshal(s.values[Key(7)], &r); err != nil || !r.Lifted || q.parts[7] {
		t.Errorf("record %+v %v, in quarantine: %t", r, err, q.parts[7])
	}
}

// TestOperatorsLiftAQuarantine guards against a quarantine that an operator cannot end, or that comes back when the store loses the record.
func TestOperatorsLiftAQuarantine(t *testing.T) {
	s, q := newFakes()
	k := New(s, "edge-1")
	k.Record(change(7))
	k.writeAll(t.Context())
	k.Apply(s.records(), q)
	s.values[Key(7)], _ = json.Marshal(Record{Lifted: true})
	k.Apply(s.records(), q)
	if q.parts[7] || !q.lifted[7] {
		t.Error("the part is still in quarantine")
	}
	k.Apply([]mirror.Record{{Key: Key(7), Deleted: true}}, q)
	if k.writeAll(t.Context()); s.writes != 1 {
		t.Errorf("%d writes; the lifted quarantine was written again", s.writes)
	}
	// New crashes count.
	k.Record(change(7))
	if k.writeAll(t.Context()); s.writes != 2 {
		t.Errorf("%d writes after new crashes, want 2", s.writes)
	}
}

// TestInvalidRecordsAreIgnored guards against values of other writers that stop the process or change the quarantine.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	s, q := newFakes()
	k := New(s, "edge-1")
	for _, x := range [][2]string{{Prefix + "xyz", "{}"}, {Prefix, "{}"}, {Prefix + "7", "["}, {Prefix + "7", `{"Until":5}`}, {Prefix + "fffffffffffffffff", "{}"}} {
		k.Apply([]mirror.Record{{Key: x[0], Value: []byte(x[1])}}, q)
		k.Apply([]mirror.Record{{Key: x[0], Deleted: true}}, q)
	}
	if len(q.parts)+len(q.lifted)+s.writes > 0 {
		t.Errorf("quarantine %v, lifted %v, %d writes", q.parts, q.lifted, s.writes)
	}
}

// TestLiftIsNotOverwritten guards against an entry that writes what it has found before an operator lifted it.
func TestLiftIsNotOverwritten(t *testing.T) {
	s, q := newFakes()
	first, second := New(s, "edge-1"), New(s, "edge-2")
	first.Record(change(7))
	second.Record(change(7))
	first.writeAll(t.Context())
	s.values[Key(7)], _ = json.Marshal(Record{Lifted: true})
	second.Apply(s.records(), q)
	second.writeAll(t.Context())
	if _, r, err := Decode(Key(7), s.values[Key(7)]); err != nil || !r.Lifted {
		t.Errorf("the store has %+v %v after the lift", r, err)
	}
}
