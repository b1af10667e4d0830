package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

// CostVariant is a sidecar whose cost is measured.
type CostVariant struct {
	Name          string
	Program       string
	ConfigPatches []json.RawMessage // merged into its configuration in turn, by the rules of JSON Merge Patch (RFC 7386)
	WithRoutes    bool              // its requests go along a route, told by real copies of the list service
	WithMembers   bool              // it is in a fleet with CostOptions.Members idle sidecars
}

// CostOptions are what a measurement of costs needs.
type CostOptions struct {
	Variants    []CostVariant
	Baseline    string // the variant that the others are compared with; empty: the first
	Rounds      int    // two at least
	Length      time.Duration
	IdleTime    time.Duration // from ready until its memory is measured
	Rate        float64       // requests a second in all; 0: each connection sends the next when it has its answer
	Connections int
	Servers     int
	IdleMembers int    // idle sidecars in the fleet of variants that are members
	Self        string // the command's file, for copies of the list service; empty: this program
	Dir         string // for files; empty: a temporary one that goes with the run
	Progress    io.Writer

	warmUp, settleTimeout time.Duration // 0: costWarm, costSettle
}

// RequestCost is what variants of a sidecar cost.
type RequestCost struct {
	Baseline    string        `json:"base"`
	Rounds      int           `json:"rounds"`
	Seconds     float64       `json:"seconds"`
	Rate        float64       `json:"rate_per_s"` // 0: closed loop
	Connections int           `json:"connections"`
	Variants    []VariantCost `json:"variants"`
}

// VariantCost is what one variant costs, each figure the median of its rounds.
type VariantCost struct {
	Name      string      `json:"name"`
	CPU       float64     `json:"cpu_us_per_request"`
	Ratio     *Interval   `json:"ratio,omitempty"` // of CPU per request to the base's; nil: it is the base
	PerSecond float64     `json:"requests_per_s"`
	IdleCPU   float64     `json:"idle_cpu_us_per_s"`
	IdleRSS   float64     `json:"idle_rss_mb"`
	Start     float64     `json:"start_ms"` // from the start of the process until it says that it is ready
	Rounds    []CostRound `json:"per_round"`
}

// CostRound is one start of a variant.
type CostRound struct {
	Requests  int64   `json:"requests"`
	Failed    int64   `json:"failed"` // answered otherwise than with 200, or not at all
	CPU       float64 `json:"cpu_us_per_request"`
	PerSecond float64 `json:"requests_per_s"`
	IdleCPU   float64 `json:"idle_cpu_us_per_s"`
	IdleRSS   float64 `json:"idle_rss_mb"`
	Start     float64 `json:"start_ms"`
}

// Interval is the mean of a figure with its 95 % confidence interval (Student's t).
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

const (
	defaultWarmUp        = time.Second            // of requests before those that are measured
	sliceLength          = 200 * time.Millisecond // for which a variant is driven before it is another's turn
	defaultSettleTimeout = 20 * time.Second
	maxFailedFraction    = 0.01 // share of requests that may fail in a round that counts
	minRoutedFraction    = 0.99 // share that has to go along a route, where there is one
	costSubset           = "near"
	costTenant           = "cost"
)

const costScenario = `
title = "request-cost"
length = "2s"
[sidecars]
count = 1
[network]
zones = ["here"]
[discovery]
registry = 3
[[tenant]]
name = "cost"
share = 1
[[class]]
name = "look"
share = 1.0
work = "1ms"
aim = "1s"
deadline = "2s"
[[routes.subset]]
name = "near"
servers = "50%"
[[routes.tenant]]
name = "cost"
subsets = ["near"]
`

// MeasureRequestCost starts each variant anew in each round, drives one at a time, in turn and for a moment each,
// and compares its processor time per request with the base's in the same round. The order turns from round to
// round and from moment to moment, so that what changes on the machine with time is no one's advantage. An error
// also means that a variant did not do what is measured: it refused requests, its requests did not go along the
// route, or it was not taken into the fleet.
func MeasureRequestCost(ctx context.Context, o CostOptions) (*RequestCost, error) {
	base, err := o.check()
	if err != nil {
		return nil, fmt.Errorf("request cost: %w", err)
	}
	o.warmUp, o.settleTimeout = cmp.Or(o.warmUp, defaultWarmUp), cmp.Or(o.settleTimeout, defaultSettleTimeout)
	c := &costRun{o: o}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.close()
	if err := c.startEnvironment(ctx); err != nil {
		return nil, fmt.Errorf("request cost: %w", err)
	}
	rounds := make([][]CostRound, len(o.Variants))
	for k := range o.Rounds {
		one, err := c.playRound(ctx, k)
		if err != nil {
			return nil, fmt.Errorf("request cost: round %d: %w", k+1, err)
		}
		for i := range one {
			rounds[i] = append(rounds[i], one[i])
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "round %d of %d, %s: %.1f us a request\n", k+1, o.Rounds, o.Variants[i].Name, one[i].CPU)
			}
		}
	}
	return summarizeCosts(&o, base, rounds), nil
}

