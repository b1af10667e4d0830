package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/scenario"
)

// Side is one of two things that are compared: a scenario played with a program.
type Side struct {
	Name     string
	Scenario *scenario.Scenario
	Program  string
}

// Comparison is two sides played in turn on the same seeds.
type Comparison struct {
	A         string   `json:"a"`
	B         string   `json:"b"`
	Seeds     []uint64 `json:"seeds"`
	Pairs     []Pair   `json:"pairs"`
	Rows      []Row    `json:"figures"`
	BrokenA   int      `json:"rules_broken_a"` // plays with a broken rule
	BrokenB   int      `json:"rules_broken_b"`
	LatePlays int      `json:"late"` // plays that did not count and were played again
}

// Pair is the figures of both sides on one seed.
type Pair struct {
	Seed uint64          `json:"seed"`
	A    measure.Figures `json:"a"`
	B    measure.Figures `json:"b"`
	CPU  [2]float64      `json:"cpu_s"` // of all sidecars together
	RSS  [2]float64      `json:"peak_rss_mb"`
}

// Row is one figure over all pairs. The spread is the standard deviation of the differences, which are paired by
// seed; Error is the standard error of their mean.
type Row struct {
	Name   string  `json:"name"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	Diff   float64 `json:"difference"`
	Spread float64 `json:"spread"`
	Error  float64 `json:"standard_error"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
	diffs  []float64
}

// mostLate is how often a play that the lab was late for is played again.
const maxLatePlays = 3

var errLabLate = errors.New("the machine is too busy: the lab was late again and again")

// Compare plays both sides on plays seeds from the first on. Which side goes first alternates, so that what changes
// on the machine with time is no one's advantage.
func Compare(ctx context.Context, a, b Side, first uint64, plays int, o Options) (*Comparison, error) {
	c := &Comparison{A: a.Name, B: b.Name}
	for k := range plays {
		seed := first + uint64(k)
		pair := Pair{Seed: seed}
		order := [2]int{0, 1}
		if k%2 == 1 {
			order = [2]int{1, 0}
		}
		for _, which := range order {
			side := [2]Side{a, b}[which]
			rep, late, err := playUntilOnTime(ctx, side, seed, o)
			c.LatePlays += late
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", side.Name, seed, err)
			}
			broken := len(rep.Verdict.Broken()) > 0
			cpu, rss := 0.0, 0.0
			for _, p := range rep.Result.Sidecars {
				cpu, rss = cpu+p.CPU, max(rss, p.PeakRSS)
			}
			pair.CPU[which], pair.RSS[which] = cpu, rss
			if which == 0 {
				pair.A = rep.Result.Figures
				c.BrokenA += one(broken)
			} else {
				pair.B = rep.Result.Figures
				c.BrokenB += one(broken)
			}
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "play %d of %d, seed %d, %s: %.2f%% in aim\n", k+1, plays, seed, side.Name, 100*rep.Result.Figures.InObjective)
			}
		}
		c.Seeds = append(c.Seeds, seed)
		c.Pairs = append(c.Pairs, pair)
	}
	c.computeRows()
	return c, nil
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// counted plays a side until the lab was not late.
func playUntilOnTime(ctx context.Context, side Side, seed uint64, o Options) (*Report, int, error) {
	for late := range maxLatePlays {
		o := o
		o.Seed, o.Program, o.Progress = seed, side.Program, nil
		if o.Dir != "" {
			o.Dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%d", filepath.Base(side.Name), seed))
		}
		rep, err := Run(ctx, side.Scenario, o)
		if err != nil {
			return nil, late, err
		}
		if end, _ := rep.Outcome(); end != Late {
			return rep, late, nil
		}
	}
	return nil, maxLatePlays, errLabLate
}

