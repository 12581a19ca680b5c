package fleet

import (
	"math/rand/v2"
	"time"

	"shallotring.dev/bench/workload"
	"shallotring.dev/state/admission"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/resource"
	"shallotring.dev/state/slots"
)

const (
	// permitRetry is the interval at which an agent asks again for a load permit.
	permitRetry = 50 * time.Millisecond
	// loadTries bounds the loads of one adapter in a row before its requests are turned away.
	loadTries = 3
	// loadBackoff is the first wait after a failed load; it doubles with each failure.
	loadBackoff = 250 * time.Millisecond
	// failing is the time for which an adapter is then not loaded.
	failing = 5 * time.Second
)

// Engine is one fake engine with its agent.
type Engine struct {
	Index   int
	Name    ident.Endpoint
	Slots   *slots.Slots
	Queue   Queue
	fleet   *Fleet
	waiting map[ident.TryID]*Request
	running []*Request
	cache   prefixCache
	busy    bool
	asking  bool
	starts  int
	failed  map[ident.AdapterVersion]failure
	// reserved is the victim of the load that waits for a permit; no request starts on it, or the load would lose its slot.
	reserved ident.AdapterVersion
	random   *rand.Rand
}

type failure struct {
	count int
	until time.Time
}

// Outstanding returns the requests that wait or run.
func (e *Engine) Outstanding() int { return len(e.waiting) + len(e.running) }

// Running returns the requests that run.
func (e *Engine) Running() int { return len(e.running) }

// arrive takes a request or returns its refusal.
func (e *Engine) arrive(p *Request) *outcome.Refusal {
	now := e.fleet.Clock.Now()
	e.Slots.RecordDemand(now, p.Adapter)
	p.arrived, p.ready = e.fleet.Clock.now, -1
	if e.failed[p.Adapter].count >= loadTries && now.Before(e.failed[p.Adapter].until) {
		return &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: failing}
	}
	it := admission.Item{ID: p.id(), Caller: p.Caller, Adapter: p.Adapter, Deadline: p.deadline}
	if e.Slots.State(p.Adapter) != slots.Resident {
		it.LoadWait = e.fleet.loadWait(e, p.Adapter)
	} else {
		p.ready = p.arrived
	}
	if refusal := e.Queue.Push(now, it); refusal != nil {
		return refusal
	}
	e.waiting[it.ID] = p
	e.fleet.Result.MostQueued = max(e.fleet.Result.MostQueued, len(e.waiting))
	e.fleet.Clock.after(p.deadline.Sub(now), e.expire)
	e.load()
	e.step()
	return nil
}

func (e *Engine) expire() {
	for _, it := range e.Queue.Expired(e.fleet.Clock.Now()) {
		p := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		if p.measured() {
			e.fleet.Result.Late++
		}
		e.fleet.stalled(p)
		e.fleet.finish(p, false)
	}
}

// load starts as many loads as slots and permits allow; it is called after each event that could allow one more.
func (e *Engine) load() {
	now := e.fleet.Clock.Now()
	for {
		e.reserved = ident.AdapterVersion{}
		av, stalled, ok := e.Queue.NextLoad(now, func(av ident.AdapterVersion) bool {
			return e.Slots.State(av) == slots.Absent && !now.Before(e.failed[av].until)
		})
		if !ok {
			return
		}
		victim, evict := ident.AdapterVersion{}, e.Slots.Free() <= 0
		if evict {
			if victim, ok = e.fleet.Policy.Victim(e); !ok {
				return
			}
		}
		if !e.fleet.Policy.Permit(e, stalled) {
			e.reserved = victim
			e.askAgain()
			return
		}
		if evict {
			e.Slots.BeginUnload(victim)
			e.Slots.Drop(victim)
		}
		e.begin(av)
	}
}

func (e *Engine) askAgain() {
	if e.asking {
		return
	}
	e.asking = true
	e.fleet.Clock.after(permitRetry, func() {
		e.asking = false
		e.load()
	})
}

func (e *Engine) begin(av ident.AdapterVersion) {
	e.fleet.replicated(av)
	e.Slots.BeginLoad(e.fleet.Clock.Now(), av)
	start := e.starts
	began := e.fleet.Clock.now
	e.fleet.store.load(func(ok bool) {
		e.fleet.Policy.LoadEnded(e, e.fleet.Clock.now-began)
		if start != e.starts {
			return
		}
		if ok {
			e.loaded(av)
		} else {
			e.loadFailed(av)
		}
		e.load()
		e.step()
	})
}

