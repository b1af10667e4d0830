// Package soak runs real sidecars through drawn series of faults, one series for each seed, and reports each seed in
// whose run an invariant was violated. A run can be repeated alone with its seed. The command is `marblelane lab soak`.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"marblelane/internal/lab"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
)

// Options configures a soak.
type Options struct {
	Program     string // path of the sidecar's executable
	FirstSeed   uint64
	Seeds       int       // number of consecutive seeds
	Concurrency int       // number of runs at the same time
	Defect      string    // planted defect that each run contains, one of Defects; empty means none
	StopAtFirst bool      // no further runs start after one that violated an invariant
	Dir         string    // directory of the processes' files, one for each seed; empty means temporary ones
	Progress    io.Writer // receives a line for each run; nil means none
}

// Run is the outcome of the run of one seed.
type Run struct {
	Seed     uint64         `json:"seed"`
	Outcome  string         `json:"outcome"` // report.Pass, report.Fail or report.Late
	Reason   string         `json:"reason,omitempty"`
	Broken   []string       `json:"broken,omitempty"`   // invariants that were violated
	Breaches []string       `json:"breaches,omitempty"` // descriptions of the violations
	Requests int            `json:"requests"`
	Checked  map[string]int `json:"checked"` // number of cases in which each invariant was checked
}

// Result is the outcome of a soak.
type Result struct {
	Runs    []Run          `json:"runs"`    // by seed
	Checked map[string]int `json:"checked"` // number of cases over all runs that were judged
}

// maxLateFraction is the largest fraction of the runs that may be without a verdict because the lab was late.
const maxLateFraction = 0.1

// Broken returns the runs in which an invariant was violated.
func (r *Result) Broken() []Run { return r.withOutcome(report.Fail) }

// Late returns the runs without a verdict.
func (r *Result) Late() []Run { return r.withOutcome(report.Late) }

// TooManyLate reports whether so many runs have no verdict that the soak shows too little.
func (r *Result) TooManyLate() bool {
	return float64(len(r.Late())) > maxLateFraction*float64(len(r.Runs))
}

func (r *Result) withOutcome(outcome string) []Run {
	return slices.DeleteFunc(slices.Clone(r.Runs), func(run Run) bool { return run.Outcome != outcome })
}

// Play runs all seeds. An error means that a run could not be carried out. A violated invariant is no error: it is in the
// result.
func Play(ctx context.Context, o Options) (*Result, error) {
	if o.Seeds < 1 || o.Concurrency < 1 {
		return nil, fmt.Errorf("soak: %d seeds, %d at the same time: want at least 1 of each", o.Seeds, o.Concurrency)
	}
	p := player{options: o}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range o.Concurrency {
		workers.Go(func() { p.playSeeds(ctx, seeds) })
	}
	for k := range o.Seeds {
		if p.stopped() || ctx.Err() != nil {
			break
		}
		seeds <- o.FirstSeed + uint64(k)
	}
	close(seeds)
	workers.Wait()
	return p.result(), errors.Join(p.failure, ctx.Err())
}

// player runs the seeds of a soak.
type player struct {
	options Options

	mu      sync.Mutex // guards the fields below
	runs    []Run
	failure error // errors of runs that could not be carried out
}

// playSeeds runs the seeds that it receives.
func (p *player) playSeeds(ctx context.Context, seeds <-chan uint64) {
	for seed := range seeds {
		run, err := playSeed(ctx, &p.options, seed)
		p.record(run, err)
	}
}

// record adds the outcome of a run and prints it.
func (p *player) record(run Run, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failure = errors.Join(p.failure, err)
		return
	}
	p.runs = append(p.runs, run)
	if p.options.Progress != nil {
		fmt.Fprintln(p.options.Progress, run)
	}
}

// stopped reports whether no further run starts.
func (p *player) stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	violated := slices.ContainsFunc(p.runs, func(r Run) bool { return r.Outcome == report.Fail })
	return p.failure != nil || p.options.StopAtFirst && violated
}

// result returns the outcomes by seed, with the cases of all runs that were judged.
func (p *player) result() *Result {
	slices.SortFunc(p.runs, func(a, b Run) int { return int(int64(a.Seed) - int64(b.Seed)) })
	result := &Result{Runs: p.runs, Checked: map[string]int{}}
	for _, run := range p.runs {
		if run.Outcome == report.Late {
			continue
		}
		for name, cases := range run.Checked {
			result.Checked[name] += cases
		}
	}
	return result
}

// playSeed carries out the run of one seed.
func playSeed(ctx context.Context, o *Options, seed uint64) (Run, error) {
	drawn := Draw(seed, o.Defect)
	s, err := scenario.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(drawn.Text))
	if err != nil {
		return Run{}, fmt.Errorf("soak: seed %d: %w", seed, err)
	}
	dir := ""
	if o.Dir != "" {
		dir = filepath.Join(o.Dir, strconv.FormatUint(seed, 10))
	}
	stopLoad, err := startBusyProcesses(drawn.BusyProcesses)
	if err != nil {
		return Run{}, fmt.Errorf("soak: seed %d: %w", seed, err)
	}
	defer stopLoad()
	rep, err := lab.Run(ctx, s, harness.Options{Program: o.Program, Seed: seed, Dir: dir})
	if err != nil {
		return Run{}, fmt.Errorf("soak: seed %d: %w", seed, err)
	}
	return newRun(seed, rep), nil
}

// maxBreachesPerRun is the number of violations of a run that are described.
const maxBreachesPerRun = 5

// newRun returns the outcome of a run from its report.
func newRun(seed uint64, rep *report.Report) Run {
	run := Run{Seed: seed, Requests: rep.Result.Figures.Requests, Broken: rep.Verdict.Broken(), Checked: rep.Verdict.Checked}
	run.Outcome, run.Reason = rep.Outcome()
	for _, breach := range rep.Verdict.Breaches[:min(len(rep.Verdict.Breaches), maxBreachesPerRun)] {
		run.Breaches = append(run.Breaches, fmt.Sprintf("%s at %.3f s: %s", breach.Rule, breach.At, breach.Text))
	}
	return run
}

// String returns the outcome of a run as one line.
func (r Run) String() string {
	line := fmt.Sprintf("seed %d: %s, %d requests", r.Seed, r.Outcome, r.Requests)
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	return line
}

// Print writes the outcome of a soak: each run that did not pass, the number of cases in which each invariant was
// checked, and the verdict.
func Print(w io.Writer, r *Result) {
	for _, run := range r.Runs {
		if run.Outcome == report.Pass {
			continue
		}
		fmt.Fprintln(w, run)
		for _, breach := range run.Breaches {
			fmt.Fprintln(w, " ", breach)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Checked)) {
		fmt.Fprintf(w, "%-18s checked in %d cases\n", name, r.Checked[name])
	}
	fmt.Fprintf(w, "%d runs: %d violated an invariant, %d without a verdict\n", len(r.Runs), len(r.Broken()), len(r.Late()))
}
