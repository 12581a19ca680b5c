package suspicion

import (
	"slices"
	"time"

	"shallotring.dev/state/fingerprint"
	"shallotring.dev/state/ident"
)

// SameEnd is the time within which reports about one incarnation concern one end. An incarnation may end twice if its successor has not been
// noticed.
const SameEnd = time.Second

const (
	// sameIncident is the time within which ends may have one cause outside the requests.
	sameIncident = 100 * time.Millisecond
	// maxEnds bounds the ends that are remembered, and endExpiry is the time for which they are.
	maxEnds   = 512
	endExpiry = 10 * time.Minute
)

// End is the end of an endpoint with requests in progress, as one entry has seen it.
type End struct {
	Endpoint   ident.Endpoint
	StartMilli int64
	At         time.Time
	// Requests are those that the endpoint broke off; any of them may be the reason.
	Requests []InterruptedRequest
}

// InterruptedRequest is a request that an endpoint broke off when it ended.
type InterruptedRequest struct {
	Request fingerprint.Fingerprint
	// Content is that of requests with the same content that may differ in other respects, such as their adapter; zero if there are none.
	Content fingerprint.Fingerprint
	// Ran is the time from its send to the end.
	Ran time.Duration
}

// ending is one end as all entries have reported it.
type ending struct {
	endpoint   ident.Endpoint
	startMilli int64
	at         time.Time
	// explained is set if one of its requests is in quarantine; the others are not under suspicion then.
	explained bool
	// contents has the request for each content that only one of the requests has; the fingerprint is zero if several have it.
	contents map[fingerprint.Fingerprint]fingerprint.Fingerprint
}

// ending returns the end that a report is about, a new one if there is none.
func (l *List) ending(now time.Time, e End) *ending {
	for _, x := range l.ends {
		if d := e.At.Sub(x.at); x.endpoint == e.Endpoint && x.startMilli == e.StartMilli && d < SameEnd && d > -SameEnd {
			return x
		}
	}
	l.ends = slices.DeleteFunc(l.ends, func(x *ending) bool { return now.Sub(x.at) > endExpiry })
	x := &ending{endpoint: e.Endpoint, startMilli: e.StartMilli, at: e.At, contents: make(map[fingerprint.Fingerprint]fingerprint.Fingerprint)}
	if l.ends = append(l.ends, x); len(l.ends) > maxEnds {
		l.ends = slices.Delete(l.ends, 0, 1)
	}
	return x
}

// presence is a request at an endpoint that ended.
type presence struct {
	*ending
	sentAt time.Time
}

// countIncidents returns the number of groups of ends that may have one cause each outside the request. A request that was sent to an endpoint
// after another one had ended under it is evidence of its own, however soon the second end follows.
func countIncidents(ends []presence) (n int) {
	sorted := slices.Clone(ends)
	slices.SortFunc(sorted, func(a, b presence) int { return a.at.Compare(b.at) })
	var start time.Time
	for i, x := range sorted {
		if i == 0 || x.at.Sub(start) > sameIncident || x.sentAt.After(start) {
			n, start = n+1, x.at
		}
	}
	return n
}
