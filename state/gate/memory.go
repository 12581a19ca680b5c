package gate

import (
	"time"

	"shallotring.dev/state/admission"
	"shallotring.dev/state/outcome"
)

// sweepInterval is the time between two passes that forget tries, and the width of a bucket of forgetBuckets. A pass reads only
// the buckets that are due, because reading all remembered tries would block the control loop for milliseconds.
const sweepInterval = 10 * time.Second

// remember stores a try; its time to be forgotten is set once it is finished or tombstoned.
func (g *Gate) remember(t *try) {
	g.tries[t.ID] = t
	if t.state == tombstoned {
		g.scheduleForget(t)
	}
}

// scheduleForget sets the time at which the try is forgotten: from then on, a late copy is refused although the gate no
// longer remembers the try.
func (g *Gate) scheduleForget(t *try) {
	deadline := t.Deadline
	if deadline.IsZero() {
		deadline = g.now.Add(g.MaxDeadline)
	}
	if deadline.Before(g.now) {
		deadline = g.now
	}
	t.forgetAt = deadline.Add(g.ClockSkew)
	if t.state == finished {
		t.forgetAt = later(t.forgetAt.Add(g.FinishedRetention), t.keyRetentionEnd(g))
	}
	bucket := t.forgetAt.Truncate(sweepInterval).Add(sweepInterval)
	g.forgetBuckets[bucket] = append(g.forgetBuckets[bucket], t.ID)
}

// keyRetentionEnd returns the time until which a finished try is remembered because of its key; zero if it has none.
func (t *try) keyRetentionEnd(g *Gate) (until time.Time) {
	if t.Key == "" {
		return until
	}
	return g.now.Add(g.KeyedRetention)
}

// storeAnswer stores the response of a keyed try. Large bodies are dropped, and so is the oldest stored body above MaxAnswers.
func (g *Gate) storeAnswer(t *try, a *Answer) {
	if a == nil {
		return
	}
	stored := *a
	stored.Adapter = t.Adapter
	if len(stored.Body) > MaxAnswerBytes {
		stored.Body, stored.Truncated = nil, true
	}
	t.answer = &stored
	g.answerOrder = append(g.answerOrder, t.ID)
	if len(g.answerOrder) <= g.MaxAnswers {
		return
	}
	if old, ok := g.tries[g.answerOrder[0]]; ok && old.answer != nil {
		old.answer.Body, old.answer.Truncated = nil, true
	}
	g.answerOrder = g.answerOrder[1:]
}

// expire refuses waiting tries past their deadline and forgets tries whose forgetAt has passed.
func (g *Gate) expire() {
	for _, it := range g.queue.Expired(g.now) {
		g.finishNotRun(g.tries[it.ID], &outcome.Refusal{Reason: outcome.Deadline})
	}
	g.queue.Each(func(it admission.Item) { g.wakeBy(it.Deadline) })
	if g.now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = g.now.Add(sweepInterval)
	for bucket, list := range g.forgetBuckets {
		if g.now.Before(bucket) {
			continue
		}
		for _, id := range list {
			g.forget(g.tries[id])
		}
		delete(g.forgetBuckets, bucket)
	}
}

func (g *Gate) forget(t *try) {
	delete(g.tries, t.ID)
	if k := (callerKey{t.Caller, t.Key}); t.Key != "" && g.keys[k] == t.ID {
		delete(g.keys, k)
	}
}
