package configuration

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/protocol/keyvalue"
	"shallotring.dev/state/ident"
	"shallotring.dev/state/resource"
)

// EditStore is the part of the key-value service that an Editor uses.
type EditStore interface {
	Get(ctx context.Context, key string) (r keyvalue.Record, found bool, err error)
	List(ctx context.Context, prefix string) (list []keyvalue.Record, at ident.Revision, err error)
	CompareAndSwap(ctx context.Context, s keyvalue.Swap) (at ident.Revision, swapped bool, err error)
}

// Conflict is the error for a resource that is not at the revision that the writer expected.
type Conflict struct {
	Name     resource.Name
	Expected ident.Revision
	Actual   ident.Revision
	// MayHaveBeenWritten is set if the response to a write was lost and another write followed it.
	MayHaveBeenWritten bool
}

// Error states both revisions.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("%s: conflict: expected %s, it is %s", c.Name, revisionText(c.Expected), revisionText(c.Actual))
	if c.MayHaveBeenWritten {
		text += "; this write may have taken effect before another one replaced it"
	}
	return text
}

func revisionText(r ident.Revision) string {
	if r == 0 {
		return "absent (revision 0)"
	}
	return fmt.Sprintf("revision %d", r)
}

// Editor reads and writes single resources for operators.
type Editor struct {
	store EditStore
	clock quartz.Clock
	newID func() string
}

// NewEditor returns an editor.
func NewEditor(store EditStore, clock quartz.Clock) *Editor {
	return &Editor{store: store, clock: clock, newID: rand.Text}
}

// ReadAll reads the whole configuration and the revision of the key-value service at which it was read.
func (e *Editor) ReadAll(ctx context.Context) (set *resource.Set, at ident.Revision, err error) {
	defer func() { err = eris.Wrap(err, "read the configuration") }()
	records, at, err := e.store.List(ctx, registry.ConfigPrefix)
	if err != nil {
		return nil, 0, err
	}
	set, err = decodeRecords(resource.NewSet(), records)
	return set, at, err
}

// ReadShardOf reads the shard of one resource; the set has no other shard.
func (e *Editor) ReadShardOf(ctx context.Context, n resource.Name) (set *resource.Set, err error) {
	defer func() { err = eris.Wrapf(err, "read %s", n) }()
	r, found, err := e.store.Get(ctx, registry.ConfigKey(n.Shard()))
	if err != nil || !found {
		return resource.NewSet(), err
	}
	return decodeRecords(resource.NewSet(), []keyvalue.Record{r})
}

// ApplyChanges returns the set with the changes of a watch applied; a shard that cannot be decoded is an error.
func ApplyChanges(set *resource.Set, changes []keyvalue.Change) (next *resource.Set, err error) {
	var records []keyvalue.Record
	for _, c := range changes {
		if !c.Deleted {
			records = append(records, c.Record)
		}
	}
	return decodeRecords(set, records)
}

func decodeRecords(set *resource.Set, records []keyvalue.Record) (next *resource.Set, err error) {
	var updates []resource.Update
	for _, r := range records {
		x, ok := parseShard(r)
		if !ok {
			continue
		}
		sh, err := resource.DecodeShard(x.number, x.value)
		if err != nil {
			return nil, err
		}
		updates = append(updates, resource.Update{Number: x.number, Revision: x.revision, Shard: sh})
	}
	return set.ApplyAll(updates), nil
}

// Read returns a pointer to the resource and the revision at which it last changed; the revision is zero if the
// resource is absent.
func (e *Editor) Read(ctx context.Context, n resource.Name) (r any, revision ident.Revision, err error) {
	defer func() { err = eris.Wrapf(err, "read %s", n) }()
	sh, at, err := e.readShard(ctx, n)
	if err != nil {
		return nil, 0, err
	}
	r, _ = sh.Get(n)
	return r, sh.Revision(n, at), nil
}

// readShard reads the shard of a resource and its revision; a shard that was never written is empty and at revision 0.
func (e *Editor) readShard(ctx context.Context, n resource.Name) (sh *resource.Shard, at ident.Revision, err error) {
	record, found, err := e.store.Get(ctx, registry.ConfigKey(n.Shard()))
	if err != nil {
		return nil, 0, err
	}
	if !found {
		return &resource.Shard{}, 0, nil
	}
	sh, err = resource.DecodeShard(n.Shard(), record.Value)
	return sh, record.ModRevision, err
}

