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
	// finishRateWindow is the shortest time over which the rate of finished requests is measured.
	finishRateWindow = time.Second
)

// callerShare is the weight of a caller and the number of its requests in progress.
type callerShare struct {
	weight     float64
	inProgress int
}

// admission limits the requests in progress. Once half of the limit is used, it refuses a caller that exceeds its
// weighted fair share while other callers have requests in progress.
type admission struct {
	mu         sync.Mutex
	limit      int
	inProgress int
	weightSum  float64
	callers    map[ident.Caller]*callerShare

	// finishedInWindow counts the requests that finished since windowStart. finishRate is the rate of the latest full
	// window, in requests per second.
	finishedInWindow int
	windowStart      time.Time
	finishRate       float64
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, callers: make(map[ident.Caller]*callerShare)}
}

// admit counts one more request of the caller as in progress or returns the refusal.
func (a *admission) admit(caller ident.Caller, weight float64) (refusal *outcome.Refusal) {
	if weight <= 0 {
		weight = 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	share := a.callers[caller]
	weightSum := a.weightSum
	if share == nil {
		share = &callerShare{weight: weight}
		weightSum += weight
	} else if share.weight != weight {
		weightSum += weight - share.weight
		share.weight, a.weightSum = weight, weightSum
	}
	fairShare := max(1, float64(a.limit)*share.weight/weightSum)
	if 2*a.inProgress >= a.limit && len(a.callers) > 1 && float64(share.inProgress) >= fairShare {
		return &outcome.Refusal{Reason: outcome.CallerLimit, RetryAfter: a.retryAfter()}
	}
	if a.inProgress >= a.limit {
		return &outcome.Refusal{Reason: outcome.QueueFull, RetryAfter: a.retryAfter()}
	}
	a.callers[caller] = share
	a.weightSum = weightSum
	share.inProgress++
	a.inProgress++
	return nil
}

// release counts one request of the caller as finished.
func (a *admission) release(now time.Time, c ident.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.callers[c]
	s.inProgress--
	a.inProgress--
	if s.inProgress == 0 {
		a.weightSum -= s.weight
		delete(a.callers, c)
	}
	a.finishedInWindow++
	if d := now.Sub(a.windowStart); d >= finishRateWindow {
		a.finishRate = float64(a.finishedInWindow) / d.Seconds()
		a.finishedInWindow, a.windowStart = 0, now
	}
}

// retryAfter estimates the time in which a tenth of the requests in progress finish at the current finish rate,
// between minRetryAfter and maxRetryAfter. It is minRetryAfter while the rate is not known.
func (a *admission) retryAfter() time.Duration {
	if a.finishRate <= 0 {
		return minRetryAfter
	}
	d := time.Duration(float64(a.inProgress) / 10 / a.finishRate * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// count returns the number of requests in progress.
func (a *admission) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inProgress
}

// sharedBudget is the retry budget that all requests of the entry share. A mutex guards it rather than a goroutine,
// because its operations are shorter than a channel round trip.
type sharedBudget struct {
	mu     sync.Mutex
	ratio  float64
	budget *retry.Budget
}

func newSharedBudget(ratio float64) *sharedBudget {
	return &sharedBudget{ratio: ratio, budget: newBudget(ratio)}
}

func newBudget(ratio float64) *retry.Budget { return retry.New(ratio, newRandom()) }

// newRandom returns a randomly seeded source: with equal seeds all entries would choose the same endpoints.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// setRatio applies the ratio of the current policy; a changed ratio starts a new budget.
func (s *sharedBudget) setRatio(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ratio != ratio {
		s.ratio, s.budget = ratio, newBudget(ratio)
	}
}

// RecordFirstTry records the first try of a request.
func (s *sharedBudget) RecordFirstTry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirstTry()
}

// Take reports whether one more retry is allowed and, if so, counts it.
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
