package blame

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minEnds is the least number of ends that a candidate is blamed for.
	minEnds = 2
	// margin is the evidence beyond the logarithm of the number of candidates that a verdict needs: one of them is likely to be present at ends
	// by chance. Verdicts are kept until hysteresis less is left of it.
	margin     = 6.0
	hysteresis = 2.0
	// simultaneous is the time after an end in which further ends may have the same cause outside the requests.
	simultaneous = 100 * time.Millisecond
	// generationTime is the time for which exposures are counted together, and maxCandidates bounds the candidates of a generation, which is
	// replaced early when it is full.
	generationTime = 5 * time.Minute
	maxCandidates  = 1 << 16
	// maxEnds bounds the ends that are remembered.
	maxEnds = 512
	// defaultRunTime is the duration of a run before any has completed, and minRunTime the shortest.
	defaultRunTime = time.Second
	minRunTime     = 10 * time.Millisecond
	// priorEnds is added to the observed number of ends, so that the rate of ends is never zero.
	priorEnds = 0.5
	// maxHarm is the highest probability with which a run is taken to end its endpoint.
	maxHarm = 0.999
	// fitSteps is the number of steps in which the most likely rates are found.
	fitSteps = 12
)

// End is the end of an endpoint.
type End[K comparable] struct {
	At time.Time
	// Present are the candidates of the requests that were in progress, each with the share of the endpoints that had one with it in progress
	// at that moment, this one included.
	Present map[K]float64
}

// Verdict is the blame on a candidate.
type Verdict[K comparable] struct {
	Candidate K
	// Evidence is the logarithm of the ratio of the likelihoods of all that was observed, with and without harm by the candidate.
	Evidence float64
	// Ends and Completed are the numbers of ends with the candidate and of its complete runs.
	Ends, Completed int
	// Released is set if the evidence no longer suffices.
	Released bool
}

// end is an end with the candidate that explains it.
type end[K comparable] struct {
	End[K]
	// follows is set if an end shortly before may have the same cause.
	follows   bool
	explained bool
	by        K
}

// exposure is how often a candidate was run.
type exposure struct {
	runs, completed int
}

// generation is what was counted in one period.
type generation[K comparable] struct {
	start      time.Time
	exposures  map[K]exposure
	completed  int
	runTime    time.Duration
	endpointUp time.Duration
}

// Account weighs the candidates of one service. It is not safe for concurrent use.
type Account[K comparable] struct {
	current, previous generation[K]
	advancedAt        time.Time
	ends              []*end[K]
	verdicts          map[K]Verdict[K]
}

// New returns an empty account.
func New[K comparable]() *Account[K] {
	return &Account[K]{current: generation[K]{exposures: make(map[K]exposure)}, verdicts: make(map[K]Verdict[K])}
}

// Advance records that a number of endpoints have been up since the last call.
func (a *Account[K]) Advance(now time.Time, endpoints int) {
	if a.advancedAt.IsZero() {
		a.current.start = now
	} else {
		a.current.endpointUp += time.Duration(endpoints) * now.Sub(a.advancedAt)
	}
	a.advancedAt = now
	if now.Sub(a.current.start) < generationTime && len(a.current.exposures) < maxCandidates {
		return
	}
	a.previous = a.current
	a.current = generation[K]{start: now, exposures: make(map[K]exposure)}
	a.ends = slices.DeleteFunc(a.ends, func(e *end[K]) bool { return e.At.Before(a.previous.start) })
}

// Begin records that a request with candidates is sent to an endpoint.
func (a *Account[K]) Begin(candidates []K) {
	for _, c := range candidates {
		x := a.current.exposures[c]
		x.runs++
		a.current.exposures[c] = x
	}
}

// Complete records that an endpoint has completed a request with candidates, and returns the verdicts that it reverses.
func (a *Account[K]) Complete(candidates []K, runTime time.Duration) (released []Verdict[K]) {
	a.current.completed++
	a.current.runTime += runTime
	for _, c := range candidates {
		x := a.current.exposures[c]
		x.completed++
		a.current.exposures[c] = x
		if _, ok := a.verdicts[c]; !ok {
			continue
		}
		if v := a.weigh(c, a.open(c)); v.Evidence < a.threshold()-hysteresis {
			delete(a.verdicts, c)
			for _, e := range a.ends {
				e.explained = e.explained && e.by != c
			}
			v.Released = true
			released = append(released, v)
		}
	}
	return released
}

