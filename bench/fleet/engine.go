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
	// permitRetryInterval is the interval at which an agent requests a refused load permit again.
	permitRetryInterval = 50 * time.Millisecond
	// maxLoadTries is the number of failed loads in a row after which requests for the adapter are refused.
	maxLoadTries = 3
	// initialLoadBackoff is the delay after the first failed load; it doubles with each further failure.
	initialLoadBackoff = 250 * time.Millisecond
	// failedAdapterPause is the time without loads of an adapter after maxLoadTries failed loads.
	failedAdapterPause = 5 * time.Second
)

// Engine is one simulated engine with its agent.
type Engine struct {
	Index   int
	Name    ident.Endpoint
	Slots   *slots.Slots
	Queue   Queue
	fleet   *Fleet
	waiting map[ident.TryID]*Request
	running []*Request
	cache   prefixCache
	// stepping reports whether a step of the engine is in progress.
	stepping             bool
	permitRetryScheduled bool
	// restarts is the number of restarts. A callback of a step or load that began before a restart finds another number and does
	// nothing.
	restarts     int
	loadFailures map[ident.AdapterVersion]loadFailure
	// reservedVictim is the adapter to be evicted by the load that waits for a permit. No request starts on it meanwhile, because
	// it would then be in use and the load would lose its slot.
	reservedVictim ident.AdapterVersion
	random         *rand.Rand
}

// loadFailure counts the failed loads of an adapter in a row; it is not loaded before retryAt.
type loadFailure struct {
	count   int
	retryAt time.Time
}

// Outstanding returns the number of requests that wait or run.
func (e *Engine) Outstanding() int { return len(e.waiting) + len(e.running) }

// Running returns the number of requests that run.
func (e *Engine) Running() int { return len(e.running) }

// enqueue accepts a request or returns its refusal.
func (e *Engine) enqueue(p *Request) *outcome.Refusal {
	now := e.fleet.Clock.Now()
	e.Slots.RecordDemand(now, p.Adapter)
	p.arrivedAt, p.readyAt = e.fleet.Clock.now, -1
	if e.loadFailures[p.Adapter].count >= maxLoadTries && now.Before(e.loadFailures[p.Adapter].retryAt) {
		return &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: failedAdapterPause}
	}
	it := admission.Item{ID: p.id(), Caller: p.Caller, Adapter: p.Adapter, Deadline: p.deadline}
	if e.Slots.State(p.Adapter) != slots.Resident {
		it.LoadWait = e.fleet.loadWait(e, p.Adapter)
	} else {
		p.readyAt = p.arrivedAt
	}
	if refusal := e.Queue.Push(now, it); refusal != nil {
		return refusal
	}
	e.waiting[it.ID] = p
	e.fleet.Result.MaxQueued = max(e.fleet.Result.MaxQueued, len(e.waiting))
	e.fleet.Clock.schedule(p.deadline.Sub(now), e.dropExpired)
	e.startLoads()
	e.startStep()
	return nil
}

// dropExpired removes the waiting requests whose deadline has passed.
func (e *Engine) dropExpired() {
	for _, it := range e.Queue.Expired(e.fleet.Clock.Now()) {
		p := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		if p.measured() {
			e.fleet.Result.Expired++
		}
		e.fleet.recordStall(p)
		e.fleet.finish(p, false)
	}
}

