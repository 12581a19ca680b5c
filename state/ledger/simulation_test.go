package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// simulation runs buckets, agents, callers and the key-value service in one goroutine on a simulated clock.
type simulation struct {
	now            time.Time
	rng            *rand.Rand
	pending        callQueue
	scheduled      int
	values         map[string]storedValue
	revision       ident.Revision
	keyValueMode   string // "up", "down" or "slow"
	entries        []*entryProcess
	agents         map[ident.Endpoint]*agent
	claims         map[ident.Endpoint]ident.Incarnation
	journal        map[recordKey][]ident.TryID // tries that ran, per key
	reportedNotRun map[ident.RequestID]bool
	granted        int
	requests       int
	faults         int
	segments       int
	trace          []string // commands of all buckets in order
	problems       []string
}

type storedValue struct {
	value    []byte
	revision ident.Revision
}

type scheduledCall struct {
	at       time.Time
	sequence int
	fn       func()
}

type callQueue []scheduledCall

func (a callQueue) Len() int { return len(a) }
func (a callQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].sequence < a[j].sequence
}
func (a callQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *callQueue) Push(x any)   { *a = append(*a, x.(scheduledCall)) }
func (a *callQueue) Pop() any {
	l := len(*a) - 1
	x := (*a)[l]
	*a = (*a)[:l]
	return x
}

// entryProcess is an entry that may own the bucket. A restart replaces its bucket and drops its calls.
type entryProcess struct {
	simulation   *simulation
	number       int
	id           ident.Process
	bucket       *Bucket
	incarnation  int
	pausedUntil  time.Time
	assumedOwner int // index of the entry that this one assumes to be the owner
	token        Token
	replies      map[Token]func(Command)
}

// agent runs the tries of one endpoint.
type agent struct {
	incarnation ident.Incarnation
	alive       bool
	pausedUntil time.Time
	tries       map[ident.TryID]TryState
}

var clockStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		now: clockStart, rng: rand.New(rand.NewPCG(seed, 1)), values: map[string]storedValue{}, keyValueMode: "up",
		agents: map[ident.Endpoint]*agent{}, claims: map[ident.Endpoint]ident.Incarnation{},
		journal: map[recordKey][]ident.TryID{}, reportedNotRun: map[ident.RequestID]bool{},
	}
	for i := range 3 {
		p := &entryProcess{simulation: w, number: i}
		w.entries = append(w.entries, p)
		p.start()
		p.tick(p.incarnation)
	}
	for i := range 2 {
		w.startAgent(ident.Endpoint(fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *simulation) after(d time.Duration, fn func()) {
	w.scheduled++
	heap.Push(&w.pending, scheduledCall{w.now.Add(d), w.scheduled, fn})
}

func (w *simulation) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.pending) > 0 && w.pending[0].at.Before(end) {
		it := heap.Pop(&w.pending).(scheduledCall)
		w.now = it.at
		it.fn()
	}
}

func (w *simulation) addProblem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (p *entryProcess) start() {
	p.incarnation++
	c := DefaultConfig()
	c.SealBytes, c.SettleAfter, c.CommitInterval = 2<<10, 5*time.Second, 10*time.Millisecond
	p.id = ident.Process(fmt.Sprintf("entry-%d-%d", p.number, p.incarnation))
	p.bucket = New(p.id, c)
	p.replies = map[Token]func(Command){}
	p.assumedOwner = p.simulation.rng.IntN(3)
}

// runAfter runs fn at this entry after d unless the entry restarts first. A paused entry runs it when the pause ends.
func (p *entryProcess) runAfter(d time.Duration, fn func()) {
	incarnation := p.incarnation
	p.simulation.after(d, func() { p.runWhenResumed(incarnation, fn) })
}

func (p *entryProcess) runWhenResumed(incarnation int, fn func()) {
	if p.incarnation != incarnation {
		return
	}
	if p.pausedUntil.After(p.simulation.now) {
		p.simulation.after(p.pausedUntil.Sub(p.simulation.now), func() { p.runWhenResumed(incarnation, fn) })
		return
	}
	fn()
}

