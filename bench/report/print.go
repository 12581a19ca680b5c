package report

import (
	"fmt"
	"strings"
	"time"

	"shallotring.dev/bench/workload"
)

// Print writes the definition of capacity, the tables of all loads, the recovery after a fault and the targets, and at the end one
// result line in a fixed format for each workload and policy at FixedLoad.
func Print(w *strings.Builder, specs []workload.Spec, runs Runs) {
	printCapacity(w, specs)
	for _, s := range specs {
		printTable(w, s.Name, runs)
	}
	printRecovery(w, runs)
	printTargets(w, runs)
	fmt.Fprintln(w)
	for _, s := range specs {
		for _, p := range Policies() {
			r := runs[Key{s.Name, p.Name, FixedLoad}]
			fmt.Fprintf(w, "bench: workload=%s policy=%s stall_ms_mean=%.1f stall_ms_p95=%.1f fill=%.3f completed=%d refused=%d\n",
				s.Name, p.Name, r.MeanStall(), r.P95Stall(), r.Fill(), r.Completed, r.Refused)
		}
	}
}

func printCapacity(w *strings.Builder, specs []workload.Spec) {
	fmt.Fprintln(w, "capacity: requests per second, the smaller one of batch (full batches, cached prompt prefixes) and load (healthy")
	fmt.Fprintln(w, "store fully used while each slot holds another one of the most popular adapters)")
	for _, s := range specs {
		fmt.Fprintf(w, "capacity: workload=%s batch=%.1f load=%.1f used=%.1f\n", s.Name, s.BatchCapacity(), s.LoadCapacity(), s.Capacity())
	}
}

func printTable(w *strings.Builder, name string, runs Runs) {
	fmt.Fprintf(w, "\n%-10s %-15s %5s %10s %10s %6s %9s %8s %7s %6s %8s %7s %9s %9s %6s\n", "workload", "policy", "load", "stall mean",
		"stall p95", "fill", "completed", "refused", "expired", "loads", "replicas", "loads/s", "in 10 s", "in flight", "queue")
	for _, load := range LoadFractions {
		for _, p := range Policies() {
			r := runs[Key{name, p.Name, load}]
			fmt.Fprintf(w, "%-10s %-15s %4.0f%% %10.1f %10.1f %6.3f %9d %8d %7d %6d %8d %7.2f %9d %9d %6d\n", name, p.Name, load*100,
				r.MeanStall(), r.P95Stall(), r.Fill(), r.Completed, r.Refused, r.Expired, r.Loads, r.Replicas,
				float64(r.Loads)/(workload.End-workload.WarmUp).Seconds(), r.MaxLoadsWithin(10*time.Second), r.MaxLoadsInFlight, r.MaxQueued)
		}
	}
}

// PrintAblation writes the results of the project's policy without each of its parts.
func PrintAblation(w *strings.Builder, specs []workload.Spec, runs Runs) {
	fmt.Fprintf(w, "\nablation at %.0f%%: mean stall in ms and fill\n%-28s", FixedLoad*100, "")
	for _, s := range specs {
		fmt.Fprintf(w, " %19s", s.Name)
	}
	for _, p := range Ablations() {
		fmt.Fprintf(w, "\n%-28s", p.Name)
		for _, s := range specs {
			r := runs[Key{s.Name, p.Name, FixedLoad}]
			fmt.Fprintf(w, " %12.1f %6.3f", r.MeanStall(), r.Fill())
		}
	}
	fmt.Fprintln(w)
}

// printRecovery writes the mean stall and the loads in ten-second spans around the fault.
func printRecovery(w *strings.Builder, runs Runs) {
	const span = 10 * time.Second
	fmt.Fprintf(w, "\nmean stall in ms by arrival, and loads, at %.0f%%, seconds after the fault", FixedLoad*100)
	line := func(name, policy, unit string, value func(from time.Duration) float64) {
		fmt.Fprintf(w, "\n%-10s %-15s %-6s", name, policy, unit)
		for at := -2 * span; at < 10*span; at += span {
			fmt.Fprintf(w, " %6.0f", value(workload.FaultTime+at))
		}
	}
	for _, name := range []string{"shift", "restart"} {
		line(name, "", "s", func(from time.Duration) float64 { return (from - workload.FaultTime).Seconds() })
		for _, p := range Policies() {
			r := runs[Key{name, p.Name, FixedLoad}]
			line(name, p.Name, "stall", func(from time.Duration) float64 { return r.MeanStallBetween(from, from+span, false) })
			line(name, p.Name, "loads", func(from time.Duration) float64 { return float64(r.LoadsBetween(from, from+span)) })
		}
	}
	fmt.Fprintln(w)
}