// check finds what cannot be meant and gives the number of the base.
func (o *CostOptions) check() (base int, err error) {
	if len(o.Variants) == 0 {
		return 0, errors.New("there is no variant")
	}
	named := map[string]bool{}
	for _, v := range o.Variants {
		if named[v.Name] || v.Name == "" || strings.Contains(v.Name, "/") {
			return 0, fmt.Errorf("variant %q: its name is empty, not its own or has a slash", v.Name)
		}
		named[v.Name] = true
		if v.WithMembers && o.IdleMembers < 1 {
			return 0, fmt.Errorf("variant %s: a fleet has one other member at least", v.Name)
		}
	}
	switch {
	case o.Rounds < 2:
		return 0, fmt.Errorf("%d rounds: two at least have a spread", o.Rounds)
	case o.Length <= 0 || o.IdleTime < 0 || o.Rate < 0:
		return 0, errors.New("length is not above 0, or idle time or rate is negative")
	case o.Connections < 1 || o.Servers < 2:
		return 0, errors.New("connections are fewer than 1, or servers fewer than 2")
	}
	if o.Baseline != "" {
		if base = slices.IndexFunc(o.Variants, func(v CostVariant) bool { return v.Name == o.Baseline }); base < 0 {
			return 0, fmt.Errorf("base: there is no variant %q", o.Baseline)
		}
	}
	return base, nil
}

// costRun is a measurement under way.
type costRun struct {
	o       CostOptions
	r       *run            // for the plan, the folder and what starts processes
	f       *routeFleet     // the copies of the list service; nil: a stand-in
	agents  *agent.Agents   // the stand-in
	config  json.RawMessage // of any sidecar, before what is its own
	servers []*costServer
	seeds   []string // of the fleet
	started int
	ids     atomic.Uint64
}

// start brings up all that stands beside the sidecars.
func (c *costRun) startEnvironment(ctx context.Context) error {
	s, err := scenario.Parse("request-cost.toml", []byte(costScenario))
	if err != nil {
		return err
	}
	s.Servers.Count = c.o.Servers
	c.r = &run{s: s, plan: s.Plan(1), out: slog.New(slog.DiscardHandler), nursery: process.NewSupervisor(),
		log: record.New(), dir: c.o.Dir}
	if c.r.o.Self = c.o.Self; c.r.o.Self == "" {
		if c.r.o.Self, err = os.Executable(); err != nil {
			return fmt.Errorf("copies of the list service are of this program: %w", err)
		}
	}
	if c.r.dir == "" {
		if c.r.dir, err = os.MkdirTemp("", "marblelane-cost-"); err != nil {
			return err
		}
	}
	for i := range c.r.plan.Servers {
		one, err := startCostServer(slices.Contains(c.r.plan.Subsets[costSubset], i))
		if err != nil {
			return err
		}
		c.servers = append(c.servers, one)
	}
	if slices.ContainsFunc(c.o.Variants, func(v CostVariant) bool { return v.WithRoutes }) {
		err = c.startCopies(ctx)
	} else {
		err = c.startAgent()
	}
	if err != nil {
		return err
	}
	if err := c.makeConfig(); err != nil {
		return err
	}
	if i := slices.IndexFunc(c.o.Variants, func(v CostVariant) bool { return v.WithMembers }); i >= 0 {
		return c.startMembers(ctx, &c.o.Variants[i])
	}
	return nil
}

// startCopies starts the list service, with all servers on its list and the route of the tenant.
func (c *costRun) startCopies(ctx context.Context) error {
	reg := &scenario.Registry{Replicas: c.r.s.Discovery.RegistryReplicas, HeartbeatInterval: scenario.Duration(100 * time.Millisecond)}
	rr := &registryRun{run: c.r, reg: reg, seen: map[int64]uint64{}, counts: map[string]int{}}
	c.f = &routeFleet{rr: rr, play: &playState{start: time.Now()},
		client: &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}}
	if err := rr.startCopies(ctx); err != nil {
		return err
	}
	for i := range c.servers {
		e := c.entry(i)
		if _, _, err := c.f.call(ctx, "/registry/instances/"+e.UID, e); err != nil {
			return err
		}
	}
	_, _, err := c.f.call(ctx, "/routes/"+costTenant+"/base", map[string]string{"to": costSubset})
	return err
}

func (c *costRun) startAgent() error {
	var list []agent.Entry
	for i := range c.servers {
		list = append(list, c.entry(i))
	}
	link := relay.NewLink(relay.Rules{}, 1)
	var err error
	c.agents, err = agent.New(c.r.log, 1, list, func(_, server int) string { return c.servers[server].addr },
		func(int) *relay.Link { return link })
	return err
}