func (p *entryProcess) tick(incarnation int) {
	p.step(Tick{})
	p.simulation.after(100*time.Millisecond, func() {
		if p.incarnation == incarnation {
			p.runWhenResumed(incarnation, func() { p.tick(incarnation) })
		}
	})
}

func (p *entryProcess) step(ev Event) {
	for _, c := range p.bucket.Step(p.simulation.now, ev) {
		p.perform(c)
	}
}

func (p *entryProcess) perform(c Command) {
	w := p.simulation
	w.trace = append(w.trace, fmt.Sprintf("%s %s %T", w.now.Format("05.000000"), p.id, c))
	switch x := c.(type) {
	case ReadValue:
		w.callKeyValue(p, func(ok bool) Event {
			v, found := w.values["active"]
			return ValueRead{x.Sequence, !ok, found, v.value, v.revision}
		})
	case ReadSegments:
		w.callKeyValue(p, func(ok bool) Event {
			e := SegmentsRead{Sequence: x.Sequence, Failed: !ok}
			for _, n := range x.Names {
				v, found := w.values[n]
				e.Failed = e.Failed || !found
				e.Values = append(e.Values, v.value)
			}
			return e
		})
	case WriteValue:
		w.writeValue(p, x)
	case WriteSegment:
		w.callKeyValue(p, func(ok bool) Event {
			if ok {
				w.segments++
				w.put(x.Name, x.Value)
			}
			return SegmentWritten{x.Name, ok && !w.chance(10)}
		})
	case DeleteSegment:
		delete(w.values, x.Name)
	case SettleTry:
		w.settleTry(p, x)
	case CheckClaim:
		w.callKeyValue(p, func(ok bool) Event {
			inc, found := w.claims[x.Endpoint]
			return ClaimRead{x.Caller, x.Key, x.ID, !ok, found, inc}
		})
	case IntendReply:
		p.reply(x.Token, x)
	case ConcludeReply:
		p.reply(x.Token, x)
	case Wake:
		p.runAfter(x.After, func() { p.step(Tick{}) })
	case Violation:
		w.addProblem("violation at %s: %v", p.id, x.Err)
	}
}

func (p *entryProcess) reply(t Token, c Command) {
	if fn := p.replies[t]; fn != nil {
		delete(p.replies, t)
		fn(c)
	}
}

func (w *simulation) put(name string, value []byte) {
	w.revision++
	w.values[name] = storedValue{value, w.revision}
}

// callKeyValue simulates a read from the key-value service or a write of a segment.
func (w *simulation) callKeyValue(p *entryProcess, fn func(ok bool) Event) {
	d := 3*time.Millisecond + w.randomDelay(3*time.Millisecond)
	if w.keyValueMode == "slow" {
		d += w.randomDelay(2 * time.Second)
	}
	incarnation := p.incarnation
	w.after(d/2, func() {
		ev := fn(w.keyValueMode != "down")
		w.after(d/2, func() { p.runWhenResumed(incarnation, func() { p.step(ev) }) })
	})
}

// writeValue simulates a compare-and-swap. Its response may be lost, and the write may take effect before or after that, or
// never.
func (w *simulation) writeValue(p *entryProcess, x WriteValue) {
	lost := w.chance(8) || w.keyValueMode == "slow" && w.chance(40)
	apply := func() (WriteResult, ident.Revision) {
		if w.keyValueMode == "down" && !lost {
			return WriteNotApplied, 0
		}
		if w.values["active"].revision != x.Expect {
			return WriteConflict, 0
		}
		w.put("active", x.Value)
		return WriteApplied, w.revision
	}
	incarnation := p.incarnation
	respond := func(r WriteResult, at ident.Revision) {
		if lost && r != WriteNotApplied {
			r, at = WriteResultUnknown, 0
			w.faults++
		}
		w.after(2*time.Millisecond, func() {
			p.runWhenResumed(incarnation, func() { p.step(ValueWritten{x.WriteID, r, at}) })
		})
	}
	switch {
	case lost && w.chance(50): // the write takes effect after the response counts as lost, or never
		respond(WriteResultUnknown, 0)
		if w.chance(60) {
			w.after(w.randomDelay(300*time.Millisecond), func() { apply() })
		}
	default:
		w.after(time.Millisecond+w.randomDelay(4*time.Millisecond), func() { respond(apply()) })
	}
}

