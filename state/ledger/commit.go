package ledger

import (
	"fmt"
	"time"

	"shallotring.dev/state/ident"
)

// change is one record that a commit replaces.
type change struct {
	next    *entry
	settled bool
	// intend and conclude are the call that waits for the change; nil if there is none or it was answered.
	intend   *Intend
	conclude *Conclude
	// waiters are repeated intends that are decided anew once the change is durable.
	waiters []Intend
	at      time.Time
}

func (c *change) calls() (list []Event) {
	if c.intend != nil {
		list = append(list, *c.intend)
	}
	if c.conclude != nil {
		list = append(list, *c.conclude)
	}
	for _, w := range c.waiters {
		list = append(list, w)
	}
	return list
}

// commit is one compare-and-swap of the active value.
type commit struct {
	id       string
	owner    ident.Process
	expect   ident.Revision
	takes    bool
	releases bool
	started  time.Time
	changes  []*change
	// unmatched are outcomes that apply to no record; the write confirms the ownership.
	unmatched []Conclude
	active    map[recordKey]*entry
	segments  []Segment
	dropped   []Segment
	seal      *seal
}

// seal moves concluded records from the active value to a segment.
type seal struct {
	segment Segment
	entries map[recordKey]*entry
	stored  bool
}

// flush starts the next write if there is something to write and none is in flight.
func (b *Bucket) flush(now time.Time) {
	if b.phase != owned || b.inFlight != nil || now.Before(b.downUntil) {
		return
	}
	if b.release && len(b.queue) == 0 && len(b.unmatched) == 0 {
		b.release = false
		b.write(now, &commit{releases: true})
		return
	}
	if len(b.queue) == 0 && len(b.unmatched) == 0 {
		return
	}
	if wait := b.lastWrite.Add(b.config.CommitInterval).Sub(now); wait > 0 {
		if !b.waking {
			b.waking = true
			b.emit(Wake{After: wait})
		}
		return
	}
	c := &commit{owner: b.self, changes: b.queue, unmatched: b.unmatched}
	b.queue, b.unmatched = nil, nil
	b.write(now, c)
}

func (b *Bucket) write(now time.Time, c *commit) {
	b.writes++
	c.id = fmt.Sprintf("%s/%d", b.self, b.writes)
	c.expect, c.started = b.revision, now
	b.lastWrite = now
	c.active = make(map[recordKey]*entry, len(b.active)+len(c.changes))
	for k, e := range b.active {
		if !e.expired(now) {
			c.active[k] = e
		}
	}
	b.splitSegments(now, c)
	for _, x := range c.changes {
		k := x.next.key()
		if err := checkTransition(b.lookup(now, k), &x.next.record, x.settled); err != nil {
			b.violate(now, err)
			return
		}
		c.active[k] = x.next
	}
	v := Value{Owner: c.owner, Epoch: b.epoch, WriteID: c.id, Segments: c.segments, Records: rawRecords(c.active)}
	raw := encode(v)
	if len(raw) > b.config.MaxValueBytes+b.config.SealBytes {
		b.violate(now, &InvariantError{ValueLimit, fmt.Sprintf("%d bytes", len(raw))})
		return
	}
	b.inFlight = c
	b.emit(WriteValue{WriteID: c.id, Expect: c.expect, Value: raw, Records: len(c.changes)})
}

func (b *Bucket) splitSegments(now time.Time, c *commit) {
	for _, s := range b.segments {
		if now.UnixMilli() > s.UntilUnixMilli {
			c.dropped = append(c.dropped, s)
			continue
		}
		c.segments = append(c.segments, s)
	}
	if b.sealing == nil || !b.sealing.stored {
		return
	}
	c.seal = b.sealing
	c.segments = append(c.segments, c.seal.segment)
	for k, e := range c.active {
		if e.record.State == NotRun || c.seal.entries[k] == e {
			delete(c.active, k) // a try that never started needs no record; its agent holds a tombstone
		}
	}
}

func (b *Bucket) valueWritten(now time.Time, e ValueWritten) {
	c := b.inFlight
	if c == nil || c.id != e.WriteID || b.phase == readingBack {
		return
	}
	switch e.Result {
	case Swapped:
		b.durable(now, e.Revision)
	case Down:
		b.downUntil = now.Add(b.config.Backoff)
		b.failed(now)
	case Conflict, Lost:
		// A conflict may also be with an earlier write of this process that arrived late, so both are read back.
		b.phase = readingBack
		b.started = now
		b.read()
	}
}

// readBack decides a write whose answer was lost by the write id and the epoch in the value.
func (b *Bucket) readBack(now time.Time, v Value, at ident.Revision) {
	c := b.inFlight
	switch {
	case v.WriteID == c.id:
		b.durable(now, at)
	case at == c.expect:
		// The write has had no effect so far. If it arrives later, either it or the next write conflicts.
		b.failed(now)
	case v.Owner == b.self:
		// An earlier write of this process arrived late. The value decides, so the bucket is taken over anew.
		b.lostTo(now, c)
		b.acquire(now, false)
	default:
		b.lostTo(now, c)
	}
}

// lostTo ends an ownership, or a takeover that never became one.
func (b *Bucket) lostTo(now time.Time, c *commit) {
	if c.takes {
		b.abandon(now)
		return
	}
	b.lose(now, false)
}

// failed undoes a commit that has had no effect. Outcomes stay queued, intents are refused.
func (b *Bucket) failed(now time.Time) {
	c := b.inFlight
	b.inFlight = nil
	b.sealing = nil
	if c.takes {
		b.downUntil = now.Add(b.config.Backoff)
		b.abandon(now)
		return
	}
	b.phase = owned
	b.release = b.release || c.releases
	b.refuseConcludes(c.unmatched)
	var keep []*change
	for _, x := range c.changes {
		b.refuse(now, x)
		if x.next.record.State == Intent {
			b.free(now, x.next.key())
			continue
		}
		keep = append(keep, x)
	}
	b.queue = append(keep, b.queue...)
	b.refuseWaiting(now)
}

