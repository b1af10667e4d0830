package lab

// This file is a fleet of simulated duties before a real list service.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/rollout"
	"marblelane/internal/routeclient"
)

// fleet is a play's copies and sidecars.
type routeFleet struct {
	rr       *registryRun
	play     *playState
	sidecars []*simulatedSidecar
	stop     func()
	client   *http.Client
}

// newScaleRun starts the copies alone.
func startCopiesOnly(ctx context.Context, o Options) (*routeFleet, error) {
	s, err := scenario.Parse("route-scale.toml", []byte(routeScaleScenario))
	if err != nil {
		return nil, err
	}
	r := &run{s: s, plan: s.Plan(1), o: o, out: slog.New(slog.DiscardHandler), nursery: process.NewSupervisor(), log: record.New()}
	if r.dir, err = os.MkdirTemp("", "marblelane-routes-"); err != nil {
		r.nursery.Close()
		return nil, err
	}
	f := &routeFleet{play: &playState{start: time.Now()}, client: &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}}
	f.rr = &registryRun{run: r, reg: &scenario.Registry{Replicas: s.Discovery.RegistryReplicas, HeartbeatInterval: scenario.Duration(100 * time.Millisecond)},
		seen: map[int64]uint64{}, counts: map[string]int{}}
	f.stop = func() {
		f.client.CloseIdleConnections()
		f.rr.stop()
		os.RemoveAll(r.dir)
	}
	err = f.rr.startCopies(ctx)
	for i := range r.plan.Servers { // a canary without a ready server pauses
		e := map[string]any{"endpoint": fmt.Sprint("127.0.0.1:", 1000+i), "az": "limerick-dc", "model": "standard"}
		if err == nil {
			_, _, err = f.call(ctx, "/registry/instances/"+r.plan.Servers[i].UID, e)
		}
	}
	if err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// join starts so many sidecars.
func (f *routeFleet) join(ctx context.Context, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	stop := f.stop
	f.stop = func() {
		cancel()
		wg.Wait()
		stop()
	}
	for i := range n {
		p := &simulatedSidecar{wake: make(chan struct{}, 1), play: f.play, actedAt: map[int64]time.Duration{}}
		var addrs []string
		for k := range f.rr.copies { // watches are spread as sidecars of several zones would
			addrs = append(addrs, f.rr.copies[(i+k)%len(f.rr.copies)].serve)
		}
		var err error
		p.client, err = routeclient.New(routeclient.Config{Addrs: addrs, Name: fmt.Sprint("n", i), Start: time.Now().UnixNano(), Version: "lab",
			Schemas: []int{1, 2}, Log: slog.New(slog.DiscardHandler), Wake: func() {
				select {
				case p.wake <- struct{}{}:
				default:
				}
			}})
		if err != nil {
			return err
		}
		f.sidecars = append(f.sidecars, p)
		wg.Go(func() { p.run(ctx, uint64(i)) })
	}
	return nil
}

// call makes a change and gives its revision, with when it was called.
func (f *routeFleet) call(ctx context.Context, path string, body any) (rev int64, called time.Duration, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, err
	}
	for try := 0; ; try++ {
		called = f.play.now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.rr.copies[try%len(f.rr.copies)].serve+path, bytes.NewReader(data))
		if err != nil {
			return 0, 0, err
		}
		resp, err := f.client.Do(req)
		if err != nil {
			return 0, 0, err
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, 0, err
		}
		var got struct {
			Rev int64 `json:"rev"`
		}
		if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &got) == nil {
			return got.Rev, called, nil
		}
		if resp.StatusCode != http.StatusServiceUnavailable || try > 200 || !sleep(ctx, 50*time.Millisecond) {
			return 0, 0, fmt.Errorf("%s is answered %s: %s", path, resp.Status, bytes.TrimSpace(text))
		}
	}
}

// acting waits until all act on a revision, and gives when the last began to.
func (f *routeFleet) awaitActing(ctx context.Context, rev int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
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
		if !sleep(ctx, 5*time.Millisecond) {
			return 0, errors.New("some sidecars do not act on a change")
		}
	}
}

// use is what the copies and this process have used so far.
type resourceUse struct {
	at                    time.Duration
	processCPU, leaderCPU float64 // CPU seconds
	bytes                 float64 // that all copies read and wrote, raft's and disks' included
	diskWrites            float64
}

