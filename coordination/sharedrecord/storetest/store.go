package storetest

import (
	"context"
	"maps"
	"slices"
	"sync"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/state/ident"
)

// Store keeps the values of keys with the revisions of their last changes.
type Store struct {
	mu        sync.Mutex
	values    map[string][]byte
	revisions map[string]ident.Revision
	revision  ident.Revision
	writes    int
	err       error
}

// New returns an empty store.
func New() *Store {
	return &Store{values: make(map[string][]byte), revisions: make(map[string]ident.Revision)}
}

// Fail makes all writes fail with an error, and nil ends that.
func (s *Store) Fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// Put writes a key unconditionally.
func (s *Store) Put(_ context.Context, key string, value []byte) (at ident.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, value)
}

// Replace writes a key whose last change is that of a revision; it fails with mirror.ErrChanged if the key has another one.
func (s *Store) Replace(_ context.Context, key string, value []byte, last ident.Revision) (at ident.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.revisions[key] != last {
		return at, mirror.ErrChanged
	}
	return s.write(key, value)
}

func (s *Store) write(key string, value []byte) (at ident.Position, err error) {
	if s.err != nil {
		return at, s.err
	}
	s.writes++
	s.revision++
	s.values[key], s.revisions[key] = value, s.revision
	return ident.Position{Revision: s.revision}, nil
}

// Writes returns the number of writes.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// Values returns a copy of all values.
func (s *Store) Values() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// Restore replaces all values by those of a copy, each with a change of its own.
func (s *Store) Restore(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.values)
	clear(s.revisions)
	for key, value := range values {
		s.revision++
		s.values[key], s.revisions[key] = value, s.revision
	}
}

// Records returns what a mirror reports of the store, in the order of the keys.
func (s *Store) Records() (list []mirror.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		list = append(list, mirror.Record{Key: key, Value: s.values[key], Revision: s.revisions[key]})
	}
	return list
}
