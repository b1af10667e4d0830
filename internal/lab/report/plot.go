package report

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"marblelane/internal/lab/measure"
)

// The size of each plot.
const (
	PlotWidth  = 24 * vg.Centimeter
	PlotHeight = 10 * vg.Centimeter
)

// The colours of what is served, failed and rejected, distinguishable with common colour vision deficiencies (Okabe and
// Ito, 2008), and of fault spans.
var (
	GoodColour     = color.RGBA{0, 114, 178, 255}
	FailedColour   = color.RGBA{213, 94, 0, 255}
	rejectedColour = color.RGBA{230, 159, 0, 255}
	faultColour    = color.NRGBA{120, 120, 120, 50}
)

// savePlots saves the report's plots as PNG and SVG in a folder.
func (r *Report) savePlots(dir string) error {
	for name, draw := range map[string]func() (*plot.Plot, error){
		"timeline": r.timelinePlot, "latency": r.latencyPlot, "servers": r.serversPlot,
	} {
		p, err := draw()
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		for _, form := range []string{".png", ".svg"} {
			if err := p.Save(PlotWidth, PlotHeight, filepath.Join(dir, name+form)); err != nil {
				return fmt.Errorf("plot %s: %w", name+form, err)
			}
		}
	}
	return nil
}

// title returns the title of a plot.
func (r *Report) title(what string) string {
	return fmt.Sprintf("%s, seed %d: %s", r.Scenario, r.Seed, what)
}

// timelinePlot plots the fractions served, rejected and failed over time, with the faults as grey spans.
func (r *Report) timelinePlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.title("share of worth in aim, of tries refused and failed")
	p.X.Label.Text = "s"
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, 1.02, 0, r.LengthS
	if err := markFaults(p, r.Result.Faults, 1.02); err != nil {
		return nil, err
	}
	for _, one := range []struct {
		name   string
		colour color.Color
		of     func(*measure.Window) float64
	}{
		{"in aim", GoodColour, func(w *measure.Window) float64 { return w.InObjective }},
		{"refused", rejectedColour, func(w *measure.Window) float64 { return w.Rejected }},
		{"failed", FailedColour, func(w *measure.Window) float64 { return w.Failed }},
	} {
		points := make(plotter.XYs, len(r.Result.Timeline))
		for i := range r.Result.Timeline {
			w := &r.Result.Timeline[i]
			points[i] = plotter.XY{X: w.From, Y: one.of(w)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = one.colour, vg.Points(1.5)
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(one.name, line)
	}
	p.Legend.YOffs = PlotHeight / 3 // places the legend between the lines near 1 and the lines near 0
	return p, nil
}

// markFaults draws a grey span for each fault that lasts, and a dashed line for each momentary one.
func markFaults(p *plot.Plot, faults []measure.FaultSpan, top float64) error {
	for _, f := range faults {
		if f.To <= f.From {
			line, err := plotter.NewLine(plotter.XYs{{X: f.From, Y: 0}, {X: f.From, Y: top}})
			if err != nil {
				return err
			}
			line.Color, line.Dashes = color.Gray{100}, []vg.Length{vg.Points(3), vg.Points(3)}
			p.Add(line)
		} else {
			span, err := plotter.NewPolygon(plotter.XYs{{X: f.From, Y: 0}, {X: f.To, Y: 0}, {X: f.To, Y: top}, {X: f.From, Y: top}})
			if err != nil {
				return err
			}
			span.Color, span.LineStyle.Width = faultColour, 0
			p.Add(span)
		}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.From, Y: 0.02 * top}}, Labels: []string{f.Text}})
		if err != nil {
			return err
		}
		label.TextStyle[0].Rotation = math.Pi / 2
		p.Add(label)
	}
	return nil
}

// latencyPlot plots the latency of served responses by percentile.
func (r *Report) latencyPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.title("latency of served responses, from the planned time")
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	var points plotter.XYs
	var ticks []plot.Tick
	for _, s := range r.Result.Percentiles {
		if s.Quantile >= 100 || s.Quantile <= 0 {
			continue
		}
		x := -math.Log10(1 - s.Quantile/100) // the axis has the same length for each additional nine
		points = append(points, plotter.XY{X: x, Y: s.MS})
		ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprintf("%g", s.Quantile)})
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return nil, err
	}
	line.Color, dots.Color = GoodColour, GoodColour
	p.Add(plotter.NewGrid(), line, dots)
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min = 0
	return p, nil
}

// serversPlot plots the percentage of the attempts that each server got.
func (r *Report) serversPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.title("share of attempts at each server")
	p.X.Label.Text, p.Y.Label.Text = "server", "%"
	sum := 0
	for _, n := range r.Result.Servers {
		sum += n
	}
	values := make(plotter.Values, len(r.Result.Servers))
	for i, n := range r.Result.Servers {
		values[i] = 100 * float64(n) / float64(max(sum, 1))
	}
	bars, err := plotter.NewBarChart(values, max(vg.Points(1), 0.7*PlotWidth/vg.Length(len(values)+2)))
	if err != nil {
		return nil, err
	}
	bars.Color, bars.LineStyle.Width = GoodColour, 0
	p.Add(bars)
	p.Y.Min = 0
	return p, nil
}
