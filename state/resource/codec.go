package resource

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// DecodeShard reads a stored shard value; it refuses invalid, repeated and misplaced resources.
// Unknown fields are accepted, because a newer program may have written the value.
func DecodeShard(number int, value []byte) (sh *Shard, err error) {
	defer func() { err = eris.Wrapf(err, "shard %02x", number) }()
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

// Encode returns the value to store.
func (sh *Shard) Encode() (value []byte, err error) { return json.Marshal(sh) }

// All returns pointers to the resources of the shard.
func (sh *Shard) All() (list []any) {
	list = pointers(list, sh.Adapters)
	list = pointers(list, sh.Routes)
	list = pointers(list, sh.Endpoints)
	list = pointers(list, sh.Policies)
	return pointers(list, sh.Callers)
}

func pointers[T any](list []any, values []T) []any {
	for i := range values {
		list = append(list, &values[i])
	}
	return list
}

// Revision returns the revision at which the resource last changed, given the revision of the shard; zero if it is absent.
func (sh *Shard) Revision(n Name, shard ident.Revision) ident.Revision {
	if !sh.has(n) {
		return 0
	}
	if r, ok := sh.Revisions[n.String()]; ok {
		return r
	}
	return shard
}

// Touch prepares the shard, read at the given revision, for a write that changes only the named resource.
func (sh *Shard) Touch(n Name, shard ident.Revision) {
	kept := make(map[string]ident.Revision)
	for _, r := range sh.All() {
		if x, _ := NameOf(r); x != n {
			kept[x.String()] = sh.Revision(x, shard)
		}
	}
	sh.Revisions = kept
}
