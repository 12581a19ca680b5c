package bucket

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/ledger"
)

// listed carries the segments that a read found beside the named ones.
type listed struct {
	ledger.SegmentsRead
	leftOver []string
}

// perform runs one command with I/O; it returns nil if the bucket needs no answer.
func (l *line) perform(parent context.Context, c ledger.Command) ledger.Event {
	ctx, cancel := l.owner.timed(parent, l.owner.timeout)
	defer cancel()
	switch x := c.(type) {
	case ledger.ReadValue:
		return l.readValue(ctx, x)
	case ledger.ReadSegments:
		return l.readSegments(ctx, x)
	case ledger.WriteValue:
		return l.writeValue(ctx, x)
	case ledger.WriteSegment:
		l.countWrite(len(x.Value))
		_, swapped, err := l.owner.store.CompareAndSwap(ctx, keyvalue.Swap{Key: l.segmentKey(x.Name), Value: x.Value})
		return ledger.SegmentWritten{Name: x.Name, Stored: err == nil && swapped}
	case ledger.DeleteSegment:
		l.deleteSegment(ctx, x.Name)
	case ledger.AskAgent:
		return l.ask(ctx, x)
	case ledger.CheckClaim:
		return l.checkClaim(ctx, x)
	}
	return nil
}

func (l *line) readValue(ctx context.Context, x ledger.ReadValue) ledger.Event {
	l.owner.counters.reads.Inc()
	r, found, err := l.owner.store.Get(ctx, l.key())
	return ledger.ValueRead{Sequence: x.Sequence, Failed: err != nil, Found: found, Value: r.Value, Revision: r.ModRevision}
}

// readSegments reads all segments with one call.
func (l *line) readSegments(ctx context.Context, x ledger.ReadSegments) ledger.Event {
	l.owner.counters.reads.Inc()
	list, _, err := l.owner.store.List(ctx, l.key()+"/")
	e := listed{SegmentsRead: ledger.SegmentsRead{Sequence: x.Sequence, Failed: err != nil}}
	byName := map[string][]byte{}
	for _, r := range list {
		name := strings.TrimPrefix(r.Key, l.key()+"/")
		byName[name] = r.Value
		if !slices.Contains(x.Names, name) {
			e.leftOver = append(e.leftOver, name)
		}
	}
	for _, n := range x.Names {
		value, ok := byName[n]
		e.Failed = e.Failed || !ok
		e.Values = append(e.Values, value)
	}
	return e
}

func (l *line) countWrite(bytes int) {
	l.owner.counters.writes.Inc()
	l.owner.counters.writtenBytes.Add(bytes)
}

func (l *line) writeValue(ctx context.Context, x ledger.WriteValue) ledger.Event {
	l.countWrite(len(x.Value))
	at, swapped, err := l.owner.store.CompareAndSwap(ctx, keyvalue.Swap{Key: l.key(), Expect: x.Expect, Value: x.Value})
	e := ledger.ValueWritten{WriteID: x.WriteID, Revision: at}
	switch {
	case errors.Is(err, keyvalue.ErrUnavailable):
		e.Result = ledger.Down
	case err != nil:
		e.Result = ledger.Lost
	case !swapped:
		e.Result = ledger.Conflict
	default:
		e.Result = ledger.Swapped
	}
	return e
}

// deleteSegment leaves a segment behind if the service does not answer; the next takeover removes it.
func (l *line) deleteSegment(ctx context.Context, name string) {
	l.owner.counters.reads.Inc()
	r, found, err := l.owner.store.Get(ctx, l.segmentKey(name))
	if err != nil || !found {
		return
	}
	l.countWrite(0)
	_, _, err = l.owner.store.CompareAndSwap(ctx, keyvalue.Swap{Key: r.Key, Expect: r.ModRevision, Delete: true})
	if err != nil {
		l.owner.log.Warn("delete of a ledger segment failed")
	}
}

func (l *line) ask(ctx context.Context, x ledger.AskAgent) ledger.Event {
	e := ledger.Settled{Caller: x.Caller, Key: x.Key, ID: x.ID, State: ledger.TryUnreachable}
	address, ok := l.agentAddress(ctx, x.Endpoint)
	if !ok {
		return e
	}
	a, err := l.owner.agent(address).Settle(ctx, &wire.SettleRequest{ID: wire.NewTryID(x.ID)})
	if err != nil {
		return e
	}
	e.State, e.Answer = tryState(a), answerOf(a.Answer)
	return e
}

func (l *line) agentAddress(ctx context.Context, e ident.Endpoint) (address string, ok bool) {
	if l.owner.address != nil {
		return l.owner.address(e)
	}
	_, c, ok, err := l.claim(ctx, e)
	return c.Address, ok && err == nil
}

func (l *line) claim(ctx context.Context, e ident.Endpoint) (at ident.Revision, c registry.ClaimRecord, found bool, err error) {
	l.owner.counters.reads.Inc()
	r, found, err := l.owner.store.Get(ctx, registry.ClaimKey(e))
	if err != nil || !found {
		return 0, c, false, err
	}
	return r.ModRevision, c, true, json.Unmarshal(r.Value, &c)
}

func (l *line) checkClaim(ctx context.Context, x ledger.CheckClaim) ledger.Event {
	at, _, found, err := l.claim(ctx, x.Endpoint)
	return ledger.ClaimRead{
		Caller: x.Caller, Key: x.Key, ID: x.ID, Failed: err != nil, Found: found, Incarnation: ident.Incarnation(at),
	}
}
