package bucket

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/state/ledger"
	"shallotring.dev/transport/timeline"
)

// driver runs one bucket; its method run is the goroutine that owns the state.
type driver struct {
	owner                *Owner
	number               int
	bucket               *ledger.Bucket
	inbox                chan message
	owned                atomic.Bool
	token                ledger.Token
	pendingReplies       map[ledger.Token]chan ledger.Command
	releaseWaiters       []chan struct{}
	unreferenced         []string  // stored segments that the value of the bucket does not name
	chosenElsewhereSince time.Time // zero while no other entry is chosen for the bucket
}

// message is an event, a call that waits for a reply, or a release of the bucket.
type message struct {
	event   ledger.Event
	call    func(ledger.Token) ledger.Event
	reply   chan ledger.Command
	release chan struct{}
}

func newDriver(o *Owner, n int) *driver {
	return &driver{
		owner: o, number: n, bucket: ledger.New(o.self.Process, o.config), inbox: make(chan message),
		pendingReplies: map[ledger.Token]chan ledger.Command{},
	}
}

func (d *driver) run(ctx context.Context) {
	t := d.owner.clock.NewTicker(d.owner.tickInterval, "ledger")
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.tick(ctx)
		case m := <-d.inbox:
			d.receive(ctx, m)
		}
		d.owned.Store(d.bucket.Owned())
		d.finishRelease()
	}
}

func (d *driver) receive(ctx context.Context, m message) {
	switch {
	case m.release != nil:
		d.releaseWaiters = append(d.releaseWaiters, m.release)
		d.step(ctx, ledger.Release{})
	case m.call != nil:
		d.acquireIfChosen(ctx)
		d.token++
		d.pendingReplies[d.token] = m.reply
		d.step(ctx, m.call(d.token))
	default:
		if x, ok := m.event.(segmentListing); ok {
			d.unreferenced, m.event = x.unreferenced, x.SegmentsRead
		}
		d.step(ctx, m.event)
	}
}

// acquireIfChosen takes over the bucket on its first use, so that idle buckets cost no calls. If this entry is not the
// chosen one, it takes the bucket only if it was released: its previous owner is stopping and still listed as live.
func (d *driver) acquireIfChosen(ctx context.Context) {
	if !d.bucket.Idle() || d.owner.stopping.Load() {
		return
	}
	chosen, ok := d.owner.chosenEntry(d.number)
	d.step(ctx, ledger.Acquire{IfReleased: !ok || chosen.Process != d.owner.self.Process})
}

func (d *driver) tick(ctx context.Context) {
	d.bucket.SetRetention(d.owner.keyRetention())
	d.step(ctx, ledger.Tick{})
	d.releaseIfNotChosen(ctx)
}

// releaseIfNotChosen releases the bucket once another live entry has been the chosen one for handoverDelay, or if this entry
// is stopping.
func (d *driver) releaseIfNotChosen(ctx context.Context) {
	if !d.bucket.Owned() {
		d.chosenElsewhereSince = time.Time{}
		return
	}
	chosen, ok := d.owner.chosenEntry(d.number)
	now := d.owner.clock.Now()
	switch {
	case d.owner.stopping.Load():
		d.step(ctx, ledger.Release{})
	case !ok || chosen.Process == d.owner.self.Process:
		d.chosenElsewhereSince = time.Time{}
	case d.chosenElsewhereSince.IsZero():
		d.chosenElsewhereSince = now
	case now.Sub(d.chosenElsewhereSince) >= handoverDelay:
		d.step(ctx, ledger.Release{})
	}
}

func (d *driver) finishRelease() {
	if !d.bucket.Idle() {
		return
	}
	for _, c := range d.releaseWaiters {
		close(c)
	}
	d.releaseWaiters = nil
}

// call sends a call to the bucket's goroutine; it returns nil if ctx or the owner ends first.
func (d *driver) call(ctx context.Context, fn func(ledger.Token) ledger.Event) ledger.Command {
	reply := make(chan ledger.Command, 1) // buffered: the goroutine never waits for a call that was cancelled
	if !d.send(ctx, message{call: fn, reply: reply}) {
		return nil
	}
	select {
	case c := <-reply:
		return c
	case <-ctx.Done():
	case <-d.owner.done:
	}
	return nil
}

func (d *driver) release(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "release ledger bucket %02x", d.number) }()
	c := make(chan struct{})
	if !d.send(ctx, message{release: c}) {
		return context.Cause(ctx)
	}
	select {
	case <-c:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.owner.done:
	}
	return nil
}

func (d *driver) send(ctx context.Context, m message) bool {
	select {
	case d.inbox <- m:
		return true
	case <-ctx.Done():
	case <-d.owner.done:
	}
	return false
}

func (d *driver) step(ctx context.Context, ev ledger.Event) {
	for _, c := range d.bucket.Step(d.owner.clock.Now(), ev) {
		d.execute(ctx, c)
	}
}

func (d *driver) execute(ctx context.Context, c ledger.Command) {
	switch x := c.(type) {
	case ledger.IntendReply:
		d.reply(x.Token, x)
	case ledger.ConcludeReply:
		d.reply(x.Token, x)
	case ledger.Acquired:
		d.owner.counters.takeovers.Inc()
		d.logEvent(timeline.BucketTaken, fmt.Sprintf("bucket %02x epoch %d from %q, %d records", d.number, x.Epoch, x.Previous, x.Records))
		for _, name := range d.unreferenced {
			d.background(ctx, ledger.DeleteSegment{Name: name})
		}
		d.unreferenced = nil
	case ledger.Released:
		d.owner.counters.releases.Inc()
		d.logEvent(timeline.BucketReleased, fmt.Sprintf("bucket %02x epoch %d, planned %t", d.number, x.Epoch, x.Planned))
	case ledger.Violation:
		d.owner.counters.violations.Inc()
		d.logEvent(timeline.InvariantViolated, fmt.Sprintf("bucket %02x: %v", d.number, x.Err))
	case ledger.Wake:
		d.owner.clock.AfterFunc(x.After, func() { d.send(ctx, message{event: ledger.Tick{}}) })
	case ledger.ReadValue:
		d.unreferenced = nil // segments from an earlier listing may be in use by now
		d.background(ctx, c)
	default:
		d.background(ctx, c)
	}
}

// background performs a command with I/O and sends the result to the bucket's goroutine.
func (d *driver) background(ctx context.Context, c ledger.Command) {
	d.owner.backgroundCalls.Go(func() {
		if ev := d.perform(ctx, c); ev != nil {
			d.send(ctx, message{event: ev})
		}
	})
}

func (d *driver) reply(t ledger.Token, c ledger.Command) {
	if ch := d.pendingReplies[t]; ch != nil {
		delete(d.pendingReplies, t)
		ch <- c
	}
}

func (d *driver) logEvent(k timeline.Kind, detail string) {
	d.owner.log.Event(timeline.Event{Kind: k, Detail: detail})
}

func (d *driver) key() string { return registry.LedgerKey(d.number) }

func (d *driver) segmentKey(name string) string { return d.key() + "/" + name }
