package resource

import (
	"fmt"
	"testing"

	"shallotring.dev/state/ident"
)

func testUpdates(tb testing.TB, adapters int) (updates []Update) {
	var shards [ShardCount]Shard
	for i := range adapters {
		a := &Adapter{
			Name:      ident.Adapter(fmt.Sprintf("adapter-%05d", i)),
			BaseModel: "base",
			Default:   "v1",
			Versions:  []AdapterVersion{{Version: "v1", Path: "adapters/v1", Digest: digest}},
		}
		if err := Validate(a); err != nil {
			tb.Fatal(err)
		}
		n, _ := NameOf(a)
		shards[n.Shard()].Adapters = append(shards[n.Shard()].Adapters, *a)
	}
	for i := range shards {
		updates = append(updates, Update{Number: i, Revision: ident.Revision(i + 1), Shard: &shards[i]})
	}
	return updates
}

// TestApplyAll guards against a batch of updates that replaces a shard by a stale one or loses resources.
func TestApplyAll(t *testing.T) {
	updates := testUpdates(t, 1000)
	set := NewSet().ApplyAll(updates)
	if n := len(set.Adapters()); n != 1000 || set.Generation() != ShardCount {
		t.Fatalf("%d adapters at revision %d", n, set.Generation())
	}
	stale := Update{Number: 3, Revision: 4, Shard: &Shard{}}
	if set.ApplyAll([]Update{stale, {Number: -1, Revision: 999}, {Number: ShardCount, Revision: 999}}) != set {
		t.Error("a shard of the same revision or an invalid number changed the set")
	}
	next := set.ApplyAll([]Update{{Number: 3, Revision: 900, Shard: &Shard{}}, stale})
	if _, r := next.Shard(3); r != 900 || next.Generation() != 900 {
		t.Errorf("shard 3 at revision %d, newest %d, want 900", r, next.Generation())
	}
}

// BenchmarkApplyOne applies one changed shard to a set of 40,000 adapters, the target size.
func BenchmarkApplyOne(b *testing.B) {
	updates := testUpdates(b, 40000)
	set := NewSet().ApplyAll(updates)
	revision := set.Generation()
	for b.Loop() {
		revision++
		set = set.ApplyAll([]Update{{Number: 3, Revision: revision, Shard: updates[3].Shard}})
	}
}

// BenchmarkDecodeAll decodes all shards, as a process does at its start and after a gap in its watch.
func BenchmarkDecodeAll(b *testing.B) {
	var values [][]byte
	size := 0
	for _, u := range testUpdates(b, 40000) {
		value, err := u.Shard.Encode()
		if err != nil {
			b.Fatal(err)
		}
		values, size = append(values, value), size+len(value)
	}
	b.SetBytes(int64(size))
	for b.Loop() {
		for i, value := range values {
			if _, err := DecodeShard(i, value); err != nil {
				b.Fatal(err)
			}
		}
	}
}
