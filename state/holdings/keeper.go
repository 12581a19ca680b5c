package holdings

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/routing"
	"shallotring.dev/state/slots"
)

const (
	// maxLoadsInFlight is the number of adapters that one engine may load at the same time.
	maxLoadsInFlight = 4
	// unloadDelay is the time after its last use in which an adapter is not unloaded: uses are reported every 100 ms, and a
	// request may still be in flight. The delay covers no more than these two, because slots are scarce under load.
	unloadDelay = 150 * time.Millisecond
	// demandExpiry is the time after which a demand is dropped if no entry has renewed it.
	demandExpiry = 3 * time.Second
	// orderRetryDelay is the delay after an order that the engine has not accepted.
	orderRetryDelay = 20 * time.Millisecond
	// priorityBoostPerSecond is the number of waiting requests that each second of waiting counts for, so that a rarely requested
	// adapter is loaded in time.
	priorityBoostPerSecond = 4.0
	// minLoadedTime is the time after a load in which an adapter is not unloaded for another one: its requests arrive once the
	// entries have observed that it is resident.
	minLoadedTime = 250 * time.Millisecond
)

// Demand is the demand of one entry for an adapter.
type Demand struct {
	Adapter ident.AdapterVersion
	// Waiting is the number of requests that wait for the adapter; 0 withdraws the demand.
	Waiting int
}

// Use is the usage report of one entry: what it has sent to the engine for an adapter since its last usage report.
type Use struct {
	Adapter ident.AdapterVersion
	// Started counts the requests since the last usage report, Running those that have not finished.
	Started int
	Running int
	// Prompt counts the prompt tokens that the engine has to read for the started requests.
	Prompt ident.Tokens `json:",omitempty"`
}

// demand is the demand of all entries for an adapter: its waiting requests by entry (identified by its host), since when there is
// a demand, and when it was last updated.
type demand struct {
	waiting map[ident.Host]int
	since   time.Time
	updated time.Time
}

// usage is the use of an adapter by all entries: its running requests by entry, its last use and its last load.
type usage struct {
	running  map[ident.Host]int
	lastUse  time.Time
	loadedAt time.Time
}

// Keeper plans the orders for one engine from its reports and the demands of the entries. It is not safe for concurrent use.
type Keeper struct {
	capacity      routing.Engine
	fencingNumber ident.Incarnation
	endpoint      ident.Endpoint
	report        Report
	// reportCurrent is set while no order has been sent since the report.
	reportCurrent bool
	nextOrderAt   time.Time
	demands       map[ident.AdapterVersion]*demand
	uses          map[ident.AdapterVersion]*usage
	// history ranks adapters by their decaying demand.
	history *slots.Slots
	// promptTokens is the decaying number of prompt tokens that were sent to the engine, as of promptTokensAt.
	promptTokens   float64
	promptTokensAt time.Time
	// unread is the number of prompt tokens of each entry that the engine has not read yet.
	unread map[ident.Host]ident.Tokens
}

// New returns a keeper that issues no orders until it has a fencing number, a base model and a report.
func New() *Keeper {
	return &Keeper{demands: make(map[ident.AdapterVersion]*demand), uses: make(map[ident.AdapterVersion]*usage), history: slots.New(0), unread: make(map[ident.Host]ident.Tokens)}
}

// Configure sets what the engine is to hold and can hold.
func (k *Keeper) Configure(capacity routing.Engine) {
	if n := capacity.AdapterSlots(); n != k.capacity.AdapterSlots() {
		k.history = slots.New(n)
	}
	k.capacity = capacity
}

// SetFencingNumber sets the fencing number that the orders carry.
func (k *Keeper) SetFencingNumber(number ident.Incarnation) { k.fencingNumber = number }

// FencingNumber returns the fencing number that the orders carry.
func (k *Keeper) FencingNumber() ident.Incarnation { return k.fencingNumber }

// Observe applies a report; loaded lists the adapters that became resident since the last one.
func (k *Keeper) Observe(now time.Time, endpoint ident.Endpoint, r Report) (loaded []ident.AdapterVersion) {
	if r.StartMilli != k.report.StartMilli || endpoint != k.endpoint {
		// A new incarnation holds nothing, and the orders to the previous one no longer count.
		k.report, k.endpoint = Report{}, endpoint
		clear(k.uses)
		clear(k.unread)
		k.promptTokens = 0
	}
	for _, av := range r.Resident {
		if !slices.Contains(k.report.Resident, av) {
			loaded = append(loaded, av)
			k.usage(av).loadedAt = now
		}
	}
	k.report, k.reportCurrent = r, true
	for av, d := range k.demands {
		if slices.Contains(r.Resident, av) || now.Sub(d.updated) > demandExpiry {
			delete(k.demands, av)
		}
	}
	return loaded
}

