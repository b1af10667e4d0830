package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marblelane/balance"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/rollout"
	plays "marblelane/internal/rollout/model"
	"marblelane/internal/route"
	"marblelane/internal/routeclient"
)

// RoutePoint is what routes cost with so many sidecars. Times are in milliseconds. Sidecars are the product's own
// duties (package steer) with a stand-in for the loop, all in one process; the three copies are processes.
type RoutePoint struct {
	Sidecars int     `json:"sidecars"`
	Commits  int     `json:"commits"`
	ActP50   float64 `json:"act_p50_ms"` // from the call of a change to the last sidecar that acts on it
	ActP99   float64 `json:"act_p99_ms"`

	Budget       int64   `json:"budget"`
	Failures     int64   `json:"failures"`      // on the canary
	Attempts     int64   `json:"attempts"`      // to it
	After        float64 `json:"after_ms"`      // from the failure that spent the last unit to the last attempt that began; 0: none did
	RolledBack   float64 `json:"rolled_ms"`     // from then to the last sidecar that acts on the rollback
	BaseFailures int64   `json:"base_failures"` // of the baseline, which sums counters once a second, at the same requests
	BaseAfter    float64 `json:"base_after_ms"`

	Bytes      float64 `json:"bytes_per_s"`     // of a sidecar, both ways, with nothing changing
	CPU        float64 `json:"cpu_us_per_s"`    // of a sidecar
	LeaderCPU  float64 `json:"leader_cpu_ms_s"` // ms a second
	Writes     float64 `json:"disk_writes_s"`   // the leader's synced writes a second, with nothing changing
	WritesBusy float64 `json:"disk_busy_s"`     // while a canary fails
	Bare       float64 `json:"disk_bare_s"`     // without any sidecar
}

// Figures of the plays.
const (
	scaleCommits = 20
	scaleIdle    = 5 * time.Second
	scaleBudget  = 100
	scaleFails   = 0.2 // of attempts to the canary
	scaleTakes   = 20 * time.Millisecond
	scaleSum     = time.Second // between two sums of the baseline
	scaleRate    = 10.0        // attempts a second of each sidecar that would go to the canary
)

