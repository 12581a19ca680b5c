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

// ErrCompacted means that the store has dropped the history that a watch asks for.
var ErrCompacted = eris.New("history is compacted")

const (
	// DefaultWait bounds one watch.
	DefaultWait = 10 * time.Second
	// DefaultPause collects the changes of a busy prefix into one answer, because each answer is a call to the store.
	DefaultPause = 250 * time.Millisecond
	// DefaultReread is the time after which the prefix is read in full although the watch shows nothing: a watch can lie
	// still while the store drops its history.
	DefaultReread = 15 * time.Second
	// retryPause is the first pause after a failed call, and maxPause the longest.
	retryPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// DefaultReturn is the time after the store's return in which entries that lapsed meanwhile come back.
	DefaultReturn = 2500 * time.Millisecond
)

// Record is one key of the store.
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

// Mirror copies one prefix; Run belongs to one goroutine, which also calls the handler.
type Mirror struct {
	store   Store
	prefix  string
	clock   quartz.Clock
	log     *slog.Logger
	handle  func([]Record)
	wait    time.Duration
	pause   time.Duration
	reread  time.Duration
	returns time.Duration

	held map[string]ident.Revision
	at   ident.Revision
	// lost is set while the store does not answer.
	lost bool
	// readAt is the time of the last full read, returned that of the store's last return.
	readAt   time.Time
	returned time.Time
}

// Option changes how a mirror is built.
type Option func(*Mirror)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(m *Mirror) { m.clock = c } }

// WithLog sets the log of lost and regained contact.
func WithLog(l *slog.Logger) Option { return func(m *Mirror) { m.log = l } }

// WithPause sets the pause between two watches.
func WithPause(d time.Duration) Option { return func(m *Mirror) { m.pause = d } }

// WithReread sets the interval of full reads.
func WithReread(d time.Duration) Option { return func(m *Mirror) { m.reread = d } }

// New returns a mirror that gives all changes to the handler.
func New(store Store, prefix string, handle func([]Record), options ...Option) *Mirror {
	m := &Mirror{
		store: store, prefix: prefix, handle: handle, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler),
		wait: DefaultWait, pause: DefaultPause, reread: DefaultReread, returns: DefaultReturn, held: make(map[string]ident.Revision),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Run copies until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		err := m.step(ctx)
		switch {
		case err == nil:
			pause = retryPause
			m.sleep(ctx, m.pause)
		case errors.Is(err, ErrCompacted):
			m.readAt = time.Time{}
		case ctx.Err() == nil:
			if !m.lost {
				m.lost = true
				m.log.Warn("store lost", slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(m.at)), slog.Any("Error", err))
			}
			m.sleep(ctx, pause)
			pause = min(2*pause, maxPause)
		}
	}
}

func (m *Mirror) step(ctx context.Context) (err error) {
	now := m.clock.Now()
	if m.readAt.IsZero() || now.Sub(m.readAt) >= m.reread || m.lost {
		return m.read(ctx, now)
	}
	list, at, err := m.store.Watch(ctx, m.prefix, m.at, min(m.wait, max(m.reread-now.Sub(m.readAt), time.Millisecond)))
	if err != nil {
		return err
	}
	m.apply(list)
	m.at = max(m.at, at)
	return nil
}

// read compares the whole prefix. A key that is missing counts as deleted only if the read is not older than what the mirror
// has, and not while entries that lapsed during an outage may still come back.
func (m *Mirror) read(ctx context.Context, now time.Time) (err error) {
	list, at, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return err
	}
	if at < m.at {
		return eris.Errorf("list is at revision %d, older than %d", at, m.at)
	}
	if m.lost {
		m.lost = false
		m.returned = m.clock.Now()
		m.log.Info("store regained", slog.String("Prefix", m.prefix), slog.Int64("Revision", int64(at)))
	}
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.Key] = true
	}
	missing := 0
	for key := range m.held {
		if !seen[key] {
			missing++
		}
	}
	settled := m.returned.IsZero() || m.clock.Now().Sub(m.returned) >= m.returns
	if settled {
		for key := range m.held {
			if !seen[key] {
				list = append(list, Record{Key: key, Revision: at, Deleted: true})
			}
		}
	}
	m.apply(list)
	m.at = at
	m.readAt = now
	if missing > 0 && !settled {
		// The next full read is due when entries that live have had time to return.
		m.readAt = now.Add(m.returns - m.reread)
	}
	return nil
}

func (m *Mirror) apply(list []Record) {
	fresh := list[:0]
	for _, r := range list {
		if r.Revision <= m.held[r.Key] {
			continue
		}
		m.held[r.Key] = r.Revision
		if r.Deleted {
			delete(m.held, r.Key)
		}
		fresh = append(fresh, r)
	}
	if len(fresh) > 0 {
		m.handle(fresh)
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
