package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"shallotring.dev/state/ident"
)

// Config sets the limits of a bucket.
type Config struct {
	// Retention is the time for which a concluded record is stored.
	Retention time.Duration
	// SealBytes is the total size of the concluded records in the active value at which they are moved to a segment.
	SealBytes int
	// MaxValueBytes limits the size of the active value; intents that would exceed it are refused.
	MaxValueBytes int
	// MaxBucketBytes limits the size of all records of the bucket, which the owner caches in memory.
	MaxBucketBytes int
	// CommitInterval is the minimum time between the starts of two commits of a bucket, which limits the write rate of all
	// buckets together. A commit that follows a longer pause starts at once.
	CommitInterval time.Duration
	// SlowAfter is the time after which calls that wait for a read or a write are refused.
	SlowAfter time.Duration
	// Backoff is the time between two requests to a key-value service that does not respond.
	Backoff time.Duration
	// SettleAfter is the age at which an intent without outcome is settled even if no call waits for it.
	SettleAfter time.Duration
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		Retention:      24 * time.Hour,
		SealBytes:      32 << 10,
		MaxValueBytes:  900 << 10, // the key-value service accepts 1 MB, including the header and encoding of the request
		MaxBucketBytes: 8 << 20,
		CommitInterval: 100 * time.Millisecond, // at most 320 commits per second for 32 buckets
		SlowAfter:      500 * time.Millisecond,
		Backoff:        500 * time.Millisecond,
		SettleAfter:    time.Minute,
	}
}

const (
	maxParkedCalls       = 4096 // limits the calls that wait for the end of a takeover
	maxSettlesPerTick    = 16   // limits the load on agents after a takeover of a bucket with many open intents
	inProgressRetryAfter = time.Second
)

type phase int

const (
	idle phase = iota
	reading
	readingSegments
	takingOver
	owned
	readingBack
)

// Bucket is the state of one ledger bucket in one process. It is not safe for concurrent use.
type Bucket struct {
	config       Config
	self         ident.Process
	phase        phase
	owner        ident.Process // the owner in the active value as last read or written
	epoch        uint64
	highestEpoch uint64 // the highest epoch read from or written to the active value
	revision     ident.Revision
	readSequence uint64
	writeCount   uint64
	segments     []Segment
	active       map[recordKey]*storedRecord
	sealed       map[recordKey]*storedRecord
	recordBytes  struct{ active, sealed int }

	// takeoverValue is the value that a takeover has read and not yet written back with itself as the owner.
	takeoverValue Value
	inFlight      *commit
	queue         []*change // waits for the next commit
	// changing contains the keys of the changes that are queued or in flight.
	changing map[recordKey]bool
	// unmatched are outcomes that apply to no record; the next commit confirms the ownership before they are rejected.
	unmatched []Conclude
	// deferred are outcomes of keys in changing.
	deferred map[recordKey][]Conclude
	// parked are calls that wait for the end of a takeover.
	parked           []Event
	settlements      map[recordKey]*settlement
	sealing          *seal
	lastWriteStarted time.Time
	wakeScheduled    bool // a Wake command was emitted and its Tick has not arrived
	releaseRequested bool
	// ifReleased restricts the takeover in progress, see Acquire.
	ifReleased  bool
	readStarted time.Time // start of the takeover, or of the read that resolves a write without a clear result
	// downUntil is the end of the backoff after a failed call to the key-value service; calls are refused until then.
	downUntil time.Time
	commands  []Command
}

// settlement is a settle request to the agent of an open intent, with the calls that wait for its result.
type settlement struct {
	id      ident.TryID
	waiters []Intend
}

// New returns a bucket that the process does not own.
func New(self ident.Process, c Config) *Bucket {
	b := &Bucket{config: c, self: self}
	b.reset()
	return b
}

// Owned reports whether this process owns the bucket. Another process may have taken it over since the last write.
func (b *Bucket) Owned() bool { return b.phase == owned || b.phase == readingBack }

// Idle reports whether the bucket is neither owned nor being taken over.
func (b *Bucket) Idle() bool { return b.phase == idle }

// Owner returns the owner named in the active value when it was last read or written.
func (b *Bucket) Owner() ident.Process { return b.owner }

// SetRetention changes the retention of records that are written later.
func (b *Bucket) SetRetention(d time.Duration) { b.config.Retention = d }

