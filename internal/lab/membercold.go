package lab

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

// MemberCold says what fleets to measure: what the number of sidecars, and what they believe it to be, does to servers
// that start cold. Each fleet is played with each change of it, each way of counting and each seed, on a simulated
// clock.
type MemberCold struct {
	Sidecars []int
	Rates    []float64 // requests a second of each sidecar at the start; the fleet's stays as it changes
	Changes  []string  // of MemberChanges
	Counts   []simulate.CountMode
	Seeds    int

	Load     float64       // of the servers that are there from the start, while all are warm
	AtOnce   float64       // share of the servers that restart at once
	Cores    int           // of a server
	Multiple float64       // of what a cold server can do, at which it falls
	Work     time.Duration // of a request, mean
	Aim      time.Duration
	Jobs     int       // runs at a time
	Progress io.Writer // nil: no progress
}

// MemberColdRow is what came of one fleet, over its seeds.
type MemberColdRow struct {
	Sidecars int                `json:"sidecars"`
	Rate     float64            `json:"rate"`
	Servers  int                `json:"servers"` // there from the start
	Change   string             `json:"change"`
	Count    simulate.CountMode `json:"count"`
	Starts   int                `json:"cold_starts"`
	Fell     int                `json:"pushed_over"`
	// Peak is the largest share of what a cold server bears that any was sent; PeakMean is its mean over the seeds.
	Peak     float64 `json:"peak"`
	PeakMean float64 `json:"peak_mean"`
	// Full is how long after their start servers that started together had 0.8 of their part, mean; negative: never, or
	// the fleet is too small to tell.
	Full       float64 `json:"full_part_s"`
	InAim      float64 `json:"in_aim"`
	WorstInAim float64 `json:"worst_in_aim"`
	// Assumed is what all assumed together, as a multiple of what the settings' number assumes: the most, and the mean.
	Assumed     float64 `json:"assumed_most"`
	AssumedMean float64 `json:"assumed_mean"`
}

// The times of a run in ms since its start. Servers are replaced, restart at once, and join; the fleet of sidecars
// changes so long before that it is known, and what starts, starts at the worst time.
const (
	coldReplace = 12000.0
	coldDrain   = 14000.0 // they are back about 6 s later
	coldJoin    = 28000.0
	coldLength  = 44 * time.Second

	fleetSplit = 8000.0 // longer before the first cold server than it takes to find processes silent
	fleetHeal  = 36000.0
	fleetDie   = 9000.0
	fleetBegin = 21800.0 // all have just been told of the servers that came back
)

// The parts of the servers that start, and how they are held to carry their part.
const (
	replaceShare = 0.1
	joinShare    = 0.2
	fullShare    = 0.8
	fullWindow   = 2000.0
	fullStep     = 500.0
	fewSends     = 20 // expected at a group in a window, for its part to be told
)

// MemberChanges names the changes of a fleet that can be measured.
func MemberChanges() []string {
	return []string{"steady", "half-die", "double", "die-return", "split-half", "split-one", "split-ten", "split-alone",
		"split-third"}
}

// memberChange is what a name stands for with n sidecars at the start, and how many there are in all.
func memberChange(name string, n int) (all int, changes []simulate.Change, err error) {
	numbers := func(from, to int) []int {
		var out []int
		for i := from; i < to; i++ {
			out = append(out, i)
		}
		return out
	}
	split := func(side func(i int) int) []simulate.Change {
		sides := make([]int, n)
		for i := range sides {
			sides[i] = side(i)
		}
		return []simulate.Change{{At: fleetSplit, Sides: sides}, {At: fleetHeal, Sides: make([]int, n)}}
	}
	switch name {
	case "steady":
		return n, nil, nil
	case "half-die":
		return n, []simulate.Change{{At: fleetDie, Stop: numbers(n/2, n)}}, nil
	case "double":
		return 2 * n, []simulate.Change{{At: fleetBegin, Start: numbers(n, 2*n)}}, nil
	case "die-return":
		most := numbers(n-n*7/10, n)
		return n, []simulate.Change{{At: fleetDie, Stop: most}, {At: fleetBegin, Start: most}}, nil
	case "split-half":
		return n, split(func(i int) int { return i % 2 }), nil
	case "split-one":
		return n, split(func(i int) int { return min(i, 1) }), nil
	case "split-ten":
		return n, split(func(i int) int { return i % 10 }), nil
	case "split-alone":
		return n, split(func(i int) int { return i }), nil
	case "split-third": // half and half, and a third of the sidecars restarts meanwhile
		third := numbers(0, n/3)
		s := split(func(i int) int { return i % 2 })
		stop := simulate.Change{At: fleetBegin - 6000, Stop: third}
		return n, append(s, stop, simulate.Change{At: fleetBegin, Start: third}), nil
	}
	return 0, nil, fmt.Errorf("no change of a fleet is named %q: there are %v", name, MemberChanges())
}

