package live

import (
	"testing"
	"time"
)

// TestJudgeCountsRequestsToLimits guards against an excess over a limit that the judge misses, and against requests that it must not count.
func TestJudgeCountsRequestsToLimits(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	a, b := processIncarnation{"edge-0", 1}, processIncarnation{"edge-1", 1}
	// evenly returns arrivals of both entries at a rate for a time.
	evenly := func(from, until, perSecond float64) (list []limitedArrival) {
		for i := 0; ; i++ {
			s := from + float64(i)/perSecond
			if s >= until {
				return list
			}
			by := a
			if i%2 == 1 {
				by = b
			}
			list = append(list, limitedArrival{at: at(s), by: by})
		}
	}
	both := map[processIncarnation]time.Time{a: at(0.1), b: at(0.2)}
	for _, c := range []struct {
		name     string
		limits   []timedLimit
		arrivals []limitedArrival
		told     map[processIncarnation]time.Time
		excuses  map[string][]excuse
		broken   bool
	}{
		{"as many as allowed", []timedLimit{{1, at(0)}}, evenly(0, 20, 2.6), both, nil, false},
		{"too many", []timedLimit{{1, at(0)}}, evenly(0, 20, 3.1), both, nil, true},
		{"too many, of one entry that was not told", []timedLimit{{1, at(0)}}, evenly(0, 20, 3.1), map[processIncarnation]time.Time{a: at(0.1)}, nil, false},
		{"too many, at first", []timedLimit{{1, at(0)}}, evenly(0, 2.9, 20), both, nil, false},
		{"too many, of a frozen entry", []timedLimit{{1, at(0)}}, evenly(0, 20, 3.1), both, map[string][]excuse{"edge-1": {{at(4), at(30)}}}, false},
		{"six at a limit of 0", []timedLimit{{0, at(0)}}, evenly(5, 6, 6), both, nil, true},
		{"five at a limit of 0", []timedLimit{{0, at(0)}}, evenly(5, 6, 5), both, nil, false},
		{"after a change upward", []timedLimit{{1, at(0)}, {4, at(10)}}, evenly(10, 20, 7), both, nil, false},
		{"after a change downward", []timedLimit{{4, at(0)}, {1, at(10)}}, evenly(0, 20, 7), both, nil, true},
	} {
		x := limitedEndpoint{limits: c.limits, arrivals: c.arrivals, told: c.told}
		if from, n, allowed := x.worst(c.excuses); (float64(n) > allowed) != c.broken {
			t.Errorf("%s: %d from %s on, %.1f allowed; broken should be %t", c.name, n, from.Sub(start), allowed, c.broken)
		}
	}
}
