package requestrecord

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/suspicion"
)

const (
	// maxWriteDelay spreads the writes of the entries, which come to the same verdict at about the same time; the first one suffices.
	maxWriteDelay = 400 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = time.Second
	// minEvidenceInterval is the least time between two writes of evidence.
	minEvidenceInterval = 50 * time.Millisecond
	// maxObservations bounds the observations in one entry's record.
	maxObservations = 64
)

// Store writes keys.
type Store interface {
	Put(ctx context.Context, key string, value []byte) (at ident.Position, err error)
	// Replace writes a key whose last change is that of a revision; it fails with mirror.ErrChanged if the key has another one.
	Replace(ctx context.Context, key string, value []byte, last ident.Revision) (at ident.Position, err error)
}

// Quarantine is the quarantine of this process.
type Quarantine interface {
	RestoreVerdict(v suspicion.Verdict)
	LiftVerdict(p fingerprint.Fingerprint)
	ApplyEvidence(v control.Evidence)
}

// storedRecord is a record in the store with the revision of its last change.
type storedRecord struct {
	Record
	revision ident.Revision
}

// timedObservation is an observation of this entry.
type timedObservation struct {
	Observation
	at time.Time
}

// Keeper writes the verdicts and the evidence of one entry and applies those of the others and of operators.
type Keeper struct {
	store Store
	host  ident.Host
	clock quartz.Clock
	log   *slog.Logger

	mu sync.Mutex
	// pending are verdicts to be written, stored those that the store has.
	pending map[fingerprint.Fingerprint]Record
	stored  map[fingerprint.Fingerprint]storedRecord
	// observations are the last ones of this entry; seen has the last sequence that was applied of each entry.
	observations []timedObservation
	seen         map[string]int64
	wake         chan struct{}
	wakeEvidence chan struct{}
}

// Option changes how a keeper is built.
type Option func(*Keeper)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(k *Keeper) { k.log = l } }

// New returns a keeper for the entry on a host.
func New(store Store, host ident.Host, options ...Option) *Keeper {
	k := &Keeper{
		store: store, host: host, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler), pending: make(map[fingerprint.Fingerprint]Record),
		stored: make(map[fingerprint.Fingerprint]storedRecord), seen: make(map[string]int64), wake: make(chan struct{}, 1), wakeEvidence: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(k)
	}
	return k
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Record queues a change of this entry's quarantine; it does not block.
func (k *Keeper) Record(c suspicion.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[c.Request] = newRecord(c, k.host)
	signal(k.wake)
}

// Share queues evidence that no agent passes on; it does not block.
func (k *Keeper) Share(v control.Evidence) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	sequence := max(now.UnixNano(), k.seen[EvidencePrefix+string(k.host)]+1)
	k.seen[EvidencePrefix+string(k.host)] = sequence
	k.observations = append(k.observations, timedObservation{Observation: Observation{Sequence: sequence, Evidence: v}, at: now})
	k.observations = k.observations[max(len(k.observations)-maxObservations, 0):]
	signal(k.wakeEvidence)
}

// Claim takes a probation of a request in quarantine for this entry alone. It is not granted while the store lacks the verdict.
func (k *Keeper) Claim(ctx context.Context, v suspicion.Verdict) (granted bool) {
	k.mu.Lock()
	known, ok := k.stored[v.Request]
	k.mu.Unlock()
	if !ok || known.Lifted || known.Probations != v.Probations {
		return false
	}
	r := known.Record
	v = v.TakeProbation(k.clock.Now())
	r.Probations, r.NextProbation, r.Host = v.Probations, v.NextProbation, k.host
	if err := k.replace(ctx, v.Request, r, known.revision); err != nil {
		k.log.Info("probation is not granted", slog.String("Fingerprint", v.Request.String()), slog.Any("Error", err))
		return false
	}
	return true
}

func (k *Keeper) replace(ctx context.Context, p fingerprint.Fingerprint, r Record, last ident.Revision) (err error) {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	at, err := k.store.Replace(ctx, Key(p), value, last)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stored[p].revision < at.Revision {
		k.stored[p] = storedRecord{Record: r, revision: at.Revision}
	}
	return nil
}

// Apply applies changes of the keys to the quarantine of this process. Only a record lifts a quarantine: a key that is missing may have been lost
// with the store's last writes, so it is written again. Keys of other kinds are ignored.
func (k *Keeper) Apply(list []mirror.Record, q Quarantine) {
	for _, x := range list {
		switch {
		case strings.HasPrefix(x.Key, EvidencePrefix) && !x.Deleted:
			k.applyEvidence(x, q)
		case strings.HasPrefix(x.Key, VerdictPrefix):
			k.applyVerdict(x, q)
		}
	}
}

