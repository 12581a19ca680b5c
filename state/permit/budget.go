package permit

import (
	"time"

	"shallotring.dev/state/ident"
)

// Expiry is the time after which an unused permit is void.
const Expiry = 2 * time.Second

// Budget grants loads at a rate and bounds the loads in flight; it belongs to one goroutine.
type Budget struct {
	rate     float64
	inFlight int
	tokens   float64
	updated  time.Time
	held     map[ident.Endpoint][]time.Time
}

// New returns a budget that grants nothing before start.
func New(rate float64, inFlight int, start time.Time) *Budget {
	return &Budget{rate: rate, inFlight: inFlight, updated: start, held: make(map[ident.Endpoint][]time.Time)}
}

// Take grants a permit to an endpoint or refuses it.
func (b *Budget) Take(now time.Time, e ident.Endpoint) bool {
	b.refill(now)
	if b.tokens < 1 || b.count(now) >= b.inFlight {
		return false
	}
	b.tokens--
	b.held[e] = append(b.held[e], now)
	return true
}

// Done returns the oldest permit of an endpoint after its load has ended.
func (b *Budget) Done(e ident.Endpoint) {
	if l := b.held[e]; len(l) > 0 {
		b.held[e] = l[1:]
	}
}

func (b *Budget) refill(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), max(b.rate, 1))
		b.updated = now
	}
}

func (b *Budget) count(now time.Time) (n int) {
	for e, l := range b.held {
		for len(l) > 0 && now.Sub(l[0]) >= Expiry {
			l = l[1:]
		}
		b.held[e] = l
		n += len(l)
	}
	return n
}