// Report returns the last report.
func (k *Keeper) Report() Report { return k.report }

// HasPendingLoads reports whether loads are in flight or demanded.
func (k *Keeper) HasPendingLoads() bool { return len(k.report.Loading) > 0 || len(k.demands) > 0 }

// SetDemand applies the demand of an entry; demand for a resident adapter is ignored.
func (k *Keeper) SetDemand(now time.Time, from ident.Host, x Demand) {
	d := k.demands[x.Adapter]
	if x.Waiting <= 0 {
		if d != nil {
			if delete(d.waiting, from); len(d.waiting) == 0 {
				delete(k.demands, x.Adapter)
			}
		}
		return
	}
	if slices.Contains(k.report.Resident, x.Adapter) {
		return
	}
	if d == nil {
		d = &demand{waiting: make(map[ident.Host]int), since: now}
		k.demands[x.Adapter] = d
	}
	d.waiting[from], d.updated = x.Waiting, now
}

// RecordUse applies the usage report of an entry.
func (k *Keeper) RecordUse(now time.Time, from ident.Host, x Use) {
	k.addPromptTokens(now, float64(x.Prompt))
	u := k.usage(x.Adapter)
	// The limit bounds the work for one usage report.
	for range min(x.Started, 100) {
		k.history.RecordDemand(now, x.Adapter)
	}
	if x.Started > 0 || x.Running > 0 || u.running[from] > 0 {
		u.lastUse = now
	}
	if u.running[from] = x.Running; x.Running <= 0 {
		delete(u.running, from)
	}
}

// promptTimeConstantSeconds is the time constant with which the rate of prompt tokens is averaged: it spans some requests and is
// shorter than a burst.
const promptTimeConstantSeconds = 2.0

// addPromptTokens decays the number of prompt tokens up to now and adds new ones.
func (k *Keeper) addPromptTokens(now time.Time, tokens float64) {
	if passed := now.Sub(k.promptTokensAt).Seconds(); passed > 0 {
		k.promptTokens *= math.Exp(-passed / promptTimeConstantSeconds)
		k.promptTokensAt = now
	}
	k.promptTokens += tokens
}

// PromptRate returns the prompt tokens per second that all entries send to the engine.
func (k *Keeper) PromptRate(now time.Time) float64 {
	k.addPromptTokens(now, 0)
	return k.promptTokens / promptTimeConstantSeconds
}

// SetUnread replaces the number of prompt tokens of an entry that the engine has not read yet.
func (k *Keeper) SetUnread(from ident.Host, tokens ident.Tokens) {
	if tokens == 0 {
		delete(k.unread, from)
		return
	}
	k.unread[from] = tokens
}

// Unread returns the number of prompt tokens of all entries that the engine has not read yet.
func (k *Keeper) Unread() (tokens ident.Tokens) {
	for _, n := range k.unread {
		tokens += n
	}
	return tokens
}

// RemoveEntry removes the demand and use of an entry whose connection has closed. Its requests may still run, so their adapters count as
// used until now.
func (k *Keeper) RemoveEntry(now time.Time, from ident.Host) {
	delete(k.unread, from)
	for av, d := range k.demands {
		if delete(d.waiting, from); len(d.waiting) == 0 {
			delete(k.demands, av)
		}
	}
	for _, u := range k.uses {
		if u.running[from] > 0 {
			u.lastUse = now
			delete(u.running, from)
		}
	}
}

func (k *Keeper) usage(av ident.AdapterVersion) *usage {
	u := k.uses[av]
	if u == nil {
		u = &usage{running: make(map[ident.Host]int)}
		k.uses[av] = u
	}
	return u
}

