package frontend

import (
	"log/slog"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"shallotring.dev/protocol/control"
	"shallotring.dev/protocol/upstream"
	"shallotring.dev/state/holdings"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/inventory"
	"shallotring.dev/state/placement"
	"shallotring.dev/state/resource"
)

const (
	// stateExpiry is the time after which the last state of an agent is ignored if no newer one has arrived; agents send one at
	// least every 400 ms.
	stateExpiry = 1200 * time.Millisecond
	// suspensionDuration is the time for which an endpoint that could not be reached gets no requests.
	suspensionDuration = time.Second
	// failureTimeConstantSeconds is the time constant with which the failure rate decays.
	failureTimeConstantSeconds = 3.0
	// maxFailurePenalty is the cost that is added to an endpoint all of whose requests fail.
	maxFailurePenalty = 800 * time.Millisecond
	// failureExpirySeconds is the time without requests after which the failures of an endpoint are ignored.
	failureExpirySeconds = 10.0
	// entryCountMemory is the time after which a lower number of entries is believed: to an agent that has restarted, entries connect one by
	// one.
	entryCountMemory = 10 * time.Second
)

// endpoint is the state of one incarnation of an endpoint; the frontend's lock guards it.
type endpoint struct {
	inventory.Endpoint
	// name and service are copies of the id and the service. They and pool never change, so they are read without the lock.
	name    ident.Endpoint
	service ident.Service
	pool    *upstream.Pool
	link    *agentLink
	// running counts this entry's requests in progress at the endpoint; uses and waits are by adapter.
	running int
	uses    map[ident.AdapterVersion]*holdings.Use
	waits   map[ident.AdapterVersion]*loadWait

	unreadPrompts

	// interruptions are requests that have not been reported to the agent.
	interruptions []interruption

	suspendedUntil time.Time
	// pausedUntil is the time until which the endpoint has asked this host to send nothing.
	pausedUntil time.Time
	endpointLimit
	endState
	// superseded is set once a later incarnation uses the address.
	superseded bool
	// doubted is set while the endpoint is missing from discovery, but does not count as removed yet.
	doubted bool
	// formerStarts are the start times of earlier incarnations with the same id, the latest last.
	formerStarts []int64
	// recentFailures and recentSends count requests with an exponential decay, which was applied last at decayedAt.
	recentFailures float64
	recentSends    float64
	decayedAt      time.Time
}

// loadWait is shared by the requests that wait for one adapter at one endpoint.
type loadWait struct {
	requests int
	// done is closed when the adapter is resident or the endpoint is lost.
	done chan struct{}
}

func (f *Frontend) addEndpoint(d inventory.Endpoint) *endpoint {
	d.Leaving = d.Leaving || f.departures.wasLeaving(d)
	e := &endpoint{
		Endpoint: d, name: d.ID, service: d.Service, uses: make(map[ident.AdapterVersion]*holdings.Use), waits: make(map[ident.AdapterVersion]*loadWait),
		pool: upstream.New(d.Address, upstream.WithClock(f.clock), upstream.WithLimit(f.connectionLimit(d.Service))),
	}
	f.endpoints[d.ID] = e
	return e
}

// attachLink connects an engine to its agent. updatePlacement calls it, because an engine that has nothing loaded yet is recognized as
// an engine only by the configuration, which may arrive after the endpoint.
func (f *Frontend) attachLink(e *endpoint) {
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		f.log.Warn("invalid endpoint address; the engine is not linked to its agent", slog.String("Endpoint", string(e.ID)), slog.Any("Error", err))
		return
	}
	address := net.JoinHostPort(host, strconv.Itoa(f.agentPort))
	l := f.links[address]
	if l == nil {
		l = newLink(f, address)
		f.links[address] = l
		f.startLink(l)
	}
	e.link = l
}

// connectionLimit returns this entry's share of the connections that an endpoint accepts from all its clients; 0 means no limit.
func (f *Frontend) connectionLimit(s ident.Service) int {
	t := f.routes.Load()
	if t == nil || t.Services[s].Connections == 0 {
		return 0
	}
	return max(t.Services[s].Connections/2, 1)
}

func (f *Frontend) isEngine(d inventory.Endpoint) bool {
	t := f.routes.Load()
	return d.IsEngine() || (t != nil && t.Services[d.Service].Engine != nil)
}