// Put writes a resource, given as a pointer to its type, and returns the revision of the write. The stored resource must be
// at the expected revision; zero means absent. The error is a *Conflict if the stored resource has another revision, and
// keyvalue.ErrOutcomeUnknown if ctx ended before the outcome was known.
func (e *Editor) Put(ctx context.Context, r any, expect ident.Revision) (revision ident.Revision, err error) {
	if err = resource.Validate(r); err != nil {
		return 0, err
	}
	n, _ := resource.NameOf(r)
	w := &write{name: n, expect: expect, content: r, id: e.newID()}
	return e.write(ctx, w)
}

// Delete removes a resource, which must be at the expected revision; the errors are those of Put.
func (e *Editor) Delete(ctx context.Context, n resource.Name, expect ident.Revision) (revision ident.Revision, err error) {
	if expect == 0 {
		return 0, eris.Errorf("delete %s: the revision must be given", n)
	}
	return e.write(ctx, &write{name: n, expect: expect, id: e.newID()})
}

// write is one change of one resource, and what is known about its outcome.
type write struct {
	name   resource.Name
	expect ident.Revision
	// content is nil for a deletion.
	content any
	id      string
	// responseLost is set once the response to a swap was lost; lostExpect is the shard revision that this swap
	// expected.
	responseLost bool
	lostExpect   ident.Revision
	// readBackTried is set once the first read after the loss was tried; that read is tried without a wait.
	readBackTried bool
}

// readBackInterval is the wait between reads that find out whether a write took effect after its response was lost.
const readBackInterval = 200 * time.Millisecond

func (e *Editor) write(ctx context.Context, w *write) (revision ident.Revision, err error) {
	defer func() { err = eris.Wrapf(err, "write %s", w.name) }()
	for {
		revision, done, err := e.swapOnce(ctx, w)
		switch {
		case done:
			return revision, err
		case err == nil:
			// Another resource of the shard changed, or a write that did not take effect is sent again.
			continue
		case !w.responseLost:
			return 0, err
		case !w.readBackTried:
			w.readBackTried = true
			continue
		}
		if !e.pause(ctx) {
			return 0, eris.Wrap(keyvalue.ErrOutcomeUnknown, err.Error())
		}
	}
}

func (e *Editor) pause(ctx context.Context) (ok bool) {
	t := e.clock.NewTimer(readBackInterval, "editor")
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// swapOnce reads the shard, resolves an earlier swap whose response was lost, and swaps once.
func (e *Editor) swapOnce(ctx context.Context, w *write) (revision ident.Revision, done bool, err error) {
	sh, at, err := e.readShard(ctx, w.name)
	if err != nil {
		return 0, false, err
	}
	actual := sh.Revision(w.name, at)
	if w.responseLost && at != w.lostExpect {
		if revision, done, err = w.resolveLost(sh, at, actual); done {
			return revision, true, err
		}
	}
	if actual != w.expect {
		return 0, true, &Conflict{Name: w.name, Expected: w.expect, Actual: actual}
	}
	value, err := w.changedValue(sh, at)
	if err != nil {
		return 0, true, err
	}
	revision, swapped, err := e.store.CompareAndSwap(ctx, keyvalue.Swap{
		Key:    registry.ConfigKey(w.name.Shard()),
		Expect: at,
		Value:  value,
	})
	if eris.Is(err, keyvalue.ErrOutcomeUnknown) {
		w.responseLost, w.lostExpect = true, at
	}
	return revision, err == nil && swapped, err
}

// changedValue applies the change to the shard, read at the given revision, and returns the value to store.
func (w *write) changedValue(sh *resource.Shard, at ident.Revision) (value []byte, err error) {
	sh.RecordRevisions(w.name, at)
	sh.WriteID = w.id
	if w.content == nil {
		sh.Delete(w.name)
	} else {
		sh.Put(w.content)
	}
	return sh.Encode()
}

// resolveLost decides about a write whose response was lost, once the shard is no longer at the revision that the write
// expected: the write either took effect or never will. done is false if it certainly did not take effect and may be
// sent again.
func (w *write) resolveLost(sh *resource.Shard, at, actual ident.Revision) (revision ident.Revision, done bool, err error) {
	current, present := sh.Get(w.name)
	switch {
	case sh.WriteID == w.id:
		return at, true, nil
	case w.content == nil && !present:
		return at, true, nil
	case actual == w.expect && w.expect != 0:
		// A write that had taken effect would have given the resource a newer revision.
		w.responseLost = false
		return 0, false, nil
	case w.content != nil && present && actual != at && Equal(w.content, current):
		// A later write to another resource of the shard replaced the write id, so it is unknown whose write this was.
		// The stored resource is what the operator requested.
		return actual, true, nil
	}
	return 0, true, &Conflict{Name: w.name, Expected: w.expect, Actual: actual, MayHaveBeenWritten: true}
}

// Equal reports whether two resources have the same content.
func Equal(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
