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

// ErrRecovered means that the store was away while a call waited, and responds again: the call may never be answered.
var ErrRecovered = eris.New("the store was away during the call and responds again")

// ErrChanged means that a key has been written or deleted since the revision that a write is based on.
var ErrChanged = eris.New("the key has changed")

// errRestored means that the store has been restored from an older copy since the last full read.
var errRestored = eris.New("the store has been restored from an older copy")

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
	// maxFirstRetryPause is the longest pause before the first successful read, without which the process serves nothing.
	maxFirstRetryPause = 250 * time.Millisecond
	// DefaultRecoveryGrace is the time after the store's recovery in which keys that expired during the outage are not reported
	// as deleted, because their owners may write them again. The same holds after the store has been restored.
	DefaultRecoveryGrace = 2500 * time.Millisecond
)

// Record is one key of the store, or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision ident.Revision
	// Created is the revision at which the key was created, 0 if the store does not tell.
	Created ident.Revision
	Deleted bool
	// Restored is set in the first full read of a new era: the record may be older than what the mirror has reported before.
	Restored bool
	// Missing is set, in a record without a value and only with WithMissingKeys, if a key is gone after an interruption in which most others stayed. It is reported once
	// more, as deleted or with the value that its owner has written again.
	Missing bool
}

// Store is the part of a key-value store that a mirror needs.
type Store interface {
	List(ctx context.Context, prefix string) (list []Record, at ident.Position, err error)
	Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) (list []Record, at ident.Position, err error)
	// Recovered returns a channel that is closed when a call of any mirror shows that the store responds again after an outage.
	Recovered() <-chan struct{}
	// UnansweredAt returns the time at which the last call of any mirror that got no useful response was sent, zero if there is none.
	UnansweredAt() time.Time
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
	// contactTimeout limits the grace period, counted from the latest time at which the store was certainly not reached; 0 means no limit.
	contactTimeout time.Duration
	// reportsMissing is set if the handler gets records with Missing.
	reportsMissing bool

	// positions has the position of the last write of each present key, position that of the store up to which all changes are
	// applied.
	positions map[string]ident.Position
	position  ident.Position
	// unavailable is set after a call to the store has failed (other than with ErrCompacted), until the next successful full read.
	unavailable bool
	// begin is called before each call to the store, and what it returns once the response has been applied.
	begin func() (confirm func(earlier time.Duration) (recent bool))
	// nextFullRead is the time at which a full read is due.
	nextFullRead time.Time
	// respondedAt is the time of the last response of the store.
	respondedAt time.Time
	recovery
}

// Option changes how a mirror is built.
type Option func(*Mirror)

// WithClock replaces the real clock.
func WithClock(c quartz.Clock) Option { return func(m *Mirror) { m.clock = c } }

// WithLog sets the log that records when the store becomes unavailable and when it recovers.
func WithLog(l *slog.Logger) Option { return func(m *Mirror) { m.log = l } }

// WithWatchTimeout limits the duration of one watch.
func WithWatchTimeout(d time.Duration) Option { return func(m *Mirror) { m.watchTimeout = d } }

// WithWatchPause sets the pause between two watches.
func WithWatchPause(d time.Duration) Option { return func(m *Mirror) { m.watchPause = d } }

// WithContactTimeout sets the time after the end of an interruption at which missing keys must count as deleted, although the recovery may have
// been noticed late.
func WithContactTimeout(d time.Duration) Option { return func(m *Mirror) { m.contactTimeout = d } }

// WithMissingKeys makes the mirror report keys that went missing while others stayed, before they count as deleted.
func WithMissingKeys() Option { return func(m *Mirror) { m.reportsMissing = true } }

// WithFullReadInterval sets the interval between two full reads.
func WithFullReadInterval(d time.Duration) Option { return func(m *Mirror) { m.fullReadInterval = d } }

