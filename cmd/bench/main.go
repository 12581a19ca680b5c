// Command bench drives the decision code against fake endpoints on a simulated clock.
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
		Plot     string `help:"Write the plot of stall against load to this SVG file."`
		Ablation bool   `help:"Also take each part of the policy out in turn." default:"true" negatable:""`
	}
	c := kong.Parse(&flags, kong.Name("bench"), kong.Description("Measures the decisions under load on a simulated clock."))
	specs := workload.Specs()
	runs := report.Matrix(specs, report.Loads, report.Policies())
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
