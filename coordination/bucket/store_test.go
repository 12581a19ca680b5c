package bucket

import (
	"context"
	"strings"
	"sync"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
)

// memoryStore is an in-memory store with injected faults.
type memoryStore struct {
	mu       sync.Mutex
	records  map[string]keyvalue.Record
	revision ident.Revision
	down     bool
	// loseResponses is the number of writes whose response is still to be lost; applyLost states whether they take
	// effect.
	loseResponses int
	applyLost     bool
	// block, if set, blocks every call until it is closed or the context of the call ends.
	block chan struct{}
	calls int
}

func newMemoryStore() *memoryStore { return &memoryStore{records: map[string]keyvalue.Record{}} }

func (m *memoryStore) beginCall(ctx context.Context) error {
	m.mu.Lock()
	block, down := m.block, m.down
	m.calls++
	m.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-ctx.Done():
			return keyvalue.ErrOutcomeUnknown
		}
	}
	if down {
		return keyvalue.ErrUnavailable
	}
	return nil
}

func (m *memoryStore) withLock(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

func (m *memoryStore) Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error) {
	if err = m.beginCall(ctx); err != nil {
		return r, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, found = m.records[key]
	return r, found, nil
}

func (m *memoryStore) List(ctx context.Context, prefix string) (list []keyvalue.Record, at ident.Revision, err error) {
	if err = m.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, r := range m.records {
		if strings.HasPrefix(k, prefix) {
			list = append(list, r)
		}
	}
	return list, m.revision, nil
}

func (m *memoryStore) CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error) {
	if err = m.beginCall(ctx); err != nil {
		return 0, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.loseResponses > 0
	if lost {
		m.loseResponses--
	}
	if !lost || m.applyLost {
		at, swapped = m.swap(s)
	}
	if lost {
		return 0, false, keyvalue.ErrOutcomeUnknown
	}
	return at, swapped, nil
}

func (m *memoryStore) swap(s keyvalue.Swap) (at ident.Revision, swapped bool) {
	if m.records[s.Key].ModRevision != s.Expect {
		return 0, false
	}
	m.revision++
	if s.Delete {
		delete(m.records, s.Key)
		return m.revision, true
	}
	m.records[s.Key] = keyvalue.Record{Key: s.Key, Value: s.Value, ModRevision: m.revision}
	return m.revision, true
}