func (c *costRun) entry(i int) agent.Entry {
	e := c.r.entry(i, agent.Ready, 0)
	e.Endpoint = c.servers[i].addr
	return e
}

// makeConfig makes what all sidecars have alike.
func (c *costRun) makeConfig() error {
	settings := c.r.plan.Settings(0)
	settings["tenants"] = []map[string]any{{"name": costTenant, "share": 1.0, "allowance_per_s": 1e6}}
	settings["peers_total"] = 1 + c.o.IdleMembers
	list := agent.List{All: true}
	for i := range c.servers {
		list.Targets = append(list.Targets, c.entry(i))
	}
	config := map[string]any{
		"listen": "127.0.0.1:0", "management": "127.0.0.1:0", "seed": "1", "known": list, "settings": settings,
		"limits": map[string]any{"cores": c.r.s.Sidecars.Cores, "memory_mb": c.r.s.Sidecars.MemoryMB,
			"sockets": c.r.s.Sidecars.MaxSockets},
	}
	if c.f != nil {
		config["discovery"] = c.f.rr.copies[0].serve
	} else {
		config["discovery"] = c.agents.Addr(0)
	}
	var err error
	c.config, err = json.Marshal(config)
	return err
}

// startMembers starts the idle sidecars of the fleet.
func (c *costRun) startMembers(ctx context.Context, v *CostVariant) error {
	for range c.o.IdleMembers {
		addr, err := relay.FreeAddr("127.0.0.1")
		if err != nil {
			return err
		}
		c.seeds = append(c.seeds, addr)
	}
	for i, bind := range c.seeds {
		if _, err := c.launch(ctx, fmt.Sprint("idle-", i), v.Program, membersSection(bind, c.seeds)); err != nil {
			return fmt.Errorf("idle member: %w", err)
		}
	}
	return nil
}

// membersSection is the section of a sidecar in the fleet. A few seeds are enough.
func membersSection(bind string, seeds []string) any {
	return map[string]any{"members": map[string]any{"fleet": "request-cost", "bind": bind,
		"seeds": seeds[:min(len(seeds), 3)]}}
}

// launched is a sidecar that says it is ready.
type sidecarProcess struct {
	*process.Child
	listen, management string
	startTime          time.Duration
}

// launch starts a sidecar with the common configuration and what is merged into it, in turn.
func (c *costRun) launch(ctx context.Context, name, program string, own ...any) (*sidecarProcess, error) {
	config := c.config
	for _, patch := range append([]any{map[string]any{"name": name}}, own...) {
		var err error
		if config, err = mergePatch(config, patch); err != nil {
			return nil, err
		}
	}
	c.started++
	dir := filepath.Join(c.r.dir, fmt.Sprintf("%s-%d", name, c.started))
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, config, 0o644); err != nil {
		return nil, err
	}
	began := time.Now()
	p, err := c.r.nursery.Start(process.Spec{Name: name, Path: program, Dir: dir, MaxDescriptors: c.r.s.Sidecars.MaxSockets,
		Env: []string{"NODE_CONFIG=" + file, "TMPDIR=" + filepath.Join(dir, "tmp")}})
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	line, err := p.AwaitLog(wait, readyText)
	if err != nil {
		p.Kill()
		return nil, err
	}
	return &sidecarProcess{Child: p, startTime: time.Since(began), listen: logValue(line, "listen"), management: logValue(line,
		"management")}, nil
}

// valueOf finds a key's value in a line of words of the form key=value.
func logValue(line, key string) string {
	for _, word := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(word, key+"="); ok {
			return v
		}
	}
	return ""
}

// mergePatch merges a value into a JSON text as RFC 7386 has it.
func mergePatch(text json.RawMessage, patch any) (json.RawMessage, error) {
	raw, err := json.Marshal(patch)
	if err != nil {
		return nil, err
	}
	var onto, from any
	if err := errors.Join(json.Unmarshal(text, &onto), json.Unmarshal(raw, &from)); err != nil {
		return nil, err
	}
	return json.Marshal(merged(onto, from))
}

func merged(onto, from any) any {
	patch, ok := from.(map[string]any)
	if !ok {
		return from
	}
	object, ok := onto.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for key, v := range patch {
		if v == nil {
			delete(object, key)
		} else {
			object[key] = merged(object[key], v)
		}
	}
	return object
}

func (c *costRun) close() {
	if c.r == nil {
		return
	}
	if c.f != nil {
		c.f.client.CloseIdleConnections()
		c.f.rr.stopCopies()
	}
	c.r.nursery.Close()
	if c.agents != nil {
		c.agents.Close()
	}
	for _, s := range c.servers {
		s.close()
	}
	if c.o.Dir == "" && c.r.dir != "" {
		os.RemoveAll(c.r.dir)
	}
}
