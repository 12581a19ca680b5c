package report

import (
	"fmt"
	"strings"
	"time"

	"shallotring.dev/bench/workload"
)

const (
	// recoveryLimit is the time after a fault by which the stall must have recovered.
	recoveryLimit = 30 * time.Second
	// recoveredSpan is the time after recoveryLimit over which the stall is averaged. It is as long as the measured span before the
	// fault.
	recoveredSpan = 100 * time.Second
	// goodputLoad and overloadedLoad are elements of LoadFractions. At overloadedLoad, the engines must complete about as many requests as
	// at goodputLoad.
	goodputLoad    = 0.95
	overloadedLoad = 1.2
	// maxLoadsInTenSeconds is the number of loads that the budget allows in ten seconds, plus its burst of one second.
	maxLoadsInTenSeconds = 44
)

// target is one target of the design page: the value must be at most the limit, or at least the limit if atLeast is set.
type target struct {
	name    string
	value   float64
	limit   float64
	atLeast bool
}

func (t target) met() bool {
	if t.atLeast {
		return t.value >= t.limit
	}
	return t.value <= t.limit
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
		fmt.Fprintf(w, "target: %-66s %8.3f %s %-6.4g %s\n", t.name, t.value, sign, t.limit, verdict)
	}
}

func targets(runs Runs) (list []target) {
	list = append(list, comparisonTargets(runs, "lusolito", 0.5, 0.95)...)
	list = append(list, comparisonTargets(runs, "saloum", 0.7, 1)...)
	for _, name := range []string{"shift", "restart"} {
		list = append(list, recoveryTargets(runs, name)...)
	}
	for _, name := range []string{"slowstore", "flood"} {
		list = append(list, overloadTargets(runs, name)...)
	}
	return list
}

// comparisonTargets compares with the best baseline for each measure, which need not be the same one for both.
func comparisonTargets(runs Runs, name string, stallLimit, fillLimit float64) []target {
	own := runs[Key{name, Shallotring, FixedLoad}]
	clairvoyant := runs[Key{name, Clairvoyant, FixedLoad}]
	bestStall, bestFill := 0.0, 0.0
	for i, b := range baselines() {
		r := runs[Key{name, b, FixedLoad}]
		if i == 0 || r.MeanStall() < bestStall {
			bestStall = r.MeanStall()
		}
		bestFill = max(bestFill, r.Fill())
	}
	return []target{
		{name + " 80%: stall / best baseline", own.MeanStall() / bestStall, stallLimit, false},
		{name + " 80%: fill / best baseline", own.Fill() / bestFill, fillLimit, true},
		{name + " 80%: stall / clairvoyant", own.MeanStall() / clairvoyant.MeanStall(), 1.5, false},
	}
}

// recoveryTargets compares the stall from recoveryLimit after a fault on with the stall before it and with the same span of a run
// without the fault.
func recoveryTargets(runs Runs, name string) []target {
	r := runs[Key{name, Shallotring, FixedLoad}]
	steady := r.MeanStallBetween(workload.WarmUp, workload.FaultTime, false)
	from := workload.FaultTime + recoveryLimit
	withoutFault := runs[Key{"lusolito", Shallotring, FixedLoad}].MeanStallBetween(from, from+recoveredSpan, false)
	return []target{
		{name + " 80%: stall from 30 s after / steady", r.MeanStallBetween(from, from+recoveredSpan, false) / steady, 1.2, false},
		{name + " 80%: the same / that span without the fault", r.MeanStallBetween(from, from+recoveredSpan, false) / withoutFault,
			1.2, false},
		{name + " 80%: most loads in 10 s", float64(r.MaxLoadsWithin(10 * time.Second)), maxLoadsInTenSeconds, false},
		{name + " 80%: most loads in flight", float64(r.MaxLoadsInFlight), 8, false},
	}
}

// overloadTargets compares the goodput with that at goodputLoad and limits the queue length, the refusals without a retry-after time,
// the accepted requests that expire and, for the workload flood, the stall of the other callers.
func overloadTargets(runs Runs, name string) (list []target) {
	reference := runs[Key{name, Shallotring, goodputLoad}]
	if name == "flood" {
		reference = runs[Key{"lusolito", Shallotring, goodputLoad}]
	}
	loads := []float64{overloadedLoad}
	if name == "flood" {
		loads = []float64{FixedLoad, goodputLoad, overloadedLoad}
	}
	for _, load := range loads {
		r := runs[Key{name, Shallotring, load}]
		prefix := fmt.Sprintf("%s %.0f%%: ", name, load*100)
		list = append(list,
			target{prefix + "goodput / that at 95%", float64(r.Completed) / float64(reference.Completed), 0.95, true},
			target{prefix + "longest queue of an engine", float64(r.MaxQueued), 64, false},
			target{prefix + "refusals without a retry-after time", float64(r.RefusalsWithoutRetryAfter), 0, false},
			target{prefix + "expired after acceptance / refused", float64(r.Expired) / float64(max(r.Refused, 1)), 0.05, false},
		)
		if name == "flood" {
			withoutFlood := runs[Key{"lusolito", Shallotring, load}]
			others := r.MeanStallBetween(workload.FaultTime, workload.End, true)
			list = append(list, target{prefix + "others' stall / without the flood",
				others / withoutFlood.MeanStallBetween(workload.FaultTime, workload.End, true), 1.2, false})
		}
	}
	return list
}
