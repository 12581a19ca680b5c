package permit

import (
	"time"

	"shallotring.dev/state/ident"
)

const (
	// UnusedPermitTimeout is the time after which an unused permit is void.
	UnusedPermitTimeout = 2 * time.Second
	// MaxLoadDuration bounds the time for which a load in progress holds its permit, so that an agent that crashes cannot hold it
	// for ever.
	MaxLoadDuration = 30 * time.Second
	// requestExpiry is the time for which a refused request competes for a permit; agents send their requests again at
	// shorter intervals.
	requestExpiry = 500 * time.Millisecond
	// priorityBoostPerSecond is added to the stalled work of a request (see TakeFor) for each second that it waits, so that a load with
	// little stalled work is not starved.
	priorityBoostPerSecond = 1.0
)

// Grant is the response to a request for permits.
type Grant struct {
	Granted int
	// Expiry is the time after which unused permits are void.
	Expiry time.Duration
	// Wait is the expected time until one more permit is granted.
	Wait time.Duration
}

// heldPermit is one granted permit.
type heldPermit struct {
	// expiry is the end of the permit: of an unused one UnusedPermitTimeout after its grant, of a used one MaxLoadDuration after its Begin.
	expiry time.Time
	begun  bool
}

// waitingRequest is the request of an endpoint that has no permit for it yet.
type waitingRequest struct {
	// stalled is the stalled work that waits for the load, in seconds.
	stalled  float64
	since    time.Time
	lastSeen time.Time
}

// priority is the stalled work plus a boost for the time that the request has waited.
func (a waitingRequest) priority(now time.Time) float64 {
	return a.stalled + priorityBoostPerSecond*now.Sub(a.since).Seconds()
}

// Budget grants load permits at a rate and bounds the number of permits in use. It is not safe for concurrent use.
type Budget struct {
	// rate is in permits per second; tokens is the number of permits that have accrued and are not granted.
	rate        float64
	maxInFlight int
	tokens      float64
	updated     time.Time
	held        map[ident.Endpoint][]heldPermit
	waiting     map[ident.Endpoint]waitingRequest
}

// New returns a budget of rate permits per second, at most inFlight of them in use. It grants nothing at start.
func New(rate float64, inFlight int, start time.Time) *Budget {
	return &Budget{
		rate: rate, maxInFlight: inFlight, updated: start,
		held: make(map[ident.Endpoint][]heldPermit), waiting: make(map[ident.Endpoint]waitingRequest),
	}
}

// Take is like TakeFor for a load with one second of stalled work.
func (b *Budget) Take(now time.Time, e ident.Endpoint) bool { return b.TakeFor(now, e, 1) }

// TakeFor grants a permit for a load with the given stalled work (the waiting time summed over its tries, in seconds),
// unless requests with a higher priority compete for the available permits. A refused endpoint sends its request again
// within requestExpiry to keep the time that it has waited.
func (b *Budget) TakeFor(now time.Time, e ident.Endpoint, stalled float64) bool {
	b.refill(now)
	own := b.recordRequest(now, e, stalled)
	available := min(int(b.tokens), b.maxInFlight-b.countHeld(now))
	if available < 1 || b.requestsAhead(now, e, own.priority(now)) >= available {
		return false
	}
	delete(b.waiting, e)
	b.tokens--
	b.held[e] = append(b.held[e], heldPermit{expiry: now.Add(UnusedPermitTimeout)})
	return true
}

// Begin records that an endpoint has used its oldest unused permit; the load then holds it until Done.
func (b *Budget) Begin(now time.Time, e ident.Endpoint) {
	for i, h := range b.held[e] {
		if !h.begun {
			b.held[e][i] = heldPermit{expiry: now.Add(MaxLoadDuration), begun: true}
			return
		}
	}
}

// Done releases the oldest permit of an endpoint after its load has finished.
func (b *Budget) Done(e ident.Endpoint) {
	if l := b.held[e]; len(l) > 0 {
		b.held[e] = l[1:]
	}
}

// InFlight returns the number of permits that are held.
func (b *Budget) InFlight(now time.Time) int { return b.countHeld(now) }

// Wait returns the expected time until a request with little stalled work is granted.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.refill(now)
	ahead := float64(len(b.waiting)) + 1 - b.tokens
	return time.Duration(max(ahead, 0) / b.rate * float64(time.Second))
}

// recordRequest stores the request of an endpoint; one that has expired starts to wait anew.
func (b *Budget) recordRequest(now time.Time, e ident.Endpoint, stalled float64) waitingRequest {
	a, ok := b.waiting[e]
	if !ok || now.Sub(a.lastSeen) > requestExpiry {
		a.since = now
	}
	a.stalled, a.lastSeen = stalled, now
	b.waiting[e] = a
	return a
}

// requestsAhead counts the requests of other endpoints with a higher priority and deletes the expired ones.
func (b *Budget) requestsAhead(now time.Time, e ident.Endpoint, priority float64) (n int) {
	for x, a := range b.waiting {
		if now.Sub(a.lastSeen) > requestExpiry {
			delete(b.waiting, x)
			continue
		}
		if p := a.priority(now); x != e && (p > priority || (p == priority && x < e)) {
			n++
		}
	}
	return n
}

func (b *Budget) refill(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		// No more tokens are stored than accrue in one second, or one token if the rate is lower than one per second.
		b.tokens = min(b.tokens+b.rate*d.Seconds(), max(b.rate, 1))
		b.updated = now
	}
}

// countHeld drops the expired permits and counts the remaining ones.
func (b *Budget) countHeld(now time.Time) (n int) {
	for e, l := range b.held {
		kept := l[:0]
		for _, h := range l {
			if now.Before(h.expiry) {
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
