package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/retry"
	"shallotring.dev/state/routing"

	"shallotring.dev/protocol/control"
)

// maxLoadWaits is the maximum number of endpoints at which one request waits for its adapter.
const maxLoadWaits = 6

// headerBytes is the assumed size of the headers of a request and its response.
const headerBytes = 1024

func (f *Frontend) placementQuery(x *request) placement.Query {
	q := placement.Query{Service: x.service, Adapter: x.adapter, PromptTokens: x.call.PromptTokens, Zone: f.zone, Bytes: len(x.body) + headerBytes, Exclude: x.excluded}
	if x.call.Model == "" {
		return q
	}
	q.BaseModel = x.call.Model
	q.OutputTokens = x.call.ExpectedOutputTokens
	if q.OutputTokens == 0 {
		// Most responses are far shorter than the maximum that the caller accepts.
		q.OutputTokens = x.call.MaxOutputTokens / 4
	}
	q.Prefix, q.PrefixTokens = x.call.SharedPrefix()
	return q
}

// retryBudget returns the retry budget of a service; the lock is held.
func (f *Frontend) retryBudget(s ident.Service) *retry.Window {
	b := f.retryBudgets[s]
	if b == nil {
		b = retry.NewWindow(f.retryLimit.Ratio, f.retryLimit.Extra, f.retryLimit.Window)
		f.retryBudgets[s] = b
	}
	return b
}

// place chooses an endpoint and waits until the adapter is resident there; place itself sends no request.
func (f *Frontend) place(ctx context.Context, x *request) (e *endpoint, refusal *outcome.Refusal) {
	denials := 0
	for waits := 0; waits < maxLoadWaits; {
		now := f.clock.Now()
		if x.deadline.Sub(now) < minRemaining {
			return nil, &outcome.Refusal{Reason: outcome.Deadline, RetryAfter: unavailableRetryAfter, Detail: "too little time remains"}
		}
		if f.endsTooLate(x) {
			return nil, &outcome.Refusal{Reason: outcome.Stopping, RetryAfter: unavailableRetryAfter, Detail: "the entry is stopping"}
		}
		if refusal := f.suspectRefusal(ctx, x); refusal != nil {
			return nil, refusal
		}
		f.takePartProbation(ctx, x)
		f.mu.Lock()
		if refusal := f.followRoute(x); refusal != nil {
			f.mu.Unlock()
			return nil, refusal
		}
		if refusal := f.quarantineRefusal(now, x); refusal != nil {
			f.mu.Unlock()
			return nil, refusal
		}
		f.setAdapterVersion(x)
		q := f.placementQuery(x)
		maxWait := time.Duration(0)
		e, cost := f.choose(now, x, q)
		if e == nil {
			e, maxWait = f.soonestLimited(now, x)
		}
		if e == nil {
			refusal := f.noEndpointRefusal(now, x)
			f.mu.Unlock()
			return nil, refusal
		}
		if expected := time.Duration(cost * float64(time.Millisecond)); now.Add(expected).After(x.deadline) {
			f.mu.Unlock()
			return nil, &outcome.Refusal{Reason: outcome.Deadline, RetryAfter: min(max(expected-x.route.LatencyGoal/2, unavailableRetryAfter), x.deadline.Sub(now)/3), Detail: fmt.Sprintf("expected wait %d ms", expected.Milliseconds())}
		}
		f.addRequest(now, x, e, q)
		f.logChoice(now, x, e, cost)
		if x.adapter.IsZero() || e.holds(now, x.adapter) {
			if e.Zone != f.zone && !x.adapter.IsZero() {
				f.prefetch(now, x, q)
			}
			f.mu.Unlock()
			if f.acquireSend(ctx, x, e, maxWait) && f.mayStillBeSent(x, e) {
				return e, nil
			}
			f.removeRequest(x, e, false)
			if denials++; denials == maxSendDenials || ctx.Err() != nil {
				break
			}
			continue
		}
		waits++
		if e.agentState(now) == nil {
			// Without its agent, the engine loads no adapter.
			f.mu.Unlock()
			f.removeRequest(x, e, false)
			x.excluded = append(x.excluded, e.name)
			continue
		}
		f.mu.Unlock()
		if refusal := f.loadRefusal(ctx, x); refusal != nil {
			f.removeRequest(x, e, false)
			return nil, refusal
		}
		f.mu.Lock()
		w := e.addWaiting(x.adapter)
		e.enqueueReport(control.UsageReport{Wants: []holdings.Demand{{Adapter: x.adapter, Waiting: w.requests}}}, now)
		f.mu.Unlock()
		limit := holdings.Wait{Start: now, Deadline: x.deadline}
		if maxWait > 0 {
			limit.Deadline = now.Add(holdings.WaitFraction * maxWait)
		}
		loaded := f.waitForLoad(ctx, x, e, w, limit)
		f.recordLoad(x, e, loaded, now)
		if loaded && f.acquireSend(ctx, x, e, maxWait) && f.mayStillBeSent(x, e) {
			return e, nil
		}
		f.removeRequest(x, e, false)
		if loaded {
			continue
		}
		if ctx.Err() != nil {
			return nil, &outcome.Refusal{Reason: outcome.Deadline, Detail: "adapter was not loaded in time"}
		}
		if maxWait > 0 {
			// All endpoints have limits, so another one would not load the adapter sooner.
			break
		}
		if !f.isOutdated(x) {
			x.excluded = append(x.excluded, e.name)
		}
	}
	if denials > 0 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return nil, f.noEndpointRefusal(f.clock.Now(), x)
	}
	return nil, &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: unavailableRetryAfter, Detail: "no engine loaded the adapter in time"}
}

