// Package membercold measures the load that a fleet of sidecars puts on servers that have just started and work slower
// until they have warmed up. It varies the number of sidecars, the changes of the fleet, and how sidecars count each
// other. Each combination runs with several seeds on a simulated clock (package simulate). In each run some servers are
// replaced, some restart at once and some join, and the largest load of a server that warms up is recorded. The command
// is `marblelane lab members-cold`.
package membercold

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"marblelane/internal/lab/measure"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
)

// Experiment configures the measurement. Each fleet runs with each change of the fleet, each way to count sidecars and
// each seed.
type Experiment struct {
	Sidecars     []int     // numbers of sidecars at the start
	Rates        []float64 // requests per second of a sidecar at the start; the total rate stays when the fleet changes
	FleetChanges []string  // names of FleetChangeNames
	CountModes   []simulate.CountMode
	Seeds        int // runs of each combination, with the seeds 1 to Seeds

	Utilization      float64       // of the initial servers while all are warm, as a share of their capacity
	RestartFraction  float64       // share of the initial servers that restart at once
	Cores            int           // cores of a server
	FallMultiple     float64       // a server that warms up crashes under a load of this multiple of its capacity
	MeanWork         time.Duration // mean work of a request
	LatencyObjective time.Duration
	Jobs             int       // concurrent runs; below 1 means 1
	Progress         io.Writer // receives progress messages; nil means none
}

// Row is the result of one combination, over all its seeds.
type Row struct {
	Sidecars   int                `json:"sidecars"`
	Rate       float64            `json:"rate"`
	Servers    int                `json:"servers"` // number of servers at the start
	Change     string             `json:"change"`
	CountMode  simulate.CountMode `json:"count"`
	SlowStarts int                `json:"cold_starts"` // starts of servers, over all runs
	Overloaded int                `json:"pushed_over"` // starts after which the server crashed while it warmed up
	// Peak is the largest load of a server that warms up, as a share of the load under which it crashes. PeakMean is the
	// mean of the peaks of the seeds.
	Peak     float64 `json:"peak"`
	PeakMean float64 `json:"peak_mean"`
	// FullTrafficAfter is the mean time in seconds from the start of servers that started together until they received
	// fullTrafficFraction of their share of the traffic. It is negative if they never did, or if the traffic is too low
	// to determine it.
	FullTrafficAfter float64 `json:"full_part_s"`
	InObjective      float64 `json:"in_aim"`
	WorstInObjective float64 `json:"worst_in_aim"`
	// AssumedMax and AssumedMean are the largest and the mean total capacity that all sidecars together assume for
	// servers that warm up. They are multiples of the total that results if each sidecar uses the number of sidecars in
	// its settings.
	AssumedMax  float64 `json:"assumed_most"`
	AssumedMean float64 `json:"assumed_mean"`
}

// The times of a run, in ms since its start unless noted. Servers are replaced, restart at once, and join. The fleet of
// sidecars changes early enough that all sidecars know the change before servers start. Only sidecars that start late
// change the fleet while servers warm up.
const (
	replaceAtMS = 12000.0
	restartAtMS = 14000.0 // the servers are ready again about restartTimeMS later
	joinAtMS    = 28000.0
	runLength   = 44 * time.Second

	restartTimeMS = 6000.0 // duration of a restart

	splitAtMS = 8000.0 // early enough that unreachable sidecars are detected before the first server starts
	healAtMS  = 36000.0
	stopAtMS  = 9000.0
	startAtMS = 21800.0 // all sidecars have just been notified of the restarted servers
)

// The fractions of the initial servers that are replaced and that join, and the conditions under which a group of
// servers that started together has its full share of the traffic.
const (
	replacedFraction    = 0.1
	joiningFraction     = 0.2
	fullTrafficFraction = 0.8    // share of the expected traffic that counts as full
	trafficWindowMS     = 2000.0 // length of the window in which traffic is counted
	trafficStepMS       = 500.0  // time between the starts of two windows
	minExpectedSends    = 20     // expected requests to a group in a window; with fewer, its share is not reliable
)

// progressRuns is the number of runs between two progress messages.
const progressRuns = 20

// FleetChangeNames returns the names of the changes of a fleet that can be measured.
func FleetChangeNames() []string {
	return []string{"steady", "half-die", "double", "die-return", "split-half", "split-one", "split-ten", "split-alone",
		"split-third"}
}

