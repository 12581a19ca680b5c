package configuration

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// TestConflictNamesBothRevisions guards against a stale write that replaces another operator's change. Writes that
// expect no resource, an older or a newer revision must fail.
func TestConflictNamesBothRevisions(t *testing.T) {
	w := newFixture(t)
	first := w.putCaller(t, "a", 1)
	second := w.putCaller(t, "a", 2)
	for _, expect := range []ident.Revision{0, first, second + 1} {
		_, err := w.editor.Put(t.Context(), callerResource("a", 3), expect)
		var c *Conflict
		if !errors.As(err, &c) || c.Expected != expect || c.Actual != second {
			t.Errorf("put at %d: %v", expect, err)
		}
		if text := err.Error(); !strings.Contains(text, revisionText(expect)) || !strings.Contains(text, revisionText(second)) {
			t.Errorf("error %q does not name both revisions", text)
		}
	}
	if _, err := w.editor.Delete(t.Context(), callerName("a"), first); err == nil {
		t.Error("stale delete succeeded")
	}
}

// namesInOneShard returns two caller names that share a shard, or the same name twice if it finds none.
func namesInOneShard() (a, b string) {
	a = "a"
	for i := 0; ; i++ {
		b = "b" + strings.Repeat("x", i%50) + string(rune('a'+i%26))
		if callerName(a).Shard() == callerName(b).Shard() {
			return a, b
		}
		if i > 1300 {
			return a, a
		}
	}
}

// TestWriteKeepsRevisionsOfOtherResources guards against a write or deletion that makes an unchanged resource of the
// same shard look changed.
func TestWriteKeepsRevisionsOfOtherResources(t *testing.T) {
	a, b := namesInOneShard()
	if a == b {
		t.Fatal("no two names share a shard")
	}
	w := newFixture(t)
	first := w.putCaller(t, a, 1)
	second := w.putCaller(t, b, 1)
	third := w.putCaller(t, b, 2)
	for name, want := range map[string]ident.Revision{a: first, b: third} {
		if _, r, err := w.editor.Read(t.Context(), callerName(name)); err != nil || r != want {
			t.Errorf("%s is at %d, %v; want %d", name, r, err, want)
		}
	}
	if _, err := w.editor.Delete(t.Context(), callerName(b), second); err == nil {
		t.Error("stale delete succeeded")
	}
	if _, err := w.editor.Delete(t.Context(), callerName(b), third); err != nil {
		t.Fatal(err)
	}
	set, _, err := w.editor.ReadAll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if r := set.ResourceRevision(callerName(a)); r != first {
		t.Errorf("after the deletion of another resource in the shard: revision %d, want %d", r, first)
	}
}

// TestConcurrentOperators guards against two operators who both succeed from the same revision, and against a write
// that takes effect twice because its response was lost and it was sent again.
func TestConcurrentOperators(t *testing.T) {
	for _, x := range []struct {
		name string
		lose bool
	}{
		{"responses arrive", false},
		{"responses are lost", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newFixture(t)
			w.putCaller(t, "a", 0)
			r := shareRace{fixture: w, loseResponses: x.lose}
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { r.operate(t) })
			}
			wg.Wait()
			c, _, err := w.editor.Read(t.Context(), callerName("a"))
			if err != nil {
				t.Fatal(err)
			}
			share := int(c.(*resource.Caller).Share)
			if share < r.succeeded || share > r.succeeded+r.uncertain || (!x.lose && r.uncertain > 0) {
				t.Errorf("share %d after %d successful and %d uncertain writes", share, r.succeeded, r.uncertain)
			}
		})
	}
}

// shareRace counts the writes of operators who all add one to the same caller's share.
type shareRace struct {
	fixture       *fixture
	loseResponses bool

	mu        sync.Mutex
	succeeded int
	uncertain int
}

func (r *shareRace) operate(t *testing.T) {
	for round := range 10 {
		old, at, err := r.fixture.editor.Read(t.Context(), callerName("a"))
		if err != nil {
			t.Error(err)
			return
		}
		if r.loseResponses && round%2 == 0 {
			r.fixture.service.LoseResponses(1)
		}
		c := *old.(*resource.Caller)
		c.Share++
		_, err = r.fixture.editor.Put(t.Context(), &c, at)
		var conflict *Conflict
		if err != nil && !errors.As(err, &conflict) {
			t.Error(err)
		}
		r.mu.Lock()
		switch {
		case err == nil:
			r.succeeded++
		case conflict.MayHaveBeenWritten:
			r.uncertain++
		}
		r.mu.Unlock()
	}
}

// lossyStore loses the response to the first swap, before or after the swap took effect, and then lets another operator
// act.
type lossyStore struct {
	*keyvalue.Client
	applied   bool
	afterLoss func()
	lost      bool
}

