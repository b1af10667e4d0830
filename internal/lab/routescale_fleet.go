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
type fleet struct {
	rr      *registryRun
	at      *scaleClock
	puppets []*puppet
	stop    func()
	client  *http.Client
}

// newScaleRun starts the copies alone.
func newScaleRun(ctx context.Context, o Options) (*fleet, error) {
	s, err := scenario.Parse("route-scale.toml", []byte(scaleScenario))
	if err != nil {
		return nil, err
	}
	r := &run{s: s, plan: s.Plan(1), o: o, out: slog.New(slog.DiscardHandler), nursery: process.NewSupervisor(), log: record.New()}
	if r.dir, err = os.MkdirTemp("", "marblelane-routes-"); err != nil {
		r.nursery.Close()
		return nil, err
	}
	f := &fleet{at: &scaleClock{began: time.Now()}, client: &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}}
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
func (f *fleet) join(ctx context.Context, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	stop := f.stop
	f.stop = func() {
		cancel()
		wg.Wait()
		stop()
	}
	for i := range n {
		p := &puppet{wake: make(chan struct{}, 1), at: f.at, acts: map[int64]time.Duration{}}
		var addrs []string
		for k := range f.rr.copies { // watches are spread as sidecars of several zones would
			addrs = append(addrs, f.rr.copies[(i+k)%len(f.rr.copies)].serve)
		}
		var err error
		p.steer, err = routeclient.New(routeclient.Config{Addrs: addrs, Name: fmt.Sprint("n", i), Start: time.Now().UnixNano(), Version: "lab",
			Schemas: []int{1, 2}, Log: slog.New(slog.DiscardHandler), Wake: func() {
				select {
				case p.wake <- struct{}{}:
				default:
				}
			}})
		if err != nil {
			return err
		}
		f.puppets = append(f.puppets, p)
		wg.Go(func() { p.run(ctx, uint64(i)) })
	}
	return nil
}

// call makes a change and gives its revision, with when it was called.
func (f *fleet) call(ctx context.Context, path string, body any) (rev int64, called time.Duration, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, err
	}
	for try := 0; ; try++ {
		called = f.at.now()
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
func (f *fleet) acting(ctx context.Context, rev int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		last, behind := time.Duration(0), false
		for _, p := range f.puppets {
			p.mu.Lock()
			first := time.Duration(-1)
			for r, at := range p.acts {
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
type use struct {
	at          time.Duration
	own, leader float64 // CPU seconds
	bytes       float64 // that all copies read and wrote, raft's and disks' included
	writes      float64
}

func (f *fleet) use(ctx context.Context) (use, error) {
	u := use{at: f.at.now()}
	var t syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &t); err != nil {
		return u, err
	}
	u.own = time.Duration(t.Utime.Nano() + t.Stime.Nano()).Seconds()
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
			u.leader = m.CPU
			if u.writes, err = f.indexOf(ctx, c); err != nil {
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
func (f *fleet) indexOf(ctx context.Context, c *registryCopy) (float64, error) {
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
func (f *fleet) idle(ctx context.Context, wait time.Duration) (before, after use, err error) {
	if before, err = f.use(ctx); err != nil {
		return before, after, err
	}
	if !sleep(ctx, wait) {
		return before, after, ctx.Err()
	}
	after, err = f.use(ctx)
	return before, after, err
}

// commits changes the tenant's base again and again.
func (f *fleet) commits(ctx context.Context, p *RoutePoint) error {
	var took []time.Duration
	for i := range scaleCommits + 1 {
		to := ""
		if i%2 == 0 {
			to = "new"
		}
		rev, called, err := f.call(ctx, "/routes/scale/base", map[string]string{"to": to})
		if err != nil {
			return err
		}
		last, err := f.acting(ctx, rev)
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
func (f *fleet) overspend(ctx context.Context, p *RoutePoint) error {
	rev, _, err := f.call(ctx, "/routes/scale/rollouts/spent", posted{To: "new", Budget: scaleBudget, AtEnd: "return",
		Steps: []rollout.Step{{CanaryFraction: 1, HoldMS: time.Hour.Milliseconds()}}})
	if err != nil {
		return err
	}
	if _, err := f.acting(ctx, rev); err != nil {
		return err
	}
	a, err := f.use(ctx)
	if err != nil {
		return err
	}
	f.at.busy.Store(true)
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	// The baseline: a sum of all counters each second; whoever is told stops at once.
	over, filled := time.Duration(0), time.Duration(0)
	for sum := f.at.now(); over == 0 || f.at.filled.Load() == 0; {
		if !sleep(ctx, time.Millisecond) {
			return fmt.Errorf("after a minute %d of %d units are spent", f.at.spent.Load(), scaleBudget)
		}
		failures := int64(0)
		for _, one := range f.puppets {
			failures += one.naive.failures.Load()
		}
		if failures >= scaleBudget && filled == 0 {
			filled = f.at.now()
		}
		if now := f.at.now(); now-sum >= scaleSum {
			if sum = now; failures >= scaleBudget && over == 0 {
				over = now
				f.at.stopped.Store(true)
			}
		}
	}
	back, err := f.acting(ctx, rev+1)
	if err != nil {
		return err
	}
	sleep(ctx, 10*scaleTakes) // what is out ends
	f.at.busy.Store(false)
	b, err := f.use(ctx)
	if err != nil {
		return err
	}
	ms := func(d time.Duration) float64 { return max(float64(d)/float64(time.Millisecond), 0) }
	p.WritesBusy = (b.writes - a.writes) / (b.at - a.at).Seconds()
	p.Failures, p.Attempts = f.at.spent.Load(), f.at.tries.Load()
	p.After = ms(time.Duration(f.at.last.Load() - f.at.filled.Load()))
	p.RolledBack = ms(back - time.Duration(f.at.filled.Load()))
	for _, one := range f.puppets {
		p.BaseFailures += one.naive.failures.Load()
		p.BaseAfter = max(p.BaseAfter, ms(time.Duration(one.naive.last.Load())-filled))
	}
	return nil
}