// New returns a mirror that passes all changes to the handler.
func New(store Store, prefix string, handle func([]Record), options ...Option) *Mirror {
	m := &Mirror{
		store: store, prefix: prefix, handle: handle, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler),
		watchTimeout: DefaultWatchTimeout, watchPause: DefaultWatchPause, fullReadInterval: DefaultFullReadInterval,
		recoveryGrace: DefaultRecoveryGrace, positions: make(map[string]ident.Position), recovery: recovery{missing: make(map[string]absence)},
		begin: noConfirmation,
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
		sent, recovered := m.clock.Now(), m.store.Recovered()
		err := m.step(ctx)
		switch {
		case err == nil:
			pause = minRetryPause
			m.sleep(ctx, min(m.watchPause, m.clock.Until(m.nextFullRead)), nil)
		case errors.Is(err, ErrCompacted) || errors.Is(err, errRestored):
			m.nextFullRead = time.Time{}
		case errors.Is(err, ErrRecovered):
			m.log.Info("call ended, because the store was away meanwhile", slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(m.position.Revision)),
				slog.Int64("DurationMilli", m.clock.Since(sent).Milliseconds()))
			m.unavailable = true
		case ctx.Err() == nil:
			if !m.unavailable {
				m.unavailable = true
				m.log.Warn("store is not reachable; the copy may be stale until it recovers",
					slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(m.position.Revision)), slog.Int64("DurationMilli", m.clock.Since(sent).Milliseconds()), slog.Any("Error", err))
			}
			m.sleep(ctx, pause, recovered)
			limit := maxRetryPause
			if m.position.Revision == 0 {
				limit = maxFirstRetryPause
			}
			pause = min(2*pause, limit)
		}
	}
}

func (m *Mirror) step(ctx context.Context) (err error) {
	now := m.clock.Now()
	if !now.Before(m.nextFullRead) || m.unavailable {
		return m.readAll(ctx, now)
	}
	confirm := m.begin()
	list, at, err := m.store.Watch(ctx, m.prefix, m.position.Revision, min(m.watchTimeout, max(m.nextFullRead.Sub(now), time.Millisecond)))
	if err != nil {
		return err
	}
	m.respondedAt = m.clock.Now()
	if at.Era != m.position.Era {
		// The changes follow a revision of another era, so they do not connect to what the mirror has.
		return errRestored
	}
	m.apply(list, at.Era)
	if at.Compare(m.position) > 0 {
		m.position = at
	}
	if recent := confirm(watchDoubt(m.respondedAt.Sub(now))); !recent {
		m.nextFullRead = time.Time{}
	}
	return nil
}

// readAll reads the whole prefix. It rejects a read that is older than the mirror. A missing key counts as deleted, except during the grace period
// after an outage or a restoration, in which keys that expired or were lost may be written again.
func (m *Mirror) readAll(ctx context.Context, now time.Time) (err error) {
	confirm := m.begin()
	list, at, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return err
	}
	if at.Compare(m.position) < 0 {
		return eris.Errorf("full read is at revision %d of era %d, older than revision %d of era %d of the mirror", at.Revision, at.Era, m.position.Revision, m.position.Era)
	}
	restored := m.position.Revision > 0 && at.Era > m.position.Era
	if restored {
		m.log.Warn("store was restored from an older copy; newer values are kept until they are written again", slog.String("Prefix", m.prefix),
			slog.Int64("Era", int64(at.Era)), slog.Int64("FormerEra", int64(m.position.Era)), slog.Int64("Revision", int64(at.Revision)), slog.Int64("FormerRevision", int64(m.position.Revision)))
		for i := range list {
			list[i].Restored = true
		}
	}
	if restored || m.unavailable {
		m.beginGrace(restored)
	}
	found := m.compare(list)
	if m.unavailable {
		m.unavailable = false
		m.logRecovery(at, found)
	}
	m.respondedAt = m.clock.Now()
	m.nextFullRead = now.Add(m.fullReadInterval)
	m.apply(append(list, m.missingRecords(at, found)...), at.Era)
	m.position = at
	confirm(0)
	return nil
}

func (m *Mirror) apply(list []Record, era ident.Era) {
	newer := list[:0]
	for _, r := range list {
		if r.Missing {
			newer = append(newer, r)
			continue
		}
		at := ident.Position{Era: era, Revision: r.Revision}
		if at.Compare(m.positions[r.Key]) <= 0 {
			continue
		}
		m.positions[r.Key] = at
		delete(m.missing, r.Key)
		if r.Deleted {
			delete(m.positions, r.Key)
		}
		newer = append(newer, r)
	}
	if len(newer) > 0 {
		m.handle(newer)
	}
}

// sleep waits until the duration has passed, or until the context ends or the channel is closed.
func (m *Mirror) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := m.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
