package blame

import (
	"cmp"
	"slices"
	"time"

	"shallotring.dev/state/ident"
)

const (
	// minEnds is the least number of ends that a candidate is blamed for.
	minEnds = 2
	// margin is the evidence beyond the logarithm of the number of candidates that a verdict needs: one of them is likely to be present at ends
	// by chance. Verdicts are kept until hysteresis less is left of it.
	margin     = 6.0
	hysteresis = 2.0
	// knownMargin is the evidence that a candidate needs that was blamed before, for which one end is enough.
	knownMargin = 3.0
	// suspicionShare is the share of the evidence for a verdict from which a candidate is under suspicion.
	suspicionShare = 1.0 / 3
	// simultaneous is the time after an end in which further ends may have the same cause outside the requests.
	simultaneous = 100 * time.Millisecond
	// generationTime is the time for which exposures are counted together, and maxCandidates bounds the candidates of a generation, which is
	// replaced early when it is full.
	generationTime = 5 * time.Minute
	maxCandidates  = 1 << 14
	// maxEnds bounds the ends that are remembered, and maxKnown the candidates that were blamed before.
	maxEnds  = 256
	maxKnown = 1024
	// minCandidates is the least number of candidates that is assumed.
	minCandidates = 10
	// defaultRunTime is the duration of a run before any has completed, and minRunTime the shortest.
	defaultRunTime = time.Second
	minRunTime     = 10 * time.Millisecond
	// priorEnds is added to the observed number of ends, so that the rate of ends is never zero.
	priorEnds = 0.5
	// priorRuns is added to the counted complete runs of a candidate, since those of some observers are not known.
	priorRuns = 0.5
	// maxHarm is the highest probability with which a run is taken to end its endpoint.
	maxHarm = 0.999
	// fitSteps is the number of steps in which the most likely rates are found.
	fitSteps = 12
)

// End is the end of an endpoint.
type End[K comparable] struct {
	// Endpoint and StartMilli identify the incarnation. An end with an empty Endpoint is a new one always.
	Endpoint   ident.Endpoint
	StartMilli int64
	At         time.Time
	// Requests is the number of the requests that were in progress, and Present are their candidates.
	Requests int
	Present  map[K]Presence
}

// Verdict is the blame on a candidate.
type Verdict[K comparable] struct {
	Candidate K
	// Evidence is the logarithm of the ratio of the likelihoods of all that was observed, with and without harm by the candidate.
	Evidence float64
	// Ends are those with the candidate that others do not explain, Of all that others do not explain but for those that follow another one, and
	// Completed its complete runs.
	Ends, Of, Completed int
	// Share is the share of the time for which an endpoint has it in progress.
	Share float64
	// Released is set if the evidence no longer suffices, or others explain the ends.
	Released bool
}

