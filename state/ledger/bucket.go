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
	// Retention is the time that a concluded record is kept.
	Retention time.Duration
	// SealBytes is the size of concluded records in the active value at which they are moved to a segment.
	SealBytes int
	// MaxValueBytes bounds the active value; new intents are refused beyond it.
	MaxValueBytes int
	// MaxBucketBytes bounds all records of the bucket, which the owner holds in memory.
	MaxBucketBytes int
	// CommitInterval is the least time between the starts of two commits; it bounds the write rate of all buckets
	// together. A commit after a quiet time starts at once.
	CommitInterval time.Duration
	// SlowAfter is the time after which calls that wait for a write are refused.
	SlowAfter time.Duration
	// Backoff is the time between attempts to reach the service.
	Backoff time.Duration
	// SettleAfter is the age at which an intent without outcome is settled unasked.
	SettleAfter time.Duration
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		Retention:      24 * time.Hour,
		SealBytes:      32 << 10,
		MaxValueBytes:  900 << 10, // the service takes 1 MB; the rest is for the header and the encoding of the call
		MaxBucketBytes: 8 << 20,
		CommitInterval: 100 * time.Millisecond, // 32 buckets make at most 320 commits a second
		SlowAfter:      500 * time.Millisecond,
		Backoff:        500 * time.Millisecond,
		SettleAfter:    time.Minute,
	}
}

const (
	maxParked       = 4096 // calls that wait for a takeover
	settlePerTick   = 16   // bounds the load on agents after a takeover of many intents
	inProgressRetry = time.Second
)

type phase int

const (
	idle phase = iota
	reading
	readingSegments
	claiming
	owned
	readingBack
)

// Bucket is the state of one ledger bucket at one process; it belongs to one goroutine.
type Bucket struct {
	config   Config
	self     ident.Process
	phase    phase
	owner    ident.Process // the owner in the value as last read
	epoch    uint64
	seen     uint64 // the highest epoch seen in the stored value
	revision ident.Revision
	sequence uint64
	writes   uint64
	segments []Segment
	active   map[recordKey]*entry
	sealed   map[recordKey]*entry
	bytes    struct{ active, sealed int }

	loaded    Value // read by a takeover, not yet claimed
	inFlight  *commit
	queue     []*change
	busy      map[recordKey]bool
	unmatched []Conclude
	deferred  map[recordKey][]Conclude
	parked    []Event
	settling  map[recordKey]*settlement
	sealing   *seal
	lastWrite time.Time
	waking    bool // a Wake is on its way
	release   bool
	// ifReleased restricts the takeover in progress, see Acquire.
	ifReleased bool
	started    time.Time // start of the takeover or of the read-back
	downUntil  time.Time
	commands   []Command
}

type settlement struct {
	id      ident.TryID
	waiters []Intend
}

// New returns a bucket that is not owned.
func New(self ident.Process, c Config) *Bucket {
	b := &Bucket{config: c, self: self}
	b.reset()
	return b
}

// Owned reports whether the bucket is owned as far as this process knows.
func (b *Bucket) Owned() bool { return b.phase == owned || b.phase == readingBack }

// Idle reports whether the bucket is neither owned nor being taken over.
func (b *Bucket) Idle() bool { return b.phase == idle }

// Owner returns the owner that the value named when it was last read.
func (b *Bucket) Owner() ident.Process { return b.owner }

// SetRetention changes the retention for records written from now on.
func (b *Bucket) SetRetention(d time.Duration) { b.config.Retention = d }

func (b *Bucket) reset() {
	b.phase, b.inFlight, b.sealing, b.release = idle, nil, nil, false
	b.segments, b.queue, b.unmatched, b.parked = nil, nil, nil, nil
	b.active = make(map[recordKey]*entry)
	b.sealed = make(map[recordKey]*entry)
	b.busy = make(map[recordKey]bool)
	b.deferred = make(map[recordKey][]Conclude)
	b.settling = make(map[recordKey]*settlement)
	b.bytes.active, b.bytes.sealed = 0, 0
}

