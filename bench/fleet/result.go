package fleet

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotring.dev/bench/workload"
)

const second = int(time.Second)

// Result is the measurement of one run.
type Result struct {
	stall     *hdrhistogram.Histogram
	bySecond  [2][int(workload.End) / second]sum
	Completed int
	Refused   int
	// Late counts the refused requests that had been accepted and then passed their deadline; the others were refused at once.
	Late         int
	NoRetryAfter int
	Loads        int
	// Replicas counts the loads of adapters that another engine had or was loading.
	Replicas     int
	MostInFlight int
	MostQueued   int
	useful, busy float64
	starts       []time.Duration
	// Slowest is the time of the slowest refusal that came with a retry-after time.
	Slowest time.Duration
}

type sum struct {
	stall time.Duration
	count int
}

func newResult() *Result {
	return &Result{stall: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)}
}

func (r *Result) load(now time.Duration, inFlight int) {
	r.starts = append(r.starts, now)
	r.MostInFlight = max(r.MostInFlight, inFlight)
	if now >= workload.WarmUp && now < workload.End {
		r.Loads++
	}
}

func (r *Result) stalled(p *Request, stall time.Duration) {
	s := &r.bySecond[flood(p)][int(p.At)/second]
	s.stall += stall
	s.count++
	if p.measured() {
		_ = r.stall.RecordValue(min(stall.Microseconds(), r.stall.HighestTrackableValue()))
	}
}

func flood(p *Request) int {
	if p.Flood || p.Caller == "caller-0" {
		return 1
	}
	return 0
}

// step adds the time of one engine step: used is the part of it spent on useful work times the sequences that had it.
func (r *Result) step(now, took time.Duration, used float64) {
	if now >= workload.WarmUp && now < workload.End {
		r.useful += used
		r.busy += took.Seconds() * workload.BatchSize
	}
}

// Mean returns the mean stall in milliseconds of the accepted requests, the expired ones included.
func (r *Result) Mean() float64 {
	total, count := time.Duration(0), 0
	for _, group := range r.bySecond {
		for _, s := range group[int(workload.WarmUp)/second:] {
			total += s.stall
			count += s.count
		}
	}
	return mean(total, count)
}

// P95 returns the 95th percentile of the stall in milliseconds.
func (r *Result) P95() float64 { return float64(r.stall.ValueAtQuantile(95)) / 1000 }

// Between returns the mean stall in milliseconds of requests that arrived in a span of time; others leaves the flooding
// caller out.
func (r *Result) Between(from, to time.Duration, others bool) float64 {
	total, count := time.Duration(0), 0
	for i, group := range r.bySecond {
		if i == 1 && others {
			continue
		}
		for _, s := range group[int(from)/second : int(to)/second] {
			total += s.stall
			count += s.count
		}
	}
	return mean(total, count)
}

func mean(total time.Duration, count int) float64 {
	if count == 0 {
		return 0
	}
	return total.Seconds() * 1000 / float64(count)
}

// Fill returns the part of the batch capacity of executed steps that did useful work.
func (r *Result) Fill() float64 {
	if r.busy == 0 {
		return 0
	}
	return r.useful / r.busy
}

// MostLoads returns the largest number of loads begun in any span of the given length.
func (r *Result) MostLoads(span time.Duration) (most int) {
	slices.Sort(r.starts)
	first := 0
	for i, s := range r.starts {
		for s-r.starts[first] >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// LoadsBetween returns the number of loads begun in a span of time.
func (r *Result) LoadsBetween(from, to time.Duration) (n int) {
	for _, s := range r.starts {
		if s >= from && s < to {
			n++
		}
	}
	return n
}
