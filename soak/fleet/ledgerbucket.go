package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotring.dev/protocol/wire"
	"shallotring.dev/soak/store"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/ledger"
)

const (
	// bucketCount is smaller than the 32 of production, so that each bucket gets enough keys.
	bucketCount        = 4
	ledgerTickInterval = 100 * time.Millisecond
	ledgerTimeout      = 400 * time.Millisecond
	concludeTimeout    = 2 * time.Second
	handoverDelay      = 2 * time.Second
)

// ledgerBucket executes the commands of one ledger bucket at one entry, as coordination/bucket does.
type ledgerBucket struct {
	entry        *entry
	number       int
	bucket       *ledger.Bucket
	lastToken    ledger.Token
	pendingCalls map[ledger.Token]func(ledger.Command)
	// otherOwnerSince is the time since which another live entry should own the bucket; zero if none should.
	otherOwnerSince time.Time
}

func newLedgerBucket(e *entry, n int) *ledgerBucket {
	c := ledger.DefaultConfig()
	c.SealBytes, c.SettleAfter = 4<<10, 10*time.Second
	return &ledgerBucket{entry: e, number: n, bucket: ledger.New(e.id, c), pendingCalls: make(map[ledger.Token]func(ledger.Command))}
}

func (l *ledgerBucket) key() string { return fmt.Sprintf("%s%02x", ledgerPrefix, l.number) }

// liveEntries lists the entries that can own buckets.
func (e *entry) liveEntries() (list []ident.Process) {
	if !e.leaving {
		list = append(list, e.id)
	}
	for _, p := range e.peers {
		if p != e.id {
			list = append(list, p)
		}
	}
	return list
}

// chosenEntry returns the live entry that rendezvous hashing chooses as the owner of a bucket; it may not own the bucket yet.
func (e *entry) chosenEntry(bucket int) (best ident.Process) {
	var highest uint64
	for _, p := range e.liveEntries() {
		h := xxhash.Sum64String(fmt.Sprintf("%s\x00%d", p, bucket))
		if best == "" || h > highest {
			best, highest = p, h
		}
	}
	return best
}

func (e *entry) tickBuckets() {
	for _, l := range e.ledgerBuckets {
		l.step(ledger.Tick{})
		l.handOver()
	}
}

// handOver releases a bucket that another live entry should have owned for at least handoverDelay.
func (l *ledgerBucket) handOver() {
	if !l.bucket.Owned() {
		l.otherOwnerSince = time.Time{}
		return
	}
	now := l.entry.clock().Now()
	chosen := l.entry.chosenEntry(l.number)
	switch {
	case chosen == "" || chosen == l.entry.id:
		l.otherOwnerSince = time.Time{}
	case l.otherOwnerSince.IsZero():
		l.otherOwnerSince = now
	case now.Sub(l.otherOwnerSince) >= handoverDelay:
		l.step(ledger.Release{})
	}
}

// releaseForStop releases the bucket of a leaving entry and reports whether it is released.
func (l *ledgerBucket) releaseForStop() bool {
	if l.bucket.Owned() {
		l.step(ledger.Release{})
	}
	return l.bucket.Idle()
}

func (l *ledgerBucket) step(e ledger.Event) {
	for _, c := range l.bucket.Step(l.entry.clock().Now(), e) {
		l.execute(c)
	}
}

// call submits a request event to the bucket; done gets the reply.
func (l *ledgerBucket) call(event func(ledger.Token) ledger.Event, done func(ledger.Command)) {
	if l.bucket.Idle() && !l.entry.leaving {
		l.step(ledger.Acquire{IfReleased: l.entry.chosenEntry(l.number) != l.entry.id})
	}
	l.lastToken++
	l.pendingCalls[l.lastToken] = done
	l.step(event(l.lastToken))
}