// Step applies one event and returns what to do, in order.
func (b *Bucket) Step(now time.Time, ev Event) (out []Command) {
	b.commands = nil
	switch e := ev.(type) {
	case Acquire:
		b.acquire(now, e.IfReleased)
	case Release:
		b.release = b.Owned()
	case ValueRead:
		b.valueRead(now, e)
	case SegmentsRead:
		b.segmentsRead(now, e)
	case ValueWritten:
		b.valueWritten(now, e)
	case SegmentWritten:
		b.segmentWritten(e)
	case Intend:
		b.intend(now, e)
	case Conclude:
		b.conclude(now, e)
	case Settled:
		b.settled(now, e)
	case ClaimRead:
		b.claimRead(now, e)
	case Tick:
		b.waking = false
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
	b.started = now
	b.phase = reading
	b.ifReleased = ifReleased
	b.read()
}

func (b *Bucket) read() {
	b.sequence++
	b.emit(ReadValue{Sequence: b.sequence})
}

func (b *Bucket) valueRead(now time.Time, e ValueRead) {
	if e.Sequence != b.sequence || b.phase != reading && b.phase != readingBack {
		return
	}
	if e.Failed {
		b.readFailed(now)
		return
	}
	var v Value
	if e.Found {
		if err := json.Unmarshal(e.Value, &v); err != nil {
			b.violate(now, &InvariantError{Readable, err.Error()})
			return
		}
	}
	if v.Epoch < b.seen {
		b.violate(now, &InvariantError{EpochRises, fmt.Sprintf("read epoch %d after %d", v.Epoch, b.seen)})
		return
	}
	b.owner, b.seen = v.Owner, v.Epoch
	if b.phase == readingBack {
		b.readBack(now, v, e.Revision)
		return
	}
	if b.ifReleased && (!e.Found || v.Owner != "") {
		b.abandon(now)
		return
	}
	b.loaded, b.revision = v, e.Revision
	if len(v.Segments) == 0 {
		b.claim(now, nil)
		return
	}
	b.phase = readingSegments
	b.sequence++
	names := make([]string, 0, len(v.Segments))
	for _, s := range v.Segments {
		names = append(names, s.Name)
	}
	b.emit(ReadSegments{Sequence: b.sequence, Names: names})
}

// readFailed keeps the state of an owner, whose write may have taken effect, and ends a takeover.
func (b *Bucket) readFailed(now time.Time) {
	b.downUntil = now.Add(b.config.Backoff)
	b.refuseWaiting(now)
	if b.phase == reading || b.phase == readingSegments {
		b.abandon(now)
	}
}

func (b *Bucket) segmentsRead(now time.Time, e SegmentsRead) {
	if e.Sequence != b.sequence || b.phase != readingSegments {
		return
	}
	if e.Failed {
		// A segment may also be gone because a newer owner has dropped it; the next attempt reads the newer value.
		b.readFailed(now)
		return
	}
	b.claim(now, e.Values)
}

func (b *Bucket) claim(now time.Time, segments [][]byte) {
	for i, raw := range segments {
		var list []json.RawMessage
		err := json.Unmarshal(raw, &list)
		if err == nil {
			err = decodeEntries(list, b.loaded.Segments[i].Name, b.sealed)
		}
		if err != nil {
			b.violate(now, &InvariantError{Readable, err.Error()})
			return
		}
	}
	if err := decodeEntries(b.loaded.Records, "", b.active); err != nil {
		b.violate(now, &InvariantError{Readable, err.Error()})
		return
	}
	for _, e := range b.active {
		b.bytes.active += len(e.raw)
	}
	for _, e := range b.sealed {
		b.bytes.sealed += len(e.raw)
	}
	b.segments = b.loaded.Segments
	b.epoch = b.loaded.Epoch + 1
	b.phase = claiming
	b.write(now, &commit{owner: b.self, takes: true})
}

// abandon ends ownership or a takeover; calls that wait are sent to the owner or refused.
func (b *Bucket) abandon(now time.Time) {
	down := now.Before(b.downUntil)
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
	for _, k := range sortedMapKeys(b.settling) {
		for _, w := range b.settling[k].waiters {
			calls = append(calls, w)
		}
	}
	calls = append(calls, b.parked...)
	b.reset()
	for _, c := range calls {
		b.turnAway(now, c, down)
	}
}

func (b *Bucket) turnAway(now time.Time, ev Event, down bool) {
	switch e := ev.(type) {
	case Intend:
		if down {
			b.unavailable(now, e)
			return
		}
		b.emit(IntendReply{Token: e.Token, Decision: NotOwner, Owner: b.owner})
	case Conclude:
		b.emit(ConcludeReply{Token: e.Token, NotOwner: !down, Owner: b.owner})
	}
}

func (b *Bucket) lose(now time.Time, planned bool) {
	epoch := b.epoch
	b.abandon(now)
	b.emit(Released{Epoch: epoch, Planned: planned})
}

func (b *Bucket) violate(now time.Time, err *InvariantError) {
	b.emit(Violation{Err: err})
	b.downUntil = now.Add(b.config.Backoff)
	b.abandon(now)
}

func (b *Bucket) tick(now time.Time) {
	waiting := b.inFlight != nil && now.Sub(b.inFlight.started) >= b.config.SlowAfter
	waiting = waiting || b.phase != owned && b.phase != idle && now.Sub(b.started) >= b.config.SlowAfter
	if waiting {
		b.refuseWaiting(now)
	}
	if b.phase == readingBack && !now.Before(b.downUntil) && now.Sub(b.started) >= b.config.Backoff {
		b.started = now
		b.read()
	}
	if b.phase == owned {
		b.settleOld(now, b.config.SettleAfter)
	}
}

// settleOld asks agents about intents without outcome, the oldest keys first in order of name.
func (b *Bucket) settleOld(now time.Time, age time.Duration) {
	n := 0
	for _, k := range sortedKeys(b.active) {
		r := b.active[k].record
		if r.State != Intent || b.busy[k] || b.settling[k] != nil || now.Sub(time.UnixMilli(r.AtUnixMilli)) < age {
			continue
		}
		b.settle(k, r)
		if n++; n == settlePerTick {
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