// forgetEndpoint removes an endpoint and what is kept of it; its requests in progress continue.
func (f *Frontend) forgetEndpoint(e *endpoint, reason string) {
	f.log.Info("endpoint removed", slog.String("Endpoint", string(e.ID)), slog.String("Reason", reason), slog.Int("Running", e.running))
	if e.Leaving {
		f.departures.recordLeaving(f.clock.Now(), e.Endpoint)
	}
	delete(f.endpoints, e.ID)
	f.reportInterruptions(e, f.clock.Now())
	f.placement.Remove(e.ID)
	e.pool.Close()
	for av := range e.waits {
		e.wake(av)
	}
}

// removeEndpoint removes an endpoint, and the link to its agent if no other endpoint uses it.
func (f *Frontend) removeEndpoint(e *endpoint, reason string) {
	f.forgetEndpoint(e, reason)
	f.releaseLink(e)
}

// releaseLink stops the link to the agent of a removed endpoint unless another endpoint uses it.
func (f *Frontend) releaseLink(e *endpoint) {
	if e.link == nil {
		return
	}
	for _, other := range f.endpoints {
		if other.link == e.link {
			return
		}
	}
	e.link.stop()
	delete(f.links, e.link.address)
}

func (e *endpoint) wake(av ident.AdapterVersion) {
	if w := e.waits[av]; w != nil {
		close(w.done)
		delete(e.waits, av)
	}
}

// agentState returns the agent's state of this incarnation of the engine, or nil if there is no recent one.
func (e *endpoint) agentState(now time.Time) *control.State {
	if e.link == nil || e.link.state == nil || now.Sub(e.link.stateAt) > stateExpiry || e.link.state.Endpoint != e.ID || !e.startedAt(e.link.state.Born) {
		return nil
	}
	return e.link.state
}

// replaced reports whether the agent's recent state names another incarnation of the engine.
func (e *endpoint) replaced(now time.Time) bool {
	return e.link != nil && e.link.state != nil && now.Sub(e.link.stateAt) <= stateExpiry && e.link.state.Endpoint != "" && e.link.state.Endpoint != e.ID
}

// residentAdapters lists the resident adapters of the endpoint according to its agent, or to discovery without a recent state.
func (e *endpoint) residentAdapters(now time.Time) []ident.AdapterVersion {
	if s := e.agentState(now); s != nil {
		return s.Holdings.Resident
	}
	return e.Resident
}

// baseModel returns the base model that is loaded according to the agent, or to discovery without a recent state; discovery is about a
// second behind the agent.
func (e *endpoint) baseModel(now time.Time) (m ident.ModelVersion) {
	if s := e.agentState(now); s != nil {
		return s.Holdings.BaseModel()
	}
	if len(e.Models) > 0 {
		return e.Models[0]
	}
	return m
}

// updatePlacement passes the current state of an endpoint to the placement and wakes the requests whose wait is over. Nothing is passed for
// an endpoint that has been removed or replaced by its next incarnation.
func (f *Frontend) updatePlacement(e *endpoint) {
	if f.endpoints[e.ID] != e {
		return
	}
	now := f.clock.Now()
	report := placement.Report{
		Endpoint: e.ID, Service: e.Service, Zone: e.Zone, Kind: resource.Service, BatchSize: e.BatchSize, Running: e.running,
		Leaving: e.Leaving || e.superseded || f.barred(e) || now.Before(e.suspendedUntil) || now.Before(e.pausedUntil) || e.replaced(now), Penalty: e.failurePenalty(now),
	}
	if f.isEngine(e.Endpoint) {
		report.Kind = resource.Engine
		if e.link == nil && f.agentPort != 0 {
			f.attachLink(e)
		}
		base := e.baseModel(now)
		report.BaseModel, report.BaseVersion = base.Model, base.Version
		if c, ok := f.engineCapacity(e.Service); ok {
			report.Slots = c.AdapterSlots()
		}
		report.Resident, report.Fixed = e.residentAdapters(now), e.agentState(now) == nil || !f.loadsAdapters(e.Service)
		if s := e.agentState(now); s != nil {
			report.Leaving = report.Leaving || s.Leaving || !s.Up
			report.Running, report.Queued, report.Starting, report.Loading = s.Running, s.Queued, s.Starting, s.Holdings.Loading
			report.PromptRate = float64(s.PromptRate)
			report.OthersUnread, report.KnowsUnread = e.othersUnread, s.CountsUnread
			report.Pinned = s.Pinned
		}
	}
	leaving := report.Leaving
	if f.refreshLimit(now, e).Named {
		// Loads go to other endpoints; soonestLimited chooses one with a limit if all have one.
		report.Fixed = true
		report.Leaving = report.Leaving || now.Before(e.freeAt)
	}
	f.placement.Observe(now, report)
	for av := range e.waits {
		if slices.Contains(report.Resident, av) || leaving {
			e.wake(av)
		}
	}
}

