package quarantine

import (
	"time"

	"shallotring.dev/state/call"
)

// The probations of a part in quarantine: one entry may send one request with it to one engine. Two that come through end the quarantine; after one
// that crashes its engine there are no more. All of them stay below the number of requests that operators tolerate after the crashes.
const (
	maxProbations    = 3
	neededProbations = 2
	// firstProbation is the time until the first one: requests that were on their way when the quarantine began have ended by then, as a rule.
	firstProbation = 2 * time.Second
	// sendDelay is the time after the begin of a quarantine in which requests may still be sent by entries that do not know of it.
	sendDelay = time.Second
	// liftMemory is the time after a lift for which a new quarantine has no probations: engines crash on the part now and then.
	liftMemory = 10 * time.Minute
)

// Probation is what is known of the probations of a part.
type Probation struct {
	// Probations is the number of those that were taken, and Passed that of those in which an engine has completed the request.
	Probations, Passed int
	// NextProbation is the time from which another one may be taken.
	NextProbation time.Time
}

// Newer reports whether p knows of more than x.
func (p Probation) Newer(x Probation) bool {
	return p.Probations > x.Probations || p.Probations == x.Probations && p.Passed > x.Passed
}

// due reports whether a probation may be taken.
func (p Probation) due(now time.Time) bool {
	return p.Probations < maxProbations && !now.Before(p.NextProbation)
}

// take returns the state after one more probation was taken.
func (p Probation) take(now time.Time, lease time.Duration) Probation {
	p.Probations, p.NextProbation = p.Probations+1, now.Add(lease)
	return p
}

// ProbationDue returns the part of a prompt of which a probation may be taken; ok is false if there is none, or if another part is in quarantine too.
func (l *List) ProbationDue(now time.Time, parts []call.Part) (e Entry, ok bool) {
	for _, p := range ids(parts) {
		x, found := l.parts[p]
		if !found || !now.Before(x.Until) {
			continue
		}
		if ok {
			return e, false
		}
		e, ok = x, true
	}
	return e, ok && e.due(now)
}

// Defer sets the time before which no probation of a part is due.
func (l *List) Defer(part call.PartID, until time.Time) {
	if e, ok := l.parts[part]; ok {
		e.NextProbation = until
		l.parts[part] = e
	}
}

// TakeProbation records that this entry has taken the next probation of a part, for at most a time. It returns false if more has become known since it
// was due: an engine has crashed in an earlier one, or the quarantine has ended.
func (l *List) TakeProbation(now time.Time, due Entry, lease time.Duration) (taken bool) {
	e, ok := l.parts[due.Part]
	next := due.take(now, lease)
	if !ok || e.Newer(next) {
		return false
	}
	e.Probation = next
	l.parts[due.Part] = e
	return true
}

// PassProbation records that an engine has completed a request in its probation, which may release the part.
func (l *List) PassProbation(now time.Time, part call.PartID) (c Change, ok bool) {
	e, ok := l.parts[part]
	if !ok {
		return c, false
	}
	if e.Passed, e.NextProbation = e.Passed+1, now; e.Passed < neededProbations {
		l.parts[part] = e
		return Change{Entry: e}, true
	}
	l.Lift(now, part)
	return Change{Entry: e, Released: true}, true
}

// failProbations ends the probations of the parts that were sent to an engine after their quarantine had begun, and crashed it.
func (l *List) failProbations(c Crash) {
	for _, s := range c.Suspects {
		e, ok := l.parts[s.Part]
		sentAt := c.At.Add(-time.Duration(s.RanMilli) * time.Millisecond)
		if ok && s.RanMilli > 0 && sentAt.After(e.Since.Add(sendDelay)) {
			e.Probations = max(e.Probations, maxProbations)
			l.parts[s.Part] = e
		}
	}
}
