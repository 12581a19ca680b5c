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
	// buckets is smaller than the 32 of production, so that each bucket gets enough keys.
	buckets       = 4
	ledgerTick    = 100 * time.Millisecond
	ledgerCall    = 400 * time.Millisecond
	concludeCall  = 2 * time.Second
	handoverDelay = 2 * time.Second
)

// line drives one ledger bucket at one entry, as coordination/bucket does.
type line struct {
	entry   *entry
	number  int
	bucket  *ledger.Bucket
	token   ledger.Token
	waiting map[ledger.Token]func(ledger.Command)
	foreign time.Time
}

func newLine(e *entry, n int) *line {
	c := ledger.DefaultConfig()
	c.SealBytes, c.SettleAfter = 4<<10, 10*time.Second
	return &line{entry: e, number: n, bucket: ledger.New(e.id, c), waiting: make(map[ledger.Token]func(ledger.Command))}
}

func (l *line) key() string { return fmt.Sprintf("%s%02x", ledgerPrefix, l.number) }

// live lists the entries that can own buckets.
func (e *entry) live() (list []ident.Process) {
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

func (e *entry) winner(bucket int) (best ident.Process) {
	var highest uint64
	for _, p := range e.live() {
		h := xxhash.Sum64String(fmt.Sprintf("%s\x00%d", p, bucket))
		if best == "" || h > highest {
			best, highest = p, h
		}
	}
	return best
}

func (e *entry) tickLines() {
	for _, l := range e.lines {
		l.step(ledger.Tick{})
		l.handOver()
	}
}

// handOver releases a bucket that another live entry should own.
func (l *line) handOver() {
	if !l.bucket.Owned() {
		l.foreign = time.Time{}
		return
	}
	now := l.entry.clock().Now()
	w := l.entry.winner(l.number)
	switch {
	case w == "" || w == l.entry.id:
		l.foreign = time.Time{}
	case l.foreign.IsZero():
		l.foreign = now
	case now.Sub(l.foreign) >= handoverDelay:
		l.step(ledger.Release{})
	}
}

// handedOver releases the bucket of a leaving entry and reports whether that is done.
func (l *line) handedOver() bool {
	if l.bucket.Owned() {
		l.step(ledger.Release{})
	}
	return l.bucket.Idle()
}

func (l *line) step(e ledger.Event) {
	for _, c := range l.bucket.Step(l.entry.clock().Now(), e) {
		l.do(c)
	}
}

func (l *line) call(event func(ledger.Token) ledger.Event, done func(ledger.Command)) {
	if l.bucket.Idle() && !l.entry.leaving {
		l.step(ledger.Acquire{IfReleased: l.entry.winner(l.number) != l.entry.id})
	}
	l.token++
	l.waiting[l.token] = done
	l.step(event(l.token))
}

func (l *line) answer(t ledger.Token, c ledger.Command) {
	if fn := l.waiting[t]; fn != nil {
		delete(l.waiting, t)
		fn(c)
	}
}

func (l *line) do(c ledger.Command) {
	e, st := l.entry, l.entry.fleet.store
	switch x := c.(type) {
	case ledger.IntendReply:
		l.answer(x.Token, x)
	case ledger.ConcludeReply:
		l.answer(x.Token, x)
	case ledger.Acquired:
		e.fleet.note(string(e.id), "takes bucket %d at epoch %d from %s", l.number, x.Epoch, x.Previous)
	case ledger.Released:
		e.fleet.note(string(e.id), "releases bucket %d of epoch %d, planned %t", l.number, x.Epoch, x.Planned)
	case ledger.Violation:
		e.fleet.judge.Asserted([]string{string(e.id)}, "", "ledger: "+x.Err.Error())
	case ledger.Wake:
		e.later(x.After, func() { l.step(ledger.Tick{}) })
	case ledger.ReadValue:
		var r store.Record
		var ok bool
		e.call(ledgerCall, func() { r, ok = st.Get(l.key()) }, func(s store.Status) {
			l.step(ledger.ValueRead{Sequence: x.Sequence, Failed: s != store.Answered, Found: ok, Value: r.Value, Revision: r.Revision})
		})
	case ledger.ReadSegments:
		l.readSegments(x)
	case ledger.WriteValue:
		l.writeValue(x)
	case ledger.WriteSegment:
		ok := false
		e.call(ledgerCall, func() { _, ok = st.Swap(l.key()+"/"+x.Name, 0, x.Value, 0) }, func(s store.Status) {
			l.step(ledger.SegmentWritten{Name: x.Name, Stored: s == store.Answered && ok})
		})
	case ledger.DeleteSegment:
		e.call(ledgerCall, func() { st.Delete(l.key() + "/" + x.Name) }, func(store.Status) {})
	case ledger.SettleTry:
		l.askAgent(x)
	case ledger.CheckClaim:
		var r store.Record
		var ok bool
		e.call(ledgerCall, func() { r, ok = st.Get(claimPrefix + string(x.Endpoint)) }, func(s store.Status) {
			l.step(ledger.ClaimRead{Caller: x.Caller, Key: x.Key, ID: x.ID, Failed: s != store.Answered, Found: ok, Incarnation: ident.Incarnation(r.Revision)})
		})
	}
}

func (l *line) readSegments(x ledger.ReadSegments) {
	var list []store.Record
	l.entry.call(ledgerCall, func() { list = l.entry.fleet.store.List(l.key() + "/") }, func(s store.Status) {
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

func (l *line) writeValue(x ledger.WriteValue) {
	var at ident.Revision
	var ok bool
	l.entry.call(ledgerCall, func() { at, ok = l.entry.fleet.store.Swap(l.key(), x.Expect, x.Value, 0) }, func(s store.Status) {
		e := ledger.ValueWritten{WriteID: x.WriteID, Revision: at}
		switch {
		case s == store.Down:
			e.Result = ledger.WriteNotApplied
		case s == store.Lost:
			e.Result, e.Revision = ledger.WriteResultUnknown, 0
		case !ok:
			e.Result = ledger.WriteConflict
		}
		l.step(e)
	})
}

func (l *line) askAgent(x ledger.SettleTry) {
	answer := ledger.Settled{Caller: x.Caller, Key: x.Key, ID: x.ID}
	var r store.Record
	var ok bool
	l.entry.call(ledgerCall, func() { r, ok = l.entry.fleet.store.Get(claimPrefix + string(x.Endpoint)) }, func(s store.Status) {
		if s != store.Answered || !ok {
			l.step(answer)
			return
		}
		_, address, _ := strings.Cut(string(r.Value), " ")
		l.entry.askAgent(address, x.ID, false, ledgerCall, func(w *wire.SettleResponse) {
			if w != nil {
				answer.State, answer.Answer = tryState(w), ledgerAnswer(w.Answer)
			}
			l.step(answer)
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

// route calls the owner of a bucket, and once more the process that the first one names. Try calls a process and hands
// on the next one; an empty name ends the route.
func (e *entry) route(n int, try func(to ident.Process, next func(ident.Process)), end func()) {
	to := e.winner(n)
	if e.lines[n].bucket.Owned() {
		to = e.id
	}
	if to == "" {
		end()
		return
	}
	try(to, func(second ident.Process) {
		if second == "" || !slices.Contains(append(e.live(), e.id), second) {
			end()
			return
		}
		try(second, func(ident.Process) { end() })
	})
}

func (e *entry) nextOwner(n int, stored ident.Process) ident.Process {
	if stored != e.id && slices.Contains(e.live(), stored) {
		return stored
	}
	return e.winner(n)
}

func bucketOf(caller, key string) int { return int(xxhash.Sum64String(caller+"\x00"+key) % buckets) }

// intend asks the owner of the key's bucket; done gets a response in every case.
func (e *entry) intend(r *wire.IntendRequest, done func(*wire.IntendResponse)) {
	n := bucketOf(r.Caller, r.Key)
	a := unavailable()
	e.route(n, func(to ident.Process, next func(ident.Process)) {
		e.callEntry(to, 4*ledgerCall, func(p *entry, reply func(any)) {
			p.lines[n].call(func(t ledger.Token) ledger.Event {
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
		}, func(answer any, s callStatus) {
			if a = unavailable(); s == answered {
				a = answer.(*wire.IntendResponse)
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

// conclude records an outcome with the owner of the key's bucket, within the time that an entry waits for it.
func (e *entry) conclude(r *wire.ConcludeRequest, done func(recorded bool)) {
	n := bucketOf(r.Caller, r.Key)
	once := false
	finish := func(recorded bool) {
		if !once {
			once = true
			done(recorded)
		}
	}
	e.later(concludeCall, func() { finish(false) })
	e.route(n, func(to ident.Process, next func(ident.Process)) {
		e.callEntry(to, 4*ledgerCall, func(p *entry, reply func(any)) {
			p.lines[n].call(func(t ledger.Token) ledger.Event {
				return ledger.Conclude{Token: t, Caller: ident.Caller(r.Caller), Key: ident.Key(r.Key), ID: r.ID.Ident(),
					Outcome: r.Outcome.State(), Answer: ledgerAnswer(r.Answer)}
			}, func(c ledger.Command) {
				x := c.(ledger.ConcludeReply)
				w := &wire.ConcludeResponse{Recorded: x.Recorded}
				if x.NotOwner {
					w.Owner = string(p.nextOwner(n, x.Owner))
				}
				reply(w)
			})
		}, func(answer any, s callStatus) {
			if s != answered {
				finish(false)
				return
			}
			w := answer.(*wire.ConcludeResponse)
			if w.Owner != "" {
				next(ident.Process(w.Owner))
				return
			}
			finish(w.Recorded)
		})
	}, func() { finish(false) })
}

// callEntry calls an entry; a call to itself takes no network.
func (e *entry) callEntry(to ident.Process, timeout time.Duration, handle func(p *entry, reply func(any)), done func(any, callStatus)) {
	if to == e.id {
		handle(e, func(x any) { done(x, answered) })
		return
	}
	p := e.fleet.entryOf(to)
	var at *process
	if p != nil {
		at = &p.process
	}
	e.fleet.call(&e.process, at, timeout, func(reply func(any)) { handle(p, reply) }, done)
}

func unavailable() *wire.IntendResponse {
	return &wire.IntendResponse{State: wire.IntentState_INTENT_STATE_UNAVAILABLE, RetryAfterMilli: 1000}
}
