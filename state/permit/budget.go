package permit

import (
	"time"

	"shallotring.dev/state/ident"
)

const (
	// Expiry is the time after which an unused permit is void.
	Expiry = 2 * time.Second
	// LongestLoad bounds the time that a begun load counts, so that a dead agent cannot hold a permit for ever.
	LongestLoad = 30 * time.Second
	// askExpiry is the time for which an ask competes; agents ask again more often than this.
	askExpiry = 500 * time.Millisecond
	// agingPerSecond raises the weight of an ask that waits, so that a load with little stalled work is not starved.
	agingPerSecond = 1.0
)

// Grant is the answer to an ask for permits.
type Grant struct {
	Granted int
	// Expiry is the time after which unused permits are void.
	Expiry time.Duration
	// Wait is the expected time until one more permit is granted.
	Wait time.Duration
}

// held is one granted permit.
type held struct {
	until time.Time
	begun bool
}

// ask is the wish of an endpoint that was refused.
type ask struct {
	weight float64
	since  time.Time
	last   time.Time
}

func (a ask) rank(now time.Time) float64 {
	return a.weight + agingPerSecond*now.Sub(a.since).Seconds()
}

// Budget grants loads at a rate and bounds the loads in flight; it belongs to one goroutine.
type Budget struct {
	rate     float64
	inFlight int
	tokens   float64
	updated  time.Time
	held     map[ident.Endpoint][]held
	asks     map[ident.Endpoint]ask
}

// New returns a budget that grants nothing before start.
func New(rate float64, inFlight int, start time.Time) *Budget {
	return &Budget{
		rate: rate, inFlight: inFlight, updated: start,
		held: make(map[ident.Endpoint][]held), asks: make(map[ident.Endpoint]ask),
	}
}

// Take grants a permit to an endpoint or refuses it.
func (b *Budget) Take(now time.Time, e ident.Endpoint) bool { return b.TakeFor(now, e, 1) }

// TakeFor grants a permit for a load with the given stalled work, unless an ask with more is waiting for the same permit.
// A refused endpoint asks again within half a second to keep its place.
func (b *Budget) TakeFor(now time.Time, e ident.Endpoint, stalled float64) bool {
	b.refill(now)
	own := b.note(now, e, stalled)
	room := min(int(b.tokens), b.inFlight-b.count(now))
	if room < 1 || b.outranked(now, e, own.rank(now)) >= room {
		return false
	}
	delete(b.asks, e)
	b.tokens--
	b.held[e] = append(b.held[e], held{until: now.Add(Expiry)})
	return true
}

// Begin records that an endpoint has used its oldest unused permit; the load then counts until it is done.
func (b *Budget) Begin(now time.Time, e ident.Endpoint) {
	for i, h := range b.held[e] {
		if !h.begun {
			b.held[e][i] = held{until: now.Add(LongestLoad), begun: true}
			return
		}
	}
}

// Done returns the oldest permit of an endpoint after its load has ended.
func (b *Budget) Done(e ident.Endpoint) {
	if l := b.held[e]; len(l) > 0 {
		b.held[e] = l[1:]
	}
}

// InFlight returns the number of permits that are held.
func (b *Budget) InFlight(now time.Time) int { return b.count(now) }

// Wait returns the expected time until an ask with little stalled work is granted.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.refill(now)
	ahead := float64(len(b.asks)) + 1 - b.tokens
	return time.Duration(max(ahead, 0) / b.rate * float64(time.Second))
}

func (b *Budget) note(now time.Time, e ident.Endpoint, stalled float64) ask {
	a, ok := b.asks[e]
	if !ok || now.Sub(a.last) > askExpiry {
		a.since = now
	}
	a.weight, a.last = stalled, now
	b.asks[e] = a
	return a
}

// outranked counts the asks that go first.
func (b *Budget) outranked(now time.Time, e ident.Endpoint, rank float64) (n int) {
	for x, a := range b.asks {
		if now.Sub(a.last) > askExpiry {
			delete(b.asks, x)
			continue
		}
		if r := a.rank(now); x != e && (r > rank || (r == rank && x < e)) {
			n++
		}
	}
	return n
}

func (b *Budget) refill(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), max(b.rate, 1))
		b.updated = now
	}
}

func (b *Budget) count(now time.Time) (n int) {
	for e, l := range b.held {
		kept := l[:0]
		for _, h := range l {
			if now.Before(h.until) {
				kept = append(kept, h)
			}
		}
		if len(kept) == 0 {
			delete(b.held, e)
			continue
		}
		b.held[e] = kept
		n += len(kept)
	}
	return n
}