// plan draws one run.
func (c *MemberCold) plan(n int, rate float64, all int, seed uint64) (*scenario.Plan, int, error) {
	s, err := scenario.Parse("members-cold", []byte(fmt.Sprintf(`title = "Cold servers before a fleet that changes"
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
`, coldLength, c.Multiple, c.Cores, c.Work, c.Aim, 5*c.Aim, coldReplace)))
	if err != nil {
		return nil, 0, fmt.Errorf("members-cold: %w", err)
	}
	work := float64(c.Work) / float64(time.Second)
	base := max(4, int(math.Ceil(float64(n)*rate*work/(float64(c.Cores)*c.Load))))
	part := func(share float64) int { return max(1, int(share*float64(base))) }
	joining, again := part(joinShare), part(c.AtOnce)
	s.Sidecars.Count, s.Servers.Count = all, base+joining
	s.Traffic.Rate = rate * float64(n)
	s.Faults[0].Servers = fmt.Sprint(part(replaceShare))
	p := s.Plan(seed)
	for i := range p.Arrivals { // those that start later have none of their own
		p.Arrivals[i].Sidecar %= n
	}
	rng := rand.New(rand.NewPCG(seed, 0x636f6c64))
	replaced := func(i int) bool { return slices.Contains(p.Faults[0].Servers, i) }
	rest := slices.DeleteFunc(rng.Perm(s.Servers.Count), replaced)
	again = min(again, len(rest)-joining)
	at := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	p.Faults = append(p.Faults,
		scenario.FaultPlan{At: at(1), Until: at(coldJoin), Fault: scenario.Fault{Kind: "restart"}, Servers: rest[:joining]},
		scenario.FaultPlan{At: at(coldDrain), Until: at(coldDrain), Fault: scenario.Fault{Kind: "drain"},
			Servers: rest[joining : joining+again]})
	return p, base, nil
}

// memberRun is one run's figures.
type memberRun struct {
	row, seed int
	base      int
	members   *simulate.MembersResult
	figures   measure.Figures
	full      []float64
	err       error
}

