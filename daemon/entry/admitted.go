package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"shallotring.dev/state/ident"
	"shallotring.dev/state/outcome"
	"shallotring.dev/state/retry"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	rateWindow    = time.Second
)

type share struct {
	weight  float64
	running int
}

// admitted bounds the requests in progress and shares them fairly between the callers once half are taken.
type admitted struct {
	mu      sync.Mutex
	limit   int
	running int
	weights float64
	callers map[ident.Caller]*share

	// finished counts in the current window; rate is that of the latest full one.
	finished int
	since    time.Time
	rate     float64
}

func newAdmitted(limit int) *admitted {
	return &admitted{limit: limit, callers: make(map[ident.Caller]*share)}
}

// enter admits one request of the caller or says why not.
func (a *admitted) enter(c ident.Caller, weight float64) (refusal *outcome.Refusal) {
	if weight <= 0 {
		weight = 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.callers[c]
	weights := a.weights
	if s == nil {
		s = &share{weight: weight}
		weights += weight
	} else if s.weight != weight {
		weights += weight - s.weight
		s.weight, a.weights = weight, weights
	}
	fair := max(1, float64(a.limit)*s.weight/weights)
	if 2*a.running >= a.limit && len(a.callers) > 1 && float64(s.running) >= fair {
		return &outcome.Refusal{Reason: outcome.CallerLimit, RetryAfter: a.retryAfter()}
	}
	if a.running >= a.limit {
		return &outcome.Refusal{Reason: outcome.QueueFull, RetryAfter: a.retryAfter()}
	}
	a.callers[c] = s
	a.weights = weights
	s.running++
	a.running++
	return nil
}

// leave ends one request of the caller.
func (a *admitted) leave(now time.Time, c ident.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.callers[c]
	s.running--
	a.running--
	if s.running == 0 {
		a.weights -= s.weight
		delete(a.callers, c)
	}
	a.finished++
	if d := now.Sub(a.since); d >= rateWindow {
		a.rate = float64(a.finished) / d.Seconds()
		a.finished, a.since = 0, now
	}
}

// retryAfter is the time in which a tenth of the requests in progress finish at the measured rate.
func (a *admitted) retryAfter() time.Duration {
	if a.rate <= 0 {
		return minRetryAfter
	}
	d := time.Duration(float64(a.running) / 10 / a.rate * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (a *admitted) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// sharedBudget is the retry budget of all requests; its operations are too short for a round trip to a goroutine.
type sharedBudget struct {
	mu     sync.Mutex
	ratio  float64
	budget *retry.Budget
}

func newSharedBudget(ratio float64) *sharedBudget {
	return &sharedBudget{ratio: ratio, budget: newBudget(ratio)}
}

func newBudget(ratio float64) *retry.Budget { return retry.New(ratio, newRandom()) }

// newRandom returns an own source of random numbers: with the same one all entries would choose alike.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// setRatio puts the ratio of a changed policy in force.
func (s *sharedBudget) setRatio(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ratio != ratio {
		s.ratio, s.budget = ratio, newBudget(ratio)
	}
}

// Fresh records a first try.
func (s *sharedBudget) Fresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Fresh()
}

// Take reports whether one more retry is allowed and counts it.
func (s *sharedBudget) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take()
}

// Backoff returns the time to wait before the next try.
func (s *sharedBudget) Backoff(try int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Backoff(try)
}
