package configuration

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// BenchmarkStartFromPeers starts a process from peers with 40,000 adapters, the target size, and reports how many bytes
// the peers send it. B/op excludes the buffers of the connections.
func BenchmarkStartFromPeers(b *testing.B) {
	loaded := New(entryIdentity("loaded", "z"), nil)
	loaded.apply(storedShards(b), resource.ShardCount, "benchmark")
	loaded.recordContact(loaded.clock.Now())
	whole, err := loaded.Changes(b.Context(), &wire.ChangesRequest{})
	if err != nil {
		b.Fatal(err)
	}
	var peers []Peer
	for i := range maxProbePeers {
		peers = append(peers, Peer{ident.Process(fmt.Sprintf("entry-%d", i)), "z", sourcePeer{loaded, neverUnresponsive}})
	}
	agent := Identity{Process: "starting", Role: registry.RoleAgent, Zone: "z"}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s := New(agent, nil, WithPeers(func() []Peer { return peers }))
		s.startFromPeers(b.Context())
		if s.Generation() == 0 {
			b.Fatal("nothing is in force")
		}
	}
	b.ReportMetric(float64(len(peers)*proto.Size(whole)), "received-B/op")
}

func storedShards(b *testing.B) (list []storedShard) {
	var shards [resource.ShardCount]resource.Shard
	for i := range 40_000 {
		a := &resource.Adapter{Name: ident.Adapter(fmt.Sprintf("adapter-%05d", i)), BaseModel: "base", Default: "v2"}
		for _, v := range []ident.Version{"v1", "v2"} {
			a.Versions = append(a.Versions, resource.AdapterVersion{
				Version: v, Path: fmt.Sprintf("%s/%s", a.Name, v), Digest: fmt.Sprintf("%064d", i),
			})
		}
		n, _ := resource.NameOf(a)
		shards[n.Shard()].Put(a)
	}
	for i := range shards {
		value, err := shards[i].Encode()
		if err != nil {
			b.Fatal(err)
		}
		list = append(list, storedShard{number: i, revision: ident.Revision(i + 1), value: value})
	}
	return list
}
