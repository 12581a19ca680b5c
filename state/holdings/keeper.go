package holdings

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/slots"
)

const (
	// maxTransit is the number of adapters that may be on their way to one engine.
	maxTransit = 4
	// settle is the time after the last use for which an adapter stays: uses are reported every 100 ms, and a request that was
	// sent may still be on its way. Places are scarce under load, so it is not longer than that.
	settle = 150 * time.Millisecond
	// wantExpiry drops a want that its entry does not repeat.
	wantExpiry = 3 * time.Second
	// backoff is the pause after an order that the engine refused.
	backoff = 20 * time.Millisecond
	// aging is the number of waiting requests that a second of waiting counts for, so that a rare adapter is loaded in time.
	aging = 4.0
	// freshLoad is the time in which an adapter that was just loaded is not unloaded for another one: its requests come
	// once the entries hear of it.
	freshLoad = 250 * time.Millisecond
)

// Want is the wish of one entry for an adapter.
type Want struct {
	Adapter ident.AdapterVersion
	// Waiting is the number of requests that wait for it; 0 ends the wish.
	Waiting int
}

// Use is what one entry sent to the engine for an adapter since its last account.
type Use struct {
	Adapter ident.AdapterVersion
	// Started counts the requests since the last account, Running those that have not ended.
	Started int
	Running int
	// Prompt counts the prompt tokens that the engine has to read for those started.
	Prompt ident.Tokens `json:",omitempty"`
}

type want struct {
	waiting map[ident.Host]int
	since   time.Time
	last    time.Time
}

type usage struct {
	running map[ident.Host]int
	last    time.Time
	loaded  time.Time
}

// Keeper is the view of one engine; it belongs to one goroutine.
type Keeper struct {
	capacity int
	model    ident.BaseModel
	fence    ident.Incarnation
	endpoint ident.Endpoint
	report   Report
	// fresh is set while no order has been sent since the report.
	fresh   bool
	retryAt time.Time
	wants   map[ident.AdapterVersion]*want
	uses    map[ident.AdapterVersion]*usage
	// history ranks adapters by their decaying demand.
	history *slots.Slots
	// reading is the decaying number of prompt tokens that the engine was given.
	reading   float64
	readingAt time.Time
}

// New returns a keeper that orders nothing until it has a fencing number, a capacity and a report.
func New() *Keeper {
	return &Keeper{wants: make(map[ident.AdapterVersion]*want), uses: make(map[ident.AdapterVersion]*usage), history: slots.New(0)}
}

// Configure sets the base model that the engine serves and the number of adapters that it may hold.
func (k *Keeper) Configure(model ident.BaseModel, capacity int) {
	k.model = model
	if capacity != k.capacity {
		k.capacity = capacity
		k.history = slots.New(capacity)
	}
}

// Claim sets the fencing number of the orders.
func (k *Keeper) Claim(fence ident.Incarnation) { k.fence = fence }

// Fence returns the fencing number.
func (k *Keeper) Fence() ident.Incarnation { return k.fence }

// Observe takes a report; loaded lists the adapters that became resident since the last one.
func (k *Keeper) Observe(now time.Time, endpoint ident.Endpoint, r Report) (loaded []ident.AdapterVersion) {
	if r.Born != k.report.Born || endpoint != k.endpoint {
		// A new life holds nothing, and no order of the former one counts.
		k.report, k.endpoint = Report{}, endpoint
		clear(k.uses)
	}
	for _, av := range r.Resident {
		if !slices.Contains(k.report.Resident, av) {
			loaded = append(loaded, av)
			k.usage(av).loaded = now
		}
	}
	k.report, k.fresh = r, true
	for av, w := range k.wants {
		if slices.Contains(r.Resident, av) || now.Sub(w.last) > wantExpiry {
			delete(k.wants, av)
		}
	}
	return loaded
}

// Report returns the last report.
func (k *Keeper) Report() Report { return k.report }

// Waits reports whether loads are on their way or wanted.
func (k *Keeper) Waits() bool { return len(k.report.Loading) > 0 || len(k.wants) > 0 }

