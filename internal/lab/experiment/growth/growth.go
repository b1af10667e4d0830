// Package growth compares what a sidecar uses in a large fleet with what it uses in a fleet of the usual size, and
// checks the increase against the growth table of the acceptance page. One real sidecar runs for days in front of
// stand-in servers that are replaced. Whole fleets run for days on a simulated clock. The command is
// `marblelane lab growth`.
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

// Size is the number of sidecars and servers of a fleet.
type Size struct {
	Sidecars int `json:"sidecars"`
	Servers  int `json:"servers"`
}

// The sizes that the growth table of the acceptance page compares.
var (
	UsualSize   = Size{Sidecars: 300, Servers: 200}
	LargestSize = Size{Sidecars: 900, Servers: 3200}
)

// Options configures a measurement of growth.
type Options struct {
	Program          string // path of the sidecar's executable
	Usual, Large     Size
	Simulated        Sizes         // sizes of the simulated fleets; a zero Size means Usual or Large
	Length           time.Duration // length of a day of the real sidecar
	DayLength        time.Duration // length of a simulated day
	Rate             float64       // requests per second of each sidecar
	Connections      int           // connections from clients to the real sidecar
	ReplacedFraction float64       // share of the servers that is replaced over a day, 0 to 1
	Steps            int           // steps per day in which servers are replaced
	Rounds           int           // pairs of days of the real sidecar; the medians over the pairs are compared
	Dir              string        // directory of the processes' files; empty means a temporary one, removed at the end
	Progress         io.Writer     // receives progress messages; nil means none
}

// Sizes holds the two fleet sizes of a comparison.
type Sizes struct{ Usual, Large Size }

// Usage is the resource use and the served share of one sidecar over a day.
type Usage struct {
	CPU         float64 `json:"cpu_s"` // user and system time, from the start of the process to its end, in seconds
	PeakMemory  float64 `json:"peak_memory_mb"`
	Descriptors float64 `json:"descriptors"` // largest number of descriptors open at one time
	Connections float64 `json:"connections"` // number of connections opened to servers
	ListBytes   float64 `json:"list_bytes"`  // bytes received from the discovery service
	Served      float64 `json:"served"`      // share of requests, by priority weight, within the latency objective
}

// Row is one line of the growth table.
type Row struct {
	Figure      string  `json:"what"`
	Subject     string  `json:"of"` // "one process" or the name of a simulated day
	Usual       float64 `json:"usual"`
	Large       float64 `json:"large"`
	Bound       float64 `json:"bound"`
	WithinBound bool    `json:"met"`
}

// Result is the outcome of a measurement.
type Result struct {
	Usual     Size   `json:"usual"`
	Large     Size   `json:"large"`
	Simulated Sizes  `json:"simulated"`
	Rows      []Row  `json:"rows"`
	Rounds    []Pair `json:"rounds"`
	Days      []Day  `json:"days"` // days of the simulated fleets
}

// Pair is the usage at the two sizes in one round.
type Pair struct {
	Usual Usage `json:"usual"`
	Large Usage `json:"large"`
}

// Exceeded returns the rows that are not within their bound.
func (g *Result) Exceeded() []Row {
	return slices.DeleteFunc(slices.Clone(g.Rows), func(r Row) bool { return r.WithinBound })
}

// bound is one line of the acceptance page's table. The usage at the large size is at most factor times the usage at
// the usual size, plus offset, plus perThousandServers for each thousand servers.
type bound struct {
	name                               string
	figure                             func(*Usage) float64
	factor, offset, perThousandServers float64
	isLowerLimit                       bool // true: the bound is a lower limit
}

// boundTable is the growth table of the acceptance page, in its order and in the units of Usage.
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

// row compares the usage at the large size with the bound. servers is the number of servers at the large size.
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

// medianPair returns the median of each figure over the rounds.
func medianPair(pairs []Pair) Pair {
	return Pair{Usual: medianUsage(pairs, func(p *Pair) *Usage { return &p.Usual }),
		Large: medianUsage(pairs, func(p *Pair) *Usage { return &p.Large })}
}

// medianUsage returns the median of each figure over one side of the pairs.
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

// Measure compares what a sidecar uses in a large fleet with what it uses in one of the usual size. All figures are
// measured with one real process in front of stand-in servers, in pairs of days. The share served and the connections
// made are also measured with whole fleets on a simulated clock. Measure returns an error if a day could not be run. A
// figure beyond its bound is not an error: Result.Exceeded returns it.
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

// compareWithBounds compares the medians of the real process, and each simulated day, with boundTable.
func compareWithBounds(g *Result) []Row {
	var rows []Row
	process := medianPair(g.Rounds)
	for i := range boundTable {
		b := &boundTable[i]
		rows = append(rows, b.row("one process", process, g.Large.Servers))
		for k := range g.Days {
			// Simulated days have no CPU time, memory, descriptors or bytes of lists: those figures are 0.
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

// validate returns an error for the first option that is out of range.
func (o *Options) validate() error {
	for _, size := range []Size{o.Usual, o.Large} {
		if size.Sidecars < 1 || size.Servers < 2 {
			return fmt.Errorf("%d sidecars and %d servers: want at least 1 sidecar and 2 servers", size.Sidecars, size.Servers)
		}
	}
	switch {
	case o.Rounds < 1:
		return fmt.Errorf("%d rounds: want at least 1", o.Rounds)
	case o.Length <= 0 || o.DayLength <= 0 || !(o.Rate > 0):
		return errors.New("length of a day or request rate is not above 0")
	case o.Connections < 1 || o.Steps < 1:
		return fmt.Errorf("%d connections and %d steps: want at least 1 of each", o.Connections, o.Steps)
	case !(o.ReplacedFraction >= 0 && o.ReplacedFraction <= 1):
		return fmt.Errorf("share of replaced servers: %v is not between 0 and 1", o.ReplacedFraction)
	}
	return nil
}

// progress writes one line to o.Progress, if set.
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

// formatFigure formats figures from 1000 on without decimals, and smaller ones with three.
func formatFigure(v float64) string {
	if v >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
