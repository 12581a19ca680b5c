package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/protocol/control"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/suspicion"
)

const (
	// evidenceRelays is the number of agents that pass on what an entry has seen: one of them may be lost.
	evidenceRelays = 2
	// probationTimeout bounds the wait for the store's answer to a claim of a probation.
	probationTimeout = 300 * time.Millisecond
	// claimInterval is the time between two claims for one request by this entry.
	claimInterval = 2 * time.Second
	// maxRepeatedEnds is the number of endpoints that may have ended under a request that is sent to another one after the last of them.
	maxRepeatedEnds = 1
)

// RequestRecord keeps what entries know of requests that crash endpoints outside of their processes.
type RequestRecord interface {
	// Record is called with each change of the quarantine that this entry finds; it does not block.
	Record(c suspicion.Change)
	// Claim takes a probation for this entry alone; granted is false if another entry has it or the result is not known.
	Claim(ctx context.Context, v suspicion.Verdict) (granted bool)
	// Share passes evidence on to the other entries if no agent does; it does not block.
	Share(v control.Evidence)
}

// noRecord keeps nothing.
type noRecord struct{}

// Record does nothing.
func (noRecord) Record(suspicion.Change) {}

// Claim grants nothing.
func (noRecord) Claim(context.Context, suspicion.Verdict) (granted bool) { return false }

// Share does nothing.
func (noRecord) Share(control.Evidence) {}

// WithRequestRecord sets where the verdicts on requests are kept.
func WithRequestRecord(r RequestRecord) Option {
	return func(f *Frontend) { f.suspects.requestRecord = r }
}

// suspects judges requests by the endpoints that ended under them; the frontend's lock guards it.
type suspects struct {
	*suspicion.List
	requestRecord RequestRecord
	// unused are probations that this entry has taken and whose request reached no endpoint.
	unused map[fingerprint.Fingerprint]bool
}

// reportEnd records the requests that were in progress at an endpoint that ended, and tells the other entries; the lock is held.
func (f *Frontend) reportEnd(e *endpoint, now time.Time, list []interruption) {
	v := control.EndEvidence{Endpoint: e.name, Born: e.StartMilli, AgeMilli: now.Sub(list[0].at).Milliseconds()}
	for _, i := range list {
		v.Requests = append(v.Requests, control.InterruptedRequest{Request: i.request, Content: i.content, RanMilli: i.ran.Milliseconds()})
	}
	f.observeEnd(now, v)
	f.shareEvidence(now, control.Evidence{Host: f.host, Ends: []control.EndEvidence{v}})
}

// observeEnd applies the evidence of this entry or another one; the lock is held.
func (f *Frontend) observeEnd(now time.Time, v control.EndEvidence) {
	end := suspicion.End{Endpoint: v.Endpoint, StartMilli: v.Born, At: now.Add(-time.Duration(v.AgeMilli) * time.Millisecond)}
	for _, b := range v.Requests {
		end.Requests = append(end.Requests, suspicion.InterruptedRequest{Request: b.Request, Content: b.Content, Ran: time.Duration(b.RanMilli) * time.Millisecond})
	}
	for _, c := range f.suspects.RecordEnd(now, end) {
		f.applyVerdict(c)
	}
	f.updateSuspects()
}

// updateSuspects publishes whether any request is under suspicion; the lock is held.
func (f *Frontend) updateSuspects() {
	f.suspecting.Store(!f.suspects.Empty())
	f.metrics.suspectedRequests.Set(float64(f.suspects.Suspects()))
	f.metrics.quarantinedRequests.Set(float64(len(f.suspects.Verdicts())))
}

// applyVerdict logs and records a change of the quarantine of requests; the lock is held.
func (f *Frontend) applyVerdict(c suspicion.Change) {
	message := "request is in quarantine: endpoints end under it"
	if c.Released {
		message = "request is released from quarantine: endpoints survive it"
	}
	f.log.Warn(message, slog.String("Fingerprint", c.Request.String()), slog.Int("Ends", c.Ends), slog.Int("Incidents", c.Incidents), slog.Int("Survivals", c.Survivals),
		slog.Int("Probations", c.Probations), slog.Time("NextProbation", c.NextProbation))
	f.suspects.requestRecord.Record(c)
}

// shareEvidence sends evidence to the agents that pass it on, or to the store if none is connected; the lock is held.
func (f *Frontend) shareEvidence(now time.Time, v control.Evidence) {
	relays := f.evidenceRelays(now)
	sent := 0
	for _, l := range relays {
		if l.enqueue(control.UsageReport{Evidence: &v}) {
			sent++
		}
	}
	if sent == 0 {
		f.suspects.requestRecord.Share(v)
	}
	f.log.Info("evidence shared", slog.Int("Ends", len(v.Ends)), slog.Int("Survivals", len(v.Survivals)), slog.Int("Agents", sent))
}

// evidenceRelays returns the agents that pass on evidence of this entry; the lock is held.
func (f *Frontend) evidenceRelays(now time.Time) (list []*agentLink) {
	for _, l := range f.links {
		if l.state != nil && l.state.RelaysEvidence && now.Sub(l.stateAt) <= stateExpiry {
			list = append(list, l)
		}
	}
	// Each entry has other agents, so that no agent passes on everything.
	order := func(l *agentLink) uint64 { return xxhash.Sum64String(string(f.host) + "\x00" + l.address) }
	slices.SortFunc(list, func(a, b *agentLink) int {
		if order(a) < order(b) {
			return -1
		}
		return 1
	})
	return list[:min(len(list), evidenceRelays)]
}