// indexRange returns the integers from first up to but not including end.
func indexRange(first, end int) []int {
	var out []int
	for i := first; i < end; i++ {
		out = append(out, i)
	}
	return out
}

// splitFleet returns changes that partition n sidecars at splitAtMS, each into the part that partOf returns, and heal
// the partition at healAtMS.
func splitFleet(n int, partOf func(sidecar int) int) []simulate.FleetChange {
	parts := make([]int, n)
	for i := range parts {
		parts[i] = partOf(i)
	}
	return []simulate.FleetChange{{At: splitAtMS, Sides: parts}, {At: healAtMS, Sides: make([]int, n)}}
}

// fleetChange returns the steps of a named change with n sidecars at the start, and the total number of sidecars that
// exist at any time of the run.
func fleetChange(name string, n int) (total int, changes []simulate.FleetChange, err error) {
	switch name {
	case "steady":
		return n, nil, nil
	case "half-die":
		return n, []simulate.FleetChange{{At: stopAtMS, Stop: indexRange(n/2, n)}}, nil
	case "double":
		return 2 * n, []simulate.FleetChange{{At: startAtMS, Start: indexRange(n, 2*n)}}, nil
	case "die-return":
		majority := indexRange(n-n*7/10, n)
		return n, []simulate.FleetChange{{At: stopAtMS, Stop: majority}, {At: startAtMS, Start: majority}}, nil
	case "split-half":
		return n, splitFleet(n, func(i int) int { return i % 2 }), nil
	case "split-one":
		return n, splitFleet(n, func(i int) int { return min(i, 1) }), nil
	case "split-ten":
		return n, splitFleet(n, func(i int) int { return i % 10 }), nil
	case "split-alone":
		return n, splitFleet(n, func(i int) int { return i }), nil
	case "split-third": // partition into two halves; a third of the sidecars restarts meanwhile
		third := indexRange(0, n/3)
		changes := splitFleet(n, func(i int) int { return i % 2 })
		stop := simulate.FleetChange{At: startAtMS - restartTimeMS, Stop: third}
		return n, append(changes, stop, simulate.FleetChange{At: startAtMS, Start: third}), nil
	}
	return 0, nil, fmt.Errorf("unknown change of the fleet %q: want one of %v", name, FleetChangeNames())
}

// scenarioTemplate is the format of the scenario. Its arguments are the length, the fall multiple, the cores, the work,
// the objective, the deadline and the time in ms at which servers are replaced.
const scenarioTemplate = `title = "Cold servers before a fleet that changes"
length = %q
warm_up = "5s"
[servers]
pod_size = 1
max_conns = 100000
fall_multiple = 1e9
[rules]
fall_multiple = %g
[[servers.kind]]
name = "like"
share = 1
cores = %d
cold_from = 0.17
cold = "24s"
[traffic]
rate = 1
retries = 2
backoff = "100ms"
honour = 0.3
[[class]]
name = "one"
share = 1
work = %q
cv = 0.5
aim = %q
deadline = %q
[[fault]]
kind = "replace"
at = "%gms"
servers = "1"
`

// plan returns the plan of a run and the number of servers that exist from the start. sidecars is the number of
// sidecars at the start, and total the number that exist at any time.
func (c *Experiment) plan(sidecars int, rate float64, total int, seed uint64) (*scenario.Plan, int, error) {
	text := fmt.Sprintf(scenarioTemplate, runLength, c.FallMultiple, c.Cores, c.MeanWork, c.LatencyObjective,
		5*c.LatencyObjective, replaceAtMS)
	s, err := scenario.Parse("members-cold", []byte(text))
	if err != nil {
		return nil, 0, fmt.Errorf("members-cold: %w", err)
	}
	workSeconds := float64(c.MeanWork) / float64(time.Second)
	capacity := float64(c.Cores) * c.Utilization
	initial := max(4, int(math.Ceil(float64(sidecars)*rate*workSeconds/capacity)))
	countOf := func(fraction float64) int { return max(1, int(fraction*float64(initial))) }
	joining, restarting := countOf(joiningFraction), countOf(c.RestartFraction)
	s.Sidecars.Count, s.Servers.Count = total, initial+joining
	s.Traffic.Rate = rate * float64(sidecars)
	s.Faults[0].Servers = fmt.Sprint(countOf(replacedFraction))
	p := s.Plan(seed)
	for i := range p.Arrivals { // requests arrive only at sidecars that exist from the start
		p.Arrivals[i].Sidecar %= sidecars
	}
	addServerFaults(p, joining, restarting, seed)
	return p, initial, nil
}

