// Package routescale measures the cost of routes with many sidecars. A sidecar is the real route client with a
// simulated loop, in this process. The list service is three replicas in processes of their own. The package measures
// the time until all sidecars act on a change, the idle cost, and how many attempts follow when a failing canary has
// spent its budget, compared with a baseline that sums counters once per second. A model on a simulated clock covers
// larger fleets. The command is `marblelane lab route-scale`.
package routescale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
	"marblelane/internal/lab/harness"
	rolloutmodel "marblelane/internal/rollout/model"
	"marblelane/internal/route"
	"marblelane/internal/routeclient"
)

// Point is the cost of routes with one number of sidecars. Times are in milliseconds.
type Point struct {
	Sidecars int     `json:"sidecars"`
	Commits  int     `json:"commits"`    // measured changes
	ActP50   float64 `json:"act_p50_ms"` // time from the call of a change until the last sidecar acts on it, median
	ActP99   float64 `json:"act_p99_ms"` // 99th percentile of the time of ActP50

	Budget           int64   `json:"budget"`        // failures that the canary may have
	Failures         int64   `json:"failures"`      // failed attempts to the canary
	Attempts         int64   `json:"attempts"`      // attempts to the canary
	LastAttemptAfter float64 `json:"after_ms"`      // time from the budget's end to the last attempt; 0: none later
	RollbackAfter    float64 `json:"rolled_ms"`     // time from the budget's end until all sidecars act on the rollback
	BaselineFailures int64   `json:"base_failures"` // failed attempts of the baseline, with the same requests
	BaselineAfter    float64 `json:"base_after_ms"` // LastAttemptAfter of the baseline

	Bytes                float64 `json:"bytes_per_s"`     // bytes/s per sidecar, of all replicas, while nothing changes
	CPU                  float64 `json:"cpu_us_per_s"`    // CPU us/s of a sidecar in this process, while nothing changes
	LeaderCPU            float64 `json:"leader_cpu_ms_s"` // CPU ms/s of the leader, while nothing changes
	DiskWrites           float64 `json:"disk_writes_s"`   // synced writes/s of the leader, while nothing changes
	DiskWritesBusy       float64 `json:"disk_busy_s"`     // synced writes/s of the leader, while a canary fails
	DiskWritesNoSidecars float64 `json:"disk_bare_s"`     // synced writes/s of the leader, without sidecars
}

// Parameters of the measurement.
const (
	changeCount         = 20                    // measured changes of the tenant's base
	idleWindow          = 5 * time.Second       // duration of an idle measurement
	failureBudget       = 100                   // failures that the canary may have
	canaryFailureRate   = 0.2                   // fraction of the attempts to the canary that fail
	meanRequestTime     = 20 * time.Millisecond // mean duration of a request to the canary, exponentially distributed
	baselineSumInterval = time.Second           // interval at which the baseline sums its counters
	attemptsPerSecond   = 10.0                  // mean rate of attempts of a sidecar to the canary
)

const scenarioText = `
title = "route-scale"
[discovery]
registry = 3
[[tenant]]
name = "scale"
share = 1
[routes]
term = "5s"
[[routes.subset]]
name = "new"
servers = "1"
[[routes.tenant]]
name = "scale"
subsets = ["new"]
`

// Measure measures one fleet after the other, with the given numbers of sidecars.
func Measure(ctx context.Context, sidecars []int, o harness.Options) ([]Point, error) {
	var points []Point
	for _, n := range sidecars {
		p, err := measurePoint(ctx, n, o)
		if err != nil {
			return nil, fmt.Errorf("%d sidecars: %w", n, err)
		}
		points = append(points, *p)
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "%d sidecars: p99 until all act on a change %.1f ms\n", n, p.ActP99)
		}
	}
	return points, nil
}

// simulatedSidecar is the route client of a sidecar, with a loop that applies route tables and simulates attempts to
// the canary.
type simulatedSidecar struct {
	client *routeclient.Client
	wake   chan struct{} // capacity 1; receives a value when the client has an update
	shared *sharedState

	mu        sync.Mutex
	actedAt   map[int64]time.Duration // time at which the sidecar applied each revision
	rev       int64                   // revision of the current table
	route     *route.Route            // route with the rollout; nil: the table has no such route
	budget    balance.CanaryBudget
	completed route.Count // completed attempts of one revision

	baseline struct { // what a baseline sidecar would have done with the same requests
		failures      atomic.Int64
		lastAttemptAt atomic.Int64
	}
}