func (k *Keeper) applyVerdict(x mirror.Record, q Quarantine) {
	p, r, err := Decode(x.Key, x.Value)
	if x.Deleted {
		k.restoreKey(x.Key)
		return
	}
	if err != nil {
		k.log.Warn("record of a request in quarantine is invalid; it is ignored", slog.String("Key", x.Key), slog.Any("Error", err))
		return
	}
	if !k.accept(p, r, x) {
		return
	}
	k.log.Info("record of a request in quarantine read", slog.String("Fingerprint", p.String()), slog.Bool("Lifted", r.Lifted), slog.Int("Probations", r.Probations), slog.String("Entry", string(r.Host)))
	if r.Lifted {
		q.LiftVerdict(p)
		return
	}
	q.RestoreVerdict(r.verdict(p))
}

// accept records what the store has. It returns false for an older record of a store that went back to a copy; the newer one is written again.
func (k *Keeper) accept(p fingerprint.Fingerprint, r Record, x mirror.Record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.stored[p]
	k.stored[p] = storedRecord{Record: r, revision: x.Revision}
	if ok && x.Restored && !known.equal(r) {
		k.pending[p] = known.Record
		signal(k.wake)
		return false
	}
	if own, ok := k.pending[p]; ok && !own.Lifted {
		// The verdict has been recorded by another entry, or lifted meanwhile.
		delete(k.pending, p)
	}
	return true
}

// restoreKey queues the record of a key that is missing.
func (k *Keeper) restoreKey(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, err := fingerprint.Parse(strings.TrimPrefix(key, VerdictPrefix))
	known, ok := k.stored[p]
	if err != nil || !ok {
		return
	}
	delete(k.stored, p)
	if _, newer := k.pending[p]; !newer {
		k.pending[p] = known.Record
		signal(k.wake)
	}
}

// applyEvidence applies the observations of an entry that are new to this one.
func (k *Keeper) applyEvidence(x mirror.Record, q Quarantine) {
	var r EvidenceRecord
	if err := json.Unmarshal(x.Value, &r); err != nil {
		k.log.Warn("evidence of an entry is invalid; it is ignored", slog.String("Key", x.Key), slog.Any("Error", err))
		return
	}
	for _, o := range r.Observations {
		k.mu.Lock()
		fresh := o.Sequence > k.seen[x.Key]
		if fresh {
			k.seen[x.Key] = o.Sequence
		}
		k.mu.Unlock()
		if fresh {
			q.ApplyEvidence(o.Evidence)
		}
	}
}

// Run writes verdicts and evidence until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		k.runWrites(ctx, k.wakeEvidence, func() time.Duration { return 0 }, k.writeEvidence, minEvidenceInterval)
	})
	k.runWrites(ctx, k.wake, func() time.Duration { return time.Duration(rand.Int64N(int64(maxWriteDelay))) }, k.writeVerdicts, 0)
}

// runWrites calls write after each wake-up and a delay, and again while it fails, with a pause after each success.
func (k *Keeper) runWrites(ctx context.Context, wake <-chan struct{}, delay func() time.Duration, write func(context.Context) bool, pause time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		k.sleep(ctx, delay())
		for ctx.Err() == nil && !write(ctx) {
			k.sleep(ctx, retryDelay)
		}
		k.sleep(ctx, pause)
	}
}

// writeVerdicts writes the pending verdicts that the store lacks; ok is false if one could not be written.
func (k *Keeper) writeVerdicts(ctx context.Context) (ok bool) {
	ok = true
	for p, r := range k.due() {
		k.mu.Lock()
		last := k.stored[p].revision
		k.mu.Unlock()
		err := k.replace(ctx, p, r, last)
		if err != nil && (r.Lifted || !errors.Is(err, mirror.ErrChanged)) {
			ok = false
			k.log.Warn("writing the record of a request in quarantine failed; it is repeated", slog.String("Fingerprint", p.String()), slog.Any("Error", err))
			continue
		}
		// After a change by another process, that process's record counts, unless this one releases the request.
		k.mu.Lock()
		if k.pending[p] == r {
			delete(k.pending, p)
		}
		k.mu.Unlock()
	}
	return ok
}

// due returns the pending verdicts, without those that another entry has written.
func (k *Keeper) due() map[fingerprint.Fingerprint]Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[fingerprint.Fingerprint]Record, len(k.pending))
	for p, r := range k.pending {
		if s, ok := k.stored[p]; ok && (s.equal(r) || !r.Lifted && !s.Lifted && s.Probations > r.Probations) {
			delete(k.pending, p)
			continue
		}
		due[p] = r
	}
	return due
}

// writeEvidence writes the last observations of this entry; ok is false if that fails.
func (k *Keeper) writeEvidence(ctx context.Context) (ok bool) {
	var r EvidenceRecord
	k.mu.Lock()
	for _, o := range k.observations {
		r.Observations = append(r.Observations, Observation{Sequence: o.Sequence, Evidence: o.Aged(k.clock.Since(o.at))})
	}
	k.mu.Unlock()
	value, err := json.Marshal(r)
	if err == nil {
		_, err = k.store.Put(ctx, EvidencePrefix+string(k.host), value)
	}
	if err != nil {
		k.log.Warn("writing evidence failed; it is repeated", slog.Any("Error", err))
	}
	return err == nil
}

func (k *Keeper) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := k.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
