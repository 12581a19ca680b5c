package blame

import (
	"time"

	"shallotring.dev/state/ident"
)

// place is a candidate at an endpoint.
type place[K comparable] struct {
	candidate K
	endpoint  ident.Endpoint
}

// endedRun is the end of a run with a candidate.
type endedRun[K comparable] struct {
	place[K]
	at time.Time
}

// progress knows at which endpoints runs with candidates are in progress, or have been a moment ago: endpoints that end together break off their
// runs one after the other.
type progress[K comparable] struct {
	runs      map[place[K]]int
	endpoints map[K]int
	ended     []endedRun[K]
}

func newProgress[K comparable]() progress[K] {
	return progress[K]{runs: make(map[place[K]]int), endpoints: make(map[K]int)}
}

func (p *progress[K]) begin(c K, at ident.Endpoint) {
	x := place[K]{c, at}
	if p.runs[x]++; p.runs[x] == 1 {
		p.endpoints[c]++
	}
}

func (p *progress[K]) end(now time.Time, c K, at ident.Endpoint) {
	p.forget(now)
	p.ended = append(p.ended, endedRun[K]{place[K]{c, at}, now})
}

// count returns the number of endpoints that have a candidate in progress.
func (p *progress[K]) count(now time.Time, c K) int {
	p.forget(now)
	return p.endpoints[c]
}

// forget drops the runs that ended too long ago.
func (p *progress[K]) forget(now time.Time) {
	n := 0
	for n < len(p.ended) && now.Sub(p.ended[n].at) > simultaneous {
		x := p.ended[n].place
		n++
		if p.runs[x]--; p.runs[x] > 0 {
			continue
		}
		delete(p.runs, x)
		if p.endpoints[x.candidate]--; p.endpoints[x.candidate] <= 0 {
			delete(p.endpoints, x.candidate)
		}
	}
	p.ended = p.ended[n:]
}
