package bucket

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/coordination/registry"
)

// Of returns the bucket of a caller's key. Stored records depend on this hash, so it must not change.
func Of(caller, key string) int {
	return int(xxhash.Sum64String(caller+"\x00"+key) % Count)
}

// rendezvousChoice returns the entry with the highest hash for a bucket, so that a lost entry moves only its own
// buckets.
func rendezvousChoice(bucket int, list []registry.ProcessRecord) (best registry.ProcessRecord, ok bool) {
	var highest uint64
	for _, p := range list {
		h := xxhash.Sum64String(string(p.Process) + "\x00" + strconv.Itoa(bucket))
		if !ok || h > highest || h == highest && p.Process < best.Process {
			best, highest, ok = p, h, true
		}
	}
	return best, ok
}
