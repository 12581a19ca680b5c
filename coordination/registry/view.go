package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

// ViewStore is the part of the key-value service that a View reads.
type ViewStore interface {
	List(ctx context.Context, prefix string) (list []keyvalue.Record, at ident.Revision, err error)
	Watch(ctx context.Context, prefix string, after ident.Revision, fn func([]keyvalue.Change, ident.Revision) error) (err error)
}

const (
	retryInterval = 500 * time.Millisecond
	// outageThreshold and keyvalue.WatchIdleTimeout together are the time without a response after which the service counts as
	// having been unavailable.
	outageThreshold = 3 * time.Second
)

// Claim is a claim on an endpoint with its incarnation.
type Claim struct {
	ClaimRecord
	Incarnation ident.Incarnation
}

// View is the list of live claims and processes; its methods may be called from several goroutines.
// During an outage of the key-value service it keeps the last known list. Leases expire while their holders cannot renew
// them, so a record that is deleted within one lease time after the outage stays in the list until that time has passed: its
// holder has this grace period to announce itself again.
type View struct {
	claims    *table[ClaimRecord]
	processes *table[ProcessRecord]
	changed   chan struct{}
}

// NewView returns an empty view.
func NewView(store ViewStore, clock quartz.Clock, log *timeline.Log) *View {
	v := &View{changed: make(chan struct{}, 1)}
	v.claims = newTable[ClaimRecord](ClaimPrefix, store, clock, log, v.notify)
	v.processes = newTable[ProcessRecord](ProcessPrefix, store, clock, log, v.notify)
	return v
}

func (v *View) notify() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives after a change of the view; changes before it is read are merged into one.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Run updates the view until ctx ends.
func (v *View) Run(ctx context.Context) (err error) {
	var wg sync.WaitGroup
	wg.Go(func() { v.claims.run(ctx) })
	wg.Go(func() { v.processes.run(ctx) })
	wg.Wait()
	return ctx.Err()
}

// RunProcesses updates only the list of processes until ctx ends, for a process that needs no claims.
func (v *View) RunProcesses(ctx context.Context) (err error) {
	v.processes.run(ctx)
	return ctx.Err()
}

// ProcessesRead is closed once the list of processes has been read for the first time.
func (v *View) ProcessesRead() <-chan struct{} { return v.processes.firstRead }

// Read reads the whole view once, for programs that do not call Run.
func (v *View) Read(ctx context.Context) (err error) {
	if err = v.claims.readAll(ctx); err != nil {
		return err
	}
	return v.processes.readAll(ctx)
}

// Claims returns the live claims in order of endpoint.
func (v *View) Claims() (list []Claim) {
	for _, x := range v.claims.list() {
		list = append(list, Claim{ClaimRecord: x.value, Incarnation: ident.Incarnation(x.revision)})
	}
	return list
}

// Claim returns the claim on an endpoint.
func (v *View) Claim(e ident.Endpoint) (c Claim, ok bool) {
	x, ok := v.claims.get(ClaimKey(e))
	return Claim{ClaimRecord: x.value, Incarnation: ident.Incarnation(x.revision)}, ok
}

// Processes returns the live processes in order of id.
func (v *View) Processes() (list []ProcessRecord) {
	for _, x := range v.processes.list() {
		list = append(list, x.value)
	}
	return list
}

// row is one record of a table.
type row[T any] struct {
	key      string
	value    T
	revision ident.Revision
	// dropAt is the time at which a record deleted in the grace period leaves the list; zero if the record is stored.
	dropAt time.Time
}

// table is the copy of all records under one key prefix.
type table[T any] struct {
	prefix string
	store  ViewStore
	clock  quartz.Clock
	log    *timeline.Log
	notify func()
	// firstRead is closed after the first read of the whole prefix.
	firstRead chan struct{}

	mu   sync.Mutex
	rows map[string]row[T]
	// sortedRows is the list returned last. It is nil after a change, and while rows wait for removal, because the list then
	// depends on the time.
	sortedRows      []row[T]
	appliedRevision ident.Revision
	// lastResponse is the time of the last response; deletions are deferred until graceUntil.
	lastResponse time.Time
	graceUntil   time.Time
}