// sharedState is the state that all sidecars of a measurement share. Times are nanoseconds since start.
type sharedState struct {
	start           time.Time
	sendToCanary    atomic.Bool  // sidecars send attempts to the canary
	canaryFailures  atomic.Int64 // failed attempts to the canary
	canaryAttempts  atomic.Int64
	lastAttemptAt   atomic.Int64 // start of the last attempt to the canary
	budgetSpentAt   atomic.Int64 // time of the failure that spent the last unit of the budget; 0: not spent
	baselineStopped atomic.Bool  // the baseline has detected that its budget is spent
}

// now returns the time since the start of the measurement.
func (c *sharedState) now() time.Duration { return time.Since(c.start) }

// wakeUp notifies the loop that the client has an update.
func (p *simulatedSidecar) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run runs the client and the loop until ctx ends.
func (p *simulatedSidecar) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.client.Run(ctx) })
	rng := rand.New(rand.NewPCG(seed, 7))
	next := time.NewTimer(0)
	sample := time.NewTicker(time.Second)
	defer next.Stop()
	defer sample.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			p.applyUpdate()
		case <-sample.C:
			p.offerSample(false)
		case <-next.C:
			next.Reset(time.Duration(rng.ExpFloat64() / attemptsPerSecond * float64(time.Second)))
			if p.shared.sendToCanary.Load() {
				fails := rng.Float64() < canaryFailureRate
				duration := time.Duration(rng.ExpFloat64() * float64(meanRequestTime))
				p.attempt(fails, duration)
			}
		}
	}
}

// applyUpdate applies an update of the route table and grants, as a sidecar's loop does.
func (p *simulatedSidecar) applyUpdate() {
	update, ok := p.client.TakeUpdate()
	if !ok {
		return
	}
	p.mu.Lock()
	if t := update.Table; t != nil {
		p.rev, p.route = t.Rev, nil
		for i := range t.Routes {
			if r := &t.Routes[i]; r.Rollout != "" {
				p.route = r
			}
		}
		p.client.SetActingRev(t.Rev)
		p.actedAt[t.Rev] = p.shared.now()
	}
	for _, g := range update.Grants {
		p.budget.Grant(g.Granted, g.MaxIdle)
	}
	p.mu.Unlock()
	p.offerSample(false)
}

// offerSample passes a sample of the budget and the counts to the client. needsUnits reports that no unit was left for
// an attempt.
func (p *simulatedSidecar) offerSample(needsUnits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := routeclient.Sample{NeedsUnits: needsUnits}
	if p.route != nil {
		s.Budgets = []route.BudgetState{{Tenant: p.route.Tenant, Rollout: p.route.Rollout, Granted: p.budget.Granted,
			Spent: p.budget.Spent, Returned: p.budget.Returned, Wanted: 2}}
	}
	if p.completed.Rev == p.rev {
		s.Counts = []route.Count{p.completed}
	}
	p.client.OfferSample(s)
}

// attempt simulates an attempt to the canary. The sidecar sends it only if it can reserve a unit of the budget. The
// baseline always sends it, until it is stopped.
func (p *simulatedSidecar) attempt(fails bool, duration time.Duration) {
	if !p.shared.baselineStopped.Load() {
		p.baseline.lastAttemptAt.Store(int64(p.shared.now()))
		if fails {
			time.AfterFunc(duration, func() { p.baseline.failures.Add(1) })
		}
	}
	p.mu.Lock()
	r, rev := p.route, p.rev
	if r == nil || r.Share == 0 {
		p.mu.Unlock()
		return
	}
	if !p.budget.Reserve() {
		p.mu.Unlock()
		p.offerSample(true)
		return
	}
	tenant := r.Tenant
	p.mu.Unlock()
	if _, ok := p.client.StartAttempt(rev, tenant, true); !ok {
		p.mu.Lock()
		p.budget.Settle(false)
		p.mu.Unlock()
		return
	}
	p.shared.canaryAttempts.Add(1)
	p.shared.lastAttemptAt.Store(int64(p.shared.now()))
	time.AfterFunc(duration, func() { p.complete(rev, tenant, fails) })
}