// RecordEnd records an end, whose map it keeps, and returns the verdicts that follow from it.
func (a *Account[K]) RecordEnd(x End[K]) (found []Verdict[K]) {
	e := &end[K]{End: x}
	for _, known := range slices.Backward(a.ends) {
		if d := x.At.Sub(known.At); d >= 0 && d <= simultaneous {
			e.follows = true
			break
		}
	}
	for c := range x.Present {
		if _, ok := a.verdicts[c]; ok {
			e.explained, e.by = true, c
		}
	}
	if a.ends = append(a.ends, e); len(a.ends) > maxEnds {
		a.ends = slices.Delete(a.ends, 0, 1)
	}
	for {
		v, ok := a.strongest()
		if !ok {
			return found
		}
		a.verdicts[v.Candidate] = v
		for _, e := range a.open(v.Candidate) {
			if _, present := e.Present[v.Candidate]; present {
				e.explained, e.by = true, v.Candidate
			}
		}
		found = append(found, v)
	}
}

// Find returns the verdict on a candidate.
func (a *Account[K]) Find(c K) (v Verdict[K], ok bool) {
	v, ok = a.verdicts[c]
	return v, ok
}

// Lift ends the verdict on a candidate and forgets its ends.
func (a *Account[K]) Lift(c K) (known bool) {
	_, known = a.verdicts[c]
	delete(a.verdicts, c)
	for _, e := range a.ends {
		delete(e.Present, c)
	}
	return known
}

// strongest returns the candidate with the strongest evidence that suffices for a verdict; of equal ones, that with the fewest runs.
func (a *Account[K]) strongest() (best Verdict[K], ok bool) {
	threshold := a.threshold()
	counts := make(map[K]int)
	for _, e := range a.ends {
		for c := range e.Present {
			counts[c]++
		}
	}
	for c, n := range counts {
		if _, known := a.verdicts[c]; known || n < minEnds {
			continue
		}
		v := a.weigh(c, a.open(c))
		if v.Ends < minEnds || v.Evidence < threshold || a.explained(c) {
			continue
		}
		if !ok || cmp.Or(cmp.Compare(v.Evidence, best.Evidence), cmp.Compare(a.exposure(best.Candidate).runs, a.exposure(c).runs)) > 0 {
			best, ok = v, true
		}
	}
	return best, ok
}

// open returns the ends that count for a candidate: those that no other one explains. One that was present at all ends that another one
// explains takes these over, since it may be the reason for both these and others.
func (a *Account[K]) open(c K) (list []*end[K]) {
	others := make(map[K]bool)
	for _, e := range a.ends {
		if _, present := e.Present[c]; e.explained && e.by != c && !present {
			others[e.by] = true
		}
	}
	for _, e := range a.ends {
		if !e.explained || !others[e.by] {
			list = append(list, e)
		}
	}
	return list
}

// explained reports whether others explain all ends with a candidate already.
func (a *Account[K]) explained(c K) bool {
	return !slices.ContainsFunc(a.ends, func(e *end[K]) bool {
		_, present := e.Present[c]
		return present && !e.explained
	})
}

// threshold returns the evidence that a verdict needs.
func (a *Account[K]) threshold() float64 {
	return math.Log(float64(max(len(a.current.exposures)+len(a.previous.exposures), 10))) + margin
}

// exposure returns how often a candidate was run.
func (a *Account[K]) exposure(c K) exposure {
	x, y := a.current.exposures[c], a.previous.exposures[c]
	return exposure{runs: x.runs + y.runs, completed: x.completed + y.completed}
}

// runTime returns the mean duration of complete runs.
func (a *Account[K]) runTime() time.Duration {
	n := a.current.completed + a.previous.completed
	if n == 0 {
		return defaultRunTime
	}
	return max((a.current.runTime+a.previous.runTime)/time.Duration(n), minRunTime)
}

// weigh compares two explanations of ends: they come at one rate, or runs with the candidate end their endpoints with some probability beside
// ends at another rate. Both take the values that make the observations most likely.
func (a *Account[K]) weigh(c K, ends []*end[K]) (v Verdict[K]) {
	v.Candidate, v.Completed = c, a.exposure(c).completed
	up := max((a.current.endpointUp + a.previous.endpointUp).Seconds(), 1)
	runTime := a.runTime().Seconds()
	for _, e := range ends {
		if _, ok := e.Present[c]; ok {
			v.Ends++
		}
	}
	if v.Ends == 0 {
		return v
	}
	n, completed := float64(len(ends)), float64(v.Completed)
	rate := (n + priorEnds) / up
	harm, rest := 0.5, rate/2
	for range fitSteps {
		caused := float64(v.Ends) * harm / (harm + rest*runTime)
		rest = max(n-caused+priorEnds, priorEnds) / up
		harm = min(caused/(caused+completed), maxHarm)
	}
	// The evidence of one end by itself.
	alone := math.Log((rest + harm/runTime) / rate)
	for _, e := range ends {
		share, present := e.Present[c]
		switch {
		case !present:
			v.Evidence += math.Log(rest / rate)
		case e.follows:
			v.Evidence += min(alone, -math.Log(min(share, 1)))
		default:
			v.Evidence += alone
		}
	}
	v.Evidence += (rate-rest)*up + completed*math.Log1p(-harm)
	return v
}
