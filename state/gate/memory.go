package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/outcome"
)

// sweepInterval is the time between two passes over the tries to forget, and the width of a bucket of them.
// Buckets keep a pass short, because the whole memory would hold up the control loop for milliseconds.
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
	if t.state == finished {
		t.forget = later(t.forget.Add(g.KeepFinished), t.keepKeyed(g))
	}
	bucket := t.forget.Truncate(sweepInterval).Add(sweepInterval)
	g.forgets[bucket] = append(g.forgets[bucket], t.ID)
}

// keepKeyed is the time until which a finished try is kept because of its key; zero if it has none.
func (t *try) keepKeyed(g *Gate) (until time.Time) {
	if t.Key == "" {
		return until
	}
	return g.now.Add(g.KeepKeyed)
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
	for bucket, list := range g.forgets {
		if g.now.Before(bucket) {
			continue
		}
		for _, id := range list {
			g.forget(g.tries[id])
		}
		delete(g.forgets, bucket)
	}
}

func (g *Gate) forget(t *try) {
	delete(g.tries, t.ID)
	if k := (callerKey{t.Caller, t.Key}); t.Key != "" && g.keys[k] == t.ID {
		delete(g.keys, k)
	}
}