func (l *ledgerBucket) completeCall(t ledger.Token, c ledger.Command) {
	if fn := l.pendingCalls[t]; fn != nil {
		delete(l.pendingCalls, t)
		fn(c)
	}
}

func (l *ledgerBucket) execute(c ledger.Command) {
	e, st := l.entry, l.entry.fleet.store
	switch x := c.(type) {
	case ledger.IntendReply:
		l.completeCall(x.Token, x)
	case ledger.ConcludeReply:
		l.completeCall(x.Token, x)
	case ledger.Acquired:
		e.fleet.logEvent(string(e.id), "acquired bucket %d at epoch %d, previous owner %q", l.number, x.Epoch, x.Previous)
	case ledger.Released:
		e.fleet.logEvent(string(e.id), "released bucket %d of epoch %d, planned: %t", l.number, x.Epoch, x.Planned)
	case ledger.Violation:
		e.fleet.judge.AssertionFailed([]string{string(e.id)}, "", "ledger: "+x.Err.Error())
	case ledger.Wake:
		e.runAfter(x.After, func() { l.step(ledger.Tick{}) })
	case ledger.ReadValue:
		var r store.Record
		var ok bool
		e.callStore(ledgerTimeout, func() { r, ok = st.Get(l.key()) }, func(s store.Status) {
			l.step(ledger.ValueRead{Sequence: x.Sequence, Failed: s != store.Answered, Found: ok, Value: r.Value, Revision: r.Revision})
		})
	case ledger.ReadSegments:
		l.readSegments(x)
	case ledger.WriteValue:
		l.writeValue(x)
	case ledger.WriteSegment:
		ok := false
		e.callStore(ledgerTimeout, func() { _, ok = st.Swap(l.key()+"/"+x.Name, 0, x.Value, 0) }, func(s store.Status) {
			l.step(ledger.SegmentWritten{Name: x.Name, Stored: s == store.Answered && ok})
		})
	case ledger.DeleteSegment:
		e.callStore(ledgerTimeout, func() { st.Delete(l.key() + "/" + x.Name) }, func(store.Status) {})
	case ledger.SettleTry:
		l.settleTry(x)
	case ledger.CheckClaim:
		var r store.Record
		var ok bool
		e.callStore(ledgerTimeout, func() { r, ok = st.Get(claimPrefix + string(x.Endpoint)) }, func(s store.Status) {
			l.step(ledger.ClaimRead{Caller: x.Caller, Key: x.Key, ID: x.ID, Failed: s != store.Answered, Found: ok, Incarnation: ident.Incarnation(r.Revision)})
		})
	}
}

func (l *ledgerBucket) readSegments(x ledger.ReadSegments) {
	var list []store.Record
	l.entry.callStore(ledgerTimeout, func() { list = l.entry.fleet.store.List(l.key() + "/") }, func(s store.Status) {
		e := ledger.SegmentsRead{Sequence: x.Sequence, Failed: s != store.Answered}
		for _, n := range x.Names {
			i := slices.IndexFunc(list, func(r store.Record) bool { return r.Key == l.key()+"/"+n })
			if i < 0 {
				e.Failed = true
				continue
			}
			e.Values = append(e.Values, list[i].Value)
		}
		l.step(e)
	})
}

func (l *ledgerBucket) writeValue(x ledger.WriteValue) {
	var at ident.Revision
	var ok bool
	l.entry.callStore(ledgerTimeout, func() { at, ok = l.entry.fleet.store.Swap(l.key(), x.Expect, x.Value, 0) }, func(s store.Status) {
		e := ledger.ValueWritten{WriteID: x.WriteID, Revision: at}
		switch {
		case s == store.NotApplied:
			e.Result = ledger.WriteNotApplied
		case s == store.Lost:
			e.Result, e.Revision = ledger.WriteResultUnknown, 0
		case !ok:
			e.Result = ledger.WriteConflict
		}
		l.step(e)
	})
}

