// Package growth compares what a sidecar uses in a large fleet with what it uses in one of the usual size, and holds both
// against the growth table of the acceptance page. One real sidecar runs through days before stand-in servers that are
// replaced; whole fleets run through days on a simulated clock. The command is `marblelane lab growth`.
package growth

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"marblelane/internal/lab/harness"
)

// Size is how large a fleet is.
type Size struct {
	Sidecars int `json:"sidecars"`
	Servers  int `json:"servers"`
}

// The sizes that the growth table of the acceptance page compares.
var (
	UsualSize   = Size{Sidecars: 300, Servers: 200}
	LargestSize = Size{Sidecars: 900, Servers: 3200}
)

// Options are what a measurement of growth needs.
type Options struct {
	Program          string // the sidecar's file
	Usual, Large     Size
	Simulated        Sizes         // fleets of the simulated days; zero: Usual and Large
	Length           time.Duration // of a day of one real sidecar
	DayLength        time.Duration // of a simulated day
	Rate             float64       // requests a second of each sidecar
	Connections      int           // of the clients of the real sidecar
	ReplacedFraction float64       // of the servers, over a day
	Steps            int           // steps of a day in which servers are replaced
	Rounds           int           // pairs of days of the real sidecar, of which the medians count
	Dir              string        // for the processes' files; empty: a temporary one, removed at the end
	Progress         io.Writer     // nil: none
}

// Sizes are the two sizes of a comparison.
type Sizes struct{ Usual, Large Size }

// Usage is what one sidecar uses over a day.
type Usage struct {
	CPU         float64 `json:"cpu_s"` // user and system, from the start of the process to its end
	PeakMemory  float64 `json:"peak_memory_mb"`
	Descriptors float64 `json:"descriptors"` // the most at one time
	Connections float64 `json:"connections"` // made to servers
	ListBytes   float64 `json:"list_bytes"`  // received from discovery
	Served      float64 `json:"served"`      // priority weight that is answered within the latency objective, as a share of all
}

// Row is one line of the growth table.
type Row struct {
	Figure      string  `json:"what"`
	Subject     string  `json:"of"` // what was measured: one process, or a simulated day
	Usual       float64 `json:"usual"`
	Large       float64 `json:"large"`
	Bound       float64 `json:"bound"`
	WithinBound bool    `json:"met"`
}

// Result is the result of a measurement.
type Result struct {
	Usual     Size   `json:"usual"`
	Large     Size   `json:"large"`
	Simulated Sizes  `json:"simulated"`
	Rows      []Row  `json:"rows"`
	Rounds    []Pair `json:"rounds"`
	Days      []Day  `json:"days"` // of simulated fleets
}

// Pair is the usage at the two sizes in one round.
type Pair struct {
	Usual Usage `json:"usual"`
	Large Usage `json:"large"`
}

// Exceeded lists the rows beyond their bound.
func (g *Result) Exceeded() []Row {
	return slices.DeleteFunc(slices.Clone(g.Rows), func(r Row) bool { return r.WithinBound })
}

// bound is one line of the acceptance page's table. The usage at the large size is at most factor times the usage at
// the usual size, plus offset, plus perThousandServers for each thousand servers.
type bound struct {
	name                               string
	figure                             func(*Usage) float64
	factor, offset, perThousandServers float64
	isLowerLimit                       bool // the bound is a lower limit
}

// bounds is the growth table of the acceptance page, in its order and in the units of Usage.
var boundTable = []bound{
	{name: "CPU seconds", figure: cpuOfUsage, factor: 1.4, offset: 0.02, perThousandServers: 0.03},
	{name: "peak memory, MB", figure: memoryOfUsage, factor: 1.5, offset: 8, perThousandServers: 4},
	{name: "descriptors", figure: descriptorsOfUsage, factor: 2, offset: 40},
	{name: "connections made", figure: connectionsOfUsage, factor: 2.5, offset: 40},
	{name: "bytes of lists", figure: listBytesOfUsage, factor: 2, offset: 64e3, perThousandServers: 500e3},
	{name: "share served", figure: servedOfUsage, factor: 0.85, isLowerLimit: true},
}

func cpuOfUsage(n *Usage) float64         { return n.CPU }
func memoryOfUsage(n *Usage) float64      { return n.PeakMemory }
func descriptorsOfUsage(n *Usage) float64 { return n.Descriptors }
func connectionsOfUsage(n *Usage) float64 { return n.Connections }
func listBytesOfUsage(n *Usage) float64   { return n.ListBytes }
func servedOfUsage(n *Usage) float64      { return n.Served }

// row compares the usage at the large size, with this number of servers, with the bound.
func (b *bound) row(subject string, pair Pair, servers int) Row {
	r := Row{Figure: b.name, Subject: subject, Usual: b.figure(&pair.Usual), Large: b.figure(&pair.Large)}
	r.Bound = b.factor*r.Usual + b.offset + b.perThousandServers*float64(servers)/1000
	if b.isLowerLimit {
		r.WithinBound = r.Large >= r.Bound
	} else {
		r.WithinBound = r.Large <= r.Bound
	}
	return r
}

