package quarantinerecord

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/coordination/sharedrecord"
	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/quarantine"
)

// Prefix is the prefix of the keys; each ends with the id of a part in hexadecimal.
const Prefix = "shallotring/quarantine/"

// untilTolerance is the difference of the ends of two quarantines of a part that is not written: entries find it at about the same time.
const untilTolerance = time.Minute

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
	// Probations and Passed are those of the entry; the next one may be taken LeaseMilli after this record is read, since clocks may differ.
	Probations int   `json:",omitempty"`
	Passed     int   `json:",omitempty"`
	LeaseMilli int64 `json:",omitempty"`
}

func (r Record) probation(now time.Time) quarantine.Probation {
	return quarantine.Probation{Probations: r.Probations, Passed: r.Passed, NextProbation: now.Add(time.Duration(r.LeaseMilli) * time.Millisecond)}
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

// kind says how the records of parts relate.
type kind struct{}

// Key returns the key of a part.
func (kind) Key(p call.PartID) string { return Key(p) }

// Decode returns the part and the record of a key.
func (kind) Decode(key string, value []byte) (p call.PartID, r Record, err error) {
	return Decode(key, value)
}

// Covers reports whether the stored quarantine lasts as long.
func (kind) Covers(stored, r Record) bool {
	return stored.Lifted == r.Lifted && !stored.Until.Before(r.Until.Add(-untilTolerance)) && !r.probation(r.Until).Newer(stored.probation(r.Until))
}

// Same reports whether two records have the same quarantine.
func (kind) Same(a, b Record) bool {
	return a.Lifted == b.Lifted && a.Until.Equal(b.Until) && a.Probations == b.Probations && a.Passed == b.Passed
}

// Merge returns r with the probations of the quarantine that the stored record knows of.
func (kind) Merge(stored, r Record) Record {
	if !r.Lifted && stored.Until.After(r.Since) && stored.probation(r.Since).Newer(r.probation(r.Since)) {
		r.Probations, r.Passed, r.LeaseMilli = stored.Probations, stored.Passed, stored.LeaseMilli
	}
	return r
}

// Lifted reports whether the record ends a quarantine.
func (kind) Lifted(r Record) bool { return r.Lifted }

// Expired reports whether the quarantine has ended by itself.
func (kind) Expired(r Record, now time.Time) bool { return !now.Before(r.Until) }

// Quarantine is the quarantine of this process.
type Quarantine interface {
	RestoreQuarantine(e quarantine.Entry)
	LiftQuarantine(p call.PartID)
}

// Keeper writes the changes of one entry and applies those of the others and of operators.
type Keeper struct {
	host  ident.Host
	clock quartz.Clock
	log   *slog.Logger
	table *sharedrecord.Table[call.PartID, Record]
}

// Option changes how a keeper is built.
type Option func(*Keeper)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(k *Keeper) { k.log = l } }

// New returns a keeper for the entry on a host.
func New(store sharedrecord.Store, host ident.Host, options ...Option) *Keeper {
	k := &Keeper{host: host, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler)}
	for _, o := range options {
		o(k)
	}
	k.table = sharedrecord.New(kind{}, store, k.clock, k.log)
	return k
}

// Record queues a change of this entry's quarantine; it does not block.
func (k *Keeper) Record(c quarantine.Change) {
	k.table.Queue(c.Part, Record{Lifted: c.Released, Since: c.Since, Until: c.Until, Incidents: c.Incidents, Of: c.Of, Share: c.Share, Evidence: c.Evidence, Host: k.host,
		Probations: c.Probations, Passed: c.Passed, LeaseMilli: max(c.NextProbation.Sub(k.clock.Now()).Milliseconds(), 0)})
}

// Claim takes a probation of a part for this entry alone, for at most a time. It is not granted while the store lacks the quarantine.
func (k *Keeper) Claim(ctx context.Context, e quarantine.Entry, lease time.Duration) (granted bool) {
	return k.table.Update(ctx, e.Part, func(r Record) (next Record, ok bool) {
		if r.Lifted || r.Probations != e.Probations || r.Passed != e.Passed {
			return r, false
		}
		r.Probations, r.LeaseMilli, r.Host = r.Probations+1, lease.Milliseconds(), k.host
		return r, true
	})
}

// Apply applies changes of the keys to the quarantine of this process.
func (k *Keeper) Apply(list []mirror.Record, q Quarantine) {
	for _, x := range list {
		p, r, ok := k.table.Accept(x)
		if !ok {
			continue
		}
		k.log.Info("quarantine record read", slog.String("Part", p.String()), slog.Bool("Lifted", r.Lifted), slog.Time("Until", r.Until), slog.String("Entry", string(r.Host)))
		if r.Lifted {
			q.LiftQuarantine(p)
			continue
		}
		q.RestoreQuarantine(quarantine.Entry{Part: p, Since: r.Since, Until: r.Until, Incidents: r.Incidents, Of: r.Of, Share: r.Share, Evidence: r.Evidence,
			Probation: r.probation(k.clock.Now())})
	}
}

// Run writes queued changes until the context ends.
func (k *Keeper) Run(ctx context.Context) { k.table.Run(ctx) }