func (l *lossyStore) CompareAndSwap(ctx context.Context, s keyvalue.Swap) (ident.Revision, bool, error) {
	if l.lost {
		return l.Client.CompareAndSwap(ctx, s)
	}
	l.lost = true
	if l.applied {
		if _, _, err := l.Client.CompareAndSwap(ctx, s); err != nil {
			return 0, false, err
		}
	}
	l.afterLoss()
	return 0, false, eris.Wrap(keyvalue.ErrOutcomeUnknown, "response lost")
}

// TestLostWriteResponse guards against a write whose response is lost and that is then reported as a conflict with
// itself, or written twice. Another operator may write before the editor reads the shard back.
func TestLostWriteResponse(t *testing.T) {
	a, b := namesInOneShard()
	cases := []struct {
		name    string
		applied bool
		// otherWrite is a write of another operator before the editor reads the shard back.
		otherWrite func(t *testing.T, w *fixture)
		conflict   bool
		share      float64
		writes     ident.Revision
	}{
		{"took effect", true, nil, false, 2, 1},
		{"did not take effect", false, nil, false, 2, 1},
		{"took effect, other resource changed", true, func(t *testing.T, w *fixture) { w.putCaller(t, b, 9) }, false, 2, 2},
		{"did not take effect, other resource changed", false, func(t *testing.T, w *fixture) { w.putCaller(t, b, 9) }, false, 2, 2},
		{"took effect, replaced", true, func(t *testing.T, w *fixture) { w.putCaller(t, a, 5) }, true, 5, 2},
		{"did not take effect, same change by another", false, func(t *testing.T, w *fixture) { w.putCaller(t, a, 2) }, true, 2, 1},
		{"did not take effect, replaced", false, func(t *testing.T, w *fixture) { w.putCaller(t, a, 5) }, true, 5, 1},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			w := newFixture(t)
			before := w.putCaller(t, a, 1)
			store := &lossyStore{Client: w.client, applied: x.applied, afterLoss: func() {
				if x.otherWrite != nil {
					x.otherWrite(t, w)
				}
			}}
			_, err := NewEditor(store, w.clock).Put(t.Context(), callerResource(a, 2), before)
			var c *Conflict
			if got := errors.As(err, &c); got != x.conflict || (err != nil && !got) {
				t.Fatalf("error %v, want a conflict: %v", err, x.conflict)
			}
			if x.conflict && !c.MayHaveBeenWritten {
				t.Error("the conflict does not say that the write may have taken effect")
			}
			r, _, err := w.editor.Read(t.Context(), callerName(a))
			if err != nil || r.(*resource.Caller).Share != x.share {
				t.Errorf("stored %+v, %v; want share %v", r, err, x.share)
			}
			if n := ident.Revision(w.service.Revision()) - before; n != x.writes {
				t.Errorf("%d writes, want %d", n, x.writes)
			}
		})
	}
}

// TestLostResponseFromService guards against a client or editor that takes a connection closed before the response for
// a failed write.
func TestLostResponseFromService(t *testing.T) {
	w := newFixture(t)
	before := w.putCaller(t, "a", 1)
	w.service.LoseResponses(1)
	at, err := w.editor.Put(t.Context(), callerResource("a", 2), before)
	if err != nil || at != before+1 {
		t.Errorf("revision %d, %v; want %d", at, err, before+1)
	}
}

// TestEditorDuringOutage guards against a write that reports success while the service is down.
func TestEditorDuringOutage(t *testing.T) {
	w := newFixture(t)
	w.service.SetOutage(2)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := w.editor.Put(ctx, callerResource("a", 2), 0); err == nil {
		t.Error("write succeeded")
	}
	if _, found, _ := w.client.Get(ctx, registry.ConfigKey(callerName("a").Shard())); found {
		t.Error("a record was read during the outage")
	}
}

// TestReadOne guards against a read of one resource that transfers the whole configuration.
func TestReadOne(t *testing.T) {
	w := newFixture(t)
	w.putCaller(t, "a", 1)
	other := "b"
	for callerName(other).Shard() == callerName("a").Shard() {
		other += "b"
	}
	at := w.putCaller(t, other, 2)
	set, err := w.editor.ReadShardOf(t.Context(), callerName(other))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(set.Callers()); n != 1 || set.ResourceRevision(callerName(other)) != at {
		t.Errorf("%d callers at %d, want one at %d", n, set.ResourceRevision(callerName(other)), at)
	}
	if set, err = w.editor.ReadShardOf(t.Context(), callerName("absent-name")); err != nil || len(set.Callers()) != 0 {
		t.Errorf("an absent resource reads as %v: %v", set.Callers(), err)
	}
}
