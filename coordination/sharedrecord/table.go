package sharedrecord

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/coordination/wait"
	"shallotring.dev/state/ident"
)

const (
	// maxWriteDelay spreads the writes of the entries, which come to the same result at about the same time; the first one suffices.
	maxWriteDelay = 400 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = time.Second
)

// Store writes keys.
type Store interface {
	// Replace writes a key whose last change is that of a revision, 0 if it does not exist; it fails with mirror.ErrChanged if the key has
	// another one.
	Replace(ctx context.Context, key string, value []byte, last ident.Revision) (at ident.Position, err error)
}

// Kind says what the records of a table are.
type Kind[K comparable, R comparable] interface {
	// Key returns the key of a record, and Decode the id and the record of a key.
	Key(id K) string
	Decode(key string, value []byte) (id K, r R, err error)
	// Covers reports whether a stored record makes a write of r needless, and Same whether two records say the same.
	Covers(stored, r R) bool
	Same(a, b R) bool
	// Merge returns r with what only the stored record knows, which a write of r takes the place of.
	Merge(stored, r R) R
	// Lifted reports whether the record ends what earlier ones have begun; such a record is written whatever other entries write meanwhile.
	Lifted(r R) bool
	// Expired reports whether a record that is missing need not be written again.
	Expired(r R, now time.Time) bool
}

// stored is a record in the store with the revision of its last change.
type stored[R any] struct {
	record   R
	revision ident.Revision
}

// Table has the records of one kind that this entry knows. It is safe for concurrent use.
type Table[K comparable, R comparable] struct {
	kind  Kind[K, R]
	store Store
	clock quartz.Clock
	log   *slog.Logger

	mu      sync.Mutex
	pending map[K]R
	stored  map[K]stored[R]
	wake    chan struct{}
}

// New returns an empty table.
func New[K comparable, R comparable](kind Kind[K, R], store Store, clock quartz.Clock, log *slog.Logger) *Table[K, R] {
	return &Table[K, R]{kind: kind, store: store, clock: clock, log: log, pending: make(map[K]R), stored: make(map[K]stored[R]), wake: make(chan struct{}, 1)}
}

// Queue queues a record to be written; it does not block.
func (t *Table[K, R]) Queue(id K, r R) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue(id, r)
}

// queue is Queue with the lock held.
func (t *Table[K, R]) queue(id K, r R) {
	t.pending[id] = r
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Accept takes over a change of a key and returns its record; ok is false if there is none to apply. Only a record ends what another one has
// begun: a key that is missing may have been lost with the store's last writes, so it is written again, and so is a record that is older because
// the store went back to a copy.
func (t *Table[K, R]) Accept(x mirror.Record) (id K, r R, ok bool) {
	if x.Deleted {
		t.restore(x.Key)
		return id, r, false
	}
	id, r, err := t.kind.Decode(x.Key, x.Value)
	if err != nil {
		t.log.Warn("shared record is invalid; it is ignored", slog.String("Key", x.Key), slog.Any("Error", err))
		return id, r, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.stored[id]
	t.stored[id] = stored[R]{record: r, revision: x.Revision}
	if ok && x.Restored && !t.kind.Same(known.record, r) {
		t.queue(id, known.record)
		return id, r, false
	}
	if own, ok := t.pending[id]; ok && !t.kind.Lifted(own) && (t.kind.Lifted(r) || t.kind.Covers(r, own)) {
		// Another entry has written it, or an operator has lifted it meanwhile.
		delete(t.pending, id)
	}
	return id, r, true
}

// restore queues the record of a key that is missing.
func (t *Table[K, R]) restore(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, known := range t.stored {
		if t.kind.Key(id) != key {
			continue
		}
		delete(t.stored, id)
		if _, newer := t.pending[id]; !newer && !t.kind.Expired(known.record, t.clock.Now()) {
			t.queue(id, known.record)
		}
	}
}

// Update writes what change makes of the stored record, unless the store has another one by now; ok is false if it does, if nothing is stored, if
// change refuses, or if the result is not known.
func (t *Table[K, R]) Update(ctx context.Context, id K, change func(R) (r R, ok bool)) (ok bool) {
	t.mu.Lock()
	known, ok := t.stored[id]
	t.mu.Unlock()
	if !ok {
		return false
	}
	r, ok := change(known.record)
	if !ok {
		return false
	}
	if err := t.write(ctx, id, r, known.revision); err != nil {
		t.log.Info("shared record is not updated", slog.String("Key", t.kind.Key(id)), slog.Any("Error", err))
		return false
	}
	return true
}

func (t *Table[K, R]) write(ctx context.Context, id K, r R, last ident.Revision) (err error) {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	at, err := t.store.Replace(ctx, t.kind.Key(id), value, last)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stored[id].revision < at.Revision {
		t.stored[id] = stored[R]{record: r, revision: at.Revision}
	}
	return nil
}

// Run writes queued records until the context ends.
func (t *Table[K, R]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		wait.For(ctx, t.clock, time.Duration(rand.Int64N(int64(maxWriteDelay))))
		for ctx.Err() == nil && !t.WriteAll(ctx) {
			wait.For(ctx, t.clock, retryDelay)
		}
	}
}

// WriteAll writes the queued records that the store lacks; done is false if one could not be written.
func (t *Table[K, R]) WriteAll(ctx context.Context) (done bool) {
	done = true
	for id, r := range t.due() {
		t.mu.Lock()
		known, ok := t.stored[id]
		t.mu.Unlock()
		merged := r
		if ok {
			merged = t.kind.Merge(known.record, r)
		}
		err := t.write(ctx, id, merged, known.revision)
		if err != nil && (t.kind.Lifted(r) || !errors.Is(err, mirror.ErrChanged)) {
			done = false
			t.log.Warn("writing a shared record failed; it is repeated", slog.String("Key", t.kind.Key(id)), slog.Any("Error", err))
			continue
		}
		// After a change by another process, that process's record counts, unless this one lifts it.
		t.mu.Lock()
		if t.pending[id] == r {
			delete(t.pending, id)
		}
		t.mu.Unlock()
	}
	return done
}

// due returns the queued records, without those that the store has.
func (t *Table[K, R]) due() map[K]R {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := make(map[K]R, len(t.pending))
	for id, r := range t.pending {
		if s, ok := t.stored[id]; ok && t.kind.Covers(s.record, r) {
			delete(t.pending, id)
			continue
		}
		due[id] = r
	}
	return due
}
