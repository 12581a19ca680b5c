package mirror

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/state/ident"
)

// TestRestoredStore guards against a mirror that stays stale after the store was restored from an older copy: its revisions are lower
// than those of the mirror, and they are assigned again to other contents.
func TestRestoredStore(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Value: []byte("1"), Revision: 40}, {Key: "p/b", Value: []byte("1"), Revision: 90}, {Key: "p/c", Revision: 100}}, at: 100, era: 1}
	m, got, clock := newMirror(t, s)
	// The copy lacks the last writes of p/b and p/c; p/d was deleted since, and revision 90 belongs to it now.
	s.era, s.at = 2, 91
	s.items = []Record{{Key: "p/a", Value: []byte("1"), Revision: 40}, {Key: "p/b", Value: []byte("0"), Revision: 30}, {Key: "p/d", Value: []byte("0"), Revision: 90}}
	s.events = []Record{{Key: "p/a", Value: []byte("wrong"), Revision: 101}}
	if err := m.step(context.Background()); !errors.Is(err, errRestored) {
		t.Fatalf("watch over the restoration: %v, want errRestored", err)
	}
	if string(got["p/a"].Value) != "1" {
		t.Fatalf("an event of another era was applied: %v", got)
	}
	s.events, m.nextFullRead = nil, time.Time{}
	step(t, m)
	for key, value := range map[string]string{"p/a": "1", "p/b": "0", "p/d": "0"} {
		if r := got[key]; string(r.Value) != value || !r.Restored {
			t.Errorf("%s = %q, restored %t; want %q as restored", key, r.Value, r.Restored, value)
		}
	}
	if _, ok := got["p/c"]; !ok {
		t.Error("a key that the store has lost was deleted before its owner could write it again")
	}
	// A write under a revision that the mirror has seen in the era before is new.
	s.events, s.at = []Record{{Key: "p/b", Value: []byte("2"), Revision: 92}}, 92
	step(t, m)
	if r := got["p/b"]; string(r.Value) != "2" || r.Restored {
		t.Errorf("p/b = %q, restored %t; want the value written after the restoration", r.Value, r.Restored)
	}
	s.events = nil
	clock.Advance(DefaultRecoveryGrace)
	step(t, m)
	if _, ok := got["p/c"]; ok {
		t.Error("a lost key that was not written again within the grace period is still present")
	}
}

// TestAnswersOfEarlierErasAreDropped guards against a full read or a watch that was answered before the store was restored and
// arrives late.
func TestAnswersOfEarlierErasAreDropped(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Value: []byte("new"), Revision: 50}}, at: 50, era: 3}
	m, got, clock := newMirror(t, s)
	s.era, s.at, s.items = 2, 900, []Record{{Key: "p/a", Value: []byte("old"), Revision: 900}}
	s.events = s.items
	if m.step(context.Background()) == nil {
		t.Error("a watch of an earlier era is accepted")
	}
	clock.Advance(6 * time.Second)
	if m.step(context.Background()) == nil {
		t.Error("a full read of an earlier era is accepted")
	}
	if string(got["p/a"].Value) != "new" {
		t.Errorf("value = %s", got["p/a"].Value)
	}
}

// TestFollowsAnyNumberOfRestorations guards against a mirror that does not converge when restorations follow each other, also before
// the first full read of the era before.
func TestFollowsAnyNumberOfRestorations(t *testing.T) {
	s := &fakeStore{items: []Record{{Key: "p/a", Value: []byte("0"), Revision: 1000}}, at: 1000}
	got := contents{}
	m := New(s, "p/", got.apply, WithClock(quartz.NewMock(t)))
	step(t, m)
	for era := ident.Era(1); era <= 6; era += 1 + era%2 {
		s.era, s.at = era, 1000-ident.Revision(era)*100
		s.items = []Record{{Key: "p/a", Value: []byte{byte('0' + era)}, Revision: s.at}}
		if err := m.step(context.Background()); !errors.Is(err, errRestored) {
			t.Fatalf("era %d: %v", era, err)
		}
		m.nextFullRead = time.Time{}
		step(t, m)
		if v := string(got["p/a"].Value); v != string(s.items[0].Value) {
			t.Errorf("era %d: value %s", era, v)
		}
	}
}
