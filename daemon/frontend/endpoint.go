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
	// stateExpiry is the time after which an agent that says nothing is not believed any more.
	stateExpiry = 1200 * time.Millisecond
	// suspension keeps requests away from an endpoint that could not be reached.
	suspension = time.Second
	// failureMemory is the time constant of the failure rate.
	failureMemory = 3.0
	// failurePenalty is the cost of an endpoint all of whose requests fail.
	failurePenalty = 800 * time.Millisecond
	// lastVisit is the time after which failures say nothing more of an endpoint that got no requests.
	lastVisit = 10.0
)

// endpoint is what the frontend knows of one life of an endpoint; the frontend's lock guards it.
type endpoint struct {
	inventory.Endpoint
	// name is the id, which does not change and is read without the lock; so is the pool.
	name ident.Endpoint
	pool *upstream.Pool
	link *link
	// running counts this entry's requests, also by adapter.
	running int
	uses    map[ident.AdapterVersion]*holdings.Use
	waits   map[ident.AdapterVersion]*wait

	suspended time.Time
	// superseded is set once a later life has the address.
	superseded bool
	failures   float64
	attempts   float64
	counted    time.Time
}

// wait is shared by the requests that wait for one adapter at one endpoint.
type wait struct {
	requests int
	// done is closed when the adapter is resident or the endpoint is lost.
	done chan struct{}
}

func (f *Frontend) add(d inventory.Endpoint) *endpoint {
	e := &endpoint{
		Endpoint: d, name: d.ID, uses: make(map[ident.AdapterVersion]*holdings.Use), waits: make(map[ident.AdapterVersion]*wait),
		pool: upstream.New(d.Address, upstream.WithClock(f.clock), upstream.WithLimit(f.connections(d.Service))),
	}
	f.endpoints[d.ID] = e
	return e
}

// connect links an engine to its agent. An engine that holds nothing yet is known as one only by the configuration, which may
// come after it.
func (f *Frontend) connect(e *endpoint) {
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		f.log.Warn("endpoint address is not valid", slog.String("Endpoint", string(e.ID)), slog.Any("Error", err))
		return
	}
	address := net.JoinHostPort(host, strconv.Itoa(f.control))
	l := f.links[address]
	if l == nil {
		l = newLink(f, address)
		f.links[address] = l
		f.start(l)
	}
	e.link = l
}

// connections is this entry's part of the connections that endpoints accept from all callers.
func (f *Frontend) connections(s ident.Service) int {
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

func (f *Frontend) remove(e *endpoint, reason string) {
	f.log.Info("endpoint left", slog.String("Endpoint", string(e.ID)), slog.String("Reason", reason), slog.Int("Running", e.running))
	delete(f.endpoints, e.ID)
	f.placement.Remove(e.ID)
	e.pool.Close()
	for av := range e.waits {
		e.wake(av)
	}
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

// state returns what the agent says of this life of the engine, or nil if it says nothing recent.
func (e *endpoint) state(now time.Time) *control.State {
	if e.link == nil || e.link.state == nil || now.Sub(e.link.heard) > stateExpiry || e.link.state.Endpoint != e.ID {
		return nil
	}
	return e.link.state
}

// displaced reports whether the agent names another life of the engine.
func (e *endpoint) displaced(now time.Time) bool {
	return e.link != nil && e.link.state != nil && now.Sub(e.link.heard) <= stateExpiry && e.link.state.Endpoint != "" && e.link.state.Endpoint != e.ID
}

// resident lists the adapters that the endpoint holds, by its agent or else by discovery.
func (e *endpoint) resident(now time.Time) []ident.AdapterVersion {
	if s := e.state(now); s != nil {
		return s.Holdings.Resident
	}
	return e.Resident
}

// observe gives the placement what is known of an endpoint now.
func (f *Frontend) observe(e *endpoint) {
	now := f.clock.Now()
	r := placement.Report{
		Endpoint: e.ID, Service: e.Service, Zone: e.Zone, Kind: resource.Service, BatchSize: e.Slots, Running: e.running,
		Leaving: e.Leaving || e.superseded || now.Before(e.suspended) || e.displaced(now), Penalty: e.penalty(now),
	}
	if f.isEngine(e.Endpoint) {
		r.Kind = resource.Engine
		if e.link == nil && f.control != 0 {
			f.connect(e)
		}
		if len(e.Models) > 0 {
			r.BaseModel = e.Models[0]
		}
		if t := f.routes.Load(); t != nil && t.Services[e.Service].Engine != nil {
			r.Slots = t.Services[e.Service].Engine.Adapters
		}
		r.Resident, r.Fixed = e.resident(now), e.state(now) == nil
		if s := e.state(now); s != nil {
			r.Leaving = r.Leaving || s.Leaving || !s.Up
			// Discovery shows what an engine has loaded a second later.
			if r.BaseModel = ""; len(s.Holdings.Models) > 0 {
				r.BaseModel = s.Holdings.Models[0]
			}
			r.Running, r.Queued, r.Starting, r.Loading = s.Running, s.Queued, s.Starting, s.Holdings.Loading
			r.PromptRate = float64(s.PromptRate)
			r.Pinned = s.Pinned
		}
	}
	f.placement.Observe(now, r)
	for av := range e.waits {
		if slices.Contains(r.Resident, av) || r.Leaving {
			e.wake(av)
		}
	}
}

func (e *endpoint) decay(now time.Time) {
	if passed := now.Sub(e.counted).Seconds(); passed > 0 {
		keep := math.Exp(-passed / failureMemory)
		e.failures *= keep
		e.attempts *= keep
		e.counted = now
	}
}

// penalty grows with the share of recent requests that failed.
func (e *endpoint) penalty(now time.Time) time.Duration {
	if now.Sub(e.counted).Seconds() > lastVisit || e.attempts == 0 {
		return 0
	}
	return time.Duration(e.failures / (e.attempts + 1) * float64(failurePenalty))
}

// count records how a request at the endpoint ended.
func (f *Frontend) count(e *endpoint, failed, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	e.decay(now)
	e.attempts++
	if failed {
		e.failures++
	}
	if unreachable {
		e.suspended = now.Add(suspension)
		f.log.Warn("endpoint suspended", slog.String("Endpoint", string(e.ID)), slog.Int64("DurationMilli", suspension.Milliseconds()))
	}
	if (failed || unreachable) && f.endpoints[e.ID] == e {
		f.observe(e)
	}
}

// settle refreshes what depends on time and sends the accounts of uses.
func (f *Frontend) settle() {
	f.mu.Lock()
	now := f.clock.Now()
	for _, e := range f.endpoints {
		e.decay(now)
		if e.link == nil {
			f.observe(e)
			continue
		}
		if e.state(now) == nil {
			f.observe(e)
		}
		var a control.Account
		for av, u := range e.uses {
			a.Uses = append(a.Uses, *u)
			u.Started, u.Prompt = 0, 0
			if u.Running == 0 {
				delete(e.uses, av)
			}
		}
		for av, w := range e.waits {
			a.Wants = append(a.Wants, holdings.Demand{Adapter: av, Waiting: w.requests})
		}
		e.link.offer(a, now)
	}
	f.mu.Unlock()
}

// peers is the number of entries, as the agents count them.
func (f *Frontend) peers(now time.Time) (n int) {
	n = 1
	for _, e := range f.endpoints {
		if s := e.state(now); s != nil {
			n = max(n, s.Entries)
		}
	}
	return n
}
