package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/state/call"
	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/quarantine"
)

const (
	// interruptionMemory is the time for which requests that may have been broken off are remembered until their engine is known to be down.
	interruptionMemory = time.Second
	// maxInterruptions bounds these requests at one engine.
	maxInterruptions = 128
	// maxInterruptedRuns is the number of runs of one request that engines may break off: the request may be the cause.
	maxInterruptedRuns = 2
	// quarantineRetryAfter is the Retry-After time of a request with a prompt part in quarantine.
	quarantineRetryAfter = 10 * time.Second
)

// interruption is a request that ended because its connection to the endpoint ended.
type interruption struct {
	at time.Time
	// ran is the time since its send.
	ran time.Duration
	identity
	// parts are those of its prompt that other requests may share, suspects what was known of them when it ended.
	parts    []call.Part
	suspects []quarantine.Suspect
	// probation is that of the request, zero if it was none.
	probation fingerprint.Fingerprint
	// orderly is set if the response looks complete, which it may although the endpoint has ended.
	orderly bool
}

// advanceExposures counts the engines that are up; the lock is held.
func (f *Frontend) advanceExposures(now time.Time) {
	engines, hosts := make(map[ident.Service]int), make(map[string]bool)
	for _, e := range f.endpoints {
		if e.link == nil {
			continue
		}
		hosts[hostOf(e.Address)] = true
		if s := e.agentState(now); s != nil && s.Up {
			engines[e.Service]++
		}
	}
	f.quarantine.SetHosts(len(hosts))
	f.quarantine.SetEntries(f.entryCount(now))
	f.quarantine.Advance(now, engines)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// beginExposure records that a model request is sent to an engine, and returns the function that records that it is not in progress any more.
func (f *Frontend) beginExposure(x *request, e *endpoint) (end func()) {
	if x.call.Model == "" {
		return func() {}
	}
	parts := x.call.SharedParts()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Begin(f.clock.Now(), x.service, parts, e.name)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.quarantine.Stop(f.clock.Now(), x.service, parts, e.name)
	}
}

// recordSurvivedPrompt records that an engine has survived a model request; the lock is held.
func (f *Frontend) recordSurvivedPrompt(now time.Time, s ident.Service, parts []call.Part, ran time.Duration) {
	f.applyQuarantine(now, f.quarantine.Complete(now, s, parts, ran))
}

// applyQuarantine logs and records changes of the quarantine; the lock is held.
func (f *Frontend) applyQuarantine(now time.Time, changes []quarantine.Change) {
	for _, change := range changes {
		f.logQuarantine(change)
		f.quarantineRecord.Record(change)
	}
	if len(changes) > 0 {
		f.updateQuarantined(now)
	}
}

// recordInterruption records that the end of its connection to the endpoint ended a request, and waits for a moment until it is known whether
// the endpoint has ended.
func (f *Frontend) recordInterruption(ctx context.Context, x *request, e *endpoint, orderly bool) {
	i := interruption{identity: x.identify(), parts: x.call.SharedParts(), probation: x.probation, orderly: orderly}
	if x.call.Model != "" && !orderly {
		x.interruptions++
	}
	f.mu.Lock()
	now := f.clock.Now()
	i.at, i.ran = now, now.Sub(x.sentAt)
	switch {
	case x.call.Model != "" && e.link != nil:
		i.suspects = f.quarantine.Suspects(now, e.service, i.parts, i.ran)
		f.dropInterruptions(e, now)
		if len(e.interruptions) < maxInterruptions {
			e.interruptions = append(e.interruptions, i)
		}
		if f.endpoints[e.ID] != e {
			f.reportInterruptions(e, now)
		}
	case x.call.Model != "" && orderly:
		f.recordSurvivedPrompt(now, e.service, i.parts, i.ran)
	}
	checked := f.suspectEnd(e, i)
	f.mu.Unlock()
	if checked != nil && !orderly {
		f.awaitCheck(ctx, checked)
	}
}

// dropInterruptions forgets the interruptions that are too old. The engine has survived the requests whose responses look complete; the lock is
// held.
func (f *Frontend) dropInterruptions(e *endpoint, now time.Time) {
	n := 0
	for n < len(e.interruptions) && now.Sub(e.interruptions[n].at) > interruptionMemory {
		if i := e.interruptions[n]; i.orderly {
			f.recordSurvivedPrompt(now, e.service, i.parts, i.ran)
		}
		n++
	}
	e.interruptions = e.interruptions[n:]
}

// reportInterruptions reports the interrupted requests of an engine to its agent, which knows whether the engine has crashed. Responses that
// look complete are reported only if the engine is down; the lock is held.
func (f *Frontend) reportInterruptions(e *endpoint, now time.Time) {
	f.dropInterruptions(e, now)
	if len(e.interruptions) == 0 || e.link == nil {
		return
	}
	s := e.agentState(now)
	due := s == nil || !s.Up || f.endpoints[e.ID] != e
	for _, i := range e.interruptions {
		due = due || !i.orderly
	}
	if !due {
		return
	}
	r := &control.Interruption{AgeMilli: now.Sub(e.interruptions[0].at).Milliseconds(), Requests: len(e.interruptions)}
	for _, i := range e.interruptions {
		r.Suspects = quarantine.MergeSuspects(r.Suspects, i.suspects)
	}
	if e.enqueueReport(control.UsageReport{Interrupted: r}, now) {
		e.interruptions = nil
		f.metrics.interruptedRequests.Add(r.Requests)
	}
}

