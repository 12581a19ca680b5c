package suspicion

import (
	"slices"
	"time"

	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
)

const (
	// minEnds is the number of endpoints that end under a request before it is in quarantine.
	minEnds = 3
	// survivalsPerEnd is the number of complete runs of a request that outweigh one end: a request that comes often is at endpoints that end
	// for other reasons, and endpoints survive its other runs.
	survivalsPerEnd = 3
	// maxSuspects bounds the requests under suspicion, and maxVerdicts those in quarantine.
	maxSuspects = 4096
	maxVerdicts = 4096
)

// The probations of a request in quarantine: at each, one entry may send it to one endpoint. Together with the requests that are on their
// way when the quarantine begins, they must not crash more endpoints than operators tolerate.
const (
	maxProbations = 2
	// firstProbation is the time until the first probation, and soonProbation that if the ends may have had one cause outside the requests.
	firstProbation = 10 * time.Second
	soonProbation  = time.Second
	// nextProbation is the time between two probations.
	nextProbation = 10 * time.Minute
)

// Verdict is a request in quarantine with the evidence against it.
type Verdict struct {
	Request fingerprint.Fingerprint
	Since   time.Time
	// Ends is the number of endpoints that ended under the request, in a number of Incidents.
	Ends, Incidents int
	// Survivals is the number of complete runs that count for it.
	Survivals int
	// Probations is the number of probations that were taken; the next one is due at NextProbation.
	Probations    int
	NextProbation time.Time
}

// ProbationDue reports whether one entry may send the request to one endpoint.
func (v Verdict) ProbationDue(now time.Time) bool {
	return v.Probations < maxProbations && !now.Before(v.NextProbation)
}

// TakeProbation returns the verdict after one more probation was taken.
func (v Verdict) TakeProbation(now time.Time) Verdict {
	v.Probations, v.NextProbation = v.Probations+1, now.Add(nextProbation)
	return v
}

// Change is a request that was put in quarantine, or released.
type Change struct {
	Verdict
	Released bool
}

// suspect is a request that was in progress at endpoints that ended.
type suspect struct {
	ends []presence
	// survivals are the complete runs that have not outweighed an end yet, and reported those that each entry has reported.
	survivals int
	reported  map[ident.Host]int
	lastEnd   time.Time
}

// List has the requests under suspicion and those in quarantine that are known to one entry. It is not safe for concurrent use.
type List struct {
	ends     []*ending
	suspects map[fingerprint.Fingerprint]*suspect
	verdicts map[fingerprint.Fingerprint]Verdict
}

// New returns an empty list.
func New() *List {
	return &List{suspects: make(map[fingerprint.Fingerprint]*suspect), verdicts: make(map[fingerprint.Fingerprint]Verdict)}
}

// Empty reports whether no request is under suspicion or in quarantine.
func (l *List) Empty() bool { return len(l.suspects)+len(l.verdicts) == 0 }

// Find returns the verdict on a request in quarantine.
func (l *List) Find(p fingerprint.Fingerprint) (v Verdict, ok bool) {
	v, ok = l.verdicts[p]
	return v, ok
}

// Verdicts returns the requests in quarantine in no particular order.
func (l *List) Verdicts() (list []Verdict) {
	for _, v := range l.verdicts {
		list = append(list, v)
	}
	return list
}

// Suspects returns the number of requests under suspicion or in quarantine.
func (l *List) Suspects() int { return len(l.suspects) }

// Ends returns the number of endpoints that ended under a request and count against it.
func (l *List) Ends(p fingerprint.Fingerprint) int {
	if s := l.suspects[p]; s != nil {
		return len(s.ends)
	}
	return 0
}

