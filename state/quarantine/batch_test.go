package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotring.dev/state/call"
	"shallotring.dev/state/ident"
)

// batches is a scene in which two routes share engines, each with a first part of its own in all prompts. The requests of the second one come in two
// batches. Those with a part on which engines crash begin in the pause between them, and go on during the second batch.
type batches struct {
	first, poison call.PartID
	lists         [2]*List
	random        *rand.Rand
	running       []*simulatedRequest
	down          [6]time.Time
	crashes       int64
	sent, refused int
}

// TestFirstPartIsNotBlamedForACrashingPart guards against case 3 of the review: all requests of a route are refused, because its first part was at the
// same engines as a part on which they crash, and has the higher id.
func TestFirstPartIsNotBlamedForACrashingPart(t *testing.T) {
	for _, ids := range [][2]call.PartID{{0xe4402b7d, 0x1ed70c55}, {0x1ed70c55, 0xe4402b7d}} {
		for seed := range uint64(20) {
			b := &batches{first: ids[0], poison: ids[1], random: rand.New(rand.NewPCG(seed, 1))}
			for i := range b.lists {
				b.lists[i] = New()
				b.lists[i].SetHosts(len(b.down))
				b.lists[i].SetEntries(len(b.lists))
			}
			b.run()
			if b.sent < 80 || b.refused > 0 {
				t.Errorf("first part %s, seed %d: %d of %d sound requests of the second batch were refused after %d crashes", b.first, seed, b.refused, b.sent, b.crashes)
			}
			if b.crashes < 2 || b.crashes > 6 {
				t.Errorf("first part %s, seed %d: %d crashes", b.first, seed, b.crashes)
			}
		}
	}
}

func (b *batches) run() {
	const step = 50 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	for at := time.Duration(0); at < 68*time.Second; at += step {
		now := start.Add(at)
		b.advance(now)
		if at%(150*time.Millisecond) == 0 {
			b.send(now, false, 1)
		}
		secondBatch := at >= 40*time.Second
		if (at < 12*time.Second || secondBatch) && at%(250*time.Millisecond) == 0 {
			ok := b.send(now, false, b.first)
			if at >= 46*time.Second {
				if b.sent++; !ok {
					b.refused++
				}
			}
		}
		if at >= 32*time.Second && at%(1500*time.Millisecond) == 0 {
			b.send(now, true, b.first, b.poison)
		}
	}
}

// send sends a request with shared parts to a random engine; it returns false if an entry refuses it.
func (b *batches) send(now time.Time, crashes bool, shared ...call.PartID) (ok bool) {
	engine := b.random.IntN(len(b.down))
	for now.Before(b.down[engine]) {
		engine = b.random.IntN(len(b.down))
	}
	q := &simulatedRequest{entry: b.random.IntN(len(b.lists)), engine: engine, start: now, end: now.Add(600 * time.Millisecond), crashes: crashes}
	if crashes {
		q.end = now.Add(100 * time.Millisecond)
	}
	for _, p := range append(shared, call.PartID(1000+b.random.IntN(20))) {
		q.parts = append(q.parts, call.Part{ID: p})
	}
	l := b.lists[q.entry]
	if _, found := l.Find(now, q.parts); found {
		return false
	}
	l.Begin(now, "", q.parts, name(engine))
	b.running = append(b.running, q)
	return true
}

func name(engine int) ident.Endpoint { return ident.Endpoint(fmt.Sprint(engine)) }

// advance ends the requests that are due, and the engines on which the part has crashed.
func (b *batches) advance(now time.Time) {
	up := 0
	for _, until := range b.down {
		if !now.Before(until) {
			up++
		}
	}
	for _, l := range b.lists {
		l.Advance(now, map[ident.Service]int{"": up})
	}
	crashed := make(map[int]*Crash)
	for _, q := range b.running {
		if q.crashes && !now.Before(q.end) {
			crashed[q.engine] = &Crash{Endpoint: name(q.engine), StartMilli: b.crashes, At: now}
			b.crashes++
			b.down[q.engine] = now.Add(3 * time.Second)
		}
	}
	var left []*simulatedRequest
	for _, q := range b.running {
		l, c := b.lists[q.entry], crashed[q.engine]
		switch {
		case c != nil:
			c.Requests++
			c.Suspects = MergeSuspects(c.Suspects, l.Suspects(now, "", q.parts, now.Sub(q.start)))
			l.Stop(now, "", q.parts, c.Endpoint)
		case now.Before(q.end):
			left = append(left, q)
		default:
			l.Stop(now, "", q.parts, name(q.engine))
			l.Complete(now, "", q.parts, now.Sub(q.start))
		}
	}
	b.running = left
	for _, c := range crashed {
		for _, l := range b.lists {
			l.Observe(now, *c)
		}
	}
}