func newTable[T any](prefix string, store ViewStore, clock quartz.Clock, log *timeline.Log, notify func()) *table[T] {
	return &table[T]{prefix: prefix, store: store, clock: clock, log: log, notify: notify,
		firstRead: make(chan struct{}), rows: make(map[string]row[T])}
}

func (t *table[T]) run(ctx context.Context) {
	needRead := true
	for ctx.Err() == nil {
		var err error
		if needRead {
			err = t.readAll(ctx)
			needRead = err != nil
		}
		if err == nil {
			err = t.watch(ctx)
			needRead = eris.Is(err, keyvalue.ErrCompacted)
		}
		if needRead && eris.Is(err, keyvalue.ErrCompacted) {
			continue
		}
		w := t.clock.NewTimer(retryInterval, "registry")
		select {
		case <-w.C:
		case <-ctx.Done():
		}
		w.Stop()
	}
}

func (t *table[T]) readAll(ctx context.Context) (err error) {
	records, at, err := t.store.List(ctx, t.prefix)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordResponse()
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key] = true
		t.put(r)
	}
	for key := range t.rows {
		if !seen[key] {
			t.remove(key)
		}
	}
	t.appliedRevision = max(t.appliedRevision, at)
	select {
	case <-t.firstRead:
	default:
		close(t.firstRead)
	}
	t.notify()
	return nil
}

func (t *table[T]) watch(ctx context.Context) (err error) {
	t.mu.Lock()
	after := t.appliedRevision
	t.mu.Unlock()
	return keyvalue.WatchUntilIdle(ctx, t.store, t.clock, t.prefix, after, func(changes []keyvalue.Change, at ident.Revision) error {
		t.apply(changes, at)
		return nil
	}, "registry")
}

func (t *table[T]) apply(changes []keyvalue.Change, at ident.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordResponse()
	for _, c := range changes {
		if c.Deleted {
			t.remove(c.Key)
		} else {
			t.put(c.Record)
		}
	}
	t.appliedRevision = max(t.appliedRevision, at)
	if len(changes) > 0 {
		t.notify()
	}
}

// recordResponse records that the service responded; the first response after an outage starts the grace period.
func (t *table[T]) recordResponse() {
	now := t.clock.Now()
	if !t.lastResponse.IsZero() && now.Sub(t.lastResponse) > outageThreshold+keyvalue.WatchIdleTimeout {
		t.graceUntil = now.Add(LeaseTime)
	}
	t.lastResponse = now
}

func (t *table[T]) put(r keyvalue.Record) {
	x := row[T]{key: r.Key, revision: r.ModRevision}
	if err := json.Unmarshal(r.Value, &x.value); err != nil {
		t.log.Warn("cannot decode a registry record; it is ignored", slog.String("Key", r.Key), slog.String("Detail", err.Error()))
		return
	}
	t.rows[r.Key] = x
	t.sortedRows = nil
}

func (t *table[T]) remove(key string) {
	x, ok := t.rows[key]
	if !ok {
		return
	}
	t.sortedRows = nil
	if !t.clock.Now().Before(t.graceUntil) {
		delete(t.rows, key)
		return
	}
	if x.dropAt.IsZero() {
		x.dropAt = t.graceUntil
		t.rows[key] = x
	}
}

func (t *table[T]) get(key string) (x row[T], ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok = t.rows[key]
	return x, ok && t.live(x)
}

func (t *table[T]) live(x row[T]) bool { return x.dropAt.IsZero() || t.clock.Now().Before(x.dropAt) }

// list returns the live rows in order of key. Callers must not modify it.
func (t *table[T]) list() (list []row[T]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sortedRows != nil {
		return t.sortedRows
	}
	stable := true
	for key, x := range t.rows {
		stable = stable && x.dropAt.IsZero()
		if t.live(x) {
			list = append(list, x)
			continue
		}
		delete(t.rows, key)
	}
	slices.SortFunc(list, func(a, b row[T]) int { return cmp.Compare(a.key, b.key) })
	if stable {
		t.sortedRows = list
	}
	return list
}