// handleCrashes records the crashes that an agent reports; the lock is held.
func (f *Frontend) handleCrashes(l *agentLink, c *control.Crashes) {
	if c == nil {
		return
	}
	now := f.clock.Now()
	for _, x := range c.List {
		if e := f.endpoints[x.Endpoint]; e != nil && e.StartMilli == x.Born {
			f.recordEnd(e, now, crashReported)
		}
		changes := f.quarantine.Observe(now, quarantine.Crash{Endpoint: x.Endpoint, StartMilli: x.Born, Service: f.serviceOf(l, x.Endpoint),
			At: now.Add(-time.Duration(x.AgeMilli) * time.Millisecond), Requests: x.Requests, Suspects: x.Suspects})
		f.log.Info("engine crash reported", slog.String("Endpoint", string(x.Endpoint)), slog.Int64("Born", x.Born), slog.Int64("AgeMilli", x.AgeMilli),
			slog.Int("Requests", x.Requests), slog.Int("Parts", len(x.Suspects)), slog.Int("Crashes", f.quarantine.Crashes()))
		f.applyQuarantine(now, changes)
	}
}

// observeEngineEnd records that an engine is down, or another incarnation, in the next state of its agent. It may have been idle: such ends tell how often
// engines end whatever runs. The lock is held.
func (f *Frontend) observeEngineEnd(l *agentLink, next control.State) {
	last := l.state
	if last == nil || !last.Up || last.Leaving || last.Endpoint == "" || next.Up && next.Endpoint == last.Endpoint && next.Born == last.Born {
		return
	}
	if e := f.endpoints[last.Endpoint]; e != nil && e.Leaving {
		return
	}
	now := f.clock.Now()
	f.applyQuarantine(now, f.quarantine.Observe(now, quarantine.Crash{Endpoint: last.Endpoint, StartMilli: last.Born, Service: f.serviceOf(l, last.Endpoint), At: now}))
}

// serviceOf returns the service of an engine that has crashed, which is that of the engines of its agent; the lock is held.
func (f *Frontend) serviceOf(l *agentLink, engine ident.Endpoint) (s ident.Service) {
	if e := f.endpoints[engine]; e != nil {
		return e.service
	}
	for _, e := range f.endpoints {
		if e.link == l {
			return e.service
		}
	}
	return s
}

// RestoreQuarantine adds a prompt part that another entry has put in quarantine.
func (f *Frontend) RestoreQuarantine(e quarantine.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.quarantine.Restore(now, e)
	f.updateQuarantined(now)
}

// LiftQuarantine ends the quarantine of a prompt part; the crashes up to now do not count against it any more.
func (f *Frontend) LiftQuarantine(p call.PartID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.quarantine.Lift(now, p) {
		f.log.Warn("quarantine of a prompt part is lifted", slog.String("Part", p.String()))
	}
	f.updateQuarantined(now)
}

// Quarantine lists the prompt parts in quarantine.
func (f *Frontend) Quarantine() []quarantine.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Entries(f.clock.Now())
}

func (f *Frontend) logQuarantine(c quarantine.Change) {
	message := "prompt part is in quarantine"
	if c.Released {
		message = "prompt part is released from quarantine: other parts explain the crashes, or engines survive it"
	}
	f.log.Warn(message, slog.String("Part", c.Part.String()), slog.Int("Incidents", c.Incidents), slog.Int("Of", c.Of), slog.Float64("Share", c.Share),
		slog.Float64("Evidence", c.Evidence), slog.Time("Until", c.Until))
}

// quarantineRefusal returns the refusal of a request with a prompt part that is in quarantine, nil if there is none; the lock is held.
func (f *Frontend) quarantineRefusal(now time.Time, x *request) *outcome.Refusal {
	if x.call.Model == "" {
		return nil
	}
	e, ok := f.quarantine.Find(now, x.call.SharedParts(), x.partProbation)
	if !ok {
		return nil
	}
	f.metrics.quarantineRefusals.Inc()
	return &outcome.Refusal{Reason: outcome.Quarantined, RetryAfter: min(quarantineRetryAfter, e.Until.Sub(now)), Detail: fmt.Sprintf("engines crash on prompt part %s", e.Part)}
}

// isQuarantined reports whether the request, or a part of its prompt, has been put in quarantine.
func (f *Frontend) isQuarantined(x *request) bool {
	var i identity
	if f.suspecting.Load() && x.probation == (fingerprint.Fingerprint{}) {
		i = x.identify()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range i.fingerprints() {
		if _, ok := f.suspects.Find(p); ok {
			return true
		}
	}
	_, ok := f.quarantine.Find(f.clock.Now(), x.call.SharedParts(), x.partProbation)
	return ok
}

// mayRepeatInterrupted reports whether a request that endpoints have broken off may run again; the lock is held.
func (f *Frontend) mayRepeatInterrupted(x *request) bool {
	if x.partProbation != 0 || x.probation != (fingerprint.Fingerprint{}) || x.identity != nil && f.suspects.Ends(x.identity.request) > maxRepeatedEnds {
		return false
	}
	return x.interruptions == 0 || x.interruptions < maxInterruptedRuns && !f.quarantine.Suspected(x.service, x.call.SharedParts())
}
