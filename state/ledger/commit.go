package ledger

import (
	"fmt"
	"time"

	"shallotring.dev/state/ident"
)

// change is one record that a commit creates or replaces.
type change struct {
	next *storedRecord
	// previousSettled is set if the agent of the recorded try has reported that this try never starts.
	previousSettled bool
	// intend or conclude is the call that waits for the change. Both are nil if there is none or it has been replied to.
	intend   *Intend
	conclude *Conclude
	// waiters are calls of other tries with the same key, which are decided again once the change is durable.
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
	id               string
	owner            ident.Process
	expectedRevision ident.Revision
	takeover         bool
	release          bool
	started          time.Time
	changes          []*change
	// unmatched are outcomes that apply to no record. They are rejected only after the write has confirmed the ownership.
	unmatched       []Conclude
	active          map[recordKey]*storedRecord
	segments        []Segment
	droppedSegments []Segment
	seal            *seal
}

// seal is a move of concluded records from the active value to a segment.
type seal struct {
	segment Segment
	records map[recordKey]*storedRecord
	stored  bool
}

// flush starts the next write if there is something to write, none is in flight and the commit interval has passed.
func (b *Bucket) flush(now time.Time) {
	if b.phase != owned || b.inFlight != nil || now.Before(b.downUntil) {
		return
	}
	if b.releaseRequested && len(b.queue) == 0 && len(b.unmatched) == 0 {
		b.releaseRequested = false
		b.write(now, &commit{release: true})
		return
	}
	if len(b.queue) == 0 && len(b.unmatched) == 0 {
		return
	}
	if wait := b.lastWriteStarted.Add(b.config.CommitInterval).Sub(now); wait > 0 {
		if !b.wakeScheduled {
			b.wakeScheduled = true
			b.emit(Wake{After: wait})
		}
		return
	}
	c := &commit{owner: b.self, changes: b.queue, unmatched: b.unmatched}
	b.queue, b.unmatched = nil, nil
	b.write(now, c)
}

func (b *Bucket) write(now time.Time, c *commit) {
	b.writeCount++
	c.id = fmt.Sprintf("%s/%d", b.self, b.writeCount)
	c.expectedRevision, c.started = b.revision, now
	b.lastWriteStarted = now
	c.active = make(map[recordKey]*storedRecord, len(b.active)+len(c.changes))
	for k, e := range b.active {
		if !e.expired(now) {
			c.active[k] = e
		}
	}
	b.planSegments(now, c)
	for _, x := range c.changes {
		k := x.next.key()
		if err := checkTransition(b.lookup(now, k), &x.next.record, x.previousSettled); err != nil {
			b.reportViolation(now, err)
			return
		}
		c.active[k] = x.next
	}
	v := Value{Owner: c.owner, Epoch: b.epoch, WriteID: c.id, Segments: c.segments, Records: encodedRecords(c.active)}
	raw := encodeJSON(v)
	if len(raw) > b.config.MaxValueBytes+b.config.SealBytes {
		b.reportViolation(now, &InvariantError{ValueLimit, fmt.Sprintf("the active value has %d bytes", len(raw))})
		return
	}
	b.inFlight = c
	b.emit(WriteValue{WriteID: c.id, Expect: c.expectedRevision, Value: raw, Records: len(c.changes)})
}

