package fleet

import (
	"math/rand/v2"
	"time"

	"shallotring.dev/bench/workload"
)

// store is the weight store: it starts loads at its rate, and each takes longer while too many are in flight.
type store struct {
	clock    *Clock
	spec     workload.Store
	random   *rand.Rand
	inFlight int
	tokens   float64
	updated  time.Duration
	result   *Result
}

// load calls done when a load has ended; the time waited for the store's rate is part of it.
func (s *store) load(done func(ok bool)) {
	s.inFlight++
	s.result.load(s.clock.now, s.inFlight)
	s.clock.after(s.wait(), func() {
		crowd := max(1, float64(s.inFlight)/float64(s.spec.InFlight))
		s.clock.after(time.Duration(float64(s.spec.LoadTime)*crowd), func() {
			s.inFlight--
			done(s.random.Float64() >= s.spec.Failures)
		})
	})
}

// wait takes a token; the store allows as large a burst as the budget.
func (s *store) wait() time.Duration {
	s.tokens = min(s.tokens+s.spec.PerSecond*(s.clock.now-s.updated).Seconds(), s.spec.PerSecond)
	s.updated = s.clock.now
	s.tokens--
	return time.Duration(max(-s.tokens, 0) / s.spec.PerSecond * float64(time.Second))
}