// endsTooLate reports whether the entry is stopping and may end before the request.
func (f *Frontend) endsTooLate(x *request) bool {
	end := f.endTime.Load()
	return end != nil && (x.route.Kind == routing.Stream || x.deadline.After(*end))
}

// noEndpointRefusal returns the refusal of a request that no endpoint can take now, with the time until one is expected to; the lock is held.
func (f *Frontend) noEndpointRefusal(now time.Time, x *request) *outcome.Refusal {
	if refusal := f.capacityRefusal(x); refusal != nil {
		return refusal
	}
	r := &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: restartRetryAfter, Detail: fmt.Sprintf("for service %s", x.service)}
	if d := f.resumeDelay(now, x.service); d > 0 {
		r.RetryAfter = max(d, unavailableRetryAfter)
	}
	if d := f.limitDelay(now, x); d > 0 {
		r.RetryAfter = max(d, unavailableRetryAfter)
		r.Detail += ": its endpoints limit their requests"
	}
	return r
}

// prefetch asks an engine in the entry's own zone to load the adapter of a request that goes to another zone, if that pays; the lock is
// held.
func (f *Frontend) prefetch(now time.Time, x *request, q placement.Query) {
	name, ok := f.placement.Prefetch(now, q)
	e := f.endpoints[name]
	if !ok || e == nil || e.link == nil {
		return
	}
	// The agent drops the demand when the adapter is resident, or after some seconds.
	e.enqueueReport(control.UsageReport{Wants: []holdings.Demand{{Adapter: x.adapter, Waiting: 1}}}, now)
	f.metrics.prefetches.Inc()
	f.log.Info("adapter requested ahead", x.id(), slog.String("Adapter", x.adapter.String()), slog.String("Endpoint", string(name)))
}

// logChoice logs the chosen endpoint with the age of the agent's state, or -1 if there is no recent one; the lock is held.
func (f *Frontend) logChoice(now time.Time, x *request, e *endpoint, cost float64) {
	age, running := int64(-1), 0
	if s := e.agentState(now); s != nil {
		age, running = now.Sub(e.link.stateAt).Milliseconds(), s.Running
	}
	f.log.Info("endpoint chosen", x.id(), slog.String("Endpoint", string(e.ID)), slog.String("BaseVersion", string(e.baseModel(now).Version)), slog.Int64("CostMilli", int64(cost)),
		slog.Int64("Configuration", x.configuration), slog.String("Adapter", x.adapter.String()), slog.Bool("Held", x.adapter.IsZero() || e.holds(now, x.adapter)),
		slog.Uint64("PromptTokens", uint64(x.try.PromptTokens)), slog.Int64("StateAgeMilli", age), slog.Int("Running", running), slog.Int("Own", e.running),
		slog.Bool("Source", x.source != nil), partsAttr(x))
}

// partsAttr is the log attribute of the parts of a prompt that other requests may share.
func partsAttr(x *request) slog.Attr {
	var b strings.Builder
	for i, p := range x.call.SharedParts() {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.ID.String())
	}
	return slog.String("Parts", b.String())
}