// medianPair takes the median of each figure over the rounds.
func medianPair(pairs []Pair) Pair {
	return Pair{Usual: medianUsage(pairs, func(p *Pair) *Usage { return &p.Usual }),
		Large: medianUsage(pairs, func(p *Pair) *Usage { return &p.Large })}
}

func medianUsage(pairs []Pair, side func(*Pair) *Usage) Usage {
	medianOf := func(figure func(*Usage) float64) float64 {
		var all []float64
		for i := range pairs {
			all = append(all, figure(side(&pairs[i])))
		}
		return harness.Median(all)
	}
	return Usage{CPU: medianOf(cpuOfUsage), PeakMemory: medianOf(memoryOfUsage), Descriptors: medianOf(descriptorsOfUsage),
		Connections: medianOf(connectionsOfUsage), ListBytes: medianOf(listBytesOfUsage), Served: medianOf(servedOfUsage)}
}

// Measure compares what a sidecar uses in a large fleet with what it uses in one of the usual size. One real process
// before stand-in servers, in pairs of days, gives all figures. Whole fleets on a simulated clock give the share served
// and the connections made. An error means that a day could not be played.
func Measure(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, fmt.Errorf("growth: %w", err)
	}
	o.Simulated.Usual = cmp.Or(o.Simulated.Usual, o.Usual)
	o.Simulated.Large = cmp.Or(o.Simulated.Large, o.Large)
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "marblelane-growth-")
		if err != nil {
			return nil, fmt.Errorf("growth: %w", err)
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	g := &Result{Usual: o.Usual, Large: o.Large, Simulated: o.Simulated}
	for k := range o.Rounds {
		pair, err := runRound(ctx, &o, k)
		if err != nil {
			return nil, fmt.Errorf("growth: round %d: %w", k+1, err)
		}
		g.Rounds = append(g.Rounds, pair)
	}
	var err error
	if g.Days, err = simulateDays(ctx, &o); err != nil {
		return nil, fmt.Errorf("growth: %w", err)
	}
	g.Rows = compareWithBounds(g)
	return g, nil
}

// compareWithBounds compares the medians of the processes, and the simulated days, with the boundTable.
func compareWithBounds(g *Result) []Row {
	var rows []Row
	process := medianPair(g.Rounds)
	for i := range boundTable {
		b := &boundTable[i]
		rows = append(rows, b.row("one process", process, g.Large.Servers))
		for k := range g.Days {
			// Simulated days have no processor time, memory, descriptors or bytes of lists.
			if day := &g.Days[k]; b.figure(&day.Usual) > 0 {
				rows = append(rows, b.row(day.Name, day.Pair, g.Simulated.Large.Servers))
			}
		}
	}
	for k := range g.Days {
		broken := float64(len(g.Days[k].Broken))
		rows = append(rows, Row{Figure: "rules broken", Subject: g.Days[k].Name, Large: broken, WithinBound: broken == 0})
	}
	return rows
}

func (o *Options) validate() error {
	for _, size := range []Size{o.Usual, o.Large} {
		if size.Sidecars < 1 || size.Servers < 2 {
			return fmt.Errorf("%d sidecars and %d servers: at least 1 and 2", size.Sidecars, size.Servers)
		}
	}
	switch {
	case o.Rounds < 1:
		return fmt.Errorf("%d rounds: at least 1", o.Rounds)
	case o.Length <= 0 || o.DayLength <= 0 || !(o.Rate > 0):
		return errors.New("a length or the rate is not above 0")
	case o.Connections < 1 || o.Steps < 1:
		return fmt.Errorf("%d connections and %d steps: at least 1", o.Connections, o.Steps)
	case !(o.ReplacedFraction >= 0 && o.ReplacedFraction <= 1):
		return fmt.Errorf("share of servers replaced: %v is not between 0 and 1", o.ReplacedFraction)
	}
	return nil
}

// progress reports a step that is done.
func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// Print writes the growth table.
func Print(w io.Writer, g *Result) {
	fmt.Fprintf(w, "one process: %d servers against %d, medians of %d pairs of days\n",
		g.Usual.Servers, g.Large.Servers, len(g.Rounds))
	fmt.Fprintf(w, "simulated fleet: %d sidecars and %d servers against %d and %d\n", g.Simulated.Usual.Sidecars,
		g.Simulated.Usual.Servers, g.Simulated.Large.Sidecars, g.Simulated.Large.Servers)
	fmt.Fprintf(w, "%-18s %-16s %12s %12s %12s %s\n", "what", "of", "usual size", "large", "bound", "met")
	for _, r := range g.Rows {
		within := "yes"
		if !r.WithinBound {
			within = "NO"
		}
		fmt.Fprintf(w, "%-18s %-16s %12s %12s %12s %s\n", r.Figure, r.Subject, formatFigure(r.Usual), formatFigure(r.Large),
			formatFigure(r.Bound), within)
	}
}

// formatFigure formats large figures without decimals.
func formatFigure(v float64) string {
	if v >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
