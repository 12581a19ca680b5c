package ledger

import (
	"bytes"
	"fmt"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
)

// recordOverhead bounds the encoded size of a record beyond its texts, with room for the answer's header.
const recordOverhead = 512

func (b *Bucket) intend(now time.Time, e Intend) {
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
	case b.busy[k]:
		b.inProgress(e, "")
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
		b.inProgress(e, r.ID.RequestID) // a delayed call of an earlier try
	case r.State == NotRun:
		b.enqueueIntent(now, e, false)
	default:
		b.settle(k, *r)
		s := b.settling[k]
		s.waiters = append(s.waiters, e)
	}
}

// park keeps a call until the takeover in progress has ended.
func (b *Bucket) park(now time.Time, ev Event) {
	if b.phase == idle || len(b.parked) >= maxParked {
		b.turnAway(now, ev, b.phase != idle || now.Before(b.downUntil))
		return
	}
	b.parked = append(b.parked, ev)
}

func (b *Bucket) enqueueIntent(now time.Time, e Intend, settled bool) {
	if b.refusing(now) || b.full(e) {
		b.unavailable(now, e)
		return
	}
	b.enqueue(&change{
		settled: settled,
		intend:  &e,
		at:      now,
		next: newEntry(Record{
			Caller: e.Caller, Key: e.Key, Digest: e.Digest, ID: e.ID, Endpoint: e.Endpoint, State: Intent,
			AtUnixMilli: now.UnixMilli(), UntilUnixMilli: keepUntil(e.Key, now, b.config.Retention).UnixMilli(),
		}),
	})
}

func (b *Bucket) enqueue(c *change) {
	b.busy[c.next.key()] = true
	b.queue = append(b.queue, c)
}

// refusing reports whether a new write is unlikely to be answered soon.
func (b *Bucket) refusing(now time.Time) bool {
	return b.phase != owned || b.release || now.Before(b.downUntil) ||
		b.inFlight != nil && (b.inFlight.releases || now.Sub(b.inFlight.started) >= b.config.SlowAfter)
}

// full leaves room for the answer of each open intent, so that an outcome can always be recorded.
func (b *Bucket) full(e Intend) bool {
	size := 2*(len(e.Caller)+len(e.Key)+len(e.Digest)) + len(e.Endpoint) + recordOverhead
	waiting := (len(b.queue) + 1) * (size + recordOverhead)
	open := 0
	for _, x := range b.active {
		if x.record.State == Intent {
			open++
		}
	}
	reserve := (open + len(b.queue) + 1) * (MaxAnswerBytes*4/3 + recordOverhead)
	active := b.bytes.active + waiting + reserve
	return active > b.config.MaxValueBytes || active+b.bytes.sealed > b.config.MaxBucketBytes
}

func (b *Bucket) unavailable(now time.Time, e Intend) {
	after := max(b.downUntil.Sub(now), b.config.Backoff)
	b.emit(IntendReply{Token: e.Token, Decision: Unavailable, RetryAfter: after})
}

func (b *Bucket) inProgress(e Intend, holder ident.RequestID) {
	b.emit(IntendReply{Token: e.Token, Decision: InProgress, RetryAfter: inProgressRetry, RequestID: holder})
}

// grant allows a try whose intent is the durable record of its key.
func (b *Bucket) grant(now time.Time, e Intend, id ident.TryID) {
	x, ok := b.active[recordKey{e.Caller, e.Key}]
	if !ok || x.record.State != Intent || x.record.ID != e.ID || id != e.ID {
		b.emit(IntendReply{Token: e.Token, Decision: Unavailable, RetryAfter: b.config.Backoff})
		b.violate(now, &InvariantError{GrantDurable, fmt.Sprintf("%v", e.ID)})
		return
	}
	b.emit(IntendReply{Token: e.Token, Decision: Granted, RequestID: e.ID.RequestID})
}

func (b *Bucket) conclude(now time.Time, e Conclude) {
	if !b.Owned() {
		b.park(now, e)
		return
	}
	k := recordKey{e.Caller, e.Key}
	if b.busy[k] {
		b.deferred[k] = append(b.deferred[k], e)
		return
	}
	r := b.lookup(now, k)
	if !applies(r, e) {
		// Only a confirmed owner can tell: the record of a paused former owner is old.
		if b.refusing(now) {
			b.emit(ConcludeReply{Token: e.Token})
			return
		}
		b.unmatched = append(b.unmatched, e)
		return
	}
	next, changed := concluded(*r, e)
	if !changed {
		b.emit(ConcludeReply{Token: e.Token, Recorded: true})
		return
	}
	c := &change{next: newEntry(next), conclude: &e, at: now}
	if b.refusing(now) {
		b.refuse(now, c) // the outcome stays queued for the next write
	}
	b.enqueue(c)
}

// applies is false for an outcome of a try that does not hold the key, or that was recorded as never started.
func applies(r *Record, e Conclude) bool {
	return r != nil && r.ID == e.ID && (r.State != NotRun || e.Outcome != outcome.Completed)
}

// confirmUnmatched answers outcomes that do not apply, after a write has confirmed the ownership. A completed try
// whose key another try holds breaks an invariant, because its agent had settled it as never started.
func (b *Bucket) confirmUnmatched(now time.Time, list []Conclude) {
	for _, e := range list {
		r := b.lookup(now, recordKey{e.Caller, e.Key})
		b.emit(ConcludeReply{Token: e.Token})
		if r != nil && e.Outcome == outcome.Completed && !applies(r, e) {
			b.violate(now, &InvariantError{SupersededRan, fmt.Sprintf("%v completed, %v holds the key", e.ID, r.ID)})
			return
		}
	}
}

// concluded returns the record after an outcome; changed is false if the outcome adds nothing.
func concluded(r Record, e Conclude) (next Record, changed bool) {
	next = r
	switch {
	case e.Outcome == outcome.Completed && (r.State == Intent || r.State == Unknown):
		next.State, next.Answer = Completed, limitAnswer(e.Answer)
	case e.Outcome == outcome.NotRun && r.State == Intent:
		next.State = NotRun
	case e.Outcome == outcome.Unknown && r.State == Intent:
		next.State = Unknown
	default:
		return r, false
	}
	return next, true
}
