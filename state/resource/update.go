package resource

import (
	"cmp"
	"slices"

	"shallotring.dev/state/ident"
)

// Update is the new content of one shard at a revision.
type Update struct {
	Number   int
	Revision ident.Revision
	Shard    *Shard
}

// ApplyAll applies several updates and builds the indexes once. It ignores updates that are not newer than their shard.
func (s *Set) ApplyAll(list []Update) *Set {
	next := &Set{shards: s.shards, revisions: s.revisions, newest: s.newest}
	changed := false
	for _, u := range list {
		if u.Number < 0 || u.Number >= ShardCount || u.Revision <= next.revisions[u.Number] {
			continue
		}
		next.shards[u.Number], next.revisions[u.Number] = u.Shard, u.Revision
		next.newest = max(next.newest, u.Revision)
		changed = true
	}
	if !changed {
		return s
	}
	return next.rebuild()
}

// All returns pointers to all resources in order of kind and name.
func (s *Set) All() (list []any) {
	for _, sh := range s.shards {
		if sh != nil {
			list = append(list, sh.All()...)
		}
	}
	slices.SortFunc(list, func(a, b any) int {
		x, _ := NameOf(a)
		y, _ := NameOf(b)
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// Get returns the named resource as a pointer to its type.
func (s *Set) Get(n Name) (r any, ok bool) {
	sh := s.shards[n.Shard()]
	if sh == nil {
		return nil, false
	}
	return sh.Get(n)
}
