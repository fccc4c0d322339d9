package floodsim

import (
	"io"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// legendMargin is the distance of the legend from the right edge.
	legendMargin = 3 * vg.Millimeter
)

// WritePlot writes the goodput by rank over time as SVG: solid lines for
// Skylarkhinge, dashed lines for the baseline scheduler.
func (r Report) WritePlot(w io.Writer, deployment, scenario, baseline string) error {
	p := plot.New()
	p.Title.Text = deployment + ", " + scenario + ": goodput of first tries"
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "part of capacity"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	p.Legend.XOffs = -legendMargin
	for i, scheduler := range []string{Skylarkhinge, baseline} {
		run, ok := r.Find(deployment, scenario, scheduler)
		if !ok {
			return oops.With("deployment", deployment, "scenario", scenario, "scheduler", scheduler).
				Errorf("plot: no such run")
		}
		if err := addLines(p, run, i == 1); err != nil {
			return oops.Wrapf(err, "plot %s", scenario)
		}
	}
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return oops.Wrapf(err, "plot %s", scenario)
	}
	_, err = to.WriteTo(w)
	return oops.Wrapf(err, "write plot %s", scenario)
}

// addLines adds one line per rank of the run.
func addLines(p *plot.Plot, run RunResult, dashed bool) error {
	for rank, values := range run.Series {
		points := make(plotter.XYs, len(values))
		for i, v := range values {
			points[i] = plotter.XY{X: float64(i) * run.SeriesStep.Seconds(), Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return oops.Wrapf(err, "line of rank %d", rank)
		}
		line.Color = plotutil.Color(rank)
		if dashed {
			line.Dashes = plotutil.Dashes(1)
		}
		p.Add(line)
		p.Legend.Add(run.Scheduler+" "+Ranks()[rank].Name, line)
	}
	return nil
}