// Next returns the order to send now; ok is false if there is none. After Sent, Next returns no order until the next report has been
// observed.
func (k *Keeper) Next(now time.Time) (o Order, ok bool) {
	model, ok := k.capacity.Model()
	if !ok || !k.reportCurrent || k.fencingNumber == 0 || k.endpoint == "" || k.report.Leaving || now.Before(k.nextOrderAt) {
		return o, false
	}
	o = Order{Endpoint: k.endpoint, ExpectedSequence: k.report.Sequence, FencingNumber: k.fencingNumber}
	if len(k.report.Models) == 0 {
		// An engine starts empty; it serves nothing before its base model is loaded.
		o.Model = model.Name
		return o, model.Name != "" && k.capacity.HoldsModel() && !k.report.Busy
	}
	if k.capacity.Adapters <= 0 {
		return o, false
	}
	for _, av := range k.rankedDemands(now) {
		if len(k.report.Loading) >= maxLoadsInFlight {
			return o, false
		}
		// The engine holds only one version of an adapter: the other one must be unloaded first, once no request uses it.
		if i := slices.IndexFunc(k.report.Resident, func(x ident.AdapterVersion) bool { return x.Adapter == av.Adapter }); i >= 0 {
			if old := k.report.Resident[i]; k.idle(now, old) {
				o.Unload, o.Adapter = true, old
				return o, true
			}
			continue
		}
		if slices.ContainsFunc(k.report.Loading, func(x ident.AdapterVersion) bool { return x.Adapter == av.Adapter }) {
			continue
		}
		if !k.capacity.HasMemory(k.report.Models, av) {
			continue
		}
		if k.hasRoom(av) {
			o.Adapter = av
			return o, true
		}
		if victim, found := k.victim(now); found {
			o.Unload, o.Adapter = true, victim
			return o, true
		}
		return o, false
	}
	return o, false
}

// hasRoom reports whether the engine has a slot and the memory for one more adapter.
func (k *Keeper) hasRoom(av ident.AdapterVersion) bool {
	held := slices.Concat(k.report.Resident, k.report.Loading)
	return len(held) < k.capacity.Adapters && k.capacity.HasMemory(k.report.Models, append(held, av)...)
}

// Sent records an order that was sent and its result.
func (k *Keeper) Sent(now time.Time, o Order, result Result) {
	k.reportCurrent = false
	if result != Accepted {
		k.nextOrderAt = now.Add(orderRetryDelay)
	}
	if result == Accepted && o.Unload {
		delete(k.uses, o.Adapter)
	}
}

// Taken returns the number of slots that another adapter cannot get now: those of adapters in use, and those that the demanded adapters will take
// whose load has not begun.
func (k *Keeper) Taken(now time.Time) (n int) {
	n = k.Pinned(now)
	for av := range k.demands {
		if !slices.Contains(k.report.Loading, av) && !slices.Contains(k.report.Resident, av) {
			n++
		}
	}
	return n
}

// Pinned returns the number of resident adapters that cannot be unloaded now.
func (k *Keeper) Pinned(now time.Time) (n int) {
	for _, av := range k.report.Resident {
		if !k.idle(now, av) {
			n++
		}
	}
	return n
}

// rankedDemands lists the demanded adapters by their number of waiting requests and their time of waiting, the highest rank first.
func (k *Keeper) rankedDemands(now time.Time) []ident.AdapterVersion {
	type ranked struct {
		av   ident.AdapterVersion
		rank float64
	}
	list := make([]ranked, 0, len(k.demands))
	for av, d := range k.demands {
		n := 0
		for _, x := range d.waiting {
			n += x
		}
		list = append(list, ranked{av, float64(n) + priorityBoostPerSecond*now.Sub(d.since).Seconds()})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.av.Adapter, b.av.Adapter), cmp.Compare(a.av.Version, b.av.Version))
	})
	names := make([]ident.AdapterVersion, len(list))
	for i, x := range list {
		names[i] = x.av
	}
	return names
}

// idle reports whether an adapter can be unloaded: no request uses it, and neither its last use nor its load is recent.
func (k *Keeper) idle(now time.Time, av ident.AdapterVersion) bool {
	u := k.uses[av]
	return u == nil || (len(u.running) == 0 && now.Sub(u.lastUse) >= unloadDelay && now.Sub(u.loadedAt) >= minLoadedTime)
}

// victim returns the idle adapter with the lowest demand.
func (k *Keeper) victim(now time.Time) (leastDemanded ident.AdapterVersion, ok bool) {
	lowestRate := 0.0
	for _, av := range k.report.Resident {
		if !k.idle(now, av) {
			continue
		}
		if rate := k.history.Rate(now, av); !ok || rate < lowestRate {
			leastDemanded, lowestRate, ok = av, rate, true
		}
	}
	return leastDemanded, ok
}
