package fleet

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotring.dev/bench/workload"
)

const secondNanos = int(time.Second)

// Result holds the measurements of one run.
type Result struct {
	stall *hdrhistogram.Histogram
	// stallBySecond has the stalls by callerGroup and second of arrival.
	stallBySecond [2][int(workload.End) / secondNanos]stallSum
	Completed     int
	Refused       int
	// Expired counts the refused requests that had been accepted and passed their deadline in the queue; the others were refused by
	// an agent or found no engine.
	Expired                   int
	RefusalsWithoutRetryAfter int
	Loads                     int
	// Replicas counts the loads of adapters that an engine already had or was loading.
	Replicas         int
	MaxLoadsInFlight int
	MaxQueued        int
	// usefulSeconds and capacitySeconds are sums over the steps: seconds times sequences in the batch, and seconds times BatchSize.
	usefulSeconds, capacitySeconds float64
	loadStarts                     []time.Duration
	// Slowest is not used: no run sets it.
	Slowest time.Duration
}

type stallSum struct {
	stall time.Duration
	count int
}

func newResult() *Result {
	return &Result{stall: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)}
}

func (r *Result) recordLoad(now time.Duration, inFlight int) {
	r.loadStarts = append(r.loadStarts, now)
	r.MaxLoadsInFlight = max(r.MaxLoadsInFlight, inFlight)
	if now >= workload.WarmUp && now < workload.End {
		r.Loads++
	}
}

func (r *Result) recordStall(p *Request, stall time.Duration) {
	s := &r.stallBySecond[callerGroup(p)][int(p.At)/secondNanos]
	s.stall += stall
	s.count++
	if p.measured() {
		_ = r.stall.RecordValue(min(stall.Microseconds(), r.stall.HighestTrackableValue()))
	}
}

// callerGroup returns the index of the request's group in stallBySecond: 1 for the flooding caller, 0 for all others.
func callerGroup(p *Request) int {
	if p.Flood || p.Caller == "caller-0" {
		return 1
	}
	return 0
}

// recordStep adds one engine step. The value used is its time without the prefill that a cached prefix would have saved, in seconds,
// times the number of sequences in the batch.
func (r *Result) recordStep(now, stepTime time.Duration, used float64) {
	if now >= workload.WarmUp && now < workload.End {
		r.usefulSeconds += used
		r.capacitySeconds += stepTime.Seconds() * workload.BatchSize
	}
}

// MeanStall returns the mean stall in milliseconds of the accepted requests, including those that expired.
func (r *Result) MeanStall() float64 {
	total, count := time.Duration(0), 0
	for _, group := range r.stallBySecond {
		for _, s := range group[int(workload.WarmUp)/secondNanos:] {
			total += s.stall
			count += s.count
		}
	}
	return meanMilli(total, count)
}

// P95Stall returns the 95th percentile of the stall in milliseconds.
func (r *Result) P95Stall() float64 { return float64(r.stall.ValueAtQuantile(95)) / 1000 }

// MeanStallBetween returns the mean stall in milliseconds of the requests that arrived in a span of time; if
// excludeFlooding is set, without those of the flooding caller.
func (r *Result) MeanStallBetween(from, to time.Duration, excludeFlooding bool) float64 {
	total, count := time.Duration(0), 0
	for i, group := range r.stallBySecond {
		if i == 1 && excludeFlooding {
			continue
		}
		for _, s := range group[int(from)/secondNanos : int(to)/secondNanos] {
			total += s.stall
			count += s.count
		}
	}
	return meanMilli(total, count)
}

func meanMilli(total time.Duration, count int) float64 {
	if count == 0 {
		return 0
	}
	return total.Seconds() * 1000 / float64(count)
}

// Fill returns the fraction of the batch capacity of all executed steps that did useful work.
func (r *Result) Fill() float64 {
	if r.capacitySeconds == 0 {
		return 0
	}
	return r.usefulSeconds / r.capacitySeconds
}

// MaxLoadsWithin returns the maximum number of loads started in any span of the given length.
func (r *Result) MaxLoadsWithin(span time.Duration) (maximum int) {
	slices.Sort(r.loadStarts)
	first := 0
	for i, s := range r.loadStarts {
		for s-r.loadStarts[first] >= span {
			first++
		}
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

// LoadsBetween returns the number of loads started in a span of time.
func (r *Result) LoadsBetween(from, to time.Duration) (n int) {
	for _, s := range r.loadStarts {
		if s >= from && s < to {
			n++
		}
	}
	return n
}
