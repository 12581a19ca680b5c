package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// world runs buckets, agents, callers and the key-value service single-threaded on a simulated clock.
type world struct {
	now      time.Time
	rng      *rand.Rand
	agenda   agenda
	order    int
	values   map[string]stored
	revision ident.Revision
	kvMode   string // "up", "down" or "slow"
	entries  []*process
	agents   map[ident.Endpoint]*agent
	claims   map[ident.Endpoint]ident.Incarnation
	journal  map[recordKey][]ident.TryID
	refused  map[ident.RequestID]bool
	granted  int
	requests int
	faults   int
	segments int
	trace    []string
	problems []string
}

type stored struct {
	value []byte
	at    ident.Revision
}

type item struct {
	at    time.Time
	order int
	fn    func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	l := len(*a) - 1
	x := (*a)[l]
	*a = (*a)[:l]
	return x
}

// process is one entry; a restart replaces its bucket and drops its calls.
type process struct {
	w       *world
	number  int
	id      ident.Process
	bucket  *Bucket
	life    int
	paused  time.Time
	winner  int // the entry that this one believes to be the owner
	token   Token
	replies map[Token]func(Command)
}

// agent runs tries on its endpoint and journals what ran.
type agent struct {
	incarnation ident.Incarnation
	alive       bool
	paused      time.Time
	tries       map[ident.TryID]TryState
}

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64) *world {
	w := &world{
		now: epochStart, rng: rand.New(rand.NewPCG(seed, 1)), values: map[string]stored{}, kvMode: "up",
		agents: map[ident.Endpoint]*agent{}, claims: map[ident.Endpoint]ident.Incarnation{},
		journal: map[recordKey][]ident.TryID{}, refused: map[ident.RequestID]bool{},
	}
	for i := range 3 {
		p := &process{w: w, number: i}
		w.entries = append(w.entries, p)
		p.start()
		p.tick(p.life)
	}
	for i := range 2 {
		w.startAgent(ident.Endpoint(fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *world) after(d time.Duration, fn func()) {
	w.order++
	heap.Push(&w.agenda, item{w.now.Add(d), w.order, fn})
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && w.agenda[0].at.Before(end) {
		it := heap.Pop(&w.agenda).(item)
		w.now = it.at
		it.fn()
	}
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (p *process) start() {
	p.life++
	c := DefaultConfig()
	c.SealBytes, c.SettleAfter, c.CommitInterval = 2<<10, 5*time.Second, 10*time.Millisecond
	p.id = ident.Process(fmt.Sprintf("entry-%d-%d", p.number, p.life))
	p.bucket = New(p.id, c)
	p.replies = map[Token]func(Command){}
	p.winner = p.w.rng.IntN(3)
}

// later runs fn at this entry unless it was restarted; a paused entry runs it when it wakes.
func (p *process) later(d time.Duration, fn func()) {
	life := p.life
	p.w.after(d, func() { p.whenAwake(life, fn) })
}

func (p *process) whenAwake(life int, fn func()) {
	if p.life != life {
		return
	}
	if p.paused.After(p.w.now) {
		p.w.after(p.paused.Sub(p.w.now), func() { p.whenAwake(life, fn) })
		return
	}
	fn()
}

func (p *process) tick(life int) {
	p.step(Tick{})
	p.w.after(100*time.Millisecond, func() {
		if p.life == life {
			p.whenAwake(life, func() { p.tick(life) })
		}
	})
}

func (p *process) step(ev Event) {
	for _, c := range p.bucket.Step(p.w.now, ev) {
		p.do(c)
	}
}

func (p *process) do(c Command) {
	w := p.w
	w.trace = append(w.trace, fmt.Sprintf("%s %s %T", w.now.Format("05.000000"), p.id, c))
	switch x := c.(type) {
	case ReadValue:
		w.call(p, func(ok bool) Event {
			v, found := w.values["active"]
			return ValueRead{x.Sequence, !ok, found, v.value, v.at}
		})
	case ReadSegments:
		w.call(p, func(ok bool) Event {
			e := SegmentsRead{Sequence: x.Sequence, Failed: !ok}
			for _, n := range x.Names {
				v, found := w.values[n]
				e.Failed = e.Failed || !found
				e.Values = append(e.Values, v.value)
			}
			return e
		})
	case WriteValue:
		w.write(p, x)
	case WriteSegment:
		w.call(p, func(ok bool) Event {
			if ok {
				w.segments++
				w.put(x.Name, x.Value)
			}
			return SegmentWritten{x.Name, ok && !w.chance(10)}
		})
	case DeleteSegment:
		delete(w.values, x.Name)
	case AskAgent:
		w.ask(p, x)
	case CheckClaim:
		w.call(p, func(ok bool) Event {
			inc, found := w.claims[x.Endpoint]
			return ClaimRead{x.Caller, x.Key, x.ID, !ok, found, inc}
		})
	case IntendReply:
		p.reply(x.Token, x)
	case ConcludeReply:
		p.reply(x.Token, x)
	case Wake:
		p.later(x.After, func() { p.step(Tick{}) })
	case Violation:
		w.problem("violation at %s: %v", p.id, x.Err)
	}
}

func (p *process) reply(t Token, c Command) {
	if fn := p.replies[t]; fn != nil {
		delete(p.replies, t)
		fn(c)
	}
}

func (w *world) put(name string, value []byte) {
	w.revision++
	w.values[name] = stored{value, w.revision}
}

// call is one read of the service or a write of a segment.
func (w *world) call(p *process, fn func(ok bool) Event) {
	d := 3*time.Millisecond + w.delay(3*time.Millisecond)
	if w.kvMode == "slow" {
		d += w.delay(2 * time.Second)
	}
	life := p.life
	w.after(d/2, func() {
		ev := fn(w.kvMode != "down")
		w.after(d/2, func() { p.whenAwake(life, func() { p.step(ev) }) })
	})
}

// write applies a compare-and-swap; its answer may be lost, before or after it takes effect, or long before.
func (w *world) write(p *process, x WriteValue) {
	lost := w.chance(8) || w.kvMode == "slow" && w.chance(40)
	apply := func() (WriteResult, ident.Revision) {
		if w.kvMode == "down" && !lost {
			return Down, 0
		}
		if w.values["active"].at != x.Expect {
			return Conflict, 0
		}
		w.put("active", x.Value)
		return Swapped, w.revision
	}
	life := p.life
	answer := func(r WriteResult, at ident.Revision) {
		if lost && r != Down {
			r, at = Lost, 0
			w.faults++
		}
		w.after(2*time.Millisecond, func() {
			p.whenAwake(life, func() { p.step(ValueWritten{x.WriteID, r, at}) })
		})
	}
	switch {
	case lost && w.chance(50): // the write arrives after the caller has given up, or never
		answer(Lost, 0)
		if w.chance(60) {
			w.after(w.delay(300*time.Millisecond), func() { apply() })
		}
	default:
		w.after(time.Millisecond+w.delay(4*time.Millisecond), func() { answer(apply()) })
	}
}

func (w *world) ask(p *process, x AskAgent) {
	life := p.life
	back := func(s TryState) {
		w.after(w.delay(2*time.Millisecond), func() {
			p.whenAwake(life, func() { p.step(Settled{x.Caller, x.Key, x.ID, s, nil}) })
		})
	}
	w.after(w.delay(2*time.Millisecond), func() {
		a := w.agents[x.Endpoint]
		if !a.alive || a.paused.After(w.now) || w.chance(5) {
			back(TryUnreachable)
			return
		}
		back(a.settle(x.ID))
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

func (w *world) startAgent(e ident.Endpoint) {
	w.revision++
	w.claims[e] = ident.Incarnation(w.revision)
	w.agents[e] = &agent{incarnation: w.claims[e], alive: true, tries: map[ident.TryID]TryState{}}
}

// killAgent ends an agent; its claim goes when the lease expires, then a successor starts.
func (w *world) killAgent(e ident.Endpoint) {
	a := w.agents[e]
	if !a.alive {
		return
	}
	a.alive = false
	w.after(w.delay(1500*time.Millisecond), func() {
		delete(w.claims, e)
		w.after(w.delay(300*time.Millisecond), func() { w.startAgent(e) })
	})
}

// run dispatches a try; answer gets the outcome unless the connection breaks.
func (w *world) dispatch(p *process, k recordKey, e ident.Endpoint, id ident.TryID, answer func(outcome.Outcome)) {
	life := p.life
	send := func(o outcome.Outcome) {
		w.after(w.delay(2*time.Millisecond), func() { p.whenAwake(life, func() { answer(o) }) })
	}
	w.after(w.delay(5*time.Millisecond), func() {
		a := w.agents[e]
		if !a.alive {
			send(outcome.Unknown)
			return
		}
		w.accept(a, k, id, send)
	})
}

func (w *world) accept(a *agent, k recordKey, id ident.TryID, send func(outcome.Outcome)) {
	if a.paused.After(w.now) {
		w.after(a.paused.Sub(w.now), func() { w.accept(a, k, id, send) })
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
	w.after(w.delay(20*time.Millisecond), func() {
		if !a.alive && w.chance(50) {
			send(outcome.Unknown)
			return
		}
		w.journal[k] = append(w.journal[k], id)
		if w.refused[id.RequestID] {
			w.problem("%s ran after its caller was told that it was not run", id.RequestID)
		}
		w.after(w.delay(40*time.Millisecond), func() {
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
