package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// call sends an event to an entry that owns the bucket or takes it over, and gives the reply to fn.
func (p *process) call(to *process, hops int, ev func(Token) Event, fn func(Command)) {
	w, life, toLife := p.w, p.life, to.life
	w.after(w.delay(2*time.Millisecond), func() {
		to.whenAwake(toLife, func() {
			to.token++
			to.replies[to.token] = func(c Command) {
				w.after(w.delay(2*time.Millisecond), func() {
					p.whenAwake(life, func() { p.answered(hops, ev, fn, c) })
				})
			}
			if to.bucket.Idle() {
				to.step(Acquire{IfReleased: to.winner != to.number && hops == 0})
			}
			to.step(ev(to.token))
		})
	})
}

func (p *process) answered(hops int, ev func(Token) Event, fn func(Command), c Command) {
	r, ok := c.(IntendReply)
	o, concluded := c.(ConcludeReply)
	moved := ok && r.Decision == NotOwner || concluded && o.NotOwner
	if moved && hops == 0 {
		p.call(p.w.entries[p.w.rng.IntN(len(p.w.entries))], 1, ev, fn)
		return
	}
	fn(c)
}

// request is one call of a caller through an entry, with up to three tries.
func (w *world) request(p *process, k recordKey, digest []byte) {
	w.requests++
	id := ident.RequestID(fmt.Sprintf("r%d", w.requests))
	p.try(k, digest, id, 1)
}

func (p *process) try(k recordKey, digest []byte, request ident.RequestID, n ident.Try) {
	w := p.w
	e := ident.Endpoint(fmt.Sprintf("e%d", w.rng.IntN(2)))
	id := ident.TryID{RequestID: request, Try: n, Incarnation: w.agents[e].incarnation}
	ev := func(t Token) Event {
		return Intend{Token: t, Caller: k.caller, Key: k.key, Digest: digest, ID: id, Endpoint: e}
	}
	p.call(w.entries[p.winner], 0, ev, func(c Command) {
		switch c.(IntendReply).Decision {
		case Granted:
			w.granted++
			w.crash(p, e)
			p.later(w.delay(3*time.Millisecond), func() { p.dispatch(k, digest, e, id) })
		case AlreadyCompleted:
			if len(w.journal[k]) != 1 {
				w.problem("%v is completed and ran %d times", k, len(w.journal[k]))
			}
		case Unavailable, Mismatch, Expired:
			w.refused[request] = true
		}
	})
}

func (p *process) dispatch(k recordKey, digest []byte, e ident.Endpoint, id ident.TryID) {
	w := p.w
	defer w.crash(p, e)
	w.dispatch(p, k, e, id, func(o outcome.Outcome) {
		w.crash(p, e)
		ev := func(t Token) Event {
			return Conclude{Token: t, Caller: k.caller, Key: k.key, ID: id, Outcome: o}
		}
		p.call(w.entries[p.winner], 0, ev, func(Command) {
			if o != outcome.NotRun {
				return
			}
			if id.Try < 3 {
				p.try(k, digest, id.RequestID, id.Try+1)
				return
			}
			w.refused[id.RequestID] = true
		})
	})
}

// crash restarts or pauses an entry at a step between intent, dispatch and outcome with a small probability;
// sometimes the agent is replaced at the same time.
func (w *world) crash(p *process, e ident.Endpoint) {
	if w.chance(90) {
		return
	}
	w.faults++
	if w.chance(40) {
		w.after(w.delay(time.Second), func() { w.killAgent(e) })
	}
	if w.chance(50) {
		p.paused = w.now.Add(w.delay(6 * time.Second))
		return
	}
	p.start()
	p.tick(p.life)
}

// disturb injects one fault and schedules the next.
func (w *world) disturb() {
	w.faults++
	p := w.entries[w.rng.IntN(len(w.entries))]
	e := ident.Endpoint(fmt.Sprintf("e%d", w.rng.IntN(2)))
	switch w.rng.IntN(9) {
	case 0:
		p.start()
		p.tick(p.life)
	case 1:
		p.paused = w.now.Add(w.delay(2 * time.Second))
	case 2:
		w.killAgent(e)
	case 3:
		w.agents[e].paused = w.now.Add(w.delay(2 * time.Second))
	case 4:
		w.kvMode = "down"
		w.after(w.delay(2*time.Second), func() { w.kvMode = "up" })
	case 5:
		w.kvMode = "slow"
		w.after(w.delay(2*time.Second), func() { w.kvMode = "up" })
	case 6:
		p.step(Release{})
	default: // the entries' views of the owner differ for a while
		p.winner = w.rng.IntN(len(w.entries))
		for _, q := range w.entries {
			q.later(w.delay(time.Second), func() { q.winner = p.winner })
		}
	}
	w.after(w.delay(400*time.Millisecond), w.disturb)
}

// load sends requests of which several share a key, some of them at once.
func (w *world) load() {
	n := w.requests/4 + w.rng.IntN(8)
	if w.chance(50) { // repeats that arrive after the agent or the entry has been replaced
		n = max(0, n-w.rng.IntN(100))
	}
	k := recordKey{"c", ident.Key(fmt.Sprintf("k%d", n))}
	for range 1 + w.rng.IntN(3) {
		p := w.entries[w.rng.IntN(len(w.entries))]
		w.after(w.delay(30*time.Millisecond), func() {
			if !p.paused.After(w.now) {
				w.request(p, k, []byte(k.key))
			}
		})
	}
	w.after(w.delay(60*time.Millisecond), w.load)
}

func schedule(seed uint64, d time.Duration) *world {
	w := newWorld(seed)
	w.after(0, w.load)
	w.after(0, w.disturb)
	w.run(d)
	for k, list := range w.journal {
		if len(list) > 1 {
			w.problem("%v ran %d times: %v", k, len(list), list)
		}
	}
	return w
}

// Guards against a second run of a key, and against a run after the caller was told that nothing ran.
// The journal of what the fake service ran is the judge.
func TestAtMostOnce(t *testing.T) {
	seeds, runs, granted, requests, faults, segments := uint64(60), 0, 0, 0, 0, 0
	if testing.Short() {
		seeds = 20
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		w := schedule(seed, 20*time.Second)
		for _, x := range w.problems {
			t.Errorf("seed %d: %s", seed, x)
		}
		if len(w.problems) > 0 {
			break
		}
		runs += len(w.journal)
		segments += w.segments
		granted, requests, faults = granted+w.granted, requests+w.requests, faults+w.faults
	}
	t.Logf("requests=%d granted=%d keys run=%d faults=%d segments=%d", requests, granted, runs, faults, segments)
	if !t.Failed() && (runs*30 < requests || segments == 0) {
		t.Errorf("only %d keys of %d requests ran; the schedules exercise too little", runs, requests)
	}
}

// Guards against state that depends on map order or on the clock of the machine.
func TestSameSeedSameSchedule(t *testing.T) {
	a, b := schedule(7, 10*time.Second), schedule(7, 10*time.Second)
	if !slices.Equal(a.trace, b.trace) {
		t.Fatalf("the same seed gave different schedules: %d and %d commands", len(a.trace), len(b.trace))
	}
}
