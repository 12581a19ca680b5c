package fleet

import (
	"math/rand/v2"
	"time"

	"shallotring.dev/bench/workload"
)

// store is the weight store. It starts loads at a limited rate, and a load takes longer while more loads than planned are in flight.
type store struct {
	clock      *Clock
	spec       workload.Store
	random     *rand.Rand
	inFlight   int
	tokens     float64
	refilledAt time.Duration
	result     *Result
}

// load calls done when a load has finished; the wait for the rate limit is part of the load.
func (s *store) load(done func(ok bool)) {
	s.inFlight++
	s.result.recordLoad(s.clock.now, s.inFlight)
	s.clock.schedule(s.takeToken(), func() {
		slowdown := max(1, float64(s.inFlight)/float64(s.spec.LoadsInFlight))
		s.clock.schedule(time.Duration(float64(s.spec.LoadTime)*slowdown), func() {
			s.inFlight--
			done(s.random.Float64() >= s.spec.FailureRatio)
		})
	})
}

// takeToken takes a token of the rate limit and returns the wait for it. The store allows the same burst as the load budget of the
// policies.
func (s *store) takeToken() time.Duration {
	s.tokens = min(s.tokens+s.spec.LoadsPerSecond*(s.clock.now-s.refilledAt).Seconds(), s.spec.LoadsPerSecond)
	s.refilledAt = s.clock.now
	s.tokens--
	return time.Duration(max(-s.tokens, 0) / s.spec.LoadsPerSecond * float64(time.Second))
}
