package ledger

import (
	"time"

	"shallotring.dev/state/outcome"
)

// settle asks the agent of an open intent once, however many calls wait for the answer.
func (b *Bucket) settle(k recordKey, r Record) {
	if s := b.settling[k]; s != nil && s.id == r.ID {
		return
	}
	old := b.settling[k]
	s := &settlement{id: r.ID}
	if old != nil {
		s.waiters = old.waiters
	}
	b.settling[k] = s
	b.emit(AskAgent{Caller: r.Caller, Key: r.Key, ID: r.ID, Endpoint: r.Endpoint})
}

func (b *Bucket) settled(now time.Time, e Settled) {
	k := recordKey{e.Caller, e.Key}
	s := b.settling[k]
	if s == nil || s.id != e.ID || !b.Owned() {
		return
	}
	r := b.lookup(now, k)
	if r == nil || r.ID != e.ID || r.State != Intent || b.busy[k] {
		b.resume(now, k)
		return
	}
	switch e.State {
	case TryNeverStarted:
		b.superseded(now, k, *r)
	case TryRunning:
		b.keepInProgress(k)
	case TryCompleted:
		b.settleAs(now, k, *r, Conclude{Outcome: outcome.Completed, Answer: e.Answer})
	case TryUnknown:
		b.settleAs(now, k, *r, Conclude{Outcome: outcome.Unknown})
	case TryUnreachable:
		b.emit(CheckClaim{Caller: e.Caller, Key: e.Key, ID: e.ID, Endpoint: r.Endpoint})
	}
}

// claimRead decides an intent whose agent does not answer: while the claim names the intent's incarnation,
// the try may still run.
func (b *Bucket) claimRead(now time.Time, e ClaimRead) {
	k := recordKey{e.Caller, e.Key}
	s := b.settling[k]
	if s == nil || s.id != e.ID || !b.Owned() {
		return
	}
	r := b.lookup(now, k)
	if r == nil || r.ID != e.ID || r.State != Intent || b.busy[k] {
		b.resume(now, k)
		return
	}
	if e.Failed || e.Found && e.Incarnation <= e.ID.Incarnation {
		b.keepInProgress(k)
		return
	}
	b.settleAs(now, k, *r, Conclude{Outcome: outcome.Unknown})
}

// resume decides the waiting calls anew, after the record has changed meanwhile.
func (b *Bucket) resume(now time.Time, k recordKey) {
	s := b.settling[k]
	delete(b.settling, k)
	for _, w := range s.waiters {
		b.intend(now, w)
	}
}

func (b *Bucket) keepInProgress(k recordKey) {
	s := b.settling[k]
	delete(b.settling, k)
	for _, w := range s.waiters {
		b.inProgress(w, s.id.RequestID)
	}
}

// superseded gives the key to the first waiting call, whose earlier try is refused by its agent from now on.
func (b *Bucket) superseded(now time.Time, k recordKey, r Record) {
	s := b.settling[k]
	delete(b.settling, k)
	if len(s.waiters) == 0 {
		r.State = NotRun
		b.enqueue(&change{next: newEntry(r), at: now})
		return
	}
	b.enqueueIntent(now, s.waiters[0], true)
	for _, w := range s.waiters[1:] {
		b.inProgress(w, "")
	}
}

// settleAs records an outcome and decides the waiting calls once it is durable.
func (b *Bucket) settleAs(now time.Time, k recordKey, r Record, c Conclude) {
	s := b.settling[k]
	delete(b.settling, k)
	next, _ := concluded(r, c)
	x := &change{next: newEntry(next), waiters: s.waiters, at: now}
	if b.refusing(now) {
		b.refuse(now, x)
	}
	b.enqueue(x)
}