// durable applies a commit that has taken effect.
func (b *Bucket) durable(now time.Time, at ident.Revision) {
	c := b.inFlight
	b.inFlight, b.revision, b.phase = nil, at, owned
	b.downUntil = time.Time{}
	b.owner, b.seen = c.owner, b.epoch
	if c.releases {
		b.lose(now, true)
		return
	}
	b.active, b.segments = c.active, c.segments
	b.bytes.active = 0
	for _, e := range b.active {
		b.bytes.active += len(e.raw)
	}
	b.applySegments(c)
	if c.takes {
		b.taken(now)
	}
	for _, x := range c.changes {
		b.answer(now, x)
		b.free(now, x.next.key())
	}
	for _, x := range c.changes {
		for _, w := range x.waiters {
			b.intend(now, w)
		}
	}
	b.startSeal()
	b.confirmUnmatched(now, c.unmatched)
}

func (b *Bucket) applySegments(c *commit) {
	for _, s := range c.dropped {
		for k, e := range b.sealed {
			if e.segment == s.Name {
				delete(b.sealed, k)
				b.bytes.sealed -= len(e.raw)
			}
		}
		b.emit(DeleteSegment{Name: s.Name})
	}
	if c.seal == nil {
		return
	}
	b.sealing = nil
	for k, e := range c.seal.entries {
		if old, ok := b.sealed[k]; ok {
			b.bytes.sealed -= len(old.raw)
		}
		e.segment = c.seal.segment.Name
		b.sealed[k] = e
		b.bytes.sealed += len(e.raw)
	}
}

func (b *Bucket) taken(now time.Time) {
	t := Taken{Epoch: b.epoch, Previous: b.loaded.Owner, Records: len(b.active) + len(b.sealed)}
	for _, s := range b.segments {
		t.Segments = append(t.Segments, s.Name)
	}
	b.loaded = Value{}
	b.emit(t)
	parked := b.parked
	b.parked = nil
	for _, ev := range parked {
		switch e := ev.(type) {
		case Intend:
			b.intend(now, e)
		case Conclude:
			b.conclude(now, e)
		}
	}
	b.settleOld(now, 0)
}

// answer answers the call that waits for a change that is durable.
func (b *Bucket) answer(now time.Time, x *change) {
	r := x.next.record
	if x.conclude != nil {
		b.emit(ConcludeReply{Token: x.conclude.Token, Recorded: true})
	}
	if x.intend == nil {
		return
	}
	b.grant(now, *x.intend, r.ID)
}

// refuse answers the calls of a change that is not known to be durable.
func (b *Bucket) refuse(now time.Time, x *change) {
	if x.intend != nil {
		b.unavailable(now, *x.intend)
	}
	if x.conclude != nil {
		b.emit(ConcludeReply{Token: x.conclude.Token})
	}
	for _, w := range x.waiters {
		b.unavailable(now, w)
	}
	x.intend, x.conclude, x.waiters = nil, nil, nil
}

// refuseWaiting answers every call that waits for the service; queued intents are dropped, outcomes stay queued.
func (b *Bucket) refuseWaiting(now time.Time) {
	if b.inFlight != nil {
		for _, x := range b.inFlight.changes {
			b.refuse(now, x)
		}
		b.refuseConcludes(b.inFlight.unmatched)
		b.inFlight.unmatched = nil
	}
	b.refuseConcludes(b.unmatched)
	b.unmatched = nil
	var keep []*change
	for _, x := range b.queue {
		b.refuse(now, x)
		if x.next.record.State == Intent {
			delete(b.busy, x.next.key())
			continue
		}
		keep = append(keep, x)
	}
	b.queue = keep
	for _, ev := range b.parked {
		b.turnAway(now, ev, true)
	}
	b.parked = nil
	for _, k := range sortedMapKeys(b.deferred) {
		b.refuseConcludes(b.deferred[k])
	}
	clear(b.deferred)
}

func (b *Bucket) refuseConcludes(list []Conclude) {
	for _, e := range list {
		b.emit(ConcludeReply{Token: e.Token})
	}
}

// free lets the next change of a key begin.
func (b *Bucket) free(now time.Time, k recordKey) {
	delete(b.busy, k)
	waiting := b.deferred[k]
	delete(b.deferred, k)
	for _, d := range waiting {
		b.conclude(now, d)
	}
}

// startSeal stores concluded records as a segment before the next commit drops them from the active value.
func (b *Bucket) startSeal() {
	if b.sealing != nil {
		return
	}
	size := 0
	s := &seal{entries: make(map[recordKey]*entry)}
	for k, e := range b.active {
		if e.record.State != Completed && e.record.State != Unknown {
			continue
		}
		size += len(e.raw)
		s.entries[k] = e
		s.segment.UntilUnixMilli = max(s.segment.UntilUnixMilli, e.record.UntilUnixMilli)
	}
	if size < b.config.SealBytes {
		return
	}
	s.segment.Name = fmt.Sprintf("%016x-%08x", b.epoch, b.writes)
	b.sealing = s
	b.emit(WriteSegment{Name: s.segment.Name, Value: encode(rawRecords(s.entries))})
}

// segmentWritten gives up a segment that may not be stored; its name is not used again, because the next one
// is named by a later write.
func (b *Bucket) segmentWritten(e SegmentWritten) {
	if b.sealing == nil || b.sealing.segment.Name != e.Name {
		return
	}
	if !e.Stored {
		b.sealing = nil
		return
	}
	b.sealing.stored = true
}