const scaleScenario = `
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

// RouteScale measures fleets of several sizes.
func RouteScale(ctx context.Context, sidecars []int, o Options) ([]RoutePoint, error) {
	var points []RoutePoint
	for _, n := range sidecars {
		p, err := routePoint(ctx, n, o)
		if err != nil {
			return nil, fmt.Errorf("%d sidecars: %w", n, err)
		}
		points = append(points, *p)
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "%d sidecars: acting p99 %.1f ms\n", n, p.ActP99)
		}
	}
	return points, nil
}

// puppet is a sidecar: its duties, and a loop that acts on tables and tries the canary.
type puppet struct {
	steer *routeclient.Client
	wake  chan struct{}
	at    *scaleClock

	mu    sync.Mutex
	acts  map[int64]time.Duration // when it first acted on a revision or a later one
	rev   int64
	route *route.Route
	purse balance.CanaryBudget
	done  route.Count

	naive struct { // what a sidecar of the baseline would have done
		failures atomic.Int64
		last     atomic.Int64
	}
}

// scaleClock is what all sidecars of a play share.
type scaleClock struct {
	began   time.Time
	busy    atomic.Bool  // the canary is tried
	spent   atomic.Int64 // failures on the canary
	tries   atomic.Int64
	last    atomic.Int64 // when the last attempt to the canary began
	filled  atomic.Int64 // when the failure came that spent the last unit
	stopped atomic.Bool  // the baseline's sidecars have been told
}

func (c *scaleClock) now() time.Duration { return time.Since(c.began) }

func (p *puppet) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.steer.Run(ctx) })
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
			p.take()
		case <-sample.C:
			p.offer(false)
		case <-next.C:
			next.Reset(time.Duration(rng.ExpFloat64() / scaleRate * float64(time.Second)))
			if p.at.busy.Load() {
				fails, takes := rng.Float64() < scaleFails, time.Duration(rng.ExpFloat64()*float64(scaleTakes))
				p.try(fails, takes)
			}
		}
	}
}

// take does what a sidecar's loop does with news.
func (p *puppet) take() {
	news, ok := p.steer.Take()
	if !ok {
		return
	}
	p.mu.Lock()
	if t := news.Table; t != nil {
		p.rev, p.route = t.Rev, nil
		for i := range t.Routes {
			if r := &t.Routes[i]; r.Rollout != "" {
				p.route = r
			}
		}
		p.steer.ActOn(t.Rev)
		p.acts[t.Rev] = p.at.now()
	}
	for _, g := range news.Grants {
		p.purse.Grant(g.Granted, g.Keep)
	}
	p.mu.Unlock()
	p.offer(false)
}

// offer hands a sample over.
func (p *puppet) offer(short bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := routeclient.Sample{Short: short}
	if p.route != nil {
		s.Purses = []route.PurseState{{Tenant: p.route.Tenant, Rollout: p.route.Rollout, Granted: p.purse.Granted,
			Spent: p.purse.Spent, Returned: p.purse.Returned, Want: 2}}
	}
	if p.done.Rev == p.rev {
		s.Counts = []route.Count{p.done}
	}
	p.steer.Offer(s)
}

// try sends one request to the canary if a unit can be set aside, and for the baseline in any case until it is told.
func (p *puppet) try(fails bool, takes time.Duration) {
	if !p.at.stopped.Load() {
		p.naive.last.Store(int64(p.at.now()))
		if fails {
			time.AfterFunc(takes, func() { p.naive.failures.Add(1) })
		}
	}
	p.mu.Lock()
	r, rev := p.route, p.rev
	if r == nil || r.Share == 0 {
		p.mu.Unlock()
		return
	}
	if !p.purse.Take() {
		p.mu.Unlock()
		p.offer(true)
		return
	}
	tenant := r.Tenant
	p.mu.Unlock()
	if _, ok := p.steer.Begin(rev, tenant, true); !ok {
		p.mu.Lock()
		p.purse.Settle(false)
		p.mu.Unlock()
		return
	}
	p.at.tries.Add(1)
	p.at.last.Store(int64(p.at.now()))
	time.AfterFunc(takes, func() {
		if fails && p.at.spent.Add(1) == scaleBudget {
			p.at.filled.Store(int64(p.at.now()))
		}
		p.mu.Lock()
		p.purse.Settle(fails)
		if p.done.Rev != rev {
			p.done = route.Count{Rev: rev, Tenant: tenant, Canary: true}
		}
		if p.done.Ended++; fails {
			p.done.Failed++
		}
		p.mu.Unlock()
		p.offer(false)
	})
}

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
	r := &run{s: s, plan: s.Plan(1), o: o, out: slog.New(slog.DiscardHandler), nursery: process.NewNursery(), log: record.New()}
	if r.dir, err = os.MkdirTemp("", "marblelane-routes-"); err != nil {
		r.nursery.Close()
		return nil, err
	}
	f := &fleet{at: &scaleClock{began: time.Now()}, client: &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}}
	f.rr = &registryRun{run: r, reg: &scenario.Registry{Copies: s.Discovery.Registry, Beat: scenario.Duration(100 * time.Millisecond)},
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

// routePoint measures one size.
func routePoint(ctx context.Context, n int, o Options) (*RoutePoint, error) {
	f, err := newScaleRun(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { f.stop() }()
	p := &RoutePoint{Sidecars: n, Commits: scaleCommits, Budget: scaleBudget}
	a, b, err := f.idle(ctx, scaleIdle)
	if err != nil {
		return nil, err
	}
	bare := (b.bytes - a.bytes) / (b.at - a.at).Seconds()
	p.Bare = (b.writes - a.writes) / (b.at - a.at).Seconds()
	if err := f.join(ctx, n); err != nil {
		return nil, err
	}
	if err := f.commits(ctx, p); err != nil {
		return nil, err
	}
	if a, b, err = f.idle(ctx, scaleIdle); err != nil {
		return nil, err
	}
	seconds := (b.at - a.at).Seconds()
	p.Bytes = max((b.bytes-a.bytes)/seconds-bare, 0) / float64(n)
	p.CPU = 1e6 * (b.own - a.own) / seconds / float64(n)
	p.LeaderCPU = 1e3 * (b.leader - a.leader) / seconds
	p.Writes = (b.writes - a.writes) / seconds
	return p, f.overspend(ctx, p)
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
		Steps: []rollout.Step{{Share: 1, HoldMS: time.Hour.Milliseconds()}}})
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

// RouteModel is the same on a simulated clock, for fleets that no machine holds.
func RouteModel(sidecars int) (*plays.Result, error) {
	o := plays.Defaults()
	o.Sidecars, o.Budget, o.Canary = sidecars, scaleBudget, scaleFails
	o.Controller.Alpha = 1e-100 // the budget decides, as it does in the fleets that are measured: they have no base
	r, err := plays.Play(o)
	if err != nil {
		return nil, fmt.Errorf("%d simulated sidecars: %w", sidecars, err)
	}
	return &r, nil
}

// PrintRouteModel writes what became of a simulated play.
func PrintRouteModel(w io.Writer, sidecars int, r *plays.Result) {
	fmt.Fprintf(w, "%d simulated: %d attempts, %d failures of a budget of %d, the last attempt %d ms after the last unit; all act on the rollback %d ms after it;"+
		" the baseline %d failures, its last attempt %d ms after; %.1f ledger commands a second\n", sidecars, r.Attempts, r.Failures, r.Budget,
		max(r.LastAttempt-r.LastUnit, 0), r.AllActing-r.LastUnit, r.BaselineFailures, max(r.BaselineLastAttempt-r.BaselineLastUnit, 0), r.LedgerPerSecond)
}

// PrintRouteScale writes the sizes as a table.
func PrintRouteScale(w io.Writer, points []RoutePoint) {
	fmt.Fprintf(w, "%8s %8s %8s %9s %8s %9s %8s %10s %9s %10s %9s %9s %10s %8s %8s %8s\n", "sidecars", "act p50", "act p99", "failures",
		"budget", "after ms", "rolled", "base fails", "after ms", "bytes/s", "us CPU/s", "leader ms", "writes/s", "busy/s", "bare/s", "tries")
	for _, p := range points {
		fmt.Fprintf(w, "%8d %8.1f %8.1f %9d %8d %9.1f %8.1f %10d %9.1f %10.0f %9.0f %9.1f %10.1f %8.1f %8.1f %8d\n", p.Sidecars, p.ActP50, p.ActP99,
			p.Failures, p.Budget, p.After, p.RolledBack, p.BaseFailures, p.BaseAfter, p.Bytes, p.CPU, p.LeaderCPU, p.Writes, p.WritesBusy, p.Bare, p.Attempts)
	}
}
