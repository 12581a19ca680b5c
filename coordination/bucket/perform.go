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

// segmentListing is the result of reading segments, with the stored segments that were not requested.
type segmentListing struct {
	ledger.SegmentsRead
	unreferenced []string
}

// perform runs one command with I/O; it returns nil if the bucket needs no result.
func (d *driver) perform(parent context.Context, c ledger.Command) ledger.Event {
	ctx, cancel := d.owner.withTimeout(parent, d.owner.callTimeout)
	defer cancel()
	switch x := c.(type) {
	case ledger.ReadValue:
		return d.readValue(ctx, x)
	case ledger.ReadSegments:
		return d.readSegments(ctx, x)
	case ledger.WriteValue:
		return d.writeValue(ctx, x)
	case ledger.WriteSegment:
		d.countWrite(len(x.Value))
		_, swapped, err := d.owner.store.CompareAndSwap(ctx, keyvalue.Swap{Key: d.segmentKey(x.Name), Value: x.Value})
		return ledger.SegmentWritten{Name: x.Name, Stored: err == nil && swapped}
	case ledger.DeleteSegment:
		d.deleteSegment(ctx, x.Name)
	case ledger.SettleTry:
		return d.settleTry(ctx, x)
	case ledger.CheckClaim:
		return d.checkClaim(ctx, x)
	}
	return nil
}

func (d *driver) readValue(ctx context.Context, x ledger.ReadValue) ledger.Event {
	d.owner.counters.reads.Inc()
	r, found, err := d.owner.store.Get(ctx, d.key())
	return ledger.ValueRead{Sequence: x.Sequence, Failed: err != nil, Found: found, Value: r.Value, Revision: r.ModRevision}
}

// readSegments reads all segments with one call.
func (d *driver) readSegments(ctx context.Context, x ledger.ReadSegments) ledger.Event {
	d.owner.counters.reads.Inc()
	list, _, err := d.owner.store.List(ctx, d.key()+"/")
	e := segmentListing{SegmentsRead: ledger.SegmentsRead{Sequence: x.Sequence, Failed: err != nil}}
	byName := map[string][]byte{}
	for _, r := range list {
		name := strings.TrimPrefix(r.Key, d.key()+"/")
		byName[name] = r.Value
		if !slices.Contains(x.Names, name) {
			e.unreferenced = append(e.unreferenced, name)
		}
	}
	for _, n := range x.Names {
		value, ok := byName[n]
		e.Failed = e.Failed || !ok
		e.Values = append(e.Values, value)
	}
	return e
}

func (d *driver) countWrite(bytes int) {
	d.owner.counters.writes.Inc()
	d.owner.counters.writtenBytes.Add(bytes)
}

func (d *driver) writeValue(ctx context.Context, x ledger.WriteValue) ledger.Event {
	d.countWrite(len(x.Value))
	at, swapped, err := d.owner.store.CompareAndSwap(ctx, keyvalue.Swap{Key: d.key(), Expect: x.Expect, Value: x.Value})
	e := ledger.ValueWritten{WriteID: x.WriteID, Revision: at}
	switch {
	case errors.Is(err, keyvalue.ErrUnavailable):
		e.Result = ledger.WriteNotApplied
	case err != nil:
		e.Result = ledger.WriteResultUnknown
	case !swapped:
		e.Result = ledger.WriteConflict
	default:
		e.Result = ledger.WriteApplied
	}
	return e
}

// deleteSegment deletes a stored segment. If the service does not respond, the segment remains until the next takeover.
func (d *driver) deleteSegment(ctx context.Context, name string) {
	d.owner.counters.reads.Inc()
	r, found, err := d.owner.store.Get(ctx, d.segmentKey(name))
	if err != nil || !found {
		return
	}
	d.countWrite(0)
	_, _, err = d.owner.store.CompareAndSwap(ctx, keyvalue.Swap{Key: r.Key, Expect: r.ModRevision, Delete: true})
	if err != nil {
		d.owner.log.Warn("failed to delete a ledger segment; the next takeover removes it")
	}
}

func (d *driver) settleTry(ctx context.Context, x ledger.SettleTry) ledger.Event {
	e := ledger.Settled{Caller: x.Caller, Key: x.Key, ID: x.ID, State: ledger.TryUnreachable}
	address, ok := d.agentAddress(ctx, x.Endpoint)
	if !ok {
		return e
	}
	a, err := d.owner.agentClient(address).Settle(ctx, &wire.SettleRequest{ID: wire.NewTryID(x.ID)})
	if err != nil {
		return e
	}
	e.State, e.Answer = tryState(a), ledgerAnswer(a.Answer)
	return e
}

func (d *driver) agentAddress(ctx context.Context, e ident.Endpoint) (address string, ok bool) {
	if d.owner.agentAddress != nil {
		return d.owner.agentAddress(e)
	}
	_, c, ok, err := d.readClaim(ctx, e)
	return c.Address, ok && err == nil
}

func (d *driver) readClaim(ctx context.Context, e ident.Endpoint) (at ident.Revision, c registry.ClaimRecord, found bool, err error) {
	d.owner.counters.reads.Inc()
	r, found, err := d.owner.store.Get(ctx, registry.ClaimKey(e))
	if err != nil || !found {
		return 0, c, false, err
	}
	return r.ModRevision, c, true, json.Unmarshal(r.Value, &c)
}

func (d *driver) checkClaim(ctx context.Context, x ledger.CheckClaim) ledger.Event {
	at, _, found, err := d.readClaim(ctx, x.Endpoint)
	return ledger.ClaimRead{
		Caller: x.Caller, Key: x.Key, ID: x.ID, Failed: err != nil, Found: found, Incarnation: ident.Incarnation(at),
	}
}