// waitForLoad waits until the adapter is resident at the endpoint, or until another endpoint is to be tried.
func (f *Frontend) waitForLoad(ctx context.Context, x *request, e *endpoint, w *loadWait, limit holdings.Wait) (loaded bool) {
	recheck, stopWaiting := limit.Next(limit.Start, false)
	t := f.clock.NewTimer(recheck)
	defer t.Stop()
	for !stopWaiting {
		select {
		case <-w.done:
			stopWaiting = true
		case <-ctx.Done():
			stopWaiting = true
		case <-t.C:
			if recheck, stopWaiting = limit.Next(f.clock.Now(), f.mayLoad(e, x.adapter)); !stopWaiting {
				t.Reset(recheck)
			}
		}
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.requests--; w.requests == 0 && e.waits[x.adapter] == w {
		delete(e.waits, x.adapter)
		e.enqueueReport(control.UsageReport{Wants: []holdings.Demand{{Adapter: x.adapter}}}, now)
	}
	loaded = ctx.Err() == nil && x.adapter.Version == f.currentVersion(x.adapter.Adapter) && e.holds(now, x.adapter) && f.endpoints[e.ID] == e && !e.closed(now) && !f.barred(e)
	f.metrics.loadWaits.Update(now.Sub(limit.Start).Seconds())
	f.log.Info("wait for the adapter ended", x.id(), slog.String("Adapter", x.adapter.String()), slog.String("Endpoint", string(e.ID)),
		slog.Bool("Loaded", loaded), slog.Int64("DurationMilli", now.Sub(limit.Start).Milliseconds()))
	return loaded
}

// mayLoad reports whether the agent's state lists the adapter as loading, or is seldom updated because the engine has a limit.
func (f *Frontend) mayLoad(e *endpoint, av ident.AdapterVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := e.agentState(f.clock.Now())
	return s != nil && (e.limited || slices.Contains(s.Holdings.Loading, av))
}

func (e *endpoint) holds(now time.Time, av ident.AdapterVersion) bool {
	for _, x := range e.residentAdapters(now) {
		if x == av {
			return true
		}
	}
	return false
}

// addRequest counts a request at an endpoint as running and chooses the engine from which it may fetch its cached prompt prefix; the lock
// is held.
func (f *Frontend) addRequest(now time.Time, x *request, e *endpoint, q placement.Query) {
	x.source = nil
	if source, ok := f.placement.Source(now, e.ID, q); ok {
		x.source = f.endpoints[source]
	}
	x.try = f.placement.Sent(now, e.ID, q)
	e.running++
	if x.call.Model == "" {
		return
	}
	// Requests for the base model alone are counted under the empty adapter.
	u := e.uses[x.adapter]
	if u == nil {
		u = &holdings.Use{Adapter: x.adapter}
		e.uses[x.adapter] = u
	}
	u.Started++
	u.Prompt += x.try.PromptTokens
	u.Running++
}

// removeRequest stops counting the prompt of a request as waiting at the endpoint and, unless started, the request as running. started
// means that its response is a stream that has just started; such a request counts as running until the stream ends.
func (f *Frontend) removeRequest(x *request, e *endpoint, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.call.Model != "" {
		f.placement.RecordPromptRead(x.try)
	}
	if started {
		return
	}
	f.removeRunning(x, e)
}

// removeRunning removes a request from the running ones of an endpoint; the lock is held.
func (f *Frontend) removeRunning(x *request, e *endpoint) {
	f.placement.Done(f.clock.Now(), x.try)
	e.running--
	if u := e.uses[x.adapter]; u != nil {
		u.Running--
	}
	if e.link == nil {
		f.updatePlacement(e)
	}
}

// handleMisdirected corrects the state of an endpoint that does not hold the adapter that its agent or discovery reported.
func (f *Frontend) handleMisdirected(x *request, e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var kept []ident.AdapterVersion
	for _, av := range e.Resident {
		if av != x.adapter {
			kept = append(kept, av)
		}
	}
	e.Resident = kept
	if x.route.Kind != routing.Stream {
		// For a route without streams, misdirected means that another endpoint uses the address.
		e.suspendedUntil = f.clock.Now().Add(suspensionDuration)
		f.updatePlacement(e)
	}
}