// sum works out the rows.
func (c *Comparison) computeRows() {
	for _, f := range []struct {
		name string
		of   func(p *Pair, side int) float64
	}{
		{"in aim", func(p *Pair, s int) float64 { return p.figures(s).InObjective }},
		{"worst 5 s in aim", func(p *Pair, s int) float64 { return p.figures(s).WorstInObjective }},
		{"refused", func(p *Pair, s int) float64 { return p.figures(s).Rejected }},
		{"failed", func(p *Pair, s int) float64 { return p.figures(s).Failed }},
		{"tries a request", func(p *Pair, s int) float64 { return p.figures(s).ClientAttempts }},
		{"attempts a try", func(p *Pair, s int) float64 { return p.figures(s).ServerAttempts }},
		{"cross-zone", func(p *Pair, s int) float64 { return p.figures(s).CrossZone }},
		{"waste", func(p *Pair, s int) float64 { return p.figures(s).Waste }},
		{"p50 ms", func(p *Pair, s int) float64 { return p.figures(s).P50 }},
		{"p99 ms", func(p *Pair, s int) float64 { return p.figures(s).P99 }},
		{"sidecars' CPU s", func(p *Pair, s int) float64 { return p.CPU[s] }},
		{"peak RSS MB", func(p *Pair, s int) float64 { return p.RSS[s] }},
	} {
		r := Row{Name: f.name, Min: math.Inf(1), Max: math.Inf(-1)}
		n := float64(len(c.Pairs))
		for i := range c.Pairs {
			a, b := f.of(&c.Pairs[i], 0), f.of(&c.Pairs[i], 1)
			r.A, r.B, r.Diff = r.A+a/n, r.B+b/n, r.Diff+(b-a)/n
			r.diffs = append(r.diffs, b-a)
			r.Min, r.Max = math.Min(r.Min, b-a), math.Max(r.Max, b-a)
		}
		for _, d := range r.diffs {
			r.Spread += (d - r.Diff) * (d - r.Diff)
		}
		if n > 1 {
			r.Spread = math.Sqrt(r.Spread / (n - 1))
			r.Error = r.Spread / math.Sqrt(n)
		}
		c.Rows = append(c.Rows, r)
	}
}

func (p *Pair) figures(s int) *measure.Figures {
	if s == 0 {
		return &p.A
	}
	return &p.B
}

// Print writes the comparison as a table.
func (c *Comparison) Print(w io.Writer) {
	fmt.Fprintf(w, "A = %s, B = %s, %d plays each, seeds %d to %d\n\n", c.A, c.B, len(c.Pairs), c.Seeds[0], c.Seeds[len(c.Seeds)-1])
	fmt.Fprintf(w, "%-18s %10s %10s %10s %10s %22s\n", "mean of", "A", "B", "B - A", "spread", "least .. most")
	for _, r := range c.Rows {
		fmt.Fprintf(w, "%-18s %10.4f %10.4f %+10.4f %10.4f %+10.4f .. %+.4f\n", r.Name, r.A, r.B, r.Diff, r.Spread, r.Min, r.Max)
	}
	fmt.Fprintf(w, "\nplays with a broken rule: A %d, B %d; plays that did not count, as the lab was late: %d\n", c.BrokenA, c.BrokenB, c.LatePlays)
}

// Plot draws the difference of each seed for the shares, as PNG and SVG.
func (c *Comparison) Plot(dir string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s minus %s, one point a seed", c.B, c.A)
	var names []string
	for i, r := range c.Rows[:4] {
		points := make(plotter.XYs, len(r.diffs))
		for k, d := range r.diffs {
			points[k] = plotter.XY{X: float64(i) + 0.3*(float64(k)+0.5)/float64(len(r.diffs)) - 0.15, Y: d}
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		dots.Color, dots.Shape = goodColour, draw.CircleGlyph{}
		mean, err := plotter.NewLine(plotter.XYs{{X: float64(i) - 0.25, Y: r.Diff}, {X: float64(i) + 0.25, Y: r.Diff}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		mean.Color, mean.Width = failedColour, vg.Points(1.5)
		p.Add(dots, mean)
		names = append(names, r.Name)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(names...)
	for _, form := range []string{".png", ".svg"} {
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, "compare"+form)); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	return nil
}
