package routescale

// This file measures a fleet of simulated sidecars with a real list service.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/experiment/testbed"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/rollouts"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/rollout"
	"marblelane/internal/routeclient"
)

// fleet is the replicas of the list service and the simulated sidecars.
type fleet struct {
	run      *harness.Run
	registry *testbed.Registry
	shared   *sharedState
	sidecars []*simulatedSidecar

	stopSidecars context.CancelFunc
	running      sync.WaitGroup
}

// startFleet starts the list service, without sidecars.
func startFleet(ctx context.Context, o harness.Options) (*fleet, error) {
	s, err := scenario.Parse("route-scale.toml", []byte(scenarioText))
	if err != nil {
		return nil, err
	}
	o.Seed, o.Log = 1, nil
	r, err := harness.New(s, o)
	if err != nil {
		return nil, err
	}
	f := &fleet{run: r, registry: testbed.NewRegistry(r), shared: &sharedState{start: time.Now()}}
	if err := f.startReplicas(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startReplicas starts the list service and registers the servers, as a canary without a ready server is paused.
func (f *fleet) startReplicas(ctx context.Context) error {
	if err := f.registry.Start(ctx); err != nil {
		return err
	}
	for i := range f.run.Plan.Servers {
		entry := map[string]any{"endpoint": fmt.Sprint("127.0.0.1:", 1000+i), "az": "limerick-dc", "model": "standard"}
		if _, _, err := f.registry.Change(ctx, "/registry/instances/"+f.run.Plan.Servers[i].UID, entry); err != nil {
			return err
		}
	}
	return nil
}

// close stops the sidecars and the list service.
func (f *fleet) close() {
	if f.stopSidecars != nil {
		f.stopSidecars()
	}
	f.running.Wait()
	f.registry.Close()
	f.run.Close()
}

// startSidecars starts n sidecars. Their watches are spread over the replicas, as the watches of sidecars in several
// zones are.
func (f *fleet) startSidecars(ctx context.Context, n int) error {
	ctx, f.stopSidecars = context.WithCancel(ctx)
	for i := range n {
		p := &simulatedSidecar{wake: make(chan struct{}, 1), shared: f.shared, actedAt: map[int64]time.Duration{}}
		var err error
		p.client, err = routeclient.New(routeclient.Config{Addrs: f.registry.Addrs(i), Name: fmt.Sprint("n", i),
			Start: time.Now().UnixNano(), Version: "lab", Schemas: []int{1, 2}, Log: slog.New(slog.DiscardHandler),
			Wake: p.wakeUp})
		if err != nil {
			return err
		}
		f.sidecars = append(f.sidecars, p)
		f.running.Go(func() { p.run(ctx, uint64(i)) })
	}
	return nil
}

// overspendTimeout limits the time until the budget is spent and the sidecars act on the rollback.
const overspendTimeout = time.Minute

// awaitActing waits until all sidecars act on a revision or a later one, and returns the time at which the last of them
// began.
func (f *fleet) awaitActing(ctx context.Context, rev int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	for {
		last, behind := time.Duration(0), false
		for _, p := range f.sidecars {
			p.mu.Lock()
			first := time.Duration(-1)
			for r, at := range p.actedAt {
				if r >= rev && (first < 0 || at < first) {
					first = at
				}
			}
			p.mu.Unlock()
			behind = behind || first < 0
			last = max(last, first)
		}
		if !behind {
			return last, nil
		}
		if !harness.Sleep(ctx, 5*time.Millisecond) {
			return 0, errors.New("wait for a change: some sidecars do not act on it")
		}
	}
}

// resourceUse is what the replicas and this process have used since their start.
type resourceUse struct {
	at                time.Duration // time since the start of the measurement
	ownCPU, leaderCPU float64       // CPU seconds of this process and of the leader
	bytes             float64       // bytes read and written by all replicas, on the network and on disk
	diskWrites        float64       // number of synced writes of the leader
}

// resourceUse reads the current use. It fails if the list service has no leader.
func (f *fleet) resourceUse(ctx context.Context) (resourceUse, error) {
	u := resourceUse{at: f.shared.now()}
	var t syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &t); err != nil {
		return u, err
	}
	u.ownCPU = time.Duration(t.Utime.Nano() + t.Stime.Nano()).Seconds()
	lead := f.registry.Leader(ctx)
	if lead == nil {
		return u, errors.New("measure: list service has no leader")
	}
	for _, c := range f.registry.Replicas {
		io, err := readIO(c.Process().PID)
		if err != nil {
			return u, err
		}
		u.bytes += io["rchar"] + io["wchar"]
		if c == lead {
			m, err := process.Measure(c.Process().PID)
			if err != nil {
				return u, err
			}
			u.leaderCPU = m.CPU
			if u.diskWrites, err = f.diskWrites(ctx, c); err != nil {
				return u, err
			}
		}
	}
	return u, nil
}

// readIO returns the kernel's I/O counters of a process by name, from /proc/PID/io.
func readIO(pid int) (map[string]float64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/io")
	if err != nil {
		return nil, fmt.Errorf("measure I/O: %w", err)
	}
	out := map[string]float64{}
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		key, value, _ := strings.Cut(in.Text(), ":")
		out[key], _ = strconv.ParseFloat(strings.TrimSpace(value), 64)
	}
	return out, nil
}