// end is a remembered end.
type end[K comparable] struct {
	endpoint   ident.Endpoint
	startMilli int64
	at         time.Time
	requests   int
	present    map[K]Presence
	// follows is set if an end shortly before may have the same cause; the ends of one outage have the same number. explained is set if a candidate is
	// blamed for it.
	follows, explained bool
	outage             int
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

// Account weighs the candidates of one service. Several observers may each have one and exchange the ends. It is not safe for concurrent use.
type Account[K comparable] struct {
	current, previous generation[K]
	progress          progress[K]
	loads             loads[K]
	// since is the time from which ends are known, observedAt that from which endpoints were counted, and advancedAt the last count.
	since, observedAt, advancedAt time.Time
	endpointCount, observers      int
	ends                          []*end[K]
	verdicts                      map[K]Verdict[K]
	suspects                      map[K]bool
	known                         map[K]bool
}

// New returns an empty account.
func New[K comparable]() *Account[K] {
	return &Account[K]{current: generation[K]{exposures: make(map[K]exposure)}, progress: newProgress[K](), loads: newLoads[K](), endpointCount: 1, observers: 1,
		verdicts: make(map[K]Verdict[K]), suspects: make(map[K]bool), known: make(map[K]bool)}
}

// SetObservers sets the number of observers that each see an equal part of the runs.
func (a *Account[K]) SetObservers(n int) { a.observers = max(n, 1) }

// SetEndpoints sets the number of endpoints before they are counted.
func (a *Account[K]) SetEndpoints(n int) {
	if a.observedAt.IsZero() {
		a.endpointCount = max(n, 1)
	}
}

// Advance records that a number of endpoints have been up since the last call.
func (a *Account[K]) Advance(now time.Time, endpoints int) {
	if a.advancedAt.IsZero() {
		a.current.start, a.observedAt = now, now
		a.watchSince(now)
	} else {
		a.current.endpointUp += time.Duration(endpoints) * now.Sub(a.advancedAt)
	}
	a.advancedAt, a.endpointCount = now, max(endpoints, 1)
	if now.Sub(a.current.start) < generationTime && len(a.current.exposures) < maxCandidates {
		return
	}
	a.previous = a.current
	a.current = generation[K]{start: now, exposures: make(map[K]exposure)}
	a.loads.forget()
	a.forgetEnds(a.previous.start)
	if a.observedAt.Before(a.previous.start) {
		a.since, a.observedAt = a.previous.start, a.previous.start
	}
}

// watchSince records that ends are known from a time on.
func (a *Account[K]) watchSince(t time.Time) {
	if a.since.IsZero() || t.Before(a.since) {
		a.since = t
	}
}

// Begin records that a request with candidates is sent to an endpoint.
func (a *Account[K]) Begin(now time.Time, candidates []K, at ident.Endpoint) {
	a.loads.all.change(now, 1)
	for _, c := range candidates {
		x := a.current.exposures[c]
		x.runs++
		a.current.exposures[c] = x
		a.progress.begin(c, at)
		a.loads.change(now, c, 1)
	}
}

// Stop records that a request with candidates is not in progress at an endpoint any more.
func (a *Account[K]) Stop(now time.Time, candidates []K, at ident.Endpoint) {
	a.loads.all.change(now, -1)
	for _, c := range candidates {
		a.progress.end(now, c, at)
		a.loads.change(now, c, -1)
	}
}

// Present returns what this account knows of a candidate of a request that is in progress and was sent some time ago.
func (a *Account[K]) Present(now time.Time, c K, ran time.Duration) Presence {
	n, all := a.progress.count(now, c), float64(a.endpointCount)
	return Presence{Share: min(float64(n)/all, 1), Reports: 1, Load: a.loads.of(now, c) * float64(a.observers) / all,
		Completed: a.own(c), Of: a.completed(), Ran: ran}
}

// Complete records that an endpoint has completed a request with candidates, and returns the verdicts that it reverses.
func (a *Account[K]) Complete(candidates []K, runTime time.Duration) (released []Verdict[K]) {
	a.current.completed++
	a.current.runTime += runTime
	blamed := false
	for _, c := range candidates {
		x := a.current.exposures[c]
		x.completed++
		a.current.exposures[c] = x
		_, ok := a.verdicts[c]
		blamed = blamed || ok
	}
	if blamed {
		released = a.judge()
	}
	return released
}

// RecordEnd records an end, or what another observer knows of it, and returns the verdicts that follow, or do not any more.
func (a *Account[K]) RecordEnd(x End[K]) (changes []Verdict[K]) {
	var e *end[K]
	if i := slices.IndexFunc(a.ends, func(e *end[K]) bool {
		return x.Endpoint != "" && e.endpoint == x.Endpoint && e.startMilli == x.StartMilli
	}); i >= 0 {
		e = a.ends[i]
	} else {
		e = &end[K]{endpoint: x.Endpoint, startMilli: x.StartMilli, at: x.At, present: make(map[K]Presence, len(x.Present))}
		i, _ = slices.BinarySearchFunc(a.ends, x.At, func(e *end[K], at time.Time) int {
			if e.at.After(at) {
				return 1
			}
			return -1
		})
		a.ends = slices.Insert(a.ends, i, e)
		a.watchSince(x.At)
		a.forgetEnds(a.ends[len(a.ends)-1].at.Add(-2 * generationTime))
	}
	e.requests = max(e.requests, x.Requests)
	for c, p := range x.Present {
		e.present[c] = e.present[c].Merge(p)
	}
	return a.judge()
}

// forgetEnds drops the ends before a time, and the oldest of too many.
func (a *Account[K]) forgetEnds(before time.Time) {
	n := max(len(a.ends)-maxEnds, 0)
	for n < len(a.ends) && a.ends[n].at.Before(before) {
		n++
	}
	a.ends = slices.Delete(a.ends, 0, n)
	if a.since.Before(before) {
		a.since = before
	}
}

// Find returns the verdict on a candidate.
func (a *Account[K]) Find(c K) (v Verdict[K], ok bool) {
	v, ok = a.verdicts[c]
	return v, ok
}

// Suspected reports whether there is some evidence against a candidate.
func (a *Account[K]) Suspected(c K) bool { return a.suspects[c] }

// Blame records that a candidate was blamed by others, or before, so that less evidence is needed for a verdict.
func (a *Account[K]) Blame(c K) {
	if len(a.known) >= maxKnown {
		clear(a.known)
	}
	a.known[c] = true
}

// Expire ends the verdict on a candidate, so that a new one may follow.
func (a *Account[K]) Expire(c K) { delete(a.verdicts, c) }

// Lift ends the verdict on a candidate and forgets its ends.
func (a *Account[K]) Lift(c K) (blamed bool) {
	_, blamed = a.verdicts[c]
	delete(a.verdicts, c)
	delete(a.suspects, c)
	delete(a.known, c)
	for _, e := range a.ends {
		delete(e.present, c)
	}
	return blamed
}

// sighting is a candidate at one of the ends.
type sighting[K comparable] struct {
	*end[K]
	Presence
}

// judge finds the candidates that explain the ends, the strongest first, each by the ends that those before it do not explain, and returns what
// has changed.
func (a *Account[K]) judge() (changes []Verdict[K]) {
	seen := make(map[K][]sighting[K])
	outages := 0
	for i, e := range a.ends {
		e.follows, e.explained = i > 0 && e.at.Sub(a.ends[i-1].at) <= simultaneous, false
		if !e.follows {
			outages++
		}
		e.outage = outages
		for c, s := range e.present {
			seen[c] = append(seen[c], sighting[K]{e, s})
		}
	}
	clear(a.suspects)
	chosen := make(map[K]Verdict[K])
	for {
		v, ok := a.strongest(seen, chosen)
		if !ok {
			break
		}
		chosen[v.Candidate] = v
		for _, s := range seen[v.Candidate] {
			s.explained = true
		}
	}
	for c, v := range chosen {
		if _, known := a.verdicts[c]; !known {
			changes = append(changes, v)
		}
		a.verdicts[c] = v
	}
	for c, v := range a.verdicts {
		if _, ok := chosen[c]; ok {
			continue
		}
		// Nothing speaks for a candidate whose ends are forgotten, so it is not released.
		if delete(a.verdicts, c); len(seen[c]) > 0 {
			v.Released = true
			changes = append(changes, v)
		}
	}
	slices.SortStableFunc(changes, func(x, y Verdict[K]) int { return cmp.Compare(y.Evidence, x.Evidence) })
	return changes
}

// strongest returns the candidate with the strongest evidence that suffices for a verdict. Of equal ones, that with the fewest runs goes first,
// then the one that is at fewer endpoints.
func (a *Account[K]) strongest(seen map[K][]sighting[K], chosen map[K]Verdict[K]) (best Verdict[K], ok bool) {
	open := a.countOpen(seen)
	bestRuns, bestShare := 0, 0.0
	for c, list := range seen {
		_, done := chosen[c]
		_, blamed := a.verdicts[c]
		if done || len(list) < minEnds && !a.known[c] {
			continue
		}
		v, share := a.weigh(c, list, &open)
		threshold := a.threshold()
		if v.Ends >= minEnds && v.Evidence >= threshold*suspicionShare {
			a.suspects[c] = true
		}
		switch {
		case a.known[c]:
			threshold = knownMargin
		case blamed:
			threshold -= hysteresis
		}
		if v.Ends == 0 || v.Ends < minEnds && !a.known[c] || v.Evidence < threshold {
			continue
		}
		runs := a.current.exposures[c].runs + a.previous.exposures[c].runs
		if !ok || cmp.Or(cmp.Compare(v.Evidence, best.Evidence), cmp.Compare(bestRuns, runs), cmp.Compare(bestShare, share)) > 0 {
			best, bestRuns, bestShare, ok = v, runs, share, true
		}
	}
	return best, ok
}
