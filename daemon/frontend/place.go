package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/retry"
	"shallotring.dev/state/routing"

	"shallotring.dev/protocol/control"
)

// maxMoves bounds the endpoints at which one request waits for its adapter.
const maxMoves = 6

// headBytes stands for the headers of a request and its answer.
const headBytes = 1024

func (f *Frontend) query(x *request) placement.Query {
	q := placement.Query{Adapter: x.adapter, PromptTokens: x.call.PromptTokens, Zone: f.zone, Bytes: len(x.body) + headBytes, Exclude: x.excluded}
	if x.call.Model == "" {
		q.Service = x.service
		return q
	}
	q.BaseModel = x.call.Model
	q.OutputTokens = x.call.ExpectedOutputTokens
	if q.OutputTokens == 0 {
		// Most answers are far shorter than the most that the caller takes.
		q.OutputTokens = x.call.MaxOutputTokens / 4
	}
	q.Prefix, q.PrefixTokens = x.call.Shared()
	return q
}

// budget returns the budget of repeats of a service; the lock is held.
func (f *Frontend) budget(s ident.Service) *retry.Window {
	b := f.budgets[s]
	if b == nil {
		b = retry.NewWindow(f.retries.Ratio, f.retries.Extra, f.retries.Window)
		f.budgets[s] = b
	}
	return b
}

// place chooses an endpoint and waits until it holds the adapter; a refusal means that nothing was sent now.
func (f *Frontend) place(ctx context.Context, x *request) (e *endpoint, refusal *outcome.Refusal) {
	for range maxMoves {
		now := f.clock.Now()
		if x.deadline.Sub(now) < shortest {
			return nil, &outcome.Refusal{Reason: outcome.Deadline, RetryAfter: unavailable, Detail: "no time is left"}
		}
		f.mu.Lock()
		q := f.query(x)
		name, cost, ok := f.placement.Cheapest(now, q)
		e = f.endpoints[name]
		if !ok || e == nil {
			f.mu.Unlock()
			return nil, &outcome.Refusal{Reason: outcome.NoEndpoint, RetryAfter: restart, Detail: fmt.Sprintf("of service %s", x.service)}
		}
		if expected := time.Duration(cost * float64(time.Millisecond)); now.Add(expected).After(x.deadline) {
			f.mu.Unlock()
			return nil, &outcome.Refusal{Reason: outcome.Deadline, RetryAfter: min(max(expected-x.route.LatencyGoal/2, unavailable), x.deadline.Sub(now)/3), Detail: fmt.Sprintf("expected wait %d ms", expected.Milliseconds())}
		}
		f.began(now, x, e, q)
		f.chosen(now, x, e, cost)
		if x.adapter.IsZero() || e.holds(now, x.adapter) {
			f.mu.Unlock()
			return e, nil
		}
		if e.state(now) == nil {
			// Without its agent nobody loads the adapter there.
			f.mu.Unlock()
			f.ended(x, e, q, false)
			x.excluded = append(x.excluded, e.name)
			continue
		}
		w := e.want(x.adapter)
		e.link.offer(control.Account{Wants: []holdings.Demand{{Adapter: x.adapter, Waiting: w.requests}}}, now)
		f.mu.Unlock()
		if f.await(ctx, x, e, w, now) {
			return e, nil
		}
		f.ended(x, e, q, false)
		if ctx.Err() != nil {
			return nil, &outcome.Refusal{Reason: outcome.Deadline, Detail: "adapter was not loaded in time"}
		}
		x.excluded = append(x.excluded, e.name)
	}
	return nil, &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: unavailable, Detail: "no engine loaded the adapter"}
}