func (l *ledgerBucket) settleTry(x ledger.SettleTry) {
	settled := ledger.Settled{Caller: x.Caller, Key: x.Key, ID: x.ID}
	var r store.Record
	var ok bool
	l.entry.callStore(ledgerTimeout, func() { r, ok = l.entry.fleet.store.Get(claimPrefix + string(x.Endpoint)) }, func(s store.Status) {
		if s != store.Answered || !ok {
			l.step(settled)
			return
		}
		_, address, _ := strings.Cut(string(r.Value), " ")
		l.entry.settleTry(address, x.ID, false, ledgerTimeout, func(w *wire.SettleResponse) {
			if w != nil {
				settled.State, settled.Answer = tryState(w), ledgerAnswer(w.Answer)
			}
			l.step(settled)
		})
	})
}

func tryState(w *wire.SettleResponse) ledger.TryState {
	switch w.State {
	case wire.TryState_TRY_STATE_NEVER_STARTED:
		return ledger.TryNeverStarted
	case wire.TryState_TRY_STATE_RUNNING:
		return ledger.TryRunning
	case wire.TryState_TRY_STATE_COMPLETED:
		return ledger.TryCompleted
	case wire.TryState_TRY_STATE_UNKNOWN:
		return ledger.TryUnknown
	}
	return ledger.TryUnreachable
}

func ledgerAnswer(a *wire.Answer) *ledger.Answer {
	if a == nil {
		return nil
	}
	return &ledger.Answer{Status: int(a.Status), ContentType: a.ContentType, Body: slices.Clone(a.Body), Truncated: a.Truncated,
		RequestID: ident.RequestID(a.RequestID), Adapter: ident.Adapter(a.Adapter), Version: ident.Version(a.Version)}
}

func wireAnswer(a *ledger.Answer) *wire.Answer {
	if a == nil {
		return nil
	}
	return &wire.Answer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated,
		RequestID: string(a.RequestID), Adapter: string(a.Adapter), Version: string(a.Version)}
}

var intentStates = map[ledger.Decision]wire.IntentState{
	ledger.Granted:          wire.IntentState_INTENT_STATE_GRANTED,
	ledger.AlreadyCompleted: wire.IntentState_INTENT_STATE_COMPLETED,
	ledger.InProgress:       wire.IntentState_INTENT_STATE_IN_PROGRESS,
	ledger.MayHaveRun:       wire.IntentState_INTENT_STATE_UNKNOWN,
	ledger.Mismatch:         wire.IntentState_INTENT_STATE_MISMATCH,
	ledger.Unavailable:      wire.IntentState_INTENT_STATE_UNAVAILABLE,
	ledger.NotOwner:         wire.IntentState_INTENT_STATE_NOT_OWNER,
	ledger.Expired:          wire.IntentState_INTENT_STATE_EXPIRED,
}

// callOwner calls the owner of a bucket. If that process names another owner, callOwner calls that one too, but no third. The
// function call calls one process and passes the owner that it names to next, empty for none. The function end is called when
// no further process is to be called.
func (e *entry) callOwner(n int, call func(to ident.Process, next func(ident.Process)), end func()) {
	to := e.chosenEntry(n)
	if e.ledgerBuckets[n].bucket.Owned() {
		to = e.id
	}
	if to == "" {
		end()
		return
	}
	call(to, func(second ident.Process) {
		if second == "" || !slices.Contains(append(e.liveEntries(), e.id), second) {
			end()
			return
		}
		call(second, func(ident.Process) { end() })
	})
}

// nextOwner returns the entry to call after this one: the owner in the stored value if it is another live entry, else the chosen
// one.
func (e *entry) nextOwner(n int, stored ident.Process) ident.Process {
	if stored != e.id && slices.Contains(e.liveEntries(), stored) {
		return stored
	}
	return e.chosenEntry(n)
}

func bucketNumber(caller, key string) int {
	return int(xxhash.Sum64String(caller+"\x00"+key) % bucketCount)
}

