// Package requestcost measures the CPU time that variants of a sidecar use per request, and their idle CPU time and
// memory. Each round starts every variant anew, with servers that respond at once, and sends requests to one variant at
// a time, in short slices. The result is the ratio to a baseline in the same round, with its confidence interval. The
// command is `marblelane lab request-cost`.
package requestcost

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/experiment/testbed"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
)

// Variant is a sidecar program and configuration whose cost is measured.
type Variant struct {
	Name          string
	Program       string
	ConfigPatches []json.RawMessage // JSON merge patches (RFC 7386), applied to the configuration in order
	WithRoutes    bool              // requests follow a route, from real replicas of the list service
	WithMembers   bool              // the sidecar is a member of a fleet with Options.IdleMembers idle sidecars
}

// Options are the parameters of a measurement.
type Options struct {
	Variants    []Variant
	Baseline    string        // name of the variant that the others are compared with; empty: the first
	Rounds      int           // number of rounds, at least 2
	Length      time.Duration // time in which a variant receives requests in a round
	IdleTime    time.Duration // time without requests, before memory is measured
	Rate        float64       // total requests per second; 0: closed loop, the next request follows the response
	Connections int
	Servers     int
	IdleMembers int       // idle sidecars in the fleet of variants with members
	Self        string    // path of the list service's program; empty: this program
	Dir         string    // folder for files; empty: a temporary folder, removed at the end
	Progress    io.Writer // receives a line per variant and round; nil: none

	warmUp, settleTimeout time.Duration // 0 means defaultWarmUp and defaultSettleTimeout
}

// Result is the result of a measurement.
type Result struct {
	Baseline    string          `json:"base"`
	Rounds      int             `json:"rounds"`
	Seconds     float64         `json:"seconds"`
	Rate        float64         `json:"rate_per_s"` // request rate; 0: closed loop
	Connections int             `json:"connections"`
	Variants    []VariantResult `json:"variants"`
}

// VariantResult is the cost of one variant. Each figure is the median of its rounds, except Ratio.
type VariantResult struct {
	Name      string    `json:"name"`
	CPU       float64   `json:"cpu_us_per_request"`
	Ratio     *Interval `json:"ratio,omitempty"` // CPU per request over the baseline's, by round; nil for the baseline
	PerSecond float64   `json:"requests_per_s"`
	IdleCPU   float64   `json:"idle_cpu_us_per_s"`
	IdleRSS   float64   `json:"idle_rss_mb"`
	Start     float64   `json:"start_ms"` // time from the start of the process until it logs that it is ready
	Rounds    []Round   `json:"per_round"`
}

// Round is the result of one variant in one round.
type Round struct {
	Requests  int64   `json:"requests"`
	Failed    int64   `json:"failed"` // requests without a response of status 200
	CPU       float64 `json:"cpu_us_per_request"`
	PerSecond float64 `json:"requests_per_s"`
	IdleCPU   float64 `json:"idle_cpu_us_per_s"`
	IdleRSS   float64 `json:"idle_rss_mb"`
	Start     float64 `json:"start_ms"`
}

// Interval is the mean of a figure with its 95 % confidence interval by Student's t distribution.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

const (
	defaultWarmUp        = time.Second            // duration of the requests before the measurement
	sliceLength          = 200 * time.Millisecond // requests go to one variant for this long, then to the next one
	defaultSettleTimeout = 20 * time.Second       // limit for joining the fleet, and for requests to follow the route
	maxFailedFraction    = 0.01                   // share of the requests; a round with more failures is an error
	minRoutedFraction    = 0.99                   // share of the requests of a variant with routes; less is an error
	subsetName           = "near"                 // subset of the servers that the route selects
	sidecarSeed          = 1
	maxFleetSeeds        = 3 // seeds in the configuration of a fleet member
)

