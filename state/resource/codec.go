package resource

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// DecodeShard decodes and validates a stored shard value. It rejects invalid resources, duplicates and resources that belong
// to another shard. Unknown fields are accepted, because a newer version of the program may have written the value.
func DecodeShard(number int, value []byte) (sh *Shard, err error) {
	defer func() { err = eris.Wrapf(err, "decode shard %02x", number) }()
	sh = &Shard{}
	if err = json.Unmarshal(value, sh); err != nil {
		return nil, err
	}
	seen := make(map[Name]bool)
	for _, r := range sh.All() {
		if err = Validate(r); err != nil {
			return nil, err
		}
		n, _ := NameOf(r)
		if n.Shard() != number {
			return nil, eris.Errorf("%s belongs to shard %02x", n, n.Shard())
		}
		if seen[n] {
			return nil, eris.Errorf("%s is stored twice", n)
		}
		seen[n] = true
	}
	return sh, nil
}

// Encode returns the shard as the JSON value to store.
func (sh *Shard) Encode() (value []byte, err error) { return json.Marshal(sh) }

// All returns pointers to the resources of the shard.
func (sh *Shard) All() (list []any) {
	list = appendPointers(list, sh.Adapters)
	list = appendPointers(list, sh.Routes)
	list = appendPointers(list, sh.Endpoints)
	list = appendPointers(list, sh.Policies)
	return appendPointers(list, sh.Callers)
}

func appendPointers[T any](list []any, values []T) []any {
	for i := range values {
		list = append(list, &values[i])
	}
	return list
}

// Revision returns the revision at which the resource last changed, given the revision of the shard; zero if the
// shard does not contain it.
func (sh *Shard) Revision(n Name, shardRevision ident.Revision) ident.Revision {
	if !sh.has(n) {
		return 0
	}
	if r, ok := sh.Revisions[n.String()]; ok {
		return r
	}
	return shardRevision
}

// RecordRevisions prepares the shard, read at the given revision, for a write that changes only the named resource: it
// records the revisions of all other resources.
func (sh *Shard) RecordRevisions(n Name, shardRevision ident.Revision) {
	revisions := make(map[string]ident.Revision)
	for _, r := range sh.All() {
		if x, _ := NameOf(r); x != n {
			revisions[x.String()] = sh.Revision(x, shardRevision)
		}
	}
	sh.Revisions = revisions
}