// intend requests the owner of the key's bucket to record an intent; done gets a response in every case.
func (e *entry) intend(r *wire.IntendRequest, done func(*wire.IntendResponse)) {
	n := bucketNumber(r.Caller, r.Key)
	a := unavailable()
	e.callOwner(n, func(to ident.Process, next func(ident.Process)) {
		e.callEntry(to, 4*ledgerTimeout, func(p *entry, reply func(any)) {
			p.ledgerBuckets[n].call(func(t ledger.Token) ledger.Event {
				return ledger.Intend{Token: t, Caller: ident.Caller(r.Caller), Key: ident.Key(r.Key), Digest: r.BodyDigest,
					ID: r.ID.Ident(), Endpoint: ident.Endpoint(r.Endpoint)}
			}, func(c ledger.Command) {
				x := c.(ledger.IntendReply)
				w := &wire.IntendResponse{State: intentStates[x.Decision], Answer: wireAnswer(x.Answer), RetryAfterMilli: x.RetryAfter.Milliseconds()}
				if x.Decision == ledger.NotOwner {
					w.Owner = string(p.nextOwner(n, x.Owner))
				}
				reply(w)
			})
		}, func(response any, s callStatus) {
			if a = unavailable(); s == callAnswered {
				a = response.(*wire.IntendResponse)
			}
			if a.State == wire.IntentState_INTENT_STATE_NOT_OWNER {
				next(ident.Process(a.Owner))
				return
			}
			done(a)
			done = func(*wire.IntendResponse) {}
		})
	}, func() { done(unavailable()) })
}

// conclude records an outcome at the owner of the key's bucket; it reports false if that takes longer than concludeTimeout.
func (e *entry) conclude(r *wire.ConcludeRequest, done func(recorded bool)) {
	n := bucketNumber(r.Caller, r.Key)
	finished := false
	finish := func(recorded bool) {
		if !finished {
			finished = true
			done(recorded)
		}
	}
	e.runAfter(concludeTimeout, func() { finish(false) })
	e.callOwner(n, func(to ident.Process, next func(ident.Process)) {
		e.callEntry(to, 4*ledgerTimeout, func(p *entry, reply func(any)) {
			p.ledgerBuckets[n].call(func(t ledger.Token) ledger.Event {
				return ledger.Conclude{Token: t, Caller: ident.Caller(r.Caller), Key: ident.Key(r.Key), ID: r.ID.Ident(),
					Outcome: r.Outcome.AsOutcome(), Answer: ledgerAnswer(r.Answer)}
			}, func(c ledger.Command) {
				x := c.(ledger.ConcludeReply)
				w := &wire.ConcludeResponse{Recorded: x.Recorded}
				if x.NotOwner {
					w.Owner = string(p.nextOwner(n, x.Owner))
				}
				reply(w)
			})
		}, func(response any, s callStatus) {
			if s != callAnswered {
				finish(false)
				return
			}
			w := response.(*wire.ConcludeResponse)
			if w.Owner != "" {
				next(ident.Process(w.Owner))
				return
			}
			finish(w.Recorded)
		})
	}, func() { finish(false) })
}

// callEntry calls an entry; a call of an entry to itself does not use the network.
func (e *entry) callEntry(to ident.Process, timeout time.Duration, handle func(p *entry, reply func(any)), done func(any, callStatus)) {
	if to == e.id {
		handle(e, func(x any) { done(x, callAnswered) })
		return
	}
	p := e.fleet.entryByID(to)
	var callee *process
	if p != nil {
		callee = &p.process
	}
	e.fleet.call(&e.process, callee, timeout, func(reply func(any)) { handle(p, reply) }, done)
}

func unavailable() *wire.IntendResponse {
	return &wire.IntendResponse{State: wire.IntentState_INTENT_STATE_UNAVAILABLE, RetryAfterMilli: 1000}
}