func (w *simulation) settleTry(p *entryProcess, x SettleTry) {
	incarnation := p.incarnation
	respond := func(s TryState) {
		w.after(w.randomDelay(2*time.Millisecond), func() {
			p.runWhenResumed(incarnation, func() { p.step(Settled{x.Caller, x.Key, x.ID, s, nil}) })
		})
	}
	w.after(w.randomDelay(2*time.Millisecond), func() {
		a := w.agents[x.Endpoint]
		if !a.alive || a.pausedUntil.After(w.now) || w.chance(5) {
			respond(TryUnreachable)
			return
		}
		respond(a.settle(x.ID))
	})
}

func (a *agent) settle(id ident.TryID) TryState {
	if id.Incarnation != a.incarnation {
		return TryUnknown
	}
	s, ok := a.tries[id]
	if !ok {
		a.tries[id] = TryNeverStarted
		return TryNeverStarted
	}
	return s
}

func (w *simulation) startAgent(e ident.Endpoint) {
	w.revision++
	w.claims[e] = ident.Incarnation(w.revision)
	w.agents[e] = &agent{incarnation: w.claims[e], alive: true, tries: map[ident.TryID]TryState{}}
}

// killAgent stops an agent. Its claim is deleted when the lease expires, then a new agent starts.
func (w *simulation) killAgent(e ident.Endpoint) {
	a := w.agents[e]
	if !a.alive {
		return
	}
	a.alive = false
	w.after(w.randomDelay(1500*time.Millisecond), func() {
		delete(w.claims, e)
		w.after(w.randomDelay(300*time.Millisecond), func() { w.startAgent(e) })
	})
}

// dispatch sends a try to its agent; onOutcome receives the outcome that the entry observes.
func (w *simulation) dispatch(p *entryProcess, k recordKey, e ident.Endpoint, id ident.TryID, onOutcome func(outcome.Outcome)) {
	incarnation := p.incarnation
	send := func(o outcome.Outcome) {
		w.after(w.randomDelay(2*time.Millisecond), func() { p.runWhenResumed(incarnation, func() { onOutcome(o) }) })
	}
	w.after(w.randomDelay(5*time.Millisecond), func() {
		a := w.agents[e]
		if !a.alive {
			send(outcome.Unknown)
			return
		}
		w.accept(a, k, id, send)
	})
}

func (w *simulation) accept(a *agent, k recordKey, id ident.TryID, send func(outcome.Outcome)) {
	if a.pausedUntil.After(w.now) {
		w.after(a.pausedUntil.Sub(w.now), func() { w.accept(a, k, id, send) })
		return
	}
	if !a.alive {
		send(outcome.Unknown)
		return
	}
	if _, seen := a.tries[id]; seen || id.Incarnation != a.incarnation || w.chance(10) {
		if !seen && id.Incarnation == a.incarnation {
			a.tries[id] = TryNeverStarted
		}
		send(outcome.NotRun)
		return
	}
	a.tries[id] = TryRunning
	w.after(w.randomDelay(20*time.Millisecond), func() {
		if !a.alive && w.chance(50) {
			send(outcome.Unknown)
			return
		}
		w.journal[k] = append(w.journal[k], id)
		if w.reportedNotRun[id.RequestID] {
			w.addProblem("%s ran after it was reported as not run", id.RequestID)
		}
		w.after(w.randomDelay(40*time.Millisecond), func() {
			if !a.alive {
				send(outcome.Unknown)
				return
			}
			a.tries[id] = TryCompleted
			if w.chance(10) {
				send(outcome.Unknown)
				return
			}
			send(outcome.Completed)
		})
	})
}