// Wish takes an entry's want; an adapter that is resident is not wanted.
func (k *Keeper) Wish(now time.Time, from ident.Host, x Want) {
	w := k.wants[x.Adapter]
	if x.Waiting <= 0 {
		if w != nil {
			if delete(w.waiting, from); len(w.waiting) == 0 {
				delete(k.wants, x.Adapter)
			}
		}
		return
	}
	if slices.Contains(k.report.Resident, x.Adapter) {
		return
	}
	if w == nil {
		w = &want{waiting: make(map[ident.Host]int), since: now}
		k.wants[x.Adapter] = w
	}
	w.waiting[from], w.last = x.Waiting, now
}

// Used takes an entry's account.
func (k *Keeper) Used(now time.Time, from ident.Host, x Use) {
	k.read(now, float64(x.Prompt))
	u := k.usage(x.Adapter)
	for range min(x.Started, 100) {
		k.history.Demand(now, x.Adapter)
	}
	if x.Started > 0 || x.Running > 0 || u.running[from] > 0 {
		u.last = now
	}
	if u.running[from] = x.Running; x.Running <= 0 {
		delete(u.running, from)
	}
}

// readingMemory is the time constant of the rate at which prompts arrive: some requests long, and short against a burst.
const readingMemory = 2.0

func (k *Keeper) read(now time.Time, tokens float64) {
	if passed := now.Sub(k.readingAt).Seconds(); passed > 0 {
		k.reading *= math.Exp(-passed / readingMemory)
		k.readingAt = now
	}
	k.reading += tokens
}

// PromptRate returns the prompt tokens a second that all entries give the engine to read.
func (k *Keeper) PromptRate(now time.Time) float64 {
	k.read(now, 0)
	return k.reading / readingMemory
}

// Leave forgets an entry whose connection has ended: what it ran may still run, so its uses count as ending now.
func (k *Keeper) Leave(now time.Time, from ident.Host) {
	for av, w := range k.wants {
		if delete(w.waiting, from); len(w.waiting) == 0 {
			delete(k.wants, av)
		}
	}
	for _, u := range k.uses {
		if u.running[from] > 0 {
			u.last = now
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

// Next returns the order to send now; a report must follow before the next one.
func (k *Keeper) Next(now time.Time) (o Order, ok bool) {
	if !k.fresh || k.fence == 0 || k.capacity <= 0 || k.endpoint == "" || k.report.Leaving || now.Before(k.retryAt) {
		return o, false
	}
	o = Order{Endpoint: k.endpoint, Expected: k.report.Sequence, Fence: k.fence}
	if len(k.report.Models) == 0 {
		// An engine starts empty; it serves nothing before its base model is loaded.
		o.Model = k.model
		return o, k.model != "" && !k.report.Busy
	}
	for _, av := range k.ranked(now) {
		if len(k.report.Loading) >= maxTransit {
			return o, false
		}
		// The engine holds one version of an adapter: the other one leaves first, once no request uses it.
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
		if len(k.report.Resident)+len(k.report.Loading) < k.capacity {
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

// Sent records that an order was sent and how it ended.
func (k *Keeper) Sent(now time.Time, o Order, result Result) {
	k.fresh = false
	if result != Accepted {
		k.retryAt = now.Add(backoff)
	}
	if result == Accepted && o.Unload {
		delete(k.uses, o.Adapter)
	}
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

// ranked lists the wanted adapters, the one with the most waiting work first.
func (k *Keeper) ranked(now time.Time) []ident.AdapterVersion {
	type ranked struct {
		av   ident.AdapterVersion
		rank float64
	}
	list := make([]ranked, 0, len(k.wants))
	for av, w := range k.wants {
		n := 0
		for _, x := range w.waiting {
			n += x
		}
		list = append(list, ranked{av, float64(n) + aging*now.Sub(w.since).Seconds()})
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

func (k *Keeper) idle(now time.Time, av ident.AdapterVersion) bool {
	u := k.uses[av]
	return u == nil || (len(u.running) == 0 && now.Sub(u.last) >= settle && now.Sub(u.loaded) >= freshLoad)
}

// victim returns the idle adapter that is asked for least.
func (k *Keeper) victim(now time.Time) (least ident.AdapterVersion, ok bool) {
	best := 0.0
	for _, av := range k.report.Resident {
		if !k.idle(now, av) {
			continue
		}
		if rate := k.history.Rate(now, av); !ok || rate < best {
			least, best, ok = av, rate, true
		}
	}
	return least, ok
}
