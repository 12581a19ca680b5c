package ledger

import (
	"bytes"
	"fmt"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// recordOverhead is an upper limit, in bytes, of the encoded size of a record without its strings and the response body.
const recordOverhead = 512

func (b *Bucket) handleIntend(now time.Time, e Intend) {
	if !b.Owned() {
		b.park(now, e)
		return
	}
	if KeyExpired(e.Key, now, b.config.Retention) {
		b.emit(IntendReply{Token: e.Token, Decision: Expired})
		return
	}
	k := recordKey{e.Caller, e.Key}
	r := b.lookup(now, k)
	switch {
	case b.changing[k]:
		b.replyInProgress(e, "")
	case r == nil:
		b.enqueueIntent(now, e, false)
	case !bytes.Equal(r.Digest, e.Digest):
		b.emit(IntendReply{Token: e.Token, Decision: Mismatch, RequestID: r.ID.RequestID})
	case r.State == Completed:
		b.emit(IntendReply{Token: e.Token, Decision: AlreadyCompleted, Answer: r.Answer, RequestID: r.ID.RequestID})
	case r.State == Unknown:
		b.emit(IntendReply{Token: e.Token, Decision: MayHaveRun, RequestID: r.ID.RequestID})
	case r.State == Intent && r.ID == e.ID && r.Endpoint == e.Endpoint:
		b.grant(now, e, r.ID)
	case r.ID.RequestID == e.ID.RequestID && e.ID.Try <= r.ID.Try:
		b.replyInProgress(e, r.ID.RequestID) // a delayed call of an earlier try of the same request
	case r.State == NotRun:
		b.enqueueIntent(now, e, false)
	default:
		b.startSettlement(k, *r)
		s := b.settlements[k]
		s.waiters = append(s.waiters, e)
	}
}

// park queues a call until the takeover in progress has finished.
func (b *Bucket) park(now time.Time, ev Event) {
	if b.phase == idle || len(b.parked) >= maxParkedCalls {
		b.refuseCall(now, ev, b.phase != idle || now.Before(b.downUntil))
		return
	}
	b.parked = append(b.parked, ev)
}

func (b *Bucket) enqueueIntent(now time.Time, e Intend, previousSettled bool) {
	if b.writeUnlikely(now) || b.full(e) {
		b.replyUnavailable(now, e)
		return
	}
	b.enqueue(&change{
		previousSettled: previousSettled,
		intend:          &e,
		at:              now,
		next: newStoredRecord(Record{
			Caller: e.Caller, Key: e.Key, Digest: e.Digest, ID: e.ID, Endpoint: e.Endpoint, State: Intent,
			AtUnixMilli: now.UnixMilli(), UntilUnixMilli: retainUntil(e.Key, now, b.config.Retention).UnixMilli(),
		}),
	})
}

func (b *Bucket) enqueue(c *change) {
	b.changing[c.next.key()] = true
	b.queue = append(b.queue, c)
}

// writeUnlikely reports whether a new write is unlikely to become durable soon.
func (b *Bucket) writeUnlikely(now time.Time) bool {
	return b.phase != owned || b.releaseRequested || now.Before(b.downUntil) ||
		b.inFlight != nil && (b.inFlight.release || now.Sub(b.inFlight.started) >= b.config.SlowAfter)
}

// full reports whether there is no room for the intent. It reserves space for the response of each open intent, so that every
// outcome can be recorded. A response body grows by 4/3 because it is stored in base64.
func (b *Bucket) full(e Intend) bool {
	size := 2*(len(e.Caller)+len(e.Key)+len(e.Digest)) + len(e.Endpoint) + recordOverhead
	queued := (len(b.queue) + 1) * (size + recordOverhead)
	open := 0
	for _, x := range b.active {
		if x.record.State == Intent {
			open++
		}
	}
	answerReserve := (open + len(b.queue) + 1) * (MaxAnswerBytes*4/3 + recordOverhead)
	active := b.recordBytes.active + queued + answerReserve
	return active > b.config.MaxValueBytes || active+b.recordBytes.sealed > b.config.MaxBucketBytes
}

func (b *Bucket) replyUnavailable(now time.Time, e Intend) {
	after := max(b.downUntil.Sub(now), b.config.Backoff)
	b.emit(IntendReply{Token: e.Token, Decision: Unavailable, RetryAfter: after})
}

func (b *Bucket) replyInProgress(e Intend, holder ident.RequestID) {
	b.emit(IntendReply{Token: e.Token, Decision: InProgress, RetryAfter: inProgressRetryAfter, RequestID: holder})
}

// grant permits a try to be dispatched if its intent is the durable record of its key.
func (b *Bucket) grant(now time.Time, e Intend, id ident.TryID) {
	x, ok := b.active[recordKey{e.Caller, e.Key}]
	if !ok || x.record.State != Intent || x.record.ID != e.ID || id != e.ID {
		b.emit(IntendReply{Token: e.Token, Decision: Unavailable, RetryAfter: b.config.Backoff})
		b.reportViolation(now, &InvariantError{GrantDurable, fmt.Sprintf("the intent of %v is not the durable record of its key", e.ID)})
		return
	}
	b.emit(IntendReply{Token: e.Token, Decision: Granted, RequestID: e.ID.RequestID})
}

func (b *Bucket) handleConclude(now time.Time, e Conclude) {
	if !b.Owned() {
		b.park(now, e)
		return
	}
	k := recordKey{e.Caller, e.Key}
	if b.changing[k] {
		b.deferred[k] = append(b.deferred[k], e)
		return
	}
	r := b.lookup(now, k)
	if !concludeApplies(r, e) {
		// Only a confirmed owner can reject an outcome: the records of a process that was paused and lost the bucket are stale.
		if b.writeUnlikely(now) {
			b.emit(ConcludeReply{Token: e.Token})
			return
		}
		b.unmatched = append(b.unmatched, e)
		return
	}
	next, changed := applyConclude(*r, e)
	if !changed {
		b.emit(ConcludeReply{Token: e.Token, Recorded: true})
		return
	}
	c := &change{next: newStoredRecord(next), conclude: &e, at: now}
	if b.writeUnlikely(now) {
		b.refuseChange(now, c) // the outcome stays queued for the next write
	}
	b.enqueue(c)
}

// concludeApplies reports whether an outcome belongs to the recorded try of its key. A completed outcome does not apply to a
// try that is recorded as never started.
func concludeApplies(r *Record, e Conclude) bool {
	return r != nil && r.ID == e.ID && (r.State != NotRun || e.Outcome != outcome.Completed)
}

// confirmUnmatched rejects outcomes that do not apply, after a write has confirmed the ownership. A completed try violates an
// invariant if another try is recorded for its key, because the agent had settled the completed one as never started.
func (b *Bucket) confirmUnmatched(now time.Time, list []Conclude) {
	for _, e := range list {
		r := b.lookup(now, recordKey{e.Caller, e.Key})
		b.emit(ConcludeReply{Token: e.Token})
		if r != nil && e.Outcome == outcome.Completed && !concludeApplies(r, e) {
			b.reportViolation(now, &InvariantError{SupersededRan, fmt.Sprintf("%v completed, but %v is recorded for the key", e.ID, r.ID)})
			return
		}
	}
}

// applyConclude returns the record with an outcome applied; changed is false if the outcome does not change the record.
func applyConclude(r Record, e Conclude) (next Record, changed bool) {
	next = r
	switch {
	case e.Outcome == outcome.Completed && (r.State == Intent || r.State == Unknown):
		next.State, next.Answer = Completed, limitAnswer(e.Answer)
	case e.Outcome == outcome.NotRun && (r.State == Intent || r.State == Unknown):
		next.State = NotRun
	case e.Outcome == outcome.Unknown && r.State == Intent:
		next.State = Unknown
	default:
		return r, false
	}
	return next, true
}
