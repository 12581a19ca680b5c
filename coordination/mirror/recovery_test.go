package mirror

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
)

// interruptedStore is a fakeStore with the time of its last unanswered call.
type interruptedStore struct {
	fakeStore
	unansweredAt time.Time
}

func (s *interruptedStore) UnansweredAt() time.Time { return s.unansweredAt }

// reports collects what a mirror reports of keys that are gone.
type reports struct{ missing, deleted []string }

func (p *reports) apply(list []Record) {
	for _, r := range list {
		switch {
		case r.Missing:
			p.missing = append(p.missing, r.Key)
		case r.Deleted:
			p.deleted = append(p.deleted, r.Key)
		}
	}
}

// keys returns records p/from to p/to, created and last written at two revisions.
func keys(from, to int, created, written ident.Revision) (list []Record) {
	for i := from; i <= to; i++ {
		list = append(list, Record{Key: fmt.Sprintf("p/%d", i), Created: created, Revision: written})
	}
	return list
}

// TestMissingKeysAfterAnInterruption guards against keys that are believed for seconds after an interruption although others show that the store
// worked on, and against keys that are given up after an outage before their owners can write them again.
func TestMissingKeysAfterAnInterruption(t *testing.T) {
	const contact = 3 * time.Second
	for _, x := range []struct {
		name string
		// items are those of the first read after the interruption, in which six keys were known; noticed is the time from the last
		// unanswered call to that read.
		items   []Record
		noticed time.Duration
		// missing is the number of keys reported as missing at once, deletedAfter the time after which those that stay away are deleted.
		missing      int
		deletedAfter time.Duration
	}{
		{name: "one left while the store worked", items: keys(1, 5, 3, 40), noticed: 500 * time.Millisecond, missing: 1, deletedAfter: 2250 * time.Millisecond},
		{name: "half left while the store worked", items: keys(1, 3, 3, 40), noticed: 500 * time.Millisecond, missing: 3, deletedAfter: 2250 * time.Millisecond},
		{name: "noticed at once", items: keys(1, 5, 3, 40), missing: 1, deletedAfter: DefaultRecoveryGrace},
		{name: "noticed late", items: keys(1, 5, 3, 40), noticed: 2 * time.Second, missing: 1, deletedAfter: 750 * time.Millisecond},
		{name: "noticed too late", items: keys(1, 5, 3, 40), noticed: contact, deletedAfter: 0},
		{name: "all expired", noticed: 200 * time.Millisecond, deletedAfter: DefaultRecoveryGrace},
		{name: "all expired and some are back", items: keys(1, 4, 40, 41), noticed: 200 * time.Millisecond, deletedAfter: DefaultRecoveryGrace},
		{name: "most expired", items: keys(1, 2, 3, 40), noticed: 200 * time.Millisecond, deletedAfter: DefaultRecoveryGrace},
	} {
		t.Run(x.name, func(t *testing.T) {
			clock, got := quartz.NewMock(t), &reports{}
			s := &interruptedStore{fakeStore: fakeStore{items: keys(1, 6, 3, 10), at: 10}}
			m := New(s, "p/", got.apply, WithClock(clock), WithContactTimeout(contact), WithMissingKeys())
			step(t, m)
			clock.Advance(10 * time.Second)
			s.unansweredAt, m.unavailable = clock.Now(), true
			clock.Advance(x.noticed)
			s.items, s.at = x.items, 50
			step(t, m)
			if len(got.missing) != x.missing {
				t.Errorf("missing: %v, want %d keys", got.missing, x.missing)
			}
			if x.deletedAfter > 0 {
				if len(got.deleted) > 0 {
					t.Fatalf("deleted at once: %v", got.deleted)
				}
				if due := m.nextFullRead.Sub(clock.Now()); due != x.deletedAfter {
					t.Errorf("the next read is due in %v, want %v", due, x.deletedAfter)
				}
				clock.Advance(x.deletedAfter)
				step(t, m)
			}
			if len(got.deleted) != 6-len(x.items) {
				t.Errorf("deleted: %v, want %d keys", got.deleted, 6-len(x.items))
			}
		})
	}
}

// TestRepeatedInterruptions guards against a path that fails again and again and thereby keeps keys that are gone, and against a second outage in
// which keys are given up that nobody could write again.
func TestRepeatedInterruptions(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage ", outage), func(t *testing.T) {
			clock, got := quartz.NewMock(t), &reports{}
			s := &interruptedStore{fakeStore: fakeStore{items: keys(1, 6, 3, 10), at: 10}}
			m := New(s, "p/", got.apply, WithClock(clock), WithContactTimeout(3*time.Second), WithMissingKeys())
			step(t, m)
			if s.items = keys(1, 5, 3, 40); outage {
				s.items = nil
			}
			for i := range 6 {
				s.at = ident.Revision(50 + i)
				s.unansweredAt, m.unavailable = clock.Now(), true
				step(t, m)
				clock.Advance(time.Second)
			}
			if gone := slices.Contains(got.deleted, "p/6"); gone == outage {
				t.Errorf("deleted: %v after interruptions for 6 s", got.deleted)
			}
		})
	}
}

// TestKeysAfterARestorationAreNotDoubted guards against keys that are taken for departed because the restored store has lost them.
func TestKeysAfterARestorationAreNotDoubted(t *testing.T) {
	clock, got := quartz.NewMock(t), &reports{}
	s := &interruptedStore{fakeStore: fakeStore{items: keys(1, 6, 3, 100), at: 100, era: 1}}
	m := New(s, "p/", got.apply, WithClock(clock), WithContactTimeout(3*time.Second), WithMissingKeys())
	step(t, m)
	s.era, s.at, s.items, m.nextFullRead = 2, 60, keys(1, 5, 3, 60), time.Time{}
	step(t, m)
	if len(got.missing)+len(got.deleted) > 0 {
		t.Errorf("missing %v, deleted %v right after the restoration", got.missing, got.deleted)
	}
}
