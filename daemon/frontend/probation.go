package frontend

import (
	"context"
	"log/slog"
	"time"

	"shallotring.dev/state/quarantine"
)

// probationLease is the least time for which a probation of a prompt part is taken.
const probationLease = 10 * time.Second

// QuarantineRecord keeps the prompt parts in quarantine outside of the entries' processes.
type QuarantineRecord interface {
	// Record is called with each change of the quarantine that this entry finds; it does not block.
	Record(c quarantine.Change)
	// Claim takes a probation for this entry alone, for at most a time; granted is false if another entry has it or the result is not known.
	Claim(ctx context.Context, e quarantine.Entry, lease time.Duration) (granted bool)
}

// noQuarantineRecord keeps nothing.
type noQuarantineRecord struct{}

// Record does nothing.
func (noQuarantineRecord) Record(quarantine.Change) {}

// Claim grants nothing.
func (noQuarantineRecord) Claim(context.Context, quarantine.Entry, time.Duration) (granted bool) {
	return false
}

// updateQuarantined publishes whether any prompt part is in quarantine; the lock is held.
func (f *Frontend) updateQuarantined(now time.Time) {
	n := len(f.quarantine.Entries(now))
	f.quarantined.Store(n > 0)
	f.metrics.quarantinedParts.Set(float64(n))
}

// takePartProbation takes a probation for a request with a prompt part in quarantine, if one is due and no other entry has it.
func (f *Frontend) takePartProbation(ctx context.Context, x *request) {
	if !f.quarantined.Load() || x.call.Model == "" || x.sends > 0 || x.partProbation != 0 {
		return
	}
	f.mu.Lock()
	now := f.clock.Now()
	e, due := f.quarantine.ProbationDue(now, x.call.SharedParts())
	if end, ok := f.unusedProbations[e.Part]; ok {
		delete(f.unusedProbations, e.Part)
		if now.Before(end) {
			x.partProbation, x.probationEnd = e.Part, end
			f.mu.Unlock()
			return
		}
	}
	if due {
		if _, due = f.placement.Choose(now, f.placementQuery(x)); due {
			f.quarantine.Defer(e.Part, now.Add(claimInterval))
		}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	lease := max(probationLease, x.deadline.Sub(now)+writeGracePeriod)
	ctx, cancel := context.WithTimeout(ctx, probationTimeout)
	defer cancel()
	granted := f.quarantineRecord.Claim(ctx, e, lease)
	f.log.Warn("probation of a prompt part in quarantine claimed", x.id(), slog.String("Part", e.Part.String()), slog.Int("Probations", e.Probations), slog.Bool("Granted", granted))
	if !granted {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now = f.clock.Now()
	if !f.quarantine.TakeProbation(now, e, lease) {
		return
	}
	f.metrics.probations.Inc()
	x.partProbation, x.probationEnd = e.Part, now.Add(lease)
}

// passPartProbation records that an engine has completed a request in its probation; the lock is held.
func (f *Frontend) passPartProbation(now time.Time, x *request) {
	if x.partProbation == 0 {
		return
	}
	c, ok := f.quarantine.PassProbation(now, x.partProbation)
	x.partProbation = 0
	if !ok {
		return
	}
	f.log.Warn("an engine has survived a prompt part in quarantine", x.id(), slog.String("Part", c.Part.String()), slog.Int("Passed", c.Passed), slog.Bool("Released", c.Released))
	f.quarantineRecord.Record(c)
	f.updateQuarantined(now)
}

// keepPartProbation keeps a probation for the next such request if this one has reached no engine.
func (f *Frontend) keepPartProbation(x *request) {
	if x.partProbation == 0 || x.runs > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unusedProbations[x.partProbation] = x.probationEnd
}
