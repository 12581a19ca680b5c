package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/outcome"
)

// sweepInterval is the time between two passes over the memory of tries.
const sweepInterval = 10 * time.Second

func (g *Gate) remember(t *try) {
	g.tries[t.ID] = t
	if t.state == tombstoned {
		g.setForget(t)
	}
}

// setForget sets the time from which a late copy of the try is refused without the memory.
func (g *Gate) setForget(t *try) {
	deadline := t.Deadline
	if deadline.IsZero() {
		deadline = g.now.Add(g.MaxDeadline)
	}
	if deadline.Before(g.now) {
		deadline = g.now
	}
	t.forget = deadline.Add(g.ClockSkew)
	if t.state != finished {
		return
	}
	t.forget = t.forget.Add(g.KeepFinished)
	if keyed := g.now.Add(g.KeepKeyed); t.Key != "" && keyed.After(t.forget) {
		t.forget = keyed
	}
}

// keep stores a small answer of a keyed try; the oldest answers make room.
func (g *Gate) keep(t *try, a *Answer) {
	if a == nil {
		return
	}
	kept := *a
	kept.Adapter = t.Adapter
	if len(kept.Body) > MaxAnswerBytes {
		kept.Body, kept.Truncated = nil, true
	}
	t.answer = &kept
	g.answers = append(g.answers, t.ID)
	if len(g.answers) <= g.MaxAnswers {
		return
	}
	if old, ok := g.tries[g.answers[0]]; ok && old.answer != nil {
		old.answer.Body, old.answer.Truncated = nil, true
	}
	g.answers = g.answers[1:]
}

// expire returns waiting tries past their deadline and forgets old ones.
func (g *Gate) expire() {
	for _, it := range g.queue.Expired(g.now) {
		g.end(g.tries[it.ID], &outcome.Refusal{Reason: outcome.Deadline})
	}
	g.queue.Each(func(it admission.Item) { g.wake(it.Deadline) })
	if g.now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = g.now.Add(sweepInterval)
	for id, t := range g.tries {
		if t.state < finished || g.now.Before(t.forget) {
			continue
		}
		delete(g.tries, id)
		if k := (callerKey{t.Caller, t.Key}); t.Key != "" && g.keys[k] == id {
			delete(g.keys, k)
		}
	}
}
