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
	retryWait = 500 * time.Millisecond
	// watchIdle ends a watch that reports neither changes nor progress; it is opened again where it stopped.
	watchIdle = 3 * time.Second
	// lostTime is the time without an answer after which the service counts as lost.
	lostTime = 3 * time.Second
)

// Claim is a claim on an endpoint with its incarnation.
type Claim struct {
	ClaimRecord
	Incarnation ident.Incarnation
}

// View is the list of live claims and processes; its methods may be called from several goroutines.
// During an outage it keeps the last known list. Leases run out while their holders cannot renew them, so for one lease
// time after the outage a record that has gone stays in the list, until its holder had the time to announce itself again.
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

// Changed receives after each change of the view; changes that nobody has received yet are merged.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Run keeps the view up to date until ctx ends.
func (v *View) Run(ctx context.Context) (err error) {
	var wg sync.WaitGroup
	wg.Go(func() { v.claims.run(ctx) })
	wg.Go(func() { v.processes.run(ctx) })
	wg.Wait()
	return ctx.Err()
}

// RunProcesses keeps only the list of processes up to date until ctx ends, for a process that needs no claims.
func (v *View) RunProcesses(ctx context.Context) (err error) {
	v.processes.run(ctx)
	return ctx.Err()
}

// ProcessesRead is closed once the list of processes has been read for the first time.
func (v *View) ProcessesRead() <-chan struct{} { return v.processes.read }

// Read reads the whole view once, for programs that do not run it.
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
	// gone is the time from which a deleted record is left out; zero if the record is stored.
	gone time.Time
}

// table follows the keys of one prefix.
type table[T any] struct {
	prefix string
	store  ViewStore
	clock  quartz.Clock
	log    *timeline.Log
	notify func()
	// read is closed after the first full read.
	read chan struct{}

	mu   sync.Mutex
	rows map[string]row[T]
	// ordered is the last list; nil after a change or while the list depends on the time.
	ordered  []row[T]
	position ident.Revision
	// answered is the time of the last answer; graceUntil is the time until which deletions are deferred.
	answered   time.Time
	graceUntil time.Time
}

func newTable[T any](prefix string, store ViewStore, clock quartz.Clock, log *timeline.Log, notify func()) *table[T] {
	return &table[T]{prefix: prefix, store: store, clock: clock, log: log, notify: notify, read: make(chan struct{}), rows: make(map[string]row[T])}
}

func (t *table[T]) run(ctx context.Context) {
	read := true
	for ctx.Err() == nil {
		var err error
		if read {
			err = t.readAll(ctx)
			read = err != nil
		}
		if err == nil {
			err = t.watch(ctx)
			read = eris.Is(err, keyvalue.ErrCompacted)
		}
		if read && eris.Is(err, keyvalue.ErrCompacted) {
			continue
		}
		w := t.clock.NewTimer(retryWait, "registry")
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
	t.answer()
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
	t.position = max(t.position, at)
	select {
	case <-t.read:
	default:
		close(t.read)
	}
	t.notify()
	return nil
}

func (t *table[T]) watch(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := t.clock.AfterFunc(watchIdle, cancel, "registry")
	defer idle.Stop()
	t.mu.Lock()
	after := t.position
	t.mu.Unlock()
	return t.store.Watch(ctx, t.prefix, after, func(changes []keyvalue.Change, at ident.Revision) error {
		idle.Reset(watchIdle)
		t.apply(changes, at)
		return nil
	})
}

func (t *table[T]) apply(changes []keyvalue.Change, at ident.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer()
	for _, c := range changes {
		if c.Deleted {
			t.remove(c.Key)
		} else {
			t.put(c.Record)
		}
	}
	t.position = max(t.position, at)
	if len(changes) > 0 {
		t.notify()
	}
}

// answer notes that the service answers; the first answer after an outage opens the time of grace.
func (t *table[T]) answer() {
	now := t.clock.Now()
	if !t.answered.IsZero() && now.Sub(t.answered) > lostTime+watchIdle {
		t.graceUntil = now.Add(LeaseTime)
	}
	t.answered = now
}

func (t *table[T]) put(r keyvalue.Record) {
	x := row[T]{key: r.Key, revision: r.ModRevision}
	if err := json.Unmarshal(r.Value, &x.value); err != nil {
		t.log.Warn("unreadable record", slog.String("Key", r.Key), slog.String("Detail", err.Error()))
		return
	}
	t.rows[r.Key] = x
	t.ordered = nil
}

func (t *table[T]) remove(key string) {
	x, ok := t.rows[key]
	if !ok {
		return
	}
	t.ordered = nil
	if !t.clock.Now().Before(t.graceUntil) {
		delete(t.rows, key)
		return
	}
	if x.gone.IsZero() {
		x.gone = t.graceUntil
		t.rows[key] = x
	}
}

func (t *table[T]) get(key string) (x row[T], ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok = t.rows[key]
	return x, ok && t.live(x)
}

func (t *table[T]) live(x row[T]) bool { return x.gone.IsZero() || t.clock.Now().Before(x.gone) }

// list returns the live rows in order of key. Callers do not change it.
func (t *table[T]) list() (list []row[T]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ordered != nil {
		return t.ordered
	}
	lasting := true
	for key, x := range t.rows {
		lasting = lasting && x.gone.IsZero()
		if t.live(x) {
			list = append(list, x)
			continue
		}
		delete(t.rows, key)
	}
	slices.SortFunc(list, func(a, b row[T]) int { return cmp.Compare(a.key, b.key) })
	if lasting {
		t.ordered = list
	}
	return list
}
