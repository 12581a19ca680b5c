package roster

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/state/ident"
)

// fakeStore keeps the revisions of keys.
type fakeStore struct {
	keys     map[string]ident.Revision
	revision ident.Revision
	down     bool
}

var errDown = errors.New("the store is down")

func (s *fakeStore) List(context.Context, string) (list []mirror.Record, at ident.Position, err error) {
	for k, r := range s.keys {
		list = append(list, mirror.Record{Key: k, Revision: r})
	}
	if s.down {
		return nil, at, errDown
	}
	return list, at, nil
}

func (s *fakeStore) Put(_ context.Context, key string, _ []byte) (at ident.Position, err error) {
	if s.down {
		return at, errDown
	}
	s.revision++
	s.keys[key] = s.revision
	return at, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, last ident.Revision) (err error) {
	if s.keys[key] == last {
		delete(s.keys, key)
	}
	return nil
}

type listener struct{ entries int }

func (*listener) NeedsEntries() bool { return true }

func (l *listener) SetEntries(n int) { l.entries = n }

// TestEntriesAreCounted guards against entries that each take themselves for the only one, also while the store is away, and against entries that
// count, or whose records stay, long after they have gone.
func TestEntriesAreCounted(t *testing.T) {
	clock := quartz.NewMock(t)
	s := &fakeStore{keys: make(map[string]ident.Revision)}
	var listeners [4]listener
	var rosters [4]*Roster
	for i := range rosters {
		rosters[i] = New(s, ident.Host(fmt.Sprint("edge-", i)), &listeners[i], WithClock(clock))
	}
	// run advances the time while the first entries are there, and expects the number that entry 0 knows.
	run := func(what string, length time.Duration, entries, want int) {
		t.Helper()
		for range length / writeInterval {
			for _, r := range rosters[:entries] {
				if err := r.update(t.Context()); err != nil && !s.down {
					t.Fatal(err)
				}
			}
			clock.Advance(writeInterval)
		}
		if got := listeners[0].entries; got != want {
			t.Errorf("%s: %d entries, want %d", what, got, want)
		}
	}
	run("alone", writeInterval, 1, 1)
	run("all start", 2*writeInterval, 4, 4)
	s.down = true
	run("store is away", time.Minute, 4, 4)
	s.down = false
	run("store is back", 2*writeInterval, 4, 4)
	run("two have just gone", recordMemory-writeInterval, 2, 4)
	run("two have gone", 3*writeInterval, 2, 2)
	run("two have gone for long", recordExpiry+writeInterval, 2, 2)
	if len(s.keys) != 2 {
		t.Errorf("%d records are left of two entries", len(s.keys))
	}
	rosters[0].forget()
	if listeners[0].entries != 0 {
		t.Errorf("%d entries although the number is not kept any more", listeners[0].entries)
	}
}