func (b *Bucket) planSegments(now time.Time, c *commit) {
	for _, s := range b.segments {
		if now.UnixMilli() > s.UntilUnixMilli {
			c.droppedSegments = append(c.droppedSegments, s)
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
		if e.record.State == NotRun || c.seal.records[k] == e {
			delete(c.active, k) // a try that never started needs no record, because its agent stores a tombstone
		}
	}
}

func (b *Bucket) handleValueWritten(now time.Time, e ValueWritten) {
	c := b.inFlight
	if c == nil || c.id != e.WriteID || b.phase == readingBack {
		return
	}
	switch e.Result {
	case WriteApplied:
		b.applyCommit(now, e.Revision)
	case WriteNotApplied:
		b.downUntil = now.Add(b.config.Backoff)
		b.undoCommit(now)
	case WriteConflict, WriteResultUnknown:
		// A conflict may be with an earlier write of this process that took effect late, so the value is read back in both cases.
		b.phase = readingBack
		b.readStarted = now
		b.startRead()
	}
}

// resolveWrite determines whether a write took effect, by the write id, the owner and the revision of the value read back.
func (b *Bucket) resolveWrite(now time.Time, v Value, at ident.Revision) {
	c := b.inFlight
	switch {
	case v.WriteID == c.id:
		b.applyCommit(now, at)
	case at == c.expectedRevision:
		// The write has had no effect so far. If it arrives later, either it or the next write fails with a conflict.
		b.undoCommit(now)
	case v.Owner == b.self:
		// An earlier write of this process took effect late. The stored value is authoritative, so the bucket is taken over
		// again.
		b.endLostOwnership(now, c)
		b.acquire(now, false)
	default:
		b.endLostOwnership(now, c)
	}
}

// endLostOwnership ends the ownership, or the takeover, after another write has replaced the value.
func (b *Bucket) endLostOwnership(now time.Time, c *commit) {
	if c.takeover {
		b.abandon(now)
		return
	}
	b.endOwnership(now, false)
}

// undoCommit handles a commit that has had no effect: outcomes stay queued, intents are refused.
func (b *Bucket) undoCommit(now time.Time) {
	c := b.inFlight
	b.inFlight = nil
	b.sealing = nil
	if c.takeover {
		b.downUntil = now.Add(b.config.Backoff)
		b.abandon(now)
		return
	}
	b.phase = owned
	b.releaseRequested = b.releaseRequested || c.release
	b.refuseConcludes(c.unmatched)
	var kept []*change
	for _, x := range c.changes {
		b.refuseChange(now, x)
		if x.next.record.State == Intent {
			b.releaseKey(now, x.next.key())
			continue
		}
		kept = append(kept, x)
	}
	b.queue = append(kept, b.queue...)
	b.refuseWaitingCalls(now)
}

// applyCommit applies a commit that has taken effect.
func (b *Bucket) applyCommit(now time.Time, at ident.Revision) {
	c := b.inFlight
	b.inFlight, b.revision, b.phase = nil, at, owned
	b.downUntil = time.Time{}
	b.owner, b.highestEpoch = c.owner, b.epoch
	if c.release {
		b.endOwnership(now, true)
		return
	}
	b.active, b.segments = c.active, c.segments
	b.recordBytes.active = 0
	for _, e := range b.active {
		b.recordBytes.active += len(e.raw)
	}
	b.applySegments(c)
	if c.takeover {
		b.completeTakeover(now)
	}
	for _, x := range c.changes {
		b.replyDurable(now, x)
		b.releaseKey(now, x.next.key())
	}
	for _, x := range c.changes {
		for _, w := range x.waiters {
			b.handleIntend(now, w)
		}
	}
	b.startSeal()
	b.confirmUnmatched(now, c.unmatched)
}

func (b *Bucket) applySegments(c *commit) {
	for _, s := range c.droppedSegments {
		for k, e := range b.sealed {
			if e.segment == s.Name {
				delete(b.sealed, k)
				b.recordBytes.sealed -= len(e.raw)
			}
		}
		b.emit(DeleteSegment{Name: s.Name})
	}
	if c.seal == nil {
		return
	}
	b.sealing = nil
	for k, e := range c.seal.records {
		if old, ok := b.sealed[k]; ok {
			b.recordBytes.sealed -= len(old.raw)
		}
		e.segment = c.seal.segment.Name
		b.sealed[k] = e
		b.recordBytes.sealed += len(e.raw)
	}
}

func (b *Bucket) completeTakeover(now time.Time) {
	t := Acquired{Epoch: b.epoch, Previous: b.takeoverValue.Owner, Records: len(b.active) + len(b.sealed)}
	for _, s := range b.segments {
		t.Segments = append(t.Segments, s.Name)
	}
	b.takeoverValue = Value{}
	b.emit(t)
	parked := b.parked
	b.parked = nil
	for _, ev := range parked {
		switch e := ev.(type) {
		case Intend:
			b.handleIntend(now, e)
		case Conclude:
			b.handleConclude(now, e)
		}
	}
	b.settleOldIntents(now, 0)
}

// replyDurable replies to the call that waits for a change, which is durable now.
func (b *Bucket) replyDurable(now time.Time, x *change) {
	r := x.next.record
	if x.conclude != nil {
		b.emit(ConcludeReply{Token: x.conclude.Token, Recorded: true})
	}
	if x.intend == nil {
		return
	}
	b.grant(now, *x.intend, r.ID)
}

// refuseChange refuses the calls that wait for a change that is not known to be durable.
func (b *Bucket) refuseChange(now time.Time, x *change) {
	if x.intend != nil {
		b.replyUnavailable(now, *x.intend)
	}
	if x.conclude != nil {
		b.emit(ConcludeReply{Token: x.conclude.Token})
	}
	for _, w := range x.waiters {
		b.replyUnavailable(now, w)
	}
	x.intend, x.conclude, x.waiters = nil, nil, nil
}

// refuseWaitingCalls refuses every call that waits for the key-value service. Queued intents are dropped, outcomes stay queued.
func (b *Bucket) refuseWaitingCalls(now time.Time) {
	if b.inFlight != nil {
		for _, x := range b.inFlight.changes {
			b.refuseChange(now, x)
		}
		b.refuseConcludes(b.inFlight.unmatched)
		b.inFlight.unmatched = nil
	}
	b.refuseConcludes(b.unmatched)
	b.unmatched = nil
	var kept []*change
	for _, x := range b.queue {
		b.refuseChange(now, x)
		if x.next.record.State == Intent {
			delete(b.changing, x.next.key())
			continue
		}
		kept = append(kept, x)
	}
	b.queue = kept
	for _, ev := range b.parked {
		b.refuseCall(now, ev, true)
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

// releaseKey ends the change of a key and applies the outcomes that arrived meanwhile.
func (b *Bucket) releaseKey(now time.Time, k recordKey) {
	delete(b.changing, k)
	concludes := b.deferred[k]
	delete(b.deferred, k)
	for _, d := range concludes {
		b.handleConclude(now, d)
	}
}

// startSeal stores the concluded records as a segment if they are large enough. A later commit then removes them from the
// active value.
func (b *Bucket) startSeal() {
	if b.sealing != nil {
		return
	}
	size := 0
	s := &seal{records: make(map[recordKey]*storedRecord)}
	for k, e := range b.active {
		if e.record.State != Completed && e.record.State != Unknown {
			continue
		}
		size += len(e.raw)
		s.records[k] = e
		s.segment.UntilUnixMilli = max(s.segment.UntilUnixMilli, e.record.UntilUnixMilli)
	}
	if size < b.config.SealBytes {
		return
	}
	s.segment.Name = fmt.Sprintf("%016x-%08x", b.epoch, b.writeCount)
	b.sealing = s
	b.emit(WriteSegment{Name: s.segment.Name, Value: encodeJSON(encodedRecords(s.records))})
}

// handleSegmentWritten cancels the seal if the segment may not have been stored. The name of the segment is not used again,
// because the name of the next one contains the number of a later write.
func (b *Bucket) handleSegmentWritten(e SegmentWritten) {
	if b.sealing == nil || b.sealing.segment.Name != e.Name {
		return
	}
	if !e.Stored {
		b.sealing = nil
		return
	}
	b.sealing.stored = true
}
