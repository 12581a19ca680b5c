package roster

import (
	"context"
	"log/slog"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/coordination/wait"
	"shallotring.dev/state/ident"
)

// Prefix is that of the keys of entries.
const Prefix = "shallotring/entries/"

const (
	// writeInterval is the time between two writes of a record.
	writeInterval = 2 * time.Second
	// recordMemory is the time for which an entry counts whose record does not change, so that some lost writes change nothing.
	recordMemory = 10 * time.Second
	// recordExpiry is the time after which the record of an entry that has gone is removed.
	recordExpiry = time.Minute
	// idleInterval is the time between two questions whether the number is needed.
	idleInterval = 100 * time.Millisecond
)

// Store keeps the records.
type Store interface {
	List(ctx context.Context, prefix string) (list []mirror.Record, at ident.Position, err error)
	Put(ctx context.Context, key string, value []byte) (at ident.Position, err error)
	// Delete removes a key whose last change is that of a revision.
	Delete(ctx context.Context, key string, last ident.Revision) (err error)
}

// Listener uses the number of entries.
type Listener interface {
	// NeedsEntries reports whether the number is needed; no record is written otherwise.
	NeedsEntries() bool
	// SetEntries is called with each new number, 0 when it is not kept any more.
	SetEntries(n int)
}

// record is that of an entry as this one has seen it. Clocks of hosts differ, so only the change of a revision shows that an entry is there.
type record struct {
	revision  ident.Revision
	changedAt time.Time
}

// Roster counts the entries that have written a record lately.
type Roster struct {
	store    Store
	host     ident.Host
	listener Listener
	clock    quartz.Clock
	log      *slog.Logger
	records  map[string]record
	count    int
}

// Option changes how a roster is built.
type Option func(*Roster)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(r *Roster) { r.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(r *Roster) { r.log = l } }

// New returns a roster for the entry on a host.
func New(store Store, host ident.Host, listener Listener, options ...Option) *Roster {
	r := &Roster{store: store, host: host, listener: listener, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run counts the entries while the number is needed, until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.listener.NeedsEntries() {
			r.forget()
			wait.For(ctx, r.clock, idleInterval)
			continue
		}
		if err := r.update(ctx); err != nil {
			r.log.Warn("entries could not be counted; their last number stays in use", slog.Int("Entries", r.count), slog.Any("Error", err))
		}
		wait.For(ctx, r.clock, writeInterval)
	}
}

// forget ends the count; the records of all entries expire.
func (r *Roster) forget() {
	if r.records != nil {
		r.records, r.count = nil, 0
		r.listener.SetEntries(0)
	}
}

// update writes the record of this entry and counts all of them.
func (r *Roster) update(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "count entries") }()
	if _, err = r.store.Put(ctx, Prefix+string(r.host), []byte("{}")); err != nil {
		return err
	}
	list, _, err := r.store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	now := r.clock.Now()
	seen, present := make(map[string]record, len(list)), 0
	for _, x := range list {
		known, ok := r.records[x.Key]
		if !ok || known.revision != x.Revision {
			known = record{revision: x.Revision, changedAt: now}
		}
		seen[x.Key] = known
		switch age := now.Sub(known.changedAt); {
		case age <= recordMemory:
			present++
		case age > recordExpiry:
			// Another entry may have removed it, and its host may be back.
			if err := r.store.Delete(ctx, x.Key, x.Revision); err != nil {
				r.log.Info("record of an entry that has gone is not removed", slog.String("Key", x.Key), slog.Any("Error", err))
			}
		}
	}
	if r.records = seen; present != r.count {
		r.log.Info("entries counted", slog.Int("Entries", present), slog.Int("Before", r.count))
		r.count = present
		r.listener.SetEntries(present)
	}
	return nil
}