func (e *Engine) loaded(av ident.AdapterVersion) {
	delete(e.failed, av)
	e.Slots.Loaded(e.fleet.Clock.Now(), av)
	e.Queue.Loaded(e.fleet.Clock.Now(), av)
	e.Queue.Each(func(it admission.Item) {
		if it.Adapter == av {
			e.waiting[it.ID].ready = e.fleet.Clock.now
		}
	})
}

func (e *Engine) loadFailed(av ident.AdapterVersion) {
	e.Slots.Drop(av)
	f := e.failed[av]
	f.count++
	wait := loadBackoff << (f.count - 1)
	if f.count >= loadTries {
		wait = failing
	}
	f.until = e.fleet.Clock.Now().Add(wait)
	e.failed[av] = f
	e.fleet.Clock.after(wait, e.load)
	if f.count < loadTries {
		return
	}
	var moved []*Request
	e.Queue.Each(func(it admission.Item) {
		if it.Adapter == av {
			moved = append(moved, e.waiting[it.ID])
		}
	})
	for _, p := range moved {
		e.Queue.Remove(p.id())
		delete(e.waiting, p.id())
		e.fleet.refused(p, &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: failing})
	}
}

// step fills the batch and runs one step of the engine.
func (e *Engine) step() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	took := workload.StepBase + time.Duration(len(e.running))*workload.StepPerItem
	wasted := time.Duration(0)
	room := workload.PrefillChunk
	for _, p := range e.running {
		n := min(p.prefill, room)
		p.prefill -= n
		room -= n
		again := min(n, p.again)
		p.again -= again
		took += time.Duration(n) * workload.PrefillToken
		wasted += time.Duration(again) * workload.PrefillToken
		p.decoding = p.prefill == 0
	}
	e.fleet.Result.step(e.fleet.Clock.now, took, (took-wasted).Seconds()*float64(len(e.running)))
	start := e.starts
	e.fleet.Clock.after(took, func() {
		if start == e.starts {
			e.stepped()
		}
	})
}

func (e *Engine) stepped() {
	now := e.fleet.Clock.Now()
	e.busy = false
	kept := e.running[:0]
	ended := 0
	for _, p := range e.running {
		if p.decoding {
			p.left--
		}
		if p.left > 0 {
			kept = append(kept, p)
			continue
		}
		e.Slots.Release(now, p.Adapter)
		e.Queue.Served(now)
		e.fleet.finish(p, true)
		ended++
	}
	e.running = kept
	if ended > 0 {
		e.load()
	}
	e.step()
}

func (e *Engine) admit() {
	now := e.fleet.Clock.Now()
	for len(e.running) < workload.BatchSize {
		it, ok := e.Queue.Pop(now, func(it admission.Item) bool {
			return it.Adapter != e.reserved && e.Slots.Acquire(now, it.Adapter)
		})
		if !ok {
			return
		}
		p := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		e.fleet.stalled(p)
		p.prefill, p.again, p.left = p.Prompt, 0, p.Output
		if p.Prefix > 0 {
			if e.cache.use(prefixOf{p.Adapter, p.Manual}, e.cached) {
				p.prefill -= p.Prefix
			} else {
				p.again = p.Prefix
			}
		}
		e.running = append(e.running, p)
	}
}

// cached sends a cache event to the entries; some are lost.
func (e *Engine) cached(x prefixOf, present bool) {
	if e.random.Float64() < cacheEventLoss {
		return
	}
	e.fleet.Clock.after(cacheEventLag, func() { e.fleet.Policy.Cached(e, x.adapter, x.manual, present) })
}

// restart loses what is loaded and what runs; the entries try the requests again.
func (e *Engine) restart() {
	e.starts++
	e.busy = false
	e.Slots.Reset()
	e.cache = prefixCache{}
	running := e.running
	e.running = nil
	for _, p := range running {
		e.fleet.refused(p, &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: time.Second})
	}
	for _, p := range e.waiting {
		p.ready = -1
	}
	e.load()
}

func (e *Engine) state() (r EngineState) {
	r.Report.Endpoint, r.Report.Kind, r.Report.BaseModel = e.Name, resource.Engine, BaseModel
	r.Report.Running, r.Report.Queued = len(e.running), len(e.waiting)
	r.Report.BatchSize, r.Report.Slots, r.Report.Pinned = workload.BatchSize, e.Slots.Capacity(), e.Slots.Pinned()
	r.Report.QueueWait = e.Queue.ExpectedWait(e.fleet.Clock.Now())
	r.fill(e)
	return r
}