func (b *Bucket) reset() {
	b.phase, b.inFlight, b.sealing, b.releaseRequested = idle, nil, nil, false
	b.segments, b.queue, b.unmatched, b.parked = nil, nil, nil, nil
	b.active = make(map[recordKey]*storedRecord)
	b.sealed = make(map[recordKey]*storedRecord)
	b.changing = make(map[recordKey]bool)
	b.deferred = make(map[recordKey][]Conclude)
	b.settlements = make(map[recordKey]*settlement)
	b.recordBytes.active, b.recordBytes.sealed = 0, 0
}

// Step processes one event and returns the commands to carry out, in order.
func (b *Bucket) Step(now time.Time, ev Event) (out []Command) {
	b.commands = nil
	switch e := ev.(type) {
	case Acquire:
		b.acquire(now, e.IfReleased)
	case Release:
		b.releaseRequested = b.Owned()
	case ValueRead:
		b.handleValueRead(now, e)
	case SegmentsRead:
		b.handleSegmentsRead(now, e)
	case ValueWritten:
		b.handleValueWritten(now, e)
	case SegmentWritten:
		b.handleSegmentWritten(e)
	case Intend:
		b.handleIntend(now, e)
	case Conclude:
		b.handleConclude(now, e)
	case Settled:
		b.handleSettled(now, e)
	case ClaimRead:
		b.handleClaimRead(now, e)
	case Tick:
		b.wakeScheduled = false
		b.tick(now)
	}
	b.flush(now)
	return b.commands
}

func (b *Bucket) emit(c Command) { b.commands = append(b.commands, c) }

func (b *Bucket) acquire(now time.Time, ifReleased bool) {
	if b.phase != idle || now.Before(b.downUntil) {
		return
	}
	b.readStarted = now
	b.phase = reading
	b.ifReleased = ifReleased
	b.startRead()
}

func (b *Bucket) startRead() {
	b.readSequence++
	b.emit(ReadValue{Sequence: b.readSequence})
}

func (b *Bucket) handleValueRead(now time.Time, e ValueRead) {
	if e.Sequence != b.readSequence || b.phase != reading && b.phase != readingBack {
		return
	}
	if e.Failed {
		b.handleReadFailure(now)
		return
	}
	var v Value
	if e.Found {
		if err := json.Unmarshal(e.Value, &v); err != nil {
			b.reportViolation(now, &InvariantError{Readable, err.Error()})
			return
		}
	}
	if v.Epoch < b.highestEpoch {
		b.reportViolation(now, &InvariantError{EpochRises, fmt.Sprintf("read epoch %d after %d", v.Epoch, b.highestEpoch)})
		return
	}
	b.owner, b.highestEpoch = v.Owner, v.Epoch
	if b.phase == readingBack {
		b.resolveWrite(now, v, e.Revision)
		return
	}
	if b.ifReleased && (!e.Found || v.Owner != "") {
		b.abandon(now)
		return
	}
	b.takeoverValue, b.revision = v, e.Revision
	if len(v.Segments) == 0 {
		b.writeTakeover(now, nil)
		return
	}
	b.phase = readingSegments
	b.readSequence++
	names := make([]string, 0, len(v.Segments))
	for _, s := range v.Segments {
		names = append(names, s.Name)
	}
	b.emit(ReadSegments{Sequence: b.readSequence, Names: names})
}

// handleReadFailure ends a takeover. An owner keeps its state, because the write that it reads back may have taken effect.
func (b *Bucket) handleReadFailure(now time.Time) {
	b.downUntil = now.Add(b.config.Backoff)
	b.refuseWaitingCalls(now)
	if b.phase == reading || b.phase == readingSegments {
		b.abandon(now)
	}
}

func (b *Bucket) handleSegmentsRead(now time.Time, e SegmentsRead) {
	if e.Sequence != b.readSequence || b.phase != readingSegments {
		return
	}
	if e.Failed {
		// A newer owner may have dropped the segment; the next takeover reads the newer value.
		b.handleReadFailure(now)
		return
	}
	b.writeTakeover(now, e.Values)
}