// Run measures all fleets, several runs at a time.
func (c *MemberCold) Run(ctx context.Context) ([]MemberColdRow, error) {
	var rows []MemberColdRow
	for _, n := range c.Sidecars {
		for _, rate := range c.Rates {
			for _, change := range c.Changes {
				for _, count := range c.Counts {
					rows = append(rows, MemberColdRow{Sidecars: n, Rate: rate, Change: change, Count: count, Full: -1})
				}
			}
		}
	}
	if len(rows) == 0 || c.Seeds < 1 || c.Load <= 0 || c.Cores < 1 || c.Multiple <= 0 || c.Work <= 0 || c.Aim <= 0 ||
		c.AtOnce <= 0 || c.AtOnce > 1 {
		return nil, errors.New("members-cold: no fleets, or a figure that is not above 0, or a share at once above 1")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	todo, done := make(chan [2]int), make(chan memberRun)
	var wait sync.WaitGroup
	for range max(c.Jobs, 1) {
		wait.Go(func() {
			for job := range todo {
				r := c.play(ctx, &rows[job[0]], uint64(job[1]+1))
				r.row, r.seed = job[0], job[1]
				done <- r
			}
		})
	}
	go func() {
		defer func() { close(todo); wait.Wait(); close(done) }()
		for i := range rows {
			for seed := range c.Seeds {
				select {
				case todo <- [2]int{i, seed}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	runs := make([][]memberRun, len(rows))
	var failed error
	n := 0
	for r := range done {
		if r.err != nil {
			failed = cmp.Or(failed, r.err)
			cancel()
			continue
		}
		runs[r.row] = append(runs[r.row], r)
		if n++; c.Progress != nil && n%20 == 0 {
			fmt.Fprintf(c.Progress, "%d of %d runs played\n", n, len(rows)*c.Seeds)
		}
	}
	if err := cmp.Or(failed, ctx.Err()); err != nil {
		return nil, err
	}
	for i := range rows {
		slices.SortFunc(runs[i], func(a, b memberRun) int { return cmp.Compare(a.seed, b.seed) })
		rows[i].sum(runs[i])
	}
	return rows, nil
}

// play plays one run; the row is only read.
func (c *MemberCold) play(ctx context.Context, row *MemberColdRow, seed uint64) memberRun {
	all, changes, err := memberChange(row.Change, row.Sidecars)
	if err != nil {
		return memberRun{err: err}
	}
	p, base, err := c.plan(row.Sidecars, row.Rate, all, seed)
	if err != nil {
		return memberRun{err: err}
	}
	run, err := simulate.Play(ctx, p, simulate.Options{Members: &simulate.Members{
		Count: row.Count, Peers: row.Sidecars, Changes: changes, MeanWork: float64(c.Work) / float64(time.Millisecond),
	}})
	if err != nil {
		return memberRun{err: fmt.Errorf("members-cold: %d sidecars, %s, %s, seed %d: %w", row.Sidecars, row.Change,
			row.Count, seed, err)}
	}
	return memberRun{base: base, members: run.Members, figures: measure.Compute(p, run.Events, run.WorkDone).Figures,
		full: fullParts(run)}
}

// fullParts is how long servers that started together took to get their part of all sends, for each such group.
func fullParts(run *simulate.Run) []float64 {
	groups := map[float64]map[int]bool{}
	for _, s := range run.Members.Starts {
		if groups[s.At] == nil {
			groups[s.At] = map[int]bool{}
		}
		groups[s.At][s.Server] = true
	}
	var out []float64
	since := func(s simulate.Send, t float64) int { return cmp.Compare(s.At, t) }
	for at, group := range groups {
		for from := at; from+fullWindow <= float64(coldLength/time.Millisecond); from += fullStep {
			first, _ := slices.BinarySearchFunc(run.Sends, from, since)
			into, sends, servers := 0, 0, map[int]bool{}
			for _, s := range run.Sends[first:] {
				if s.At >= from+fullWindow {
					break
				}
				sends++
				servers[s.Server] = true
				if group[s.Server] {
					into++
				}
			}
			want := float64(sends) * float64(len(group)) / float64(max(len(servers), 1))
			if want >= fewSends && float64(into) >= fullShare*want {
				out = append(out, from-at)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// sum works out a row from its runs.
func (r *MemberColdRow) sum(runs []memberRun) {
	var full []float64
	for _, run := range runs {
		n, peak := float64(len(runs)), 0.0
		r.Servers = run.base
		for _, s := range run.members.Starts {
			r.Starts++
			r.Fell += one(s.Overloaded)
			peak = max(peak, s.PeakLoad)
		}
		r.Peak, r.PeakMean = max(r.Peak, peak), r.PeakMean+peak/n
		r.InAim += run.figures.InObjective / n
		r.WorstInAim += run.figures.WorstInObjective / n
		r.Assumed, r.AssumedMean = max(r.Assumed, run.members.MaxQuota), r.AssumedMean+run.members.MeanQuota/n
		full = append(full, run.full...)
	}
	for _, f := range full {
		r.Full = max(r.Full, 0) + f/1000/float64(len(full))
	}
}

// PrintMemberCold writes the rows as a table.
func PrintMemberCold(w io.Writer, rows []MemberColdRow) {
	fmt.Fprintf(w, "%8s %6s %7s %-12s %-7s %7s %6s %6s %6s %7s %7s %7s %8s %8s\n",
		"sidecars", "rate", "servers", "change", "count", "starts", "fell", "peak", "mean", "full s", "in aim", "worst", "assumed", "mean")
	for _, r := range rows {
		fmt.Fprintf(w, "%8d %6g %7d %-12s %-7s %7d %6d %6.2f %6.2f %7.1f %7.4f %7.4f %8.3g %8.3g\n",
			r.Sidecars, r.Rate, r.Servers, r.Change, r.Count, r.Starts, r.Fell, r.Peak, r.PeakMean, r.Full, r.InAim, r.WorstInAim, r.Assumed, r.AssumedMean)
	}
}
