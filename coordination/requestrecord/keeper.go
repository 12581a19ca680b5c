package requestrecord

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotring.dev/coordination/mirror"
	"shallotring.dev/coordination/sharedrecord"
	"shallotring.dev/coordination/wait"
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/suspicion"
)

const (
	// retryDelay is the delay after evidence could not be written, and minEvidenceInterval the least time between two writes.
	retryDelay          = time.Second
	minEvidenceInterval = 50 * time.Millisecond
	// maxObservations bounds the observations in one entry's record.
	maxObservations = 64
)

// Store writes keys.
type Store interface {
	sharedrecord.Store
	Put(ctx context.Context, key string, value []byte) (at ident.Position, err error)
}

// Quarantine is the quarantine of this process.
type Quarantine interface {
	RestoreVerdict(v suspicion.Verdict)
	LiftVerdict(p fingerprint.Fingerprint)
	ApplyEvidence(v control.Evidence)
}

// timedObservation is an observation of this entry.
type timedObservation struct {
	Observation
	at time.Time
}

// Keeper writes the verdicts and the evidence of one entry and applies those of the others and of operators.
type Keeper struct {
	store    Store
	host     ident.Host
	clock    quartz.Clock
	log      *slog.Logger
	verdicts *sharedrecord.Table[fingerprint.Fingerprint, Record]

	mu sync.Mutex
	// observations are the last ones of this entry; seen has the last sequence that was applied of each entry.
	observations []timedObservation
	seen         map[string]int64
	wake         chan struct{}
}

// Option changes how a keeper is built.
type Option func(*Keeper)

// WithClock replaces the clock.
func WithClock(c quartz.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(k *Keeper) { k.log = l } }

// New returns a keeper for the entry on a host.
func New(store Store, host ident.Host, options ...Option) *Keeper {
	k := &Keeper{store: store, host: host, clock: quartz.NewReal(), log: slog.New(slog.DiscardHandler), seen: make(map[string]int64), wake: make(chan struct{}, 1)}
	for _, o := range options {
		o(k)
	}
	k.verdicts = sharedrecord.New(kind{}, store, k.clock, k.log)
	return k
}

// Record queues a change of this entry's quarantine; it does not block.
func (k *Keeper) Record(c suspicion.Change) { k.verdicts.Queue(c.Request, newRecord(c, k.host)) }

// Share queues evidence that no agent passes on; it does not block.
func (k *Keeper) Share(v control.Evidence) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, key := k.clock.Now(), EvidencePrefix+string(k.host)
	k.seen[key] = max(now.UnixNano(), k.seen[key]+1)
	k.observations = append(k.observations, timedObservation{Observation: Observation{Sequence: k.seen[key], Evidence: v}, at: now})
	k.observations = k.observations[max(len(k.observations)-maxObservations, 0):]
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Claim takes a probation of a request in quarantine for this entry alone. It is not granted while the store lacks the verdict.
func (k *Keeper) Claim(ctx context.Context, v suspicion.Verdict) (granted bool) {
	return k.verdicts.Update(ctx, v.Request, func(r Record) (next Record, ok bool) {
		if r.Lifted || r.Probations != v.Probations {
			return r, false
		}
		v := v.TakeProbation(k.clock.Now())
		r.Probations, r.NextProbation, r.Host = v.Probations, v.NextProbation, k.host
		return r, true
	})
}

// Apply applies changes of the keys to the quarantine of this process. Keys of other kinds are ignored.
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
	p, r, ok := k.verdicts.Accept(x)
	if !ok {
		return
	}
	k.log.Info("record of a request in quarantine read", slog.String("Fingerprint", p.String()), slog.Bool("Lifted", r.Lifted), slog.Int("Probations", r.Probations), slog.String("Entry", string(r.Host)))
	if r.Lifted {
		q.LiftVerdict(p)
		return
	}
	q.RestoreVerdict(r.verdict(p))
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
	wg.Go(func() { k.verdicts.Run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for ctx.Err() == nil && !k.writeEvidence(ctx) {
			wait.For(ctx, k.clock, retryDelay)
		}
		wait.For(ctx, k.clock, minEvidenceInterval)
	}
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
