package mirror

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
)

// fakeStore answers lists and watches with what a test sets.
type fakeStore struct {
	items  []Record
	at     ident.Revision
	events []Record
	err    error
	lists  int
}

func (s *fakeStore) List(context.Context, string) (list []Record, at ident.Revision, err error) {
	s.lists++
	return append([]Record(nil), s.items...), s.at, s.err
}

func (s *fakeStore) Watch(context.Context, string, ident.Revision, time.Duration) (list []Record, at ident.Revision, err error) {
	return append([]Record(nil), s.events...), s.at, s.err
}

type seen map[string]Record

func (s seen) take(list []Record) {
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

func start(t *testing.T, s *fakeStore) (m *Mirror, got seen, clock *quartz.Mock) {
	t.Helper()
	clock, got = quartz.NewMock(t), seen{}
	m = New(s, "p/", got.take, WithClock(clock), WithReread(5*time.Second))
	step(t, m)
	return m, got, clock
}

// TestNoOlderVersion guards against a configuration that goes back: events may repeat and reads may be old.
func TestNoOlderVersion(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Value: []byte("2"), Revision: 20}}, at: 20}
	m, got, clock := start(t, s)
	s.events = []Record{{Key: "p/a", Value: []byte("1"), Revision: 10}}
	step(t, m)
	if string(got["p/a"].Value) != "2" {
		t.Errorf("value = %s after an old event", got["p/a"].Value)
	}
	clock.Advance(6 * time.Second)
	s.items, s.at = []Record{{Key: "p/a", Value: []byte("1"), Revision: 10}}, 15
	if err := m.step(context.Background()); err == nil {
		t.Error("a read that is older than the mirror is taken")
	}
	if string(got["p/a"].Value) != "2" {
		t.Errorf("value = %s after an old read", got["p/a"].Value)
	}
}

// TestSilentWatch guards against changes that a watch never shows because the store has dropped its history.
func TestSilentWatch(t *testing.T) {
	s := &fakeStore{at: 1}
	m, got, clock := start(t, s)
	s.items, s.at = []Record{{Key: "p/a", Revision: 5}}, 5
	clock.Advance(6 * time.Second)
	step(t, m)
	if len(got) != 1 {
		t.Errorf("mirror = %v, want the key of the full read", got)
	}
}

// TestLapsedKeysReturn guards against endpoints that are taken for gone because their keys lapsed while the store was down.
func TestLapsedKeysReturn(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Revision: 5}, {Key: "p/b", Revision: 6}}, at: 6}
	m, got, clock := start(t, s)
	s.err = errors.New("down")
	if m.step(context.Background()) == nil {
		t.Fatal("no error")
	}
	m.lost = true
	s.err, s.items, s.at = nil, nil, 9
	step(t, m)
	if len(got) != 2 {
		t.Fatalf("mirror = %v right after the return, want both keys", got)
	}
	s.items, s.at = []Record{{Key: "p/a", Revision: 10}}, 10
	clock.Advance(DefaultReturn)
	step(t, m)
	if _, ok := got["p/b"]; ok || len(got) != 1 {
		t.Errorf("mirror = %v after the time to return, want p/a alone", got)
	}
}

// TestCompacted guards against a watch that is repeated for ever after the store has dropped its history.
func TestCompacted(t *testing.T) {
	s := &fakeStore{at: 1}
	m, _, _ := start(t, s)
	s.err = ErrCompacted
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { m.Run(ctx); close(done) }()
	cancel()
	<-done
	s.err = nil
	m.readAt = time.Time{}
	lists := s.lists
	step(t, m)
	if s.lists != lists+1 {
		t.Error("no full read follows")
	}
}
