package resource

import (
	"fmt"
	"testing"

	"shallotring.dev/state/ident"
)

func fullSet(tb testing.TB, adapters int) (updates []Update) {
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

func TestApplyAll(t *testing.T) {
	// Guards against a batch of shards that reverts one of them or loses resources.
	updates := fullSet(t, 1000)
	set := NewSet().ApplyAll(updates)
	if n := len(set.Adapters()); n != 1000 || set.Newest() != ShardCount {
		t.Fatalf("%d adapters at %d", n, set.Newest())
	}
	old := Update{Number: 3, Revision: 4, Shard: &Shard{}}
	if set.ApplyAll([]Update{old, {Number: -1, Revision: 999}, {Number: ShardCount, Revision: 999}}) != set {
		t.Error("a shard of the same revision or an invalid number changed the set")
	}
	next := set.ApplyAll([]Update{{Number: 3, Revision: 900, Shard: &Shard{}}, old})
	if _, r := next.Shard(3); r != 900 || next.Newest() != 900 {
		t.Errorf("shard 3 at %d, newest %d, want 900", r, next.Newest())
	}
}

// BenchmarkApplyOne measures one changed shard among 40,000 adapters, the target size.
func BenchmarkApplyOne(b *testing.B) {
	updates := fullSet(b, 40000)
	set := NewSet().ApplyAll(updates)
	revision := set.Newest()
	for b.Loop() {
		revision++
		set = set.ApplyAll([]Update{{Number: 3, Revision: revision, Shard: updates[3].Shard}})
	}
}

// BenchmarkDecodeAll measures the decoding of all shards, the work of a start or of a watch gap.
func BenchmarkDecodeAll(b *testing.B) {
	var values [][]byte
	size := 0
	for _, u := range fullSet(b, 40000) {
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