// addServerFaults adds faults by which some servers join late and others restart at once. It chooses among the servers
// that are not replaced.
func addServerFaults(p *scenario.Plan, joining, restarting int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x636f6c64))
	replaced := func(i int) bool { return slices.Contains(p.Faults[0].Servers, i) }
	others := slices.DeleteFunc(rng.Perm(p.Scenario.Servers.Count), replaced)
	restarting = min(restarting, len(others)-joining)
	at := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	p.Faults = append(p.Faults,
		scenario.FaultPlan{At: at(1), Until: at(joinAtMS), Fault: scenario.Fault{Kind: "restart"}, Servers: others[:joining]},
		scenario.FaultPlan{At: at(restartAtMS), Until: at(restartAtMS), Fault: scenario.Fault{Kind: "drain"},
			Servers: others[joining : joining+restarting]})
}

// runResult is the result of one run with one seed.
type runResult struct {
	row, seed        int
	initialServers   int
	members          *simulate.MembersResult
	figures          measure.Figures
	fullTrafficAfter []float64 // times in ms, one per group of servers that started together
	err              error
}

// Run measures all combinations, Jobs runs at a time.
func (c *Experiment) Run(ctx context.Context) ([]Row, error) {
	rows := c.rows()
	if err := c.validate(rows); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runs := make([][]runResult, len(rows))
	var firstErr error
	finished := 0
	for r := range c.runAll(ctx, rows) {
		if r.err != nil {
			firstErr = cmp.Or(firstErr, r.err)
			cancel()
			continue
		}
		runs[r.row] = append(runs[r.row], r)
		if finished++; c.Progress != nil && finished%progressRuns == 0 {
			fmt.Fprintf(c.Progress, "%d of %d runs done\n", finished, len(rows)*c.Seeds)
		}
	}
	if err := cmp.Or(firstErr, ctx.Err()); err != nil {
		return nil, err
	}
	for i := range rows {
		slices.SortFunc(runs[i], func(a, b runResult) int { return cmp.Compare(a.seed, b.seed) })
		rows[i].aggregate(runs[i])
	}
	return rows, nil
}

// rows returns a row without results for each combination.
func (c *Experiment) rows() []Row {
	var rows []Row
	for _, n := range c.Sidecars {
		for _, rate := range c.Rates {
			for _, change := range c.FleetChanges {
				for _, mode := range c.CountModes {
					rows = append(rows, Row{Sidecars: n, Rate: rate, Change: change, CountMode: mode, FullTrafficAfter: -1})
				}
			}
		}
	}
	return rows
}

// validate returns an error if there are no combinations or a figure is out of range.
func (c *Experiment) validate(rows []Row) error {
	if len(rows) == 0 || c.Seeds < 1 || c.Utilization <= 0 || c.Cores < 1 || c.FallMultiple <= 0 || c.MeanWork <= 0 ||
		c.LatencyObjective <= 0 || c.RestartFraction <= 0 || c.RestartFraction > 1 {
		return errors.New("members-cold: no fleets, a figure that is not above 0, or a share of restarted servers above 1")
	}
	return nil
}

