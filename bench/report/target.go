package report

import (
	"fmt"
	"strings"
	"time"

	"shallotring.dev/bench/workload"
)

const (
	recoveryTime = 30 * time.Second
	// recoveryWindow is the span after the recovery over which the stall is averaged, as long as the steady one before.
	recoveryWindow = 100 * time.Second
	goodputLoad    = 0.95
	overload       = 1.2
	// loadsInTenSeconds is the rate of the budget over ten seconds plus its burst of one second.
	loadsInTenSeconds = 44
)

// target is one bound of the design page: the figure must be at most the limit, or at least it if atLeast is set.
type target struct {
	name    string
	figure  float64
	limit   float64
	atLeast bool
}

func (t target) met() bool {
	if t.atLeast {
		return t.figure >= t.limit
	}
	return t.figure <= t.limit
}

func printTargets(w *strings.Builder, runs Runs) {
	fmt.Fprintln(w)
	for _, t := range targets(runs) {
		sign, verdict := "<=", "met"
		if t.atLeast {
			sign = ">="
		}
		if !t.met() {
			verdict = "not met"
		}
		fmt.Fprintf(w, "target: %-66s %8.3f %s %-6.4g %s\n", t.name, t.figure, sign, t.limit, verdict)
	}
}

func targets(runs Runs) (list []target) {
	list = append(list, comparison(runs, "lusolito", 0.5, 0.95)...)
	list = append(list, comparison(runs, "saloum", 0.7, 1)...)
	for _, name := range []string{"shift", "restart"} {
		list = append(list, recovery(runs, name)...)
	}
	for _, name := range []string{"slowstore", "flood"} {
		list = append(list, overloaded(runs, name)...)
	}
	return list
}

// comparison takes the best baseline for each measure, which need not be the same one.
func comparison(runs Runs, name string, stall, fill float64) []target {
	own := runs[Key{name, Own, FixedLoad}]
	bound := runs[Key{name, Clairvoyant, FixedLoad}]
	bestStall, bestFill := 0.0, 0.0
	for i, b := range baselines() {
		r := runs[Key{name, b, FixedLoad}]
		if i == 0 || r.Mean() < bestStall {
			bestStall = r.Mean()
		}
		bestFill = max(bestFill, r.Fill())
	}
	return []target{
		{name + " 80%: stall / best baseline", own.Mean() / bestStall, stall, false},
		{name + " 80%: fill / best baseline", own.Fill() / bestFill, fill, true},
		{name + " 80%: stall / clairvoyant", own.Mean() / bound.Mean(), 1.5, false},
	}
}

func recovery(runs Runs, name string) []target {
	r := runs[Key{name, Own, FixedLoad}]
	steady := r.Between(workload.WarmUp, workload.Event, false)
	from := workload.Event + recoveryTime
	calm := runs[Key{"lusolito", Own, FixedLoad}].Between(from, from+recoveryWindow, false)
	return []target{
		{name + " 80%: stall from 30 s after / steady", r.Between(from, from+recoveryWindow, false) / steady, 1.2, false},
		{name + " 80%: the same / that span without the fault", r.Between(from, from+recoveryWindow, false) / calm, 1.2, false},
		{name + " 80%: most loads in 10 s", float64(r.MostLoads(10 * time.Second)), loadsInTenSeconds, false},
		{name + " 80%: most loads in flight", float64(r.MostInFlight), 8, false},
	}
}

func overloaded(runs Runs, name string) (list []target) {
	before := runs[Key{name, Own, goodputLoad}]
	if name == "flood" {
		before = runs[Key{"lusolito", Own, goodputLoad}]
	}
	loads := []float64{overload}
	if name == "flood" {
		loads = []float64{FixedLoad, goodputLoad, overload}
	}
	for _, load := range loads {
		r := runs[Key{name, Own, load}]
		at := fmt.Sprintf("%s %.0f%%: ", name, load*100)
		list = append(list,
			target{at + "goodput / that at 95%", float64(r.Completed) / float64(before.Completed), 0.95, true},
			target{at + "longest queue of an engine", float64(r.MostQueued), 64, false},
			target{at + "refusals without a retry-after time", float64(r.NoRetryAfter), 0, false},
			target{at + "expired after acceptance / refused", float64(r.Late) / float64(max(r.Refused, 1)), 0.05, false},
		)
		if name == "flood" {
			calm := runs[Key{"lusolito", Own, load}]
			own := r.Between(workload.Event, workload.End, true)
			list = append(list, target{at + "others' stall / without the flood", own / calm.Between(workload.Event, workload.End, true), 1.2, false})
		}
	}
	return list
}
