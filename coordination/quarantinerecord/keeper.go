package quarantinerecord

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/quarantine"
)

// Prefix is the prefix of the keys; each ends with the id of a part in hexadecimal.
const Prefix = "shallotring/quarantine/"

const (
	// maxWriteDelay spreads the writes of the entries, which come to the same result at about the same time; the first one suffices.
	maxWriteDelay = 400 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = time.Second
)

// Record is the value of a key.
type Record struct {
	// Lifted is set if the part is not in quarantine any more; earlier crashes do not count against it then.
	Lifted bool `json:",omitempty"`
	Since  time.Time
	Until  time.Time
	// Incidents, Of, Share and Evidence are those of the quarantine's entry; Host is the entry host that wrote them.
	Incidents int        `json:",omitempty"`
	Of        int        `json:",omitempty"`
	Share     float64    `json:",omitempty"`
	Evidence  float64    `json:",omitempty"`
	Host      ident.Host `json:",omitempty"`
}

// Key returns the key of a part.
func Key(p call.PartID) string { return Prefix + p.String() }

// Decode returns the part and the record of a key.
func Decode(key string, value []byte) (p call.PartID, r Record, err error) {
	defer func() { err = eris.Wrapf(err, "decode %s", key) }()
	id, err := strconv.ParseUint(strings.TrimPrefix(key, Prefix), 16, 64)
	if err != nil {
		return p, r, err
	}
	return call.PartID(id), r, json.Unmarshal(value, &r)
}

// Store writes keys.
type Store interface {
	Put(ctx context.Context, key string, value []byte) (at ident.Position, err error)
}

// Quarantine is the quarantine of this process.
type Quarantine interface {
	RestoreQuarantine(e quarantine.Entry)
	LiftQuarantine(p call.PartID)
}

// Keeper writes the changes of one entry and applies those of the others and of operators.
type Keeper struct {
	store Store
	host  ident.Host
	clock quartz.Clock
	log   *slog.Logger

	mu sync.Mutex
	// pending are records to be written, stored those that the store has.
	pending map[call.PartID]Record
	stored  map[call.PartID]Record
	wake    chan struct{}
}

// Option changes how a keeper is built.
type Option func(*Keeper)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(k *Keeper) { k.log = l } }

// New returns a keeper for the entry on a host.
func New(store Store, host ident.Host, options ...Option) *Keeper {
	k := &Keeper{store: store, host: host, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler),
		pending: make(map[call.PartID]Record), stored: make(map[call.PartID]Record), wake: make(chan struct{}, 1)}
	for _, o := range options {
		o(k)
	}
	return k
}

// Record queues a change of this entry's quarantine; it does not block.
func (k *Keeper) Record(c quarantine.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue(c.Part, Record{Lifted: c.Released, Since: c.Since, Until: c.Until, Incidents: c.Incidents, Of: c.Of, Share: c.Share, Evidence: c.Evidence, Host: k.host})
}

// queue adds a record to the pending ones; the lock is held.
func (k *Keeper) queue(p call.PartID, r Record) {
	k.pending[p] = r
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Apply applies changes of the keys to the quarantine of this process. Only a record lifts a quarantine: a key that is missing may have been lost
// with the store's last writes, so it is written again.
func (k *Keeper) Apply(list []mirror.Record, q Quarantine) {
	for _, x := range list {
		p, r, err := Decode(x.Key, x.Value)
		if x.Deleted {
			k.restoreKey(x.Key)
			continue
		}
		if err != nil {
			k.log.Warn("quarantine record is invalid; it is ignored", slog.String("Key", x.Key), slog.Any("Error", err))
			continue
		}
		if !k.accept(p, r, x.Restored) {
			continue
		}
		k.log.Info("quarantine record read", slog.String("Part", p.String()), slog.Bool("Lifted", r.Lifted), slog.Time("Until", r.Until), slog.String("Entry", string(r.Host)))
		if r.Lifted {
			q.LiftQuarantine(p)
			continue
		}
		q.RestoreQuarantine(quarantine.Entry{Part: p, Since: r.Since, Until: r.Until, Incidents: r.Incidents, Of: r.Of, Share: r.Share, Evidence: r.Evidence})
	}
}

// accept records what the store has. It returns false for an older record of a store that went back to a copy; the newer one is written again.
func (k *Keeper) accept(p call.PartID, r Record, restored bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.stored[p]; ok && restored && (known.Lifted != r.Lifted || !known.Until.Equal(r.Until)) {
		delete(k.stored, p)
		k.queue(p, known)
		return false
	}
	if own, ok := k.pending[p]; ok && r.Lifted && !own.Lifted {
		// An operator has lifted the quarantine before this entry has written it.
		delete(k.pending, p)
	}
	k.stored[p] = r
	return true
}

// restoreKey queues the record of a key that is missing, unless it has expired.
func (k *Keeper) restoreKey(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p, r := range k.stored {
		if Key(p) != key {
			continue
		}
		delete(k.stored, p)
		if _, newer := k.pending[p]; !newer && k.clock.Now().Before(r.Until) {
			k.queue(p, r)
		}
	}
}

// Run writes pending records until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		k.sleep(ctx, time.Duration(rand.Int64N(int64(maxWriteDelay))))
		for ctx.Err() == nil && !k.writeAll(ctx) {
			k.sleep(ctx, retryDelay)
		}
	}
}

// writeAll writes the pending records that the store lacks; ok is false if one could not be written.
func (k *Keeper) writeAll(ctx context.Context) (ok bool) {
	ok = true
	for p, r := range k.due() {
		value, err := json.Marshal(r)
		if err == nil {
			_, err = k.store.Put(ctx, Key(p), value)
		}
		k.mu.Lock()
		if err != nil {
			ok = false
			k.log.Warn("writing a quarantine record failed; it is repeated", slog.String("Part", p.String()), slog.Any("Error", err))
		} else if k.pending[p] == r {
			delete(k.pending, p)
			k.stored[p] = r
		}
		k.mu.Unlock()
	}
	return ok
}

// due returns the pending records, without those that another entry has written.
func (k *Keeper) due() map[call.PartID]Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[call.PartID]Record, len(k.pending))
	for p, r := range k.pending {
		if s, ok := k.stored[p]; ok && s.Lifted == r.Lifted && !s.Until.Before(r.Until.Add(-time.Minute)) {
			delete(k.pending, p)
			continue
		}
		due[p] = r
	}
	return due
}

func (k *Keeper) sleep(ctx context.Context, d time.Duration) {
	t := k.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