// runAll runs each row with each seed, Jobs runs at a time. The channel is closed when all runs are done. When ctx
// ends, it is closed as soon as the started runs are done.
func (c *Experiment) runAll(ctx context.Context, rows []Row) <-chan runResult {
	type job struct{ row, seed int }
	jobs, done := make(chan job), make(chan runResult)
	var workers sync.WaitGroup
	for range max(c.Jobs, 1) {
		workers.Go(func() {
			for j := range jobs {
				r := c.runOne(ctx, &rows[j.row], uint64(j.seed+1))
				r.row, r.seed = j.row, j.seed
				done <- r
			}
		})
	}
	go func() {
		defer func() { close(jobs); workers.Wait(); close(done) }()
		for i := range rows {
			for seed := range c.Seeds {
				select {
				case jobs <- job{i, seed}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return done
}

// runOne runs a row with one seed. It does not change the row.
func (c *Experiment) runOne(ctx context.Context, row *Row, seed uint64) runResult {
	total, changes, err := fleetChange(row.Change, row.Sidecars)
	if err != nil {
		return runResult{err: err}
	}
	p, initial, err := c.plan(row.Sidecars, row.Rate, total, seed)
	if err != nil {
		return runResult{err: err}
	}
	result, err := simulate.Run(ctx, p, simulate.Options{Members: &simulate.Members{
		Count: row.CountMode, Peers: row.Sidecars, Changes: changes, MeanWork: float64(c.MeanWork) / float64(time.Millisecond),
	}})
	if err != nil {
		return runResult{err: fmt.Errorf("members-cold: %d sidecars, %s, %s, seed %d: %w", row.Sidecars, row.Change,
			row.CountMode, seed, err)}
	}
	return runResult{initialServers: initial, members: result.Members, figures: measure.Compute(p, result.Events, result.WorkDone).Figures,
		fullTrafficAfter: fullTrafficTimes(result)}
}

// fullTrafficTimes returns, for each group of servers that started together, the time in ms until it received its share
// of all requests. The times are in ascending order. Groups that never received it, or that expect too few requests to
// determine it, are left out.
func fullTrafficTimes(run *simulate.Result) []float64 {
	groups := map[float64]map[int]bool{}
	for _, s := range run.Members.Starts {
		if groups[s.At] == nil {
			groups[s.At] = map[int]bool{}
		}
		groups[s.At][s.Server] = true
	}
	var times []float64
	for at, group := range groups {
		for from := at; from+trafficWindowMS <= float64(runLength/time.Millisecond); from += trafficStepMS {
			if hasFullTraffic(run.Sends, group, from) {
				times = append(times, from-at)
				break
			}
		}
	}
	slices.Sort(times)
	return times
}

// hasFullTraffic reports whether a group of servers receives its share of the requests in the window that starts at
// from.
func hasFullTraffic(sends []simulate.Send, group map[int]bool, from float64) bool {
	first, _ := slices.BinarySearchFunc(sends, from, func(s simulate.Send, t float64) int { return cmp.Compare(s.At, t) })
	toGroup, all, servers := 0, 0, map[int]bool{}
	for _, s := range sends[first:] {
		if s.At >= from+trafficWindowMS {
			break
		}
		all++
		servers[s.Server] = true
		if group[s.Server] {
			toGroup++
		}
	}
	expected := float64(all) * float64(len(group)) / float64(max(len(servers), 1))
	return expected >= minExpectedSends && float64(toGroup) >= fullTrafficFraction*expected
}

// aggregate computes the results of a row from its runs.
func (r *Row) aggregate(runs []runResult) {
	var times []float64
	for _, run := range runs {
		n, peak := float64(len(runs)), 0.0
		r.Servers = run.initialServers
		for _, s := range run.members.Starts {
			r.SlowStarts++
			if s.Overloaded {
				r.Overloaded++
			}
			peak = max(peak, s.PeakLoad)
		}
		r.Peak, r.PeakMean = max(r.Peak, peak), r.PeakMean+peak/n
		r.InObjective += run.figures.InObjective / n
		r.WorstInObjective += run.figures.WorstInObjective / n
		r.AssumedMax, r.AssumedMean = max(r.AssumedMax, run.members.MaxQuota), r.AssumedMean+run.members.MeanQuota/n
		times = append(times, run.fullTrafficAfter...)
	}
	for _, ms := range times {
		r.FullTrafficAfter = max(r.FullTrafficAfter, 0) + ms/1000/float64(len(times))
	}
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) {
	fmt.Fprintf(w, "%8s %6s %7s %-12s %-7s %7s %6s %6s %6s %7s %7s %7s %8s %8s\n",
		"sidecars", "rate", "servers", "change", "count", "starts", "fell", "peak", "mean", "full s", "in aim", "worst", "assumed", "mean")
	for _, r := range rows {
		fmt.Fprintf(w, "%8d %6g %7d %-12s %-7s %7d %6d %6.2f %6.2f %7.1f %7.4f %7.4f %8.3g %8.3g\n",
			r.Sidecars, r.Rate, r.Servers, r.Change, r.CountMode, r.SlowStarts, r.Overloaded, r.Peak, r.PeakMean, r.FullTrafficAfter, r.InObjective, r.WorstInObjective, r.AssumedMax, r.AssumedMean)
	}
}
