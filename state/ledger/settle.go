package ledger

import (
	"time"

	"shallotring.dev/state/outcome"
)

// startSettlement sends one settle request to the agent of an open intent, however many calls wait for the response.
func (b *Bucket) startSettlement(k recordKey, r Record) {
	if s := b.settlements[k]; s != nil && s.id == r.ID {
		return
	}
	previous := b.settlements[k]
	s := &settlement{id: r.ID}
	if previous != nil {
		s.waiters = previous.waiters
	}
	b.settlements[k] = s
	b.emit(SettleTry{Caller: r.Caller, Key: r.Key, ID: r.ID, Endpoint: r.Endpoint})
}

func (b *Bucket) handleSettled(now time.Time, e Settled) {
	k := recordKey{e.Caller, e.Key}
	s := b.settlements[k]
	if s == nil || s.id != e.ID || !b.Owned() {
		return
	}
	r := b.lookup(now, k)
	if r == nil || r.ID != e.ID || r.State != Intent || b.changing[k] {
		b.redecideWaiters(now, k)
		return
	}
	switch e.State {
	case TryNeverStarted:
		b.grantToFirstWaiter(now, k, *r)
	case TryRunning:
		b.replyWaitersInProgress(k)
	case TryCompleted:
		b.recordSettledOutcome(now, k, *r, Conclude{Outcome: outcome.Completed, Answer: e.Answer})
	case TryUnknown:
		b.recordSettledOutcome(now, k, *r, Conclude{Outcome: outcome.Unknown})
	case TryUnreachable:
		b.emit(CheckClaim{Caller: e.Caller, Key: e.Key, ID: e.ID, Endpoint: r.Endpoint})
	}
}

// handleClaimRead decides on an intent whose agent does not respond. The try may still be running as long as the endpoint is
// claimed at the incarnation that the intent names; otherwise its outcome is recorded as unknown.
func (b *Bucket) handleClaimRead(now time.Time, e ClaimRead) {
	k := recordKey{e.Caller, e.Key}
	s := b.settlements[k]
	if s == nil || s.id != e.ID || !b.Owned() {
		return
	}
	r := b.lookup(now, k)
	if r == nil || r.ID != e.ID || r.State != Intent || b.changing[k] {
		b.redecideWaiters(now, k)
		return
	}
	if e.Failed || e.Found && e.Incarnation <= e.ID.Incarnation {
		b.replyWaitersInProgress(k)
		return
	}
	b.recordSettledOutcome(now, k, *r, Conclude{Outcome: outcome.Unknown})
}

// redecideWaiters decides again on the waiting calls of a settlement during which the record has changed.
func (b *Bucket) redecideWaiters(now time.Time, k recordKey) {
	s := b.settlements[k]
	delete(b.settlements, k)
	for _, w := range s.waiters {
		b.handleIntend(now, w)
	}
}

func (b *Bucket) replyWaitersInProgress(k recordKey) {
	s := b.settlements[k]
	delete(b.settlements, k)
	for _, w := range s.waiters {
		b.replyInProgress(w, s.id.RequestID)
	}
}

// grantToFirstWaiter records the intent of the first waiting call after the agent has reported that the recorded try never
// starts. Without a waiting call, the recorded try is marked as not run.
func (b *Bucket) grantToFirstWaiter(now time.Time, k recordKey, r Record) {
	s := b.settlements[k]
	delete(b.settlements, k)
	if len(s.waiters) == 0 {
		r.State = NotRun
		b.enqueue(&change{next: newStoredRecord(r), at: now})
		return
	}
	b.enqueueIntent(now, s.waiters[0], true)
	for _, w := range s.waiters[1:] {
		b.replyInProgress(w, "")
	}
}

// recordSettledOutcome records an outcome and decides on the waiting calls once it is durable.
func (b *Bucket) recordSettledOutcome(now time.Time, k recordKey, r Record, c Conclude) {
	s := b.settlements[k]
	delete(b.settlements, k)
	next, _ := applyConclude(r, c)
	x := &change{next: newStoredRecord(next), waiters: s.waiters, at: now}
	if b.writeUnlikely(now) {
		b.refuseChange(now, x)
	}
	b.enqueue(x)
}