// RecordEnd records an end and returns the requests that are in quarantine from now on, or not any more.
func (l *List) RecordEnd(now time.Time, e End) (changes []Change) {
	x := l.ending(now, e)
	for _, b := range e.Requests {
		for _, p := range []fingerprint.Fingerprint{b.Request, b.Content} {
			if _, ok := l.verdicts[p]; ok {
				l.explain(x)
			}
		}
	}
	for _, b := range e.Requests {
		at := presence{ending: x, sentAt: e.At.Add(-b.Ran)}
		l.place(now, b.Request, at)
		if b.Content == (fingerprint.Fingerprint{}) {
			continue
		}
		switch other, ok := x.contents[b.Content]; {
		case !ok:
			x.contents[b.Content] = b.Request
			l.place(now, b.Content, at)
		case other != b.Request:
			// Different requests have this content, so it does not identify the one that may be the reason.
			x.contents[b.Content] = fingerprint.Fingerprint{}
			if c, ok := l.withdraw(b.Content, x); ok {
				changes = append(changes, c)
			}
		}
	}
	// What several requests have in common is under suspicion only for ends that none of the requests explains.
	for _, b := range e.Requests {
		changes = l.judge(now, b.Request, changes)
	}
	l.explainAll(changes)
	for _, b := range e.Requests {
		changes = l.judge(now, b.Content, changes)
	}
	l.explainAll(changes)
	return changes
}

// place records that a request was at an endpoint that ended, unless the end is explained.
func (l *List) place(now time.Time, p fingerprint.Fingerprint, at presence) {
	v, ok := l.verdicts[p]
	if !ok && at.explained {
		return
	}
	s := l.suspect(now, p)
	s.add(at)
	if s.lastEnd = now; ok {
		v.Ends, v.Incidents = len(s.ends), countIncidents(s.ends)
		l.verdicts[p] = v
	}
}

// withdraw removes an end from those that count against a request, which may release it.
func (l *List) withdraw(p fingerprint.Fingerprint, x *ending) (c Change, released bool) {
	s := l.suspects[p]
	if s == nil {
		return c, false
	}
	s.ends = slices.DeleteFunc(s.ends, func(e presence) bool { return e.ending == x })
	v, ok := l.verdicts[p]
	if !ok || len(s.ends) >= minEnds {
		return c, false
	}
	delete(l.verdicts, p)
	return Change{Verdict: v, Released: true}, true
}

// explainAll marks the ends under requests that have just been put in quarantine. Requests that were at all of these ends alike stay in
// quarantine together, until a probation tells which of them is the reason.
func (l *List) explainAll(changes []Change) {
	for _, c := range changes {
		if s := l.suspects[c.Request]; s != nil && !c.Released {
			for _, x := range s.ends {
				l.explain(x.ending)
			}
		}
	}
}

// add records that the request was at an endpoint that ended, perhaps sent by several entries.
func (s *suspect) add(x presence) {
	for i, known := range s.ends {
		if known.ending == x.ending {
			if x.sentAt.After(known.sentAt) {
				s.ends[i] = x
			}
			return
		}
	}
	s.ends = append(s.ends, x)
}

// suspect returns the state of a request under suspicion, which it creates.
func (l *List) suspect(now time.Time, p fingerprint.Fingerprint) *suspect {
	if s := l.suspects[p]; s != nil {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.forgetSuspects(now)
	}
	s := &suspect{reported: make(map[ident.Host]int)}
	l.suspects[p] = s
	return s
}

// forgetSuspects forgets the requests whose last end is too long ago, or else those with the oldest.
func (l *List) forgetSuspects(now time.Time) {
	if l.Expire(now); len(l.suspects) < maxSuspects {
		return
	}
	var list []fingerprint.Fingerprint
	for p := range l.suspects {
		if _, ok := l.verdicts[p]; !ok {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b fingerprint.Fingerprint) int { return l.suspects[a].lastEnd.Compare(l.suspects[b].lastEnd) })
	// Several are forgotten at a time, since the order is costly.
	for _, p := range list[:min(len(list), maxSuspects/8)] {
		delete(l.suspects, p)
	}
}

// Expire forgets the requests under suspicion whose last end is too long ago.
func (l *List) Expire(now time.Time) {
	for p, s := range l.suspects {
		if _, ok := l.verdicts[p]; !ok && now.Sub(s.lastEnd) > endExpiry {
			delete(l.suspects, p)
		}
	}
}