// diskWrites returns the number of synced writes of a replica to its log. A write contains one or more commands.
func (f *fleet) diskWrites(ctx context.Context, c *cluster.Replica) (float64, error) {
	code, text, err := cluster.Call(ctx, http.MethodGet, c.URL("/stats"), nil)
	if err != nil || code != http.StatusOK {
		return 0, fmt.Errorf("measure: GET /stats: status %d: %w", code, err)
	}
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		if value, ok := strings.CutPrefix(in.Text(), "registry_disk_writes_total "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, nil
}

// measureIdle returns the use before and after a wait in which nothing changes.
func (f *fleet) measureIdle(ctx context.Context, wait time.Duration) (before, after resourceUse, err error) {
	if before, err = f.resourceUse(ctx); err != nil {
		return before, after, err
	}
	if !harness.Sleep(ctx, wait) {
		return before, after, ctx.Err()
	}
	after, err = f.resourceUse(ctx)
	return before, after, err
}

// measureCommits changes the tenant's base repeatedly. It measures the time from each call until all sidecars act on
// the change.
func (f *fleet) measureCommits(ctx context.Context, p *Point) error {
	var delays []time.Duration
	for i := range changeCount + 1 {
		to := ""
		if i%2 == 0 {
			to = "new"
		}
		rev, called, err := f.registry.Change(ctx, "/routes/scale/base", map[string]string{"to": to})
		if err != nil {
			return err
		}
		last, err := f.awaitActing(ctx, rev)
		if err != nil {
			return err
		}
		if i > 0 { // the first change is left out, as its time includes the start of the sidecars
			delays = append(delays, last-called.Sub(f.shared.start))
		}
		if !harness.Sleep(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
	slices.Sort(delays)
	p.ActP50, p.ActP99 = harness.Milliseconds(harness.Quantile(delays, 0.5)), harness.Milliseconds(harness.Quantile(delays, 0.99))
	return nil
}

// measureOverspend lets a canary fail until its budget is spent, and measures the attempts after that. The baseline
// runs with the same requests.
func (f *fleet) measureOverspend(ctx context.Context, p *Point) error {
	rev, _, err := f.registry.Change(ctx, "/routes/scale/rollouts/spent", rollouts.Request{To: "new", Budget: failureBudget, AtEnd: "return",
		Steps: []rollout.Step{{CanaryFraction: 1, HoldMS: time.Hour.Milliseconds()}}})
	if err != nil {
		return err
	}
	if _, err := f.awaitActing(ctx, rev); err != nil {
		return err
	}
	before, err := f.resourceUse(ctx)
	if err != nil {
		return err
	}
	f.shared.sendToCanary.Store(true)
	ctx, cancel := context.WithTimeout(ctx, overspendTimeout)
	defer cancel()
	baselineSpentAt, err := f.awaitBudgetsSpent(ctx)
	if err != nil {
		return err
	}
	rolledBackAt, err := f.awaitActing(ctx, rev+1)
	if err != nil {
		return err
	}
	harness.Sleep(ctx, 10*meanRequestTime) // waits for the attempts in flight
	f.shared.sendToCanary.Store(false)
	after, err := f.resourceUse(ctx)
	if err != nil {
		return err
	}
	budgetSpentAt := time.Duration(f.shared.budgetSpentAt.Load())
	p.DiskWritesBusy = (after.diskWrites - before.diskWrites) / (after.at - before.at).Seconds()
	p.Failures, p.Attempts = f.shared.canaryFailures.Load(), f.shared.canaryAttempts.Load()
	p.LastAttemptAfter = nonNegativeMS(time.Duration(f.shared.lastAttemptAt.Load()) - budgetSpentAt)
	p.RollbackAfter = nonNegativeMS(rolledBackAt - budgetSpentAt)
	for _, sidecar := range f.sidecars {
		p.BaselineFailures += sidecar.baseline.failures.Load()
		lastAttemptAt := time.Duration(sidecar.baseline.lastAttemptAt.Load())
		p.BaselineAfter = max(p.BaselineAfter, nonNegativeMS(lastAttemptAt-baselineSpentAt))
	}
	return nil
}

// awaitBudgetsSpent waits until the canary's budget is spent and the baseline has stopped. The baseline sums the
// counters of all sidecars every baselineSumInterval, and stops them at once when the sum has reached the budget. The
// result is the time at which the failures of the baseline reached the budget.
func (f *fleet) awaitBudgetsSpent(ctx context.Context) (baselineSpentAt time.Duration, err error) {
	stopped := false
	for lastSum := f.shared.now(); !stopped || f.shared.budgetSpentAt.Load() == 0; {
		if !harness.Sleep(ctx, time.Millisecond) {
			return 0, fmt.Errorf("wait for the spent budget: %d of %d units are spent", f.shared.canaryFailures.Load(), failureBudget)
		}
		failures := int64(0)
		for _, sidecar := range f.sidecars {
			failures += sidecar.baseline.failures.Load()
		}
		spent := failures >= failureBudget
		if spent && baselineSpentAt == 0 {
			baselineSpentAt = f.shared.now()
		}
		if now := f.shared.now(); now-lastSum >= baselineSumInterval {
			lastSum = now
			if spent && !stopped {
				stopped = true
				f.shared.baselineStopped.Store(true)
			}
		}
	}
	return baselineSpentAt, nil
}

// nonNegativeMS returns a duration in milliseconds, 0 for a negative one.
func nonNegativeMS(d time.Duration) float64 { return max(harness.Milliseconds(d), 0) }