// ApplyEvidence applies what another entry has seen.
func (f *Frontend) ApplyEvidence(v control.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.log.Info("evidence received", slog.String("Entry", string(v.Host)), slog.Int("Ends", len(v.Ends)), slog.Int("Survivals", len(v.Survivals)))
	for _, x := range v.Ends {
		f.observeEnd(now, x)
	}
	for _, x := range v.Survivals {
		if c, changed := f.suspects.RecordSurvivals(x.Request, v.Host, x.Count); changed {
			f.applyVerdict(c)
		}
	}
	f.updateSuspects()
}

// recordSurvival records that an endpoint has run a request, or loaded an adapter, completely; probation is set if that was its probation.
func (f *Frontend) recordSurvival(p fingerprint.Fingerprint, probation bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.suspects.Find(p); ok && probation {
		delete(f.suspects.unused, p)
		f.suspects.Lift(p)
		f.applyVerdict(suspicion.Change{Verdict: v, Released: true})
		f.updateSuspects()
		return
	}
	count, c, ok := f.suspects.CountSurvival(p, f.host)
	if !ok {
		return
	}
	if c.Released {
		f.applyVerdict(c)
	}
	f.shareEvidence(f.clock.Now(), control.Evidence{Host: f.host, Survivals: []control.SurvivalEvidence{{Request: p, Count: count}}})
	f.updateSuspects()
}

// suspectRefusal returns the refusal of a request in quarantine, nil if it may be sent.
func (f *Frontend) suspectRefusal(ctx context.Context, x *request) *outcome.Refusal {
	none := fingerprint.Fingerprint{}
	if x.probation != none || !f.suspecting.Load() {
		return nil
	}
	for _, p := range x.identify().fingerprints() {
		probation, refusal := f.verdictRefusal(ctx, x, p, "endpoints end under this request")
		if refusal != nil {
			return refusal
		}
		if probation != none {
			x.probation = probation
			return nil
		}
	}
	return nil
}

// verdictRefusal returns the refusal of a request because of the verdict on a fingerprint, nil if there is none. One request at a time gets a
// probation instead, which is the fingerprint then and zero otherwise.
func (f *Frontend) verdictRefusal(ctx context.Context, x *request, p fingerprint.Fingerprint, detail string) (probation fingerprint.Fingerprint, refusal *outcome.Refusal) {
	f.mu.Lock()
	now := f.clock.Now()
	v, ok := f.suspects.Find(p)
	if !ok {
		f.mu.Unlock()
		return probation, nil
	}
	if f.suspects.unused[p] {
		delete(f.suspects.unused, p)
		f.mu.Unlock()
		return p, nil
	}
	due := false
	if x.sends == 0 && v.ProbationDue(now) {
		if _, due = f.placement.Select(now, f.placementQuery(x)); due {
			f.suspects.Defer(p, now.Add(claimInterval))
		}
	}
	f.mu.Unlock()
	if due && f.claimProbation(ctx, x, v) {
		return p, nil
	}
	f.metrics.quarantineRefusals.Inc()
	// If the next probation shows that endpoints survive the request, it is served from then on.
	retryAfter := quarantineRetryAfter
	if d := v.NextProbation.Sub(now); d > 0 {
		retryAfter = min(retryAfter, max(d, unavailableRetryAfter))
	}
	return probation, &outcome.Refusal{Reason: outcome.Quarantined, RetryAfter: retryAfter, Detail: detail}
}

// claimProbation takes a probation for a request; granted is false if another entry has it or the result is not known.
func (f *Frontend) claimProbation(ctx context.Context, x *request, v suspicion.Verdict) (granted bool) {
	ctx, cancel := context.WithTimeout(ctx, probationTimeout)
	defer cancel()
	granted = f.suspects.requestRecord.Claim(ctx, v)
	f.log.Warn("probation of a request in quarantine claimed", x.id(), slog.String("Fingerprint", v.Request.String()), slog.Int("Probations", v.Probations), slog.Bool("Granted", granted))
	if granted {
		f.metrics.probations.Inc()
		f.RestoreVerdict(v.TakeProbation(f.clock.Now()))
	}
	return granted
}

// keepProbation keeps a probation for the next such request if this one has reached no endpoint.
func (f *Frontend) keepProbation(x *request) {
	if x.probation == (fingerprint.Fingerprint{}) || x.runs > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.suspects.Find(x.probation); ok {
		f.suspects.unused[x.probation] = true
	}
	f.log.Info("probation is kept: the request reached no endpoint", x.id(), slog.String("Fingerprint", x.probation.String()))
}

// RestoreVerdict adds a verdict that another process has recorded.
func (f *Frontend) RestoreVerdict(v suspicion.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.Restore(v)
	f.updateSuspects()
}

// LiftVerdict ends the quarantine of a request; the ends up to now do not count against it any more.
func (f *Frontend) LiftVerdict(p fingerprint.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.suspects.unused, p)
	if f.suspects.Lift(p) {
		f.log.Warn("quarantine of a request is lifted", slog.String("Fingerprint", p.String()))
	}
	f.updateSuspects()
}

// recordCompleteRun records a response that its endpoint has completed. An endpoint that has ended may seem to complete one that ends with its
// connection, and an endpoint that fails may not have begun to run the request.
func (f *Frontend) recordCompleteRun(x *request, response *upstream.Response) {
	if response.Framing == upstream.CloseFraming || response.Status >= http.StatusInternalServerError {
		return
	}
	if x.call.Model != "" {
		f.mu.Lock()
		now := f.clock.Now()
		f.recordSurvivedPrompt(now, x.service, x.call.SharedParts(), now.Sub(x.sentAt))
		if response.Status < http.StatusMultipleChoices {
			f.passPartProbation(now, x)
		}
		f.mu.Unlock()
	}
	if !f.suspecting.Load() {
		return
	}
	for _, p := range x.identify().fingerprints() {
		f.recordSurvival(p, x.probation == p)
	}
}