// complete records the end of an attempt to the canary.
func (p *simulatedSidecar) complete(rev int64, tenant string, fails bool) {
	if fails && p.shared.canaryFailures.Add(1) == failureBudget {
		p.shared.budgetSpentAt.Store(int64(p.shared.now()))
	}
	p.mu.Lock()
	p.budget.Settle(fails)
	if p.completed.Rev != rev {
		p.completed = route.Count{Rev: rev, Tenant: tenant, Canary: true}
	}
	if p.completed.Ended++; fails {
		p.completed.Failed++
	}
	p.mu.Unlock()
	p.offerSample(false)
}

// measurePoint measures a fleet of n sidecars.
func measurePoint(ctx context.Context, n int, o harness.Options) (*Point, error) {
	f, err := startFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	defer f.close()
	p := &Point{Sidecars: n, Commits: changeCount, Budget: failureBudget}
	before, after, err := f.measureIdle(ctx, idleWindow)
	if err != nil {
		return nil, err
	}
	seconds := (after.at - before.at).Seconds()
	bytesNoSidecars := (after.bytes - before.bytes) / seconds
	p.DiskWritesNoSidecars = (after.diskWrites - before.diskWrites) / seconds
	if err := f.startSidecars(ctx, n); err != nil {
		return nil, err
	}
	if err := f.measureCommits(ctx, p); err != nil {
		return nil, err
	}
	if before, after, err = f.measureIdle(ctx, idleWindow); err != nil {
		return nil, err
	}
	seconds = (after.at - before.at).Seconds()
	p.Bytes = max((after.bytes-before.bytes)/seconds-bytesNoSidecars, 0) / float64(n)
	p.CPU = 1e6 * (after.ownCPU - before.ownCPU) / seconds / float64(n)
	p.LeaderCPU = 1e3 * (after.leaderCPU - before.leaderCPU) / seconds
	p.DiskWrites = (after.diskWrites - before.diskWrites) / seconds
	return p, f.measureOverspend(ctx, p)
}

// Simulate runs the model of a canary that spends its budget, on a simulated clock. It is for fleets that are too large
// to run on one machine.
func Simulate(sidecars int) (*rolloutmodel.Result, error) {
	o := rolloutmodel.Defaults()
	o.Sidecars, o.Budget, o.CanaryFailureRate = sidecars, failureBudget, canaryFailureRate
	o.Controller.Alpha = 1e-100 // only the budget ends the canary, as in the measured fleets, which have no base version
	r, err := rolloutmodel.Simulate(o)
	if err != nil {
		return nil, fmt.Errorf("%d simulated sidecars: %w", sidecars, err)
	}
	return &r, nil
}

// PrintSimulation writes the result of a simulated fleet as one line.
func PrintSimulation(w io.Writer, sidecars int, r *rolloutmodel.Result) {
	fmt.Fprintf(w, "%d simulated: %d attempts, %d failures of a budget of %d, the last attempt %d ms after the last unit; all act on the rollback %d ms after it;"+
		" the baseline %d failures, its last attempt %d ms after; %.1f ledger commands per second\n", sidecars, r.Attempts, r.Failures, r.Budget,
		max(r.LastAttempt-r.LastUnitSpent, 0), r.CanaryStopped-r.LastUnitSpent, r.BaselineFailures, max(r.BaselineLastAttempt-r.BaselineLastUnit, 0), r.LedgerPerSecond)
}

// Print writes the points as a table, one line per number of sidecars.
func Print(w io.Writer, points []Point) {
	fmt.Fprintf(w, "%8s %8s %8s %9s %8s %9s %8s %10s %9s %10s %9s %9s %10s %8s %8s %8s\n", "sidecars", "act p50", "act p99", "failures",
		"budget", "after ms", "rolled", "base fails", "after ms", "bytes/s", "us CPU/s", "leader ms", "writes/s", "busy/s", "bare/s", "tries")
	for _, p := range points {
		fmt.Fprintf(w, "%8d %8.1f %8.1f %9d %8d %9.1f %8.1f %10d %9.1f %10.0f %9.0f %9.1f %10.1f %8.1f %8.1f %8d\n", p.Sidecars, p.ActP50, p.ActP99,
			p.Failures, p.Budget, p.LastAttemptAfter, p.RollbackAfter, p.BaselineFailures, p.BaselineAfter, p.Bytes, p.CPU, p.LeaderCPU, p.DiskWrites, p.DiskWritesBusy, p.DiskWritesNoSidecars, p.Attempts)
	}
}
