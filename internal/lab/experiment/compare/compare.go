// Package compare compares two sides, each a scenario and a sidecar program, on the same seeds. It runs both sides on
// each seed, one after the other, and reports the mean of each figure, its differences paired by seed and their spread.
// The command is `marblelane lab compare`.
package compare

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

	"marblelane/internal/lab"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
)

// Side is one side of a comparison: a scenario and the sidecar program that it runs with.
type Side struct {
	Name     string
	Scenario *scenario.Scenario
	Program  string // path of the sidecar's executable
}

// Comparison is the result of running two sides on the same seeds.
type Comparison struct {
	A        string   `json:"a"`
	B        string   `json:"b"`
	Seeds    []uint64 `json:"seeds"`
	Pairs    []Pair   `json:"pairs"`
	Rows     []Row    `json:"figures"`
	BrokenA  int      `json:"rules_broken_a"` // runs of A that broke an invariant
	BrokenB  int      `json:"rules_broken_b"` // runs of B that broke an invariant
	LateRuns int      `json:"late"`           // runs that were discarded because the lab was late
}

// Pair has the figures of both sides on one seed. CPU and RSS are indexed by side.
type Pair struct {
	Seed uint64          `json:"seed"`
	A    measure.Figures `json:"a"`
	B    measure.Figures `json:"b"`
	CPU  [2]float64      `json:"cpu_s"`       // CPU seconds of all sidecars together
	RSS  [2]float64      `json:"peak_rss_mb"` // largest peak of a sidecar, in MiB
}

// Row summarizes one figure over all pairs. The differences, B - A, are paired by seed.
type Row struct {
	Name   string    `json:"name"`
	A      float64   `json:"a"`              // mean of side A
	B      float64   `json:"b"`              // mean of side B
	Diff   float64   `json:"difference"`     // mean difference
	Spread float64   `json:"spread"`         // standard deviation of the differences, 0 for one pair
	Error  float64   `json:"standard_error"` // standard error of Diff, 0 for one pair
	Min    float64   `json:"least"`          // smallest difference
	Max    float64   `json:"most"`           // largest difference
	diffs  []float64 // differences, by pair
}

// maxLateRuns is the number of late runs of a side on a seed after which the comparison fails.
const maxLateRuns = 3

// ErrLabLate is returned if the lab was late in all runs of a side on a seed, so that there is no comparison.
var ErrLabLate = errors.New("the lab was late in every run: the machine is too busy")

// Run runs both sides on consecutive seeds, beginning with first. The sides take turns in going first, so that a change
// of the machine's load favours neither. A run in which the lab was late is repeated with the same seed.
func Run(ctx context.Context, a, b Side, first uint64, runs int, o harness.Options) (*Comparison, error) {
	c := &Comparison{A: a.Name, B: b.Name}
	sides := [2]Side{a, b}
	for k := range runs {
		pair := Pair{Seed: first + uint64(k)}
		order := [2]int{0, 1}
		if k%2 == 1 {
			order = [2]int{1, 0}
		}
		for _, side := range order {
			if err := c.runSide(ctx, sides[side], side, &pair, o); err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", sides[side].Name, pair.Seed, err)
			}
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "run %d of %d, seed %d, %s: %.2f%% in aim\n", k+1, runs, pair.Seed,
					sides[side].Name, 100*pair.figures(side).InObjective)
			}
		}
		c.Seeds = append(c.Seeds, pair.Seed)
		c.Pairs = append(c.Pairs, pair)
	}
	c.computeRows()
	return c, nil
}

// runSide runs side s of a pair and stores its figures in the pair. side is its number: 0 for A, 1 for B.
func (c *Comparison) runSide(ctx context.Context, s Side, side int, pair *Pair, o harness.Options) error {
	completed, late, err := runUntilOnTime(ctx, s, pair.Seed, o)
	c.LateRuns += late
	if err != nil {
		return err
	}
	*pair.figures(side) = completed.Result.Figures
	for _, p := range completed.Result.Sidecars {
		pair.CPU[side] += p.CPU
		pair.RSS[side] = max(pair.RSS[side], p.PeakRSS)
	}
	if len(completed.Verdict.Broken()) > 0 {
		if side == 0 {
			c.BrokenA++
		} else {
			c.BrokenB++
		}
	}
	return nil
}

