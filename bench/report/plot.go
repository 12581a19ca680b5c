package report

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// smallestStall, in milliseconds, is drawn for smaller values, because zero cannot be shown on a logarithmic axis.
	smallestStall = 0.1
)

// Plot writes an SVG file with the mean stall over the load of one workload for all policies.
func Plot(path, workload string, runs Runs) (err error) {
	defer func() { err = eris.Wrap(err, "plot the mean stall") }()
	p := plot.New()
	p.Title.Text = workload + ": mean load stall"
	p.X.Label.Text = "load in percent of capacity"
	p.Y.Label.Text = "mean stall in ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, x := range Policies() {
		points := make(plotter.XYs, 0, len(LoadFractions))
		for _, load := range LoadFractions {
			points = append(points, plotter.XY{X: load * 100, Y: max(runs[Key{workload, x.Name, load}].MeanStall(), smallestStall)})
		}
		lines = append(lines, x.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
