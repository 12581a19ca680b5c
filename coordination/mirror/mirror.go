package mirror

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// ErrCompacted means that the store no longer has the history that a watch requests.
var ErrCompacted = eris.New("the store has discarded the history that the watch requests")

const (
	// DefaultWatchTimeout limits the duration of one watch.
	DefaultWatchTimeout = 10 * time.Second
	// DefaultWatchPause is the pause between two watches. It collects the changes of a busy prefix in one response, because
	// each response costs a call to the store.
	DefaultWatchPause = 250 * time.Millisecond
	// DefaultFullReadInterval is the time after which the prefix is read in full even if the watch reports nothing: a watch can
	// be stalled while the store discards the history that it needs.
	DefaultFullReadInterval = 15 * time.Second
	// minRetryPause is the pause after the first failed call; it doubles with each further failure up to maxRetryPause.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// DefaultRecoveryGrace is the time after the store's recovery in which keys that expired during the outage are not reported
	// as deleted, because their owners may write them again.
	DefaultRecoveryGrace = 2500 * time.Millisecond
)

// Record is one key of the store, or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision ident.Revision
	Deleted  bool
}

// Store is the part of a key-value store that a mirror needs.
type Store interface {
	List(ctx context.Context, prefix string) (list []Record, at ident.Revision, err error)
	Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) (list []Record, at ident.Revision, err error)
}

// Mirror follows one prefix. It is not safe for concurrent use: the goroutine of Run also calls the handler.
type Mirror struct {
	store            Store
	prefix           string
	clock            quartz.Clock
	log              *slog.Logger
	handle           func([]Record)
	watchTimeout     time.Duration
	watchPause       time.Duration
	fullReadInterval time.Duration
	recoveryGrace    time.Duration

	// revisions has the revision of each present key, revision that of the store up to which all changes are applied.
	revisions map[string]ident.Revision
	revision  ident.Revision
	// unavailable is set after a call to the store has failed (other than with ErrCompacted), until the next successful full read.
	unavailable bool
	// lastFullRead is the time of the last full read, recoveredAt that of the store's last recovery.
	lastFullRead time.Time
	recoveredAt  time.Time
}

// Option changes how a mirror is built.
type Option func(*Mirror)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(m *Mirror) { m.clock = c } }

// WithLog sets the log that records when the store becomes unavailable and when it recovers.
func WithLog(l *slog.Logger) Option { return func(m *Mirror) { m.log = l } }

// WithWatchPause sets the pause between two watches.
func WithWatchPause(d time.Duration) Option { return func(m *Mirror) { m.watchPause = d } }

// WithFullReadInterval sets the interval between two full reads.
func WithFullReadInterval(d time.Duration) Option { return func(m *Mirror) { m.fullReadInterval = d } }

// New returns a mirror that passes all changes to the handler.
func New(store Store, prefix string, handle func([]Record), options ...Option) *Mirror {
	m := &Mirror{
		store: store, prefix: prefix, handle: handle, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler),
		watchTimeout: DefaultWatchTimeout, watchPause: DefaultWatchPause, fullReadInterval: DefaultFullReadInterval,
		recoveryGrace: DefaultRecoveryGrace, revisions: make(map[string]ident.Revision),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := m.step(ctx)
		switch {
		case err == nil:
			pause = minRetryPause
			m.sleep(ctx, m.watchPause)
		case errors.Is(err, ErrCompacted):
			m.lastFullRead = time.Time{}
		case ctx.Err() == nil:
			if !m.unavailable {
				m.unavailable = true
				m.log.Warn("store is not reachable; the copy may be stale until it recovers",
					slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(m.revision)), slog.Any("Error", err))
			}
			m.sleep(ctx, pause)
			pause = min(2*pause, maxRetryPause)
		}
	}
}

func (m *Mirror) step(ctx context.Context) (err error) {
	now := m.clock.Now()
	if m.lastFullRead.IsZero() || now.Sub(m.lastFullRead) >= m.fullReadInterval || m.unavailable {
		return m.readAll(ctx, now)
	}
	list, at, err := m.store.Watch(ctx, m.prefix, m.revision,
		min(m.watchTimeout, max(m.fullReadInterval-now.Sub(m.lastFullRead), time.Millisecond)))
	if err != nil {
		return err
	}
	m.apply(list)
	m.revision = max(m.revision, at)
	return nil
}

// readAll reads the whole prefix. It rejects a read that is older than the mirror. A missing key counts as deleted, except
// during the grace period after an outage, in which keys that expired during the outage may be written again.
func (m *Mirror) readAll(ctx context.Context, now time.Time) (err error) {
	list, at, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return err
	}
	if at < m.revision {
		return eris.Errorf("full read is at revision %d, older than revision %d of the mirror", at, m.revision)
	}
	if m.unavailable {
		m.unavailable = false
		m.recoveredAt = m.clock.Now()
		m.log.Info("store is reachable again", slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(at)))
	}
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.Key] = true
	}
	missing := 0
	for key := range m.revisions {
		if !seen[key] {
			missing++
		}
	}
	graceOver := m.recoveredAt.IsZero() || m.clock.Now().Sub(m.recoveredAt) >= m.recoveryGrace
	if graceOver {
		for key := range m.revisions {
			if !seen[key] {
				list = append(list, Record{Key: key, Revision: at, Deleted: true})
			}
		}
	}
	m.apply(list)
	m.revision = at
	m.lastFullRead = now
	if missing > 0 && !graceOver {
		// The next full read is due at the end of the grace period, when the owners that still run have written their keys again.
		m.lastFullRead = now.Add(m.recoveryGrace - m.fullReadInterval)
	}
	return nil
}

func (m *Mirror) apply(list []Record) {
	newer := list[:0]
	for _, r := range list {
		if r.Revision <= m.revisions[r.Key] {
			continue
		}
		m.revisions[r.Key] = r.Revision
		if r.Deleted {
			delete(m.revisions, r.Key)
		}
		newer = append(newer, r)
	}
	if len(newer) > 0 {
		m.handle(newer)
	}
}

func (m *Mirror) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := m.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
