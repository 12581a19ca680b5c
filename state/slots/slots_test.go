package slots

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotring.dev/state/ident"
)

var start = time.Unix(1_000_000, 0)

func adapter(name string) ident.AdapterVersion {
	return ident.AdapterVersion{Adapter: ident.Adapter(name), Version: "1"}
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// load makes an adapter resident and records n requests for it.
func load(s *Slots, seconds float64, name string, n int, loadTime time.Duration) {
	s.BeginLoad(at(seconds), adapter(name))
	s.Loaded(at(seconds).Add(loadTime), adapter(name))
	for range n {
		s.RecordDemand(at(seconds), adapter(name))
	}
}

func TestVictim(t *testing.T) {
	const quick, slow = 250 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name    string // the failure that the case guards against
		prepare func(s *Slots)
		at      float64
		want    string
	}{
		{"evicts a popular adapter because a rarely used one was used later", func(s *Slots) {
			load(s, 0, "popular", 20, quick)
			load(s, 5, "rare", 1, quick)
		}, 10, "rare"},
		{"ignores that one adapter takes much longer to load", func(s *Slots) {
			load(s, 0, "heavy", 2, slow)
			load(s, 0, "light", 3, quick)
		}, 10, "light"},
		{"never evicts an adapter that is no longer popular", func(s *Slots) {
			load(s, 0, "former", 50, quick)
			load(s, 300, "current", 3, quick)
		}, 310, "former"},
		{"retains an adapter that is no longer popular for longer than half a minute", func(s *Slots) {
			load(s, 0, "former", 1000, quick)
			load(s, 25, "current", 60, quick)
		}, 31, "former"},
		{"evicts an adapter that has just been loaded and not yet used", func(s *Slots) {
			load(s, 0, "popular", 20, quick)
			load(s, 10, "fresh", 0, quick)
		}, 11, "popular"},
		{"protects an unused adapter without a time limit", func(s *Slots) {
			load(s, 0, "popular", 20, quick)
			load(s, 10, "unused", 0, quick)
		}, 13, "unused"},
		{"evicts an adapter in use", func(s *Slots) {
			load(s, 0, "popular", 20, quick)
			load(s, 0, "rare", 1, quick)
			s.Acquire(at(1), adapter("rare"))
		}, 10, "popular"},
		{"returns a victim although no adapter can be evicted", func(s *Slots) {
			load(s, 0, "rare", 1, quick)
			s.Acquire(at(1), adapter("rare"))
			s.BeginLoad(at(1), adapter("loading"))
		}, 10, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(4)
			c.prepare(s)
			av, ok := s.Victim(at(c.at))
			if want := adapter(c.want); ok != (c.want != "") || (ok && av != want) {
				t.Errorf("victim %v %v, want %q", av, ok, c.want)
			}
		})
	}
}

// Guards against losing the demand of an evicted adapter, which would make it the next victim after each reload.
func TestDemandSurvivesEviction(t *testing.T) {
	s := New(2)
	load(s, 0, "popular", 20, time.Second)
	s.BeginUnload(adapter("popular"))
	s.Drop(adapter("popular"))
	load(s, 5, "popular", 0, time.Second)
	load(s, 5, "rare", 2, time.Second)
	if av, _ := s.Victim(at(8.5)); av != adapter("rare") {
		t.Errorf("victim %v, want rare", av)
	}
}

// Guards against unbounded memory when one engine serves tens of thousands of adapters in turn.
func TestHistoryIsBounded(t *testing.T) {
	s := New(8)
	for i := range 40_000 {
		s.RecordDemand(at(float64(i)/100), adapter(fmt.Sprint("a", i)))
	}
	if n := len(s.history.counts); n > 8*historyPerSlot {
		t.Errorf("demand of %d adapters recorded, limit %d", n, 8*historyPerSlot)
	}
}

// Guards against evicting an adapter in use (guarantee G2) and against occupying more slots than the engine has, in random orders of
// events.
func TestRandomEventsNeverEvictInUseOrOverfill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(3)
		uses := map[ident.AdapterVersion]int{}
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			av := adapter(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "adapter"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.BeginLoad(now, av)
			case 1:
				if s.State(av) == Loading {
					s.Loaded(now, av)
				}
			case 2:
				if s.Acquire(now, av) {
					uses[av]++
				}
			case 3:
				if uses[av] > 0 {
					s.Release(now, av)
					uses[av]--
				}
			case 4:
				s.RecordDemand(now, av)
			case 5:
				if v, ok := s.Victim(now); ok {
					if uses[v] > 0 || !s.BeginUnload(v) {
						t.Fatalf("victim %v is in use %d times", v, uses[v])
					}
					s.Drop(v)
				}
			}
			if s.Free() < 0 || s.InUse(av) != uses[av] {
				t.Fatalf("%d free slots, want no negative number; adapter in use %d times, want %d", s.Free(), s.InUse(av), uses[av])
			}
		}
	})
}

// Guards against evicting an adapter that a waiting request is about to use, which would be loaded again at once.
func TestVictimExcept(t *testing.T) {
	s := New(2)
	load(s, 0, "awaited", 1, time.Second)
	load(s, 0, "popular", 20, time.Second)
	excluded := func(av ident.AdapterVersion) bool { return av == adapter("awaited") }
	if av, ok := s.VictimExcept(at(5), excluded); !ok || av != adapter("popular") {
		t.Errorf("victim %v %v, want popular", av, ok)
	}
	if av, ok := s.VictimExcept(at(5), func(ident.AdapterVersion) bool { return true }); ok {
		t.Errorf("victim %v although all adapters are excluded", av)
	}
}