// runUntilOnTime runs a side until the lab was not late, at most maxLateRuns times. It also returns the number of late
// runs.
func runUntilOnTime(ctx context.Context, side Side, seed uint64, o harness.Options) (*report.Report, int, error) {
	for late := range maxLateRuns {
		o := o
		o.Seed, o.Program, o.Progress = seed, side.Program, nil
		if o.Dir != "" {
			o.Dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%d", filepath.Base(side.Name), seed))
		}
		completed, err := lab.Run(ctx, side.Scenario, o)
		if err != nil {
			return nil, late, err
		}
		if outcome, _ := completed.Outcome(); outcome != report.Late {
			return completed, late, nil
		}
	}
	return nil, maxLateRuns, ErrLabLate
}

// comparedFigures are the figures of a comparison, in the order of its rows.
var comparedFigures = []struct {
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
}

// computeRows computes the rows from the pairs.
func (c *Comparison) computeRows() {
	for _, figure := range comparedFigures {
		r := Row{Name: figure.name, Min: math.Inf(1), Max: math.Inf(-1)}
		n := float64(len(c.Pairs))
		for i := range c.Pairs {
			a, b := figure.of(&c.Pairs[i], 0), figure.of(&c.Pairs[i], 1)
			r.A, r.B, r.Diff = r.A+a/n, r.B+b/n, r.Diff+(b-a)/n
			r.diffs = append(r.diffs, b-a)
			r.Min, r.Max = math.Min(r.Min, b-a), math.Max(r.Max, b-a)
		}
		for _, diff := range r.diffs {
			r.Spread += (diff - r.Diff) * (diff - r.Diff)
		}
		if n > 1 {
			r.Spread = math.Sqrt(r.Spread / (n - 1))
			r.Error = r.Spread / math.Sqrt(n)
		}
		c.Rows = append(c.Rows, r)
	}
}

// figures returns the figures of side s: 0 for A, 1 for B.
func (p *Pair) figures(s int) *measure.Figures {
	if s == 0 {
		return &p.A
	}
	return &p.B
}

// Print writes the comparison as a table.
func (c *Comparison) Print(w io.Writer) {
	fmt.Fprintf(w, "A = %s, B = %s, %d runs each, seeds %d to %d\n\n", c.A, c.B, len(c.Pairs), c.Seeds[0], c.Seeds[len(c.Seeds)-1])
	fmt.Fprintf(w, "%-18s %10s %10s %10s %10s %22s\n", "mean of", "A", "B", "B - A", "spread", "least .. most")
	for _, r := range c.Rows {
		fmt.Fprintf(w, "%-18s %10.4f %10.4f %+10.4f %10.4f %+10.4f .. %+.4f\n", r.Name, r.A, r.B, r.Diff, r.Spread, r.Min, r.Max)
	}
	fmt.Fprintf(w, "\nruns that broke an invariant: A %d, B %d; runs discarded because the lab was late: %d\n", c.BrokenA, c.BrokenB, c.LateRuns)
}

// Plot writes compare.png and compare.svg to dir: the differences of the first four figures, one point per seed, with
// their mean.
func (c *Comparison) Plot(dir string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s minus %s, one point per seed", c.B, c.A)
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
		dots.Color, dots.Shape = report.GoodColour, draw.CircleGlyph{}
		mean, err := plotter.NewLine(plotter.XYs{{X: float64(i) - 0.25, Y: r.Diff}, {X: float64(i) + 0.25, Y: r.Diff}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		mean.Color, mean.Width = report.FailedColour, vg.Points(1.5)
		p.Add(dots, mean)
		names = append(names, r.Name)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(names...)
	for _, form := range []string{".png", ".svg"} {
		if err := p.Save(report.PlotWidth, report.PlotHeight, filepath.Join(dir, "compare"+form)); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	return nil
}