const scenarioText = `
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

// Measure starts each variant anew in each round and sends requests to one at a time, in slices of sliceLength.
// It compares the CPU time per request with that of the baseline in the same round. The order of the variants reverses
// from round to round and from slice to slice, so that a change of the machine's load favours none. Measure fails if
// more than maxFailedFraction of a variant's requests fail, if too few follow the route, or if it does not join the
// fleet.
func Measure(ctx context.Context, o Options) (*Result, error) {
	base, err := o.validate()
	if err != nil {
		return nil, fmt.Errorf("request cost: %w", err)
	}
	o.warmUp, o.settleTimeout = cmp.Or(o.warmUp, defaultWarmUp), cmp.Or(o.settleTimeout, defaultSettleTimeout)
	c := &measurement{options: o}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.close()
	if err := c.startEnvironment(ctx); err != nil {
		return nil, fmt.Errorf("request cost: %w", err)
	}
	rounds := make([][]Round, len(o.Variants))
	for k := range o.Rounds {
		results, err := c.runRound(ctx, k)
		if err != nil {
			return nil, fmt.Errorf("request cost: round %d: %w", k+1, err)
		}
		for i := range results {
			rounds[i] = append(rounds[i], results[i])
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "round %d of %d, %s: %.1f us per request\n", k+1, o.Rounds, o.Variants[i].Name, results[i].CPU)
			}
		}
	}
	return summarize(&o, base, rounds), nil
}

// validate rejects invalid options and returns the index of the baseline variant.
func (o *Options) validate() (base int, err error) {
	if len(o.Variants) == 0 {
		return 0, errors.New("no variants")
	}
	named := map[string]bool{}
	for _, v := range o.Variants {
		if named[v.Name] || v.Name == "" || strings.Contains(v.Name, "/") {
			return 0, fmt.Errorf("variant %q: name is empty, used twice or contains a slash", v.Name)
		}
		named[v.Name] = true
		if v.WithMembers && o.IdleMembers < 1 {
			return 0, fmt.Errorf("variant %s: a fleet needs at least 1 idle member", v.Name)
		}
	}
	switch {
	case o.Rounds < 2:
		return 0, fmt.Errorf("%d rounds: at least 2 are needed for a confidence interval", o.Rounds)
	case o.Length <= 0 || o.IdleTime < 0 || o.Rate < 0:
		return 0, errors.New("length must be above 0, idle time and rate must not be negative")
	case o.Connections < 1 || o.Servers < 2:
		return 0, errors.New("at least 1 connection and 2 servers are needed")
	}
	if o.Baseline != "" {
		if base = slices.IndexFunc(o.Variants, func(v Variant) bool { return v.Name == o.Baseline }); base < 0 {
			return 0, fmt.Errorf("base: no variant %q", o.Baseline)
		}
	}
	return base, nil
}

// measurement is a running measurement.
type measurement struct {
	options    Options
	run        *harness.Run      // plan, folder and process supervisor
	registry   *testbed.Registry // the list service; nil without routes
	agents     *agent.Agents     // stand-in for the list service; nil with routes
	sidecars   *testbed.Launcher
	servers    []*server
	fleetSeeds []string      // addresses of the idle members
	ids        atomic.Uint64 // last request id
}

// startEnvironment starts the servers, the list service or its stand-in, and the idle members.
func (c *measurement) startEnvironment(ctx context.Context) error {
	s, err := scenario.Parse("request-cost.toml", []byte(scenarioText))
	if err != nil {
		return err
	}
	s.Servers.Count = c.options.Servers
	if c.run, err = harness.New(s, harness.Options{Seed: 1, RegistryProgram: c.options.Self, Dir: c.options.Dir}); err != nil {
		return err
	}
	for i := range c.run.Plan.Servers {
		server, err := startServer(slices.Contains(c.run.Plan.Subsets[subsetName], i))
		if err != nil {
			return err
		}
		c.servers = append(c.servers, server)
	}
	if slices.ContainsFunc(c.options.Variants, func(v Variant) bool { return v.WithRoutes }) {
		err = c.startReplicas(ctx)
	} else {
		err = c.startAgent()
	}
	if err != nil {
		return err
	}
	if err := c.buildConfig(); err != nil {
		return err
	}
	if i := slices.IndexFunc(c.options.Variants, func(v Variant) bool { return v.WithMembers }); i >= 0 {
		return c.startMembers(ctx, &c.options.Variants[i])
	}
	return nil
}

// startReplicas starts the list service, registers all servers and sets a route for the tenant.
func (c *measurement) startReplicas(ctx context.Context) error {
	c.registry = testbed.NewRegistry(c.run)
	if err := c.registry.Start(ctx); err != nil {
		return err
	}
	for i := range c.servers {
		e := c.listEntry(i)
		if _, _, err := c.registry.Change(ctx, "/registry/instances/"+e.UID, e); err != nil {
			return err
		}
	}
	_, _, err := c.registry.Change(ctx, "/routes/"+testbed.Tenant+"/base", map[string]string{"to": subsetName})
	return err
}

// startAgent starts the stand-in for the list service.
func (c *measurement) startAgent() error {
	var list []agent.Entry
	for i := range c.servers {
		list = append(list, c.listEntry(i))
	}
	link := relay.NewLink(relay.Rules{}, 1)
	var err error
	c.agents, err = agent.New(c.run.Events, 1, list, func(_, server int) string { return c.servers[server].addr },
		func(int) *relay.Link { return link })
	return err
}

// listEntry returns the list entry of server i.
func (c *measurement) listEntry(i int) agent.Entry {
	e := c.run.Entry(i, agent.Ready, 0)
	e.Endpoint = c.servers[i].addr
	return e
}

// buildConfig builds the configuration that all sidecars share.
func (c *measurement) buildConfig() error {
	settings := c.run.Plan.Settings(0)
	settings["tenants"] = []map[string]any{{"name": testbed.Tenant, "share": 1.0, "allowance_per_s": 1e6}}
	settings["peers_total"] = 1 + c.options.IdleMembers
	list := agent.List{All: true}
	for i := range c.servers {
		list.Targets = append(list.Targets, c.listEntry(i))
	}
	discovery := ""
	if c.registry != nil {
		discovery = c.registry.Replicas[0].Address
	} else {
		discovery = c.agents.Addr(0)
	}
	config := testbed.BaseConfig(c.run.Scenario, sidecarSeed, discovery, settings)
	config["known"] = list
	text, err := json.Marshal(config)
	c.sidecars = &testbed.Launcher{Children: c.run.Processes, Dir: c.run.Dir, MaxDescriptors: c.run.Scenario.Sidecars.MaxSockets, Config: text}
	return err
}

// startMembers starts the idle members of the fleet with the program of variant v.
func (c *measurement) startMembers(ctx context.Context, v *Variant) error {
	for range c.options.IdleMembers {
		addr, err := c.run.ReserveAddr("127.0.0.1")
		if err != nil {
			return err
		}
		c.fleetSeeds = append(c.fleetSeeds, addr)
	}
	for i, bind := range c.fleetSeeds {
		if _, err := c.sidecars.Launch(ctx, fmt.Sprint("idle-", i), v.Program, membersSection(bind, c.fleetSeeds)); err != nil {
			return fmt.Errorf("start idle member: %w", err)
		}
	}
	return nil
}

// membersSection returns the members section of a sidecar's configuration, with at most maxFleetSeeds seeds.
func membersSection(bind string, seeds []string) any {
	return map[string]any{"members": map[string]any{"fleet": "request-cost", "bind": bind,
		"seeds": seeds[:min(len(seeds), maxFleetSeeds)]}}
}

func (c *measurement) close() {
	if c.run == nil {
		return
	}
	if c.registry != nil {
		c.registry.Close()
	}
	c.run.Close()
	if c.agents != nil {
		c.agents.Close()
	}
	for _, s := range c.servers {
		s.close()
	}
}