func (e *endpoint) decayFailures(now time.Time) {
	if elapsed := now.Sub(e.decayedAt).Seconds(); elapsed > 0 {
		factor := math.Exp(-elapsed / failureTimeConstantSeconds)
		e.recentFailures *= factor
		e.recentSends *= factor
		e.decayedAt = now
	}
}

// failurePenalty returns a cost that grows with the share of recent requests that failed.
func (e *endpoint) failurePenalty(now time.Time) time.Duration {
	if now.Sub(e.decayedAt).Seconds() > failureExpirySeconds || e.recentSends == 0 {
		return 0
	}
	return time.Duration(e.recentFailures / (e.recentSends + 1) * float64(maxFailurePenalty))
}

// recordResult records the result of a request; an endpoint that was unreachable is suspended.
func (f *Frontend) recordResult(e *endpoint, failed, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	e.decayFailures(now)
	e.recentSends++
	if failed {
		e.recentFailures++
	}
	if unreachable {
		e.suspendedUntil = now.Add(suspensionDuration)
		f.log.Warn("endpoint unreachable; it gets no requests while it is suspended", slog.String("Endpoint", string(e.ID)), slog.Int64("DurationMilli", suspensionDuration.Milliseconds()))
	}
	if failed || unreachable {
		f.updatePlacement(e)
	}
}

// refreshEndpoints updates the time-dependent state of the endpoints and sends the usage reports and demands to the agents.
func (f *Frontend) refreshEndpoints() {
	f.mu.Lock()
	now := f.clock.Now()
	f.applyRestoredEndpoints(now)
	f.advanceExposures(now)
	f.suspects.Expire(now)
	f.updateSuspects()
	f.updateEntryCount(now)
	f.refreshUsage(now)
	for _, e := range f.endpoints {
		f.reportInterruptions(e, now)
		e.decayFailures(now)
		if e.link == nil {
			f.updatePlacement(e)
			continue
		}
		if e.agentState(now) == nil || e.limited {
			f.updatePlacement(e)
		}
		var report control.UsageReport
		for _, u := range e.uses {
			report.Uses = append(report.Uses, *u)
		}
		for av, w := range e.waits {
			report.Wants = append(report.Wants, holdings.Demand{Adapter: av, Waiting: w.requests})
		}
		if e.enqueueReport(report, now) {
			e.resetUses()
		}
	}
	f.mu.Unlock()
}

// resetUses begins the counts of the next usage report.
func (e *endpoint) resetUses() {
	for av, u := range e.uses {
		u.Started, u.Prompt = 0, 0
		if u.Running == 0 {
			delete(e.uses, av)
		}
	}
}

// entryCount returns the number of entries, which is the highest count of connected entries that agents have reported within
// entryCountMemory, or the last one while no agent reports; the lock is held.
func (f *Frontend) entryCount(now time.Time) int {
	f.updateEntryCount(now)
	return max(f.entries, f.rosterEntries, 1)
}

// NeedsEntries reports whether an endpoint has a limit and there is no agent that could tell the number of entries.
func (f *Frontend) NeedsEntries() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.links) > 0 {
		return false
	}
	for _, e := range f.endpoints {
		if e.limited {
			return true
		}
	}
	return false
}

// SetEntries sets the number of entries according to the store, 0 if it is not known.
func (f *Frontend) SetEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rosterEntries = n
}

// updateEntryCount records the number of entries that agents report; the lock is held.
func (f *Frontend) updateEntryCount(now time.Time) {
	reported := 0
	for _, e := range f.endpoints {
		if s := e.agentState(now); s != nil {
			reported = max(reported, s.Entries)
		}
	}
	if reported > 0 && (reported >= f.entries || now.Sub(f.entriesAt) > entryCountMemory) {
		f.entries, f.entriesAt = reported, now
	}
}