// chosen writes the decision with the age of the agent's state, or that of discovery if there is none; the lock is held.
func (f *Frontend) chosen(now time.Time, x *request, e *endpoint, cost float64) {
	age, load := int64(-1), 0
	if s := e.state(now); s != nil {
		age, load = now.Sub(e.link.heard).Milliseconds(), s.Running
	}
	f.log.Info("endpoint chosen", x.id(), slog.String("Endpoint", string(e.ID)), slog.Int64("CostMilli", int64(cost)),
		slog.Int64("Configuration", x.configuration), slog.String("Adapter", x.adapter.String()), slog.Bool("Held", x.adapter.IsZero() || e.holds(now, x.adapter)),
		slog.Int64("StateAgeMilli", age), slog.Int("Running", load), slog.Int("Own", e.running),
		slog.String("Source", x.source))
}

// await waits until the endpoint holds the adapter, or until another endpoint is to be tried.
func (f *Frontend) await(ctx context.Context, x *request, e *endpoint, w *wait, began time.Time) (loaded bool) {
	limit := holdings.Wait{Start: began, Deadline: x.deadline}
	again, leave := limit.Next(began, false)
	t := f.clock.NewTimer(again)
	defer t.Stop()
	for !leave {
		select {
		case <-w.done:
			leave = true
		case <-ctx.Done():
			leave = true
		case <-t.C:
			if again, leave = limit.Next(f.clock.Now(), f.loading(e, x.adapter)); !leave {
				t.Reset(again)
			}
		}
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.requests--; w.requests == 0 && e.waits[x.adapter] == w {
		delete(e.waits, x.adapter)
		e.link.offer(control.Account{Wants: []holdings.Demand{{Adapter: x.adapter}}}, now)
	}
	loaded = ctx.Err() == nil && e.holds(now, x.adapter) && f.endpoints[e.ID] == e
	f.metrics.loads.Update(now.Sub(began).Seconds())
	f.log.Info("adapter awaited", x.id(), slog.String("Adapter", x.adapter.String()), slog.String("Endpoint", string(e.ID)),
		slog.Bool("Loaded", loaded), slog.Int64("DurationMilli", now.Sub(began).Milliseconds()))
	return loaded
}

// loading reports whether the agent has said that the adapter is on its way.
func (f *Frontend) loading(e *endpoint, av ident.AdapterVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := e.state(f.clock.Now())
	return s != nil && slices.Contains(s.Holdings.Loading, av)
}

func (e *endpoint) holds(now time.Time, av ident.AdapterVersion) bool {
	for _, x := range e.resident(now) {
		if x == av {
			return true
		}
	}
	return false
}

// began counts a request at an endpoint; the lock is held.
func (f *Frontend) began(now time.Time, x *request, e *endpoint, q placement.Query) {
	x.source = ""
	if source, ok := f.placement.Source(now, e.ID, q); ok {
		if other := f.endpoints[source]; other != nil && other.state(now) != nil {
			x.source = other.Address
		}
	}
	x.reading = f.placement.Sent(now, e.ID, q)
	e.running++
	if q.Service != "" {
		return
	}
	// Requests for the base model alone are accounted under the empty adapter.
	u := e.uses[x.adapter]
	if u == nil {
		u = &holdings.Use{Adapter: x.adapter}
		e.uses[x.adapter] = u
	}
	u.Started++
	u.Prompt += x.reading
	u.Running++
}

// ended takes a request off an endpoint's counts. A stream leaves the prompts that wait when its answer begins, and the rest
// when it ends.
func (f *Frontend) ended(x *request, e *endpoint, q placement.Query, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Service == "" {
		f.placement.Started(e.ID, x.reading)
	}
	if started {
		return
	}
	f.left(x, e, q)
}

// left takes a request off the running ones; the lock is held.
func (f *Frontend) left(x *request, e *endpoint, q placement.Query) {
	f.placement.Done(f.clock.Now(), e.ID, q)
	e.running--
	if u := e.uses[x.adapter]; u != nil {
		u.Running--
	}
	if e.link == nil && f.endpoints[e.ID] == e {
		f.observe(e)
	}
}

// misdirected corrects the view of an endpoint that does not hold what its agent or discovery said.
func (f *Frontend) misdirected(x *request, e *endpoint) {
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
		// Another endpoint has the address.
		e.suspended = f.clock.Now().Add(suspension)
		f.observe(e)
	}
}
