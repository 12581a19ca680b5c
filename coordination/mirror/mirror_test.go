package mirror

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
)

// fakeStore returns the records that a test sets.
type fakeStore struct {
	items  []Record
	at     ident.Revision
	era    ident.Era
	events []Record
	err    error
	lists  int
}

func (s *fakeStore) List(context.Context, string) (list []Record, at ident.Position, err error) {
	s.lists++
	return append([]Record(nil), s.items...), ident.Position{Era: s.era, Revision: s.at}, s.err
}

func (s *fakeStore) Watch(context.Context, string, ident.Revision, time.Duration) (list []Record, at ident.Position, err error) {
	return append([]Record(nil), s.events...), ident.Position{Era: s.era, Revision: s.at}, s.err
}

func (s *fakeStore) Recovered() <-chan struct{} { return nil }

func (s *fakeStore) UnansweredAt() time.Time { return time.Time{} }

type contents map[string]Record

func (s contents) apply(list []Record) {
	for _, r := range list {
		if r.Deleted {
			delete(s, r.Key)
			continue
		}
		s[r.Key] = r
	}
}

func step(t *testing.T, m *Mirror) {
	t.Helper()
	if err := m.step(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func newMirror(t *testing.T, s *fakeStore) (m *Mirror, got contents, clock *quartz.Mock) {
	t.Helper()
	clock, got = quartz.NewMock(t), contents{}
	m = New(s, "p/", got.apply, WithClock(clock), WithFullReadInterval(5*time.Second))
	step(t, m)
	return m, got, clock
}

// TestOlderRevisionsAreIgnored guards against a value that goes back to an older revision, after a watch repeats an old event
// or a full read returns stale data.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Value: []byte("2"), Revision: 20}}, at: 20}
	m, got, clock := newMirror(t, s)
	s.events = []Record{{Key: "p/a", Value: []byte("1"), Revision: 10}}
	step(t, m)
	if string(got["p/a"].Value) != "2" {
		t.Errorf("value = %s after an old event", got["p/a"].Value)
	}
	clock.Advance(6 * time.Second)
	s.items, s.at = []Record{{Key: "p/a", Value: []byte("1"), Revision: 10}}, 15
	if err := m.step(context.Background()); err == nil {
		t.Error("a read that is older than the mirror is accepted")
	}
	if string(got["p/a"].Value) != "2" {
		t.Errorf("value = %s after an old read", got["p/a"].Value)
	}
}

// TestFullReadFindsChangesThatTheWatchMissed guards against changes that are never applied, because the watch is stalled while
// the store discards its history.
func TestFullReadFindsChangesThatTheWatchMissed(t *testing.T) {
	s := &fakeStore{at: 1}
	m, got, clock := newMirror(t, s)
	s.items, s.at = []Record{{Key: "p/a", Revision: 5}}, 5
	clock.Advance(6 * time.Second)
	step(t, m)
	if len(got) != 1 {
		t.Errorf("mirror = %v, want the key of the full read", got)
	}
}

// TestExpiredKeysAreKeptDuringRecovery guards against keys that are reported as deleted because their leases expired while
// the store was down, before their owners can write them again.
func TestExpiredKeysAreKeptDuringRecovery(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Revision: 5}, {Key: "p/b", Revision: 6}}, at: 6}
	m, got, clock := newMirror(t, s)
	s.err = errors.New("down")
	if m.step(context.Background()) == nil {
		t.Fatal("no error")
	}
	m.unavailable = true
	s.err, s.items, s.at = nil, nil, 9
	step(t, m)
	if len(got) != 2 {
		t.Fatalf("mirror = %v right after the recovery, want both keys", got)
	}
	s.items, s.at = []Record{{Key: "p/a", Revision: 10}}, 10
	clock.Advance(DefaultRecoveryGrace)
	step(t, m)
	if _, ok := got["p/b"]; ok || len(got) != 1 {
		t.Errorf("mirror = %v after the grace period, want p/a alone", got)
	}
}

// TestFullReadAfterCompaction guards against a mirror that repeats a failing watch forever after the store has discarded its
// history.
func TestFullReadAfterCompaction(t *testing.T) {
	s := &fakeStore{at: 1}
	m, _, _ := newMirror(t, s)
	s.err = ErrCompacted
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { m.Run(ctx); close(done) }()
	cancel()
	<-done
	s.err = nil
	m.nextFullRead = time.Time{}
	lists := s.lists
	step(t, m)
	if s.lists != lists+1 {
		t.Error("no full read follows the compaction")
	}
}

// recoveringStore reports an outage to the first watch and ends the test with the second.
type recoveringStore struct {
	lists   [][]Record
	watches int
	stop    context.CancelFunc
}

func (s *recoveringStore) Recovered() <-chan struct{} { return nil }

func (s *recoveringStore) UnansweredAt() time.Time { return time.Time{} }

func (s *recoveringStore) List(context.Context, string) (list []Record, at ident.Position, err error) {
	list, s.lists = s.lists[0], s.lists[1:]
	return list, ident.Position{Revision: list[len(list)-1].Revision}, nil
}

func (s *recoveringStore) Watch(ctx context.Context, _ string, _ ident.Revision, _ time.Duration) (list []Record, at ident.Position, err error) {
	if s.watches++; s.watches == 1 {
		return nil, at, ErrRecovered
	}
	s.stop()
	return nil, at, ctx.Err()
}

// TestRecoveryDuringAWatch guards against a mirror that does not read the changes of an outage at once when its watch was swallowed, and
// against one that reports keys as deleted before their owners can write them again.
func TestRecoveryDuringAWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &recoveringStore{stop: cancel, lists: [][]Record{
		{{Key: "p/a", Revision: 5}, {Key: "p/b", Revision: 6}},
		{{Key: "p/a", Revision: 5}, {Key: "p/c", Revision: 9}},
	}}
	got := contents{}
	// No time passes on the clock, so the mirror may not wait.
	New(s, "p/", got.apply, WithClock(quartz.NewMock(t)), WithWatchPause(0)).Run(ctx)
	if _, ok := got["p/c"]; !ok || len(got) != 3 {
		t.Errorf("mirror = %v, want p/a, p/b and p/c", got)
	}
}

// returningStore fails the first read and responds to the second; the store is known to have returned in between.
type returningStore struct {
	returned chan struct{}
	reads    int
	stop     context.CancelFunc
}

func (s *returningStore) Recovered() <-chan struct{} { return s.returned }

func (s *returningStore) UnansweredAt() time.Time { return time.Time{} }

func (s *returningStore) List(context.Context, string) (list []Record, at ident.Position, err error) {
	if s.reads++; s.reads == 1 {
		close(s.returned)
		return nil, at, errors.New("down")
	}
	s.stop()
	return nil, ident.Position{Revision: 1}, nil
}

func (s *returningStore) Watch(ctx context.Context, _ string, _ ident.Revision, _ time.Duration) (list []Record, at ident.Position, err error) {
	return nil, at, ctx.Err()
}

// TestRecoveryEndsThePause guards against a mirror that pauses after a failed read although the store is known to have returned.
func TestRecoveryEndsThePause(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &returningStore{returned: make(chan struct{}), stop: cancel}
	// The pause would last for as long as the clock stands still.
	clock, done := quartz.NewMock(t), make(chan bool)
	go func() {
		New(s, "p/", contents{}.apply, WithClock(clock), WithWatchPause(0)).Run(ctx)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the mirror still pauses")
		cancel()
		<-done
	}
	if s.reads != 2 {
		t.Errorf("%d reads, want 2", s.reads)
	}
}