// judge puts a request in quarantine if the evidence suffices, and adds the change.
func (l *List) judge(now time.Time, p fingerprint.Fingerprint, changes []Change) []Change {
	s := l.suspects[p]
	if _, ok := l.verdicts[p]; ok || s == nil || len(s.ends) < minEnds || survivalsPerEnd*(len(s.ends)-minEnds) < s.survivals {
		return changes
	}
	var c Change
	c.Verdict = Verdict{Request: p, Since: now, Ends: len(s.ends), Incidents: countIncidents(s.ends), Survivals: s.survivals, NextProbation: now.Add(firstProbation)}
	if c.Incidents < minEnds {
		c.NextProbation = now.Add(soonProbation)
	}
	l.setVerdict(c.Verdict)
	return append(changes, c)
}

func (l *List) setVerdict(v Verdict) {
	if _, ok := l.verdicts[v.Request]; !ok && len(l.verdicts) >= maxVerdicts {
		oldest := v
		for _, x := range l.verdicts {
			if x.Since.Before(oldest.Since) {
				oldest = x
			}
		}
		delete(l.verdicts, oldest.Request)
	}
	l.verdicts[v.Request] = v
}

// explain marks an end as caused by a request in quarantine; the other requests are not under suspicion for it.
func (l *List) explain(x *ending) {
	if x.explained {
		return
	}
	x.explained = true
	for p, s := range l.suspects {
		if _, ok := l.verdicts[p]; ok {
			continue
		}
		s.ends = slices.DeleteFunc(s.ends, func(e presence) bool { return e.ending == x })
		if len(s.ends) == 0 {
			delete(l.suspects, p)
		}
	}
}

// RecordSurvivals records that an entry has seen a number of complete runs of a request since the first end under it. Runs of requests that
// are not under suspicion do not count.
func (l *List) RecordSurvivals(p fingerprint.Fingerprint, reporter ident.Host, count int) (c Change, changed bool) {
	s := l.suspects[p]
	if s == nil || count <= s.reported[reporter] {
		return c, false
	}
	s.survivals += count - s.reported[reporter]
	s.reported[reporter] = count
	for s.survivals >= survivalsPerEnd && len(s.ends) > 0 {
		s.survivals -= survivalsPerEnd
		s.ends = slices.Delete(s.ends, 0, 1)
	}
	if len(s.ends) == 0 {
		s.survivals = 0
	}
	v, ok := l.verdicts[p]
	if ok && v.Incidents < minEnds {
		// The ends may have had one cause, and endpoints that went on have run the request.
		s.ends = s.ends[:min(len(s.ends), minEnds-1)]
	}
	if !ok || len(s.ends) >= minEnds {
		return c, false
	}
	delete(l.verdicts, p)
	return Change{Verdict: v, Released: true}, true
}

// CountSurvival records one more complete run that this entry has seen and returns their number; ok is false if the request has no ends that
// count against it.
func (l *List) CountSurvival(p fingerprint.Fingerprint, self ident.Host) (count int, c Change, ok bool) {
	s := l.suspects[p]
	if s == nil || len(s.ends) == 0 {
		return 0, c, false
	}
	count = s.reported[self] + 1
	c, _ = l.RecordSurvivals(p, self, count)
	return count, c, true
}

// Defer sets the time before which no probation is due.
func (l *List) Defer(p fingerprint.Fingerprint, until time.Time) {
	if v, ok := l.verdicts[p]; ok {
		v.NextProbation = until
		l.verdicts[p] = v
	}
}

// Restore adds a verdict that another process has recorded, or what it knows of the probations.
func (l *List) Restore(v Verdict) {
	known, ok := l.verdicts[v.Request]
	if ok && known.Probations >= v.Probations {
		return
	}
	l.setVerdict(v)
}

// Lift ends the quarantine of a request and the suspicion against it; known reports whether it was in quarantine.
func (l *List) Lift(p fingerprint.Fingerprint) (known bool) {
	_, known = l.verdicts[p]
	delete(l.verdicts, p)
	delete(l.suspects, p)
	return known
}