func (b *Bucket) writeTakeover(now time.Time, segments [][]byte) {
	for i, raw := range segments {
		var list []json.RawMessage
		err := json.Unmarshal(raw, &list)
		if err == nil {
			err = decodeRecords(list, b.takeoverValue.Segments[i].Name, b.sealed)
		}
		if err != nil {
			b.reportViolation(now, &InvariantError{Readable, err.Error()})
			return
		}
	}
	if err := decodeRecords(b.takeoverValue.Records, "", b.active); err != nil {
		b.reportViolation(now, &InvariantError{Readable, err.Error()})
		return
	}
	for _, e := range b.active {
		b.recordBytes.active += len(e.raw)
	}
	for _, e := range b.sealed {
		b.recordBytes.sealed += len(e.raw)
	}
	b.segments = b.takeoverValue.Segments
	b.epoch = b.takeoverValue.Epoch + 1
	b.phase = takingOver
	b.write(now, &commit{owner: b.self, takeover: true})
}

// abandon ends the ownership or a takeover. Calls that wait are redirected to the owner, or refused if the key-value service
// does not respond.
func (b *Bucket) abandon(now time.Time) {
	unreachable := now.Before(b.downUntil)
	changes, unmatched := b.queue, b.unmatched
	if b.inFlight != nil {
		changes = append(slices.Clone(b.inFlight.changes), changes...)
		unmatched = append(slices.Clone(b.inFlight.unmatched), unmatched...)
	}
	var calls []Event
	for _, c := range changes {
		calls = append(calls, c.calls()...)
	}
	for _, e := range unmatched {
		calls = append(calls, e)
	}
	for _, k := range sortedMapKeys(b.deferred) {
		for _, c := range b.deferred[k] {
			calls = append(calls, c)
		}
	}
	for _, k := range sortedMapKeys(b.settlements) {
		for _, w := range b.settlements[k].waiters {
			calls = append(calls, w)
		}
	}
	calls = append(calls, b.parked...)
	b.reset()
	for _, c := range calls {
		b.refuseCall(now, c, unreachable)
	}
}

func (b *Bucket) refuseCall(now time.Time, ev Event, unreachable bool) {
	switch e := ev.(type) {
	case Intend:
		if unreachable {
			b.replyUnavailable(now, e)
			return
		}
		b.emit(IntendReply{Token: e.Token, Decision: NotOwner, Owner: b.owner})
	case Conclude:
		b.emit(ConcludeReply{Token: e.Token, NotOwner: !unreachable, Owner: b.owner})
	}
}

func (b *Bucket) endOwnership(now time.Time, planned bool) {
	epoch := b.epoch
	b.abandon(now)
	b.emit(Released{Epoch: epoch, Planned: planned})
}

func (b *Bucket) reportViolation(now time.Time, err *InvariantError) {
	b.emit(Violation{Err: err})
	b.downUntil = now.Add(b.config.Backoff)
	b.abandon(now)
}

func (b *Bucket) tick(now time.Time) {
	slow := b.inFlight != nil && now.Sub(b.inFlight.started) >= b.config.SlowAfter
	slow = slow || b.phase != owned && b.phase != idle && now.Sub(b.readStarted) >= b.config.SlowAfter
	if slow {
		b.refuseWaitingCalls(now)
	}
	if b.phase == readingBack && !now.Before(b.downUntil) && now.Sub(b.readStarted) >= b.config.Backoff {
		b.readStarted = now
		b.startRead()
	}
	if b.phase == owned {
		b.settleOldIntents(now, b.config.SettleAfter)
	}
}

// settleOldIntents starts the settlement of intents that are at least minAge old, in the order of their keys.
func (b *Bucket) settleOldIntents(now time.Time, minAge time.Duration) {
	settled := 0
	for _, k := range sortedRecordKeys(b.active) {
		r := b.active[k].record
		if r.State != Intent || b.changing[k] || b.settlements[k] != nil || now.Sub(time.UnixMilli(r.AtUnixMilli)) < minAge {
			continue
		}
		b.startSettlement(k, r)
		if settled++; settled == maxSettlesPerTick {
			return
		}
	}
}

func (b *Bucket) lookup(now time.Time, k recordKey) *Record {
	e, ok := b.active[k]
	if !ok {
		e, ok = b.sealed[k]
	}
	if !ok || e.expired(now) {
		return nil
	}
	return &e.record
}

func sortedMapKeys[V any](m map[recordKey]V) (list []recordKey) {
	for k := range m {
		list = append(list, k)
	}
	slices.SortFunc(list, compareKeys)
	return list
}