func (f *routeFleet) resourceUse(ctx context.Context) (resourceUse, error) {
	u := resourceUse{at: f.play.now()}
	var t syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &t); err != nil {
		return u, err
	}
	u.processCPU = time.Duration(t.Utime.Nano() + t.Stime.Nano()).Seconds()
	lead := f.rr.leader(ctx)
	if lead == nil {
		return u, errors.New("the list service has no leader")
	}
	for _, c := range f.rr.copies {
		io, err := readIO(c.process().PID)
		if err != nil {
			return u, err
		}
		u.bytes += io["rchar"] + io["wchar"]
		if c == lead {
			m, err := process.Measure(c.process().PID)
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

// readIO reads what the kernel counts of a process's reads and writes.
func readIO(pid int) (map[string]float64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/io")
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	out := map[string]float64{}
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		key, value, _ := strings.Cut(in.Text(), ":")
		out[key], _ = strconv.ParseFloat(strings.TrimSpace(value), 64)
	}
	return out, nil
}

// indexOf is how many commands a copy's log has: each command, or several that come together, is one synced write.
func (f *routeFleet) diskWrites(ctx context.Context, c *registryCopy) (float64, error) {
	code, text, err := quick(ctx, http.MethodGet, "http://"+c.serve+"/stats", nil)
	if err != nil || code != http.StatusOK {
		return 0, fmt.Errorf("measure: /stats is answered %d, %w", code, err)
	}
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		if value, ok := strings.CutPrefix(in.Text(), "registry_disk_writes_total "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, nil
}

// idle measures what goes on while nothing changes.
func (f *routeFleet) measureIdle(ctx context.Context, wait time.Duration) (before, after resourceUse, err error) {
	if before, err = f.resourceUse(ctx); err != nil {
		return before, after, err
	}
	if !sleep(ctx, wait) {
		return before, after, ctx.Err()
	}
	after, err = f.resourceUse(ctx)
	return before, after, err
}

// commits changes the tenant's base again and again.
func (f *routeFleet) measureCommits(ctx context.Context, p *RoutePoint) error {
	var took []time.Duration
	for i := range commitCount + 1 {
		to := ""
		if i%2 == 0 {
			to = "new"
		}
		rev, called, err := f.call(ctx, "/routes/scale/base", map[string]string{"to": to})
		if err != nil {
			return err
		}
		last, err := f.awaitActing(ctx, rev)
		if err != nil {
			return err
		}
		if i > 0 { // the first is when they come
			took = append(took, last-called)
		}
		if !sleep(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
	slices.Sort(took)
	ms := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))]) / float64(time.Millisecond) }
	p.ActP50, p.ActP99 = ms(0.5), ms(0.99)
	return nil
}

// overspend lets a canary fail until its budget is spent, beside the baseline.
func (f *routeFleet) measureOverspend(ctx context.Context, p *RoutePoint) error {
	rev, _, err := f.call(ctx, "/routes/scale/rollouts/spent", posted{To: "new", Budget: failureBudget, AtEnd: "return",
		Steps: []rollout.Step{{CanaryFraction: 1, HoldMS: time.Hour.Milliseconds()}}})
	if err != nil {
		return err
	}
	if _, err := f.awaitActing(ctx, rev); err != nil {
		return err
	}
	a, err := f.resourceUse(ctx)
	if err != nil {
		return err
	}
	f.play.canaryBusy.Store(true)
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	// The baseline: a sum of all counters each second; whoever is told stops at once.
	over, filled := time.Duration(0), time.Duration(0)
	for sum := f.play.now(); over == 0 || f.play.budgetSpentAt.Load() == 0; {
		if !sleep(ctx, time.Millisecond) {
			return fmt.Errorf("after a minute %d of %d units are spent", f.play.canaryFailures.Load(), failureBudget)
		}
		failures := int64(0)
		for _, one := range f.sidecars {
			failures += one.baseline.failures.Load()
		}
		if failures >= failureBudget && filled == 0 {
			filled = f.play.now()
		}
		if now := f.play.now(); now-sum >= baselineSumInterval {
			if sum = now; failures >= failureBudget && over == 0 {
				over = now
				f.play.baselineStopped.Store(true)
			}
		}
	}
	back, err := f.awaitActing(ctx, rev+1)
	if err != nil {
		return err
	}
	sleep(ctx, 10*meanRequestTime) // what is out ends
	f.play.canaryBusy.Store(false)
	b, err := f.resourceUse(ctx)
	if err != nil {
		return err
	}
	ms := func(d time.Duration) float64 { return max(float64(d)/float64(time.Millisecond), 0) }
	p.DiskWritesBusy = (b.diskWrites - a.diskWrites) / (b.at - a.at).Seconds()
	p.Failures, p.Attempts = f.play.canaryFailures.Load(), f.play.canaryAttempts.Load()
	p.LastAttemptAfter = ms(time.Duration(f.play.lastAttemptAt.Load() - f.play.budgetSpentAt.Load()))
	p.RollbackAfter = ms(back - time.Duration(f.play.budgetSpentAt.Load()))
	for _, one := range f.sidecars {
		p.BaselineFailures += one.baseline.failures.Load()
		p.BaselineAfter = max(p.BaselineAfter, ms(time.Duration(one.baseline.last.Load())-filled))
	}
	return nil
}