// startLoads starts as many loads as slots and permits allow. It is called after each event that could allow one more.
func (e *Engine) startLoads() {
	now := e.fleet.Clock.Now()
	for {
		e.reservedVictim = ident.AdapterVersion{}
		av, stalled, ok := e.Queue.NextLoad(now, func(av ident.AdapterVersion) bool {
			return e.Slots.State(av) == slots.Absent && !now.Before(e.loadFailures[av].retryAt)
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
			e.reservedVictim = victim
			e.schedulePermitRetry()
			return
		}
		if evict {
			e.Slots.BeginUnload(victim)
			e.Slots.Drop(victim)
		}
		e.beginLoad(av)
	}
}

func (e *Engine) schedulePermitRetry() {
	if e.permitRetryScheduled {
		return
	}
	e.permitRetryScheduled = true
	e.fleet.Clock.schedule(permitRetryInterval, func() {
		e.permitRetryScheduled = false
		e.startLoads()
	})
}

func (e *Engine) beginLoad(av ident.AdapterVersion) {
	e.fleet.countReplica(av)
	e.Slots.BeginLoad(e.fleet.Clock.Now(), av)
	restarts := e.restarts
	startedAt := e.fleet.Clock.now
	e.fleet.store.load(func(ok bool) {
		e.fleet.Policy.LoadEnded(e, e.fleet.Clock.now-startedAt)
		if restarts != e.restarts {
			return
		}
		if ok {
			e.handleLoaded(av)
		} else {
			e.handleLoadFailure(av)
		}
		e.startLoads()
		e.startStep()
	})
}

func (e *Engine) handleLoaded(av ident.AdapterVersion) {
	delete(e.loadFailures, av)
	e.Slots.Loaded(e.fleet.Clock.Now(), av)
	e.Queue.Loaded(e.fleet.Clock.Now(), av)
	e.Queue.Each(func(it admission.Item) {
		if it.Adapter == av {
			e.waiting[it.ID].readyAt = e.fleet.Clock.now
		}
	})
}

func (e *Engine) handleLoadFailure(av ident.AdapterVersion) {
	e.Slots.Drop(av)
	f := e.loadFailures[av]
	f.count++
	backoff := initialLoadBackoff << (f.count - 1)
	if f.count >= maxLoadTries {
		backoff = failedAdapterPause
	}
	f.retryAt = e.fleet.Clock.Now().Add(backoff)
	e.loadFailures[av] = f
	e.fleet.Clock.schedule(backoff, e.startLoads)
	if f.count < maxLoadTries {
		return
	}
	var failedRequests []*Request
	e.Queue.Each(func(it admission.Item) {
		if it.Adapter == av {
			failedRequests = append(failedRequests, e.waiting[it.ID])
		}
	})
	for _, p := range failedRequests {
		e.Queue.Remove(p.id())
		delete(e.waiting, p.id())
		e.fleet.handleRefusal(p, &outcome.Refusal{Reason: outcome.LoadFailed, RetryAfter: failedAdapterPause})
	}
}

// startStep fills the batch and starts one step of the engine, which finishStep completes.
func (e *Engine) startStep() {
	if e.stepping {
		return
	}
	e.fillBatch()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	stepTime := workload.StepBase + time.Duration(len(e.running))*workload.StepPerSequence
	avoidablePrefill := time.Duration(0)
	chunkTokens := workload.PrefillChunkTokens
	for _, p := range e.running {
		n := min(p.remainingPrefill, chunkTokens)
		p.remainingPrefill -= n
		chunkTokens -= n
		uncached := min(n, p.uncachedPrefix)
		p.uncachedPrefix -= uncached
		stepTime += time.Duration(n) * workload.PrefillPerToken
		avoidablePrefill += time.Duration(uncached) * workload.PrefillPerToken
		p.decoding = p.remainingPrefill == 0
	}
	e.fleet.Result.recordStep(e.fleet.Clock.now, stepTime, (stepTime-avoidablePrefill).Seconds()*float64(len(e.running)))
	restarts := e.restarts
	e.fleet.Clock.schedule(stepTime, func() {
		if restarts == e.restarts {
			e.finishStep()
		}
	})
}

func (e *Engine) finishStep() {
	now := e.fleet.Clock.Now()
	e.stepping = false
	unfinished := e.running[:0]
	finished := 0
	for _, p := range e.running {
		if p.decoding {
			p.remainingOutput--
		}
		if p.remainingOutput > 0 {
			unfinished = append(unfinished, p)
			continue
		}
		e.Slots.Release(now, p.Adapter)
		e.Queue.RecordFinished(now)
		e.fleet.finish(p, true)
		finished++
	}
	e.running = unfinished
	if finished > 0 {
		e.startLoads()
	}
	e.startStep()
}

// fillBatch starts waiting requests whose adapter is resident while the batch has a free slot.
func (e *Engine) fillBatch() {
	now := e.fleet.Clock.Now()
	for len(e.running) < workload.BatchSize {
		it, ok := e.Queue.Pop(now, func(it admission.Item) bool {
			return it.Adapter != e.reservedVictim && e.Slots.Acquire(now, it.Adapter)
		})
		if !ok {
			return
		}
		p := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		e.fleet.recordStall(p)
		p.remainingPrefill, p.uncachedPrefix, p.remainingOutput = p.PromptTokens, 0, p.OutputTokens
		if p.PrefixTokens > 0 {
			if e.cache.use(prefixKey{p.Adapter, p.PrefixID}, e.sendCacheEvent) {
				p.remainingPrefill -= p.PrefixTokens
			} else {
				p.uncachedPrefix = p.PrefixTokens
			}
		}
		e.running = append(e.running, p)
	}
}

// sendCacheEvent reports to the entries that a prompt prefix has entered or left the cache. Some events are lost.
func (e *Engine) sendCacheEvent(x prefixKey, present bool) {
	if e.random.Float64() < cacheEventLossRatio {
		return
	}
	e.fleet.Clock.schedule(cacheEventDelay, func() { e.fleet.Policy.Cached(e, x.adapter, x.prefixID, present) })
}

// restart loses the loaded adapters, the cache and the running requests, which the entries may retry. Waiting requests stay queued
// in the agent.
func (e *Engine) restart() {
	e.restarts++
	e.stepping = false
	e.Slots.Reset()
	e.cache = prefixCache{}
	running := e.running
	e.running = nil
	for _, p := range running {
		e.fleet.handleRefusal(p, &outcome.Refusal{Reason: outcome.EngineDown, RetryAfter: time.Second})
	}
	for _, p := range e.waiting {
		p.readyAt = -1
	}
	e.startLoads()
}

func (e *Engine) state() (r EngineState) {
	r.Report.Endpoint, r.Report.Kind, r.Report.BaseModel = e.Name, resource.Engine, BaseModel
	r.Report.Running, r.Report.Queued = len(e.running), len(e.waiting)
	r.Report.BatchSize, r.Report.Slots, r.Report.Pinned = workload.BatchSize, e.Slots.Capacity(), e.Slots.Pinned()
	r.Report.QueueWait = e.Queue.ExpectedWait(e.fleet.Clock.Now())
	r.addAdapters(e)
	return r
}
