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

// line drives one bucket; run is the goroutine that owns its state.
type line struct {
	owner     *Owner
	number    int
	bucket    *ledger.Bucket
	inbox     chan message
	owned     atomic.Bool
	token     ledger.Token
	waiting   map[ledger.Token]chan ledger.Command
	releasing []chan struct{}
	leftOver  []string // segments that no active value names
	foreign   time.Time
}

// message is an event, or a call that waits for a reply.
type message struct {
	event   ledger.Event
	call    func(ledger.Token) ledger.Event
	reply   chan ledger.Command
	release chan struct{}
}

func newLine(o *Owner, n int) *line {
	return &line{
		owner: o, number: n, bucket: ledger.New(o.self.Process, o.config), inbox: make(chan message),
		waiting: map[ledger.Token]chan ledger.Command{},
	}
}

func (l *line) run(ctx context.Context) {
	t := l.owner.clock.NewTicker(l.owner.tick, "ledger")
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.tick(ctx)
		case m := <-l.inbox:
			l.receive(ctx, m)
		}
		l.owned.Store(l.bucket.Owned())
		l.finishRelease()
	}
}

func (l *line) receive(ctx context.Context, m message) {
	switch {
	case m.release != nil:
		l.releasing = append(l.releasing, m.release)
		l.step(ctx, ledger.Release{})
	case m.call != nil:
		l.acquireIfChosen(ctx)
		l.token++
		l.waiting[l.token] = m.reply
		l.step(ctx, m.call(l.token))
	default:
		if x, ok := m.event.(listed); ok {
			l.leftOver, m.event = x.leftOver, x.SegmentsRead
		}
		l.step(ctx, m.event)
	}
}

// acquireIfChosen takes the bucket over on its first use, so that idle buckets cost no calls. A bucket that this
// entry was not chosen for is taken only if it was handed over: its former owner is stopping and still listed as live.
func (l *line) acquireIfChosen(ctx context.Context) {
	if !l.bucket.Idle() || l.owner.stopping.Load() {
		return
	}
	w, ok := l.owner.winner(l.number)
	l.step(ctx, ledger.Acquire{IfReleased: !ok || w.Process != l.owner.self.Process})
}

func (l *line) tick(ctx context.Context) {
	l.bucket.SetRetention(l.owner.keep())
	l.step(ctx, ledger.Tick{})
	l.handOver(ctx)
}

// handOver releases a bucket that another live entry has been chosen for, or that is still held while stopping.
func (l *line) handOver(ctx context.Context) {
	if !l.bucket.Owned() {
		l.foreign = time.Time{}
		return
	}
	w, ok := l.owner.winner(l.number)
	now := l.owner.clock.Now()
	switch {
	case l.owner.stopping.Load():
		l.step(ctx, ledger.Release{})
	case !ok || w.Process == l.owner.self.Process:
		l.foreign = time.Time{}
	case l.foreign.IsZero():
		l.foreign = now
	case now.Sub(l.foreign) >= handoverDelay:
		l.step(ctx, ledger.Release{})
	}
}

func (l *line) finishRelease() {
	if !l.bucket.Idle() {
		return
	}
	for _, c := range l.releasing {
		close(c)
	}
	l.releasing = nil
}

// call sends a call to the bucket's goroutine; it returns nil if ctx or the owner ends first.
func (l *line) call(ctx context.Context, fn func(ledger.Token) ledger.Event) ledger.Command {
	reply := make(chan ledger.Command, 1) // the goroutine never waits for a caller that has gone
	if !l.send(ctx, message{call: fn, reply: reply}) {
		return nil
	}
	select {
	case c := <-reply:
		return c
	case <-ctx.Done():
	case <-l.owner.done:
	}
	return nil
}

func (l *line) release(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "release ledger bucket %02x", l.number) }()
	c := make(chan struct{})
	if !l.send(ctx, message{release: c}) {
		return context.Cause(ctx)
	}
	select {
	case <-c:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.owner.done:
	}
	return nil
}

func (l *line) send(ctx context.Context, m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-ctx.Done():
	case <-l.owner.done:
	}
	return false
}

func (l *line) step(ctx context.Context, ev ledger.Event) {
	for _, c := range l.bucket.Step(l.owner.clock.Now(), ev) {
		l.do(ctx, c)
	}
}

func (l *line) do(ctx context.Context, c ledger.Command) {
	switch x := c.(type) {
	case ledger.IntendReply:
		l.reply(x.Token, x)
	case ledger.ConcludeReply:
		l.reply(x.Token, x)
	case ledger.Taken:
		l.owner.counters.takeovers.Inc()
		l.event(timeline.BucketTaken, fmt.Sprintf("bucket %02x epoch %d from %q, %d records", l.number, x.Epoch, x.Previous, x.Records))
		for _, name := range l.leftOver {
			l.background(ctx, ledger.DeleteSegment{Name: name})
		}
		l.leftOver = nil
	case ledger.Released:
		l.owner.counters.releases.Inc()
		l.event(timeline.BucketReleased, fmt.Sprintf("bucket %02x epoch %d, planned %t", l.number, x.Epoch, x.Planned))
	case ledger.Violation:
		l.owner.counters.violations.Inc()
		l.event(timeline.InvariantViolated, fmt.Sprintf("bucket %02x: %v", l.number, x.Err))
	case ledger.Wake:
		l.owner.clock.AfterFunc(x.After, func() { l.send(ctx, message{event: ledger.Tick{}}) })
	case ledger.ReadValue:
		l.leftOver = nil // what an earlier attempt listed may be in use by now
		l.background(ctx, c)
	default:
		l.background(ctx, c)
	}
}

// background runs a command with I/O and feeds its answer back.
func (l *line) background(ctx context.Context, c ledger.Command) {
	l.owner.calls.Go(func() {
		if ev := l.perform(ctx, c); ev != nil {
			l.send(ctx, message{event: ev})
		}
	})
}

func (l *line) reply(t ledger.Token, c ledger.Command) {
	if ch := l.waiting[t]; ch != nil {
		delete(l.waiting, t)
		ch <- c
	}
}

func (l *line) event(k timeline.Kind, detail string) {
	l.owner.log.Event(timeline.Event{Kind: k, Detail: detail})
}

func (l *line) key() string { return registry.LedgerKey(l.number) }

func (l *line) segmentKey(name string) string { return l.key() + "/" + name }
