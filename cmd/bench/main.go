// Command bench runs the benchmark of placement and routing decisions, with fake endpoints and a simulated clock, and the
// measurements of separate processes.
package main

import (
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"shallotring.dev/bench/report"
	"shallotring.dev/bench/workload"
)

func main() {
	if measure(os.Args[1:]) {
		return
	}
	var flags struct {
		Plot     string `help:"Write a plot of stall time against load to this SVG file."`
		Ablation bool   `help:"Also run the benchmark with each part of the policy removed in turn." default:"true" negatable:""`
	}
	c := kong.Parse(&flags, kong.Name("bench"), kong.Description("Measures the placement and routing decisions under load on a simulated clock."))
	specs := workload.Specs()
	runs := report.Matrix(specs, report.LoadFractions, report.Policies())
	var out strings.Builder
	if flags.Ablation {
		report.PrintAblation(&out, specs, report.Matrix(specs, []float64{report.FixedLoad}, report.Ablations()))
	}
	if flags.Plot != "" {
		c.FatalIfErrorf(report.Plot(flags.Plot, "lusolito", runs))
	}
	report.Print(&out, specs, runs)
	_, err := io.WriteString(os.Stdout, out.String())
	c.FatalIfErrorf(err)
}
