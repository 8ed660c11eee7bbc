package plotter

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size, resolution and range of a plot.
const (
	width      = 16 * vg.Centimeter
	height     = 10 * vg.Centimeter
	plotPoints = 200
	maxNines   = 3.0 // the horizontal axis ends at 99.9 %
)

// PlotQuantiles writes a PNG file with the latency quantiles of each row. The horizontal axis is logarithmic in the distance to
// 100 %, so that the tail takes most of the plot.
func PlotQuantiles(path, title string, rows []Row) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "share of answers"
	p.Y.Label.Text = "latency from the intended send time, ms"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: -math.Log10(0.5), Label: "50 %"}, {Value: 1, Label: "90 %"}, {Value: 2, Label: "99 %"}, {Value: 3, Label: "99.9 %"}}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, r := range rows {
		if r.Report.Latency.TotalCount() == 0 {
			continue
		}
		points := make(plotter.XYs, plotPoints)
		for j := range points {
			x := maxNines * float64(j) / (plotPoints - 1)
			points[j].X = x
			points[j].Y = float64(r.Report.Latency.ValueAtQuantile(100*(1-math.Pow(10, -x)))) / 1000
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(r.Name, l)
	}
	return eris.Wrapf(p.Save(width, height, path), "plot %s", path)
}
