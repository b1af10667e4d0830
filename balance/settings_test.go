package balance

import (
	"math"
	"math/rand"
	"strings"
	"testing"
)

// Settings that the deployment does not use keep the rules of the simulation: each request is answered, and nearly
// all are sent.
func TestSettings_variants(t *testing.T) {
	for name, change := range map[string]func(*Config, *int){
		"one server":  func(_ *Config, n *int) { *n = 1 },
		"hundreds":    func(_ *Config, n *int) { *n = 300 },
		"one attempt": func(c *Config, _ *int) { c.MaxAttempts = 1 },
		"no cancels":  func(c *Config, _ *int) { c.Cancel, c.Hedging = false, false },
		"streams":     func(c *Config, _ *int) { c.Classes[idempotentClass].Stream = true },
		"tenants":     func(c *Config, _ *int) { c.Tenants = []Tenant{{Quota: 0.9}, {Quota: 0.1}, {}} },
		"no slow start": func(c *Config, _ *int) {
			c.SlowStartTime, c.OverloadTime, c.OverloadMultiple, c.SlowStartCapacity = 0, 0, 0, 0
		},
		"health checks, free": func(c *Config, _ *int) {
			c.HealthChecks, c.Reports, c.Fields = true, ReportHealthCheck, []Field{FieldInFlight}
		},
		"health checks, costly": func(c *Config, _ *int) { c.HealthChecks, c.Reports, c.Prices.HealthCheck = true, ReportHealthCheck, 10 },
		"health checks, no field": func(c *Config, _ *int) {
			c.HealthChecks, c.Reports, c.Fields = true, ReportHealthCheck, []Field{FieldUnknown}
		},
		"piggyback": func(c *Config, _ *int) { c.Reports, c.Fields = ReportPiggyback, []Field{FieldUtil, FieldRate} },
		"zero objective and weight": func(c *Config, _ *int) {
			c.Classes[idempotentClass].LatencyObjective, c.Classes[nonIdempotentClass].PriorityWeight = 0, 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, n := baseConfig(), 6
			change(&cfg, &n)
			sim := newSimulation(t, rand.New(rand.NewSource(7)), cfg)
			list := identicalServers(n)
			for i := range list {
				sim.servers[list[i].ID], sim.usable[list[i].ID] = &list[i], true
			}
			sim.handle(ServerList{Kind: ListFull, Servers: list})
			sent := 0
			for id := RequestID(1); id <= 400; id++ {
				sim.now += 9
				sim.fireTimers()
				class := int(id) % len(cfg.Classes)
				sim.requests[id] = &simulatedRequest{class: class, deadline: sim.now + 300}
				sim.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Remaining: 300})
				for len(sim.healthChecks) > 0 {
					s := sim.healthChecks[0]
					sim.healthChecks = sim.healthChecks[1:]
					sim.handle(HealthCheckResult{Server: s, Report: []float32{1}})
				}
				sent += len(sim.requests[id].attempts)
				if id > 2 {
					sim.respond(id - 2)
				}
			}
			for sim.now += 1000; sim.hasOpenRequests() && len(sim.timers) > 0; sim.now += 1000 {
				sim.fireTimers()
			}
			if sim.hasOpenRequests() || sent < 300 {
				t.Fatalf("unanswered requests: %v; %d of 400 sent", sim.hasOpenRequests(), sent)
			}
		})
	}
}

// New returns an error that names the field of an invalid setting.
func TestSettings_invalid(t *testing.T) {
	for name, makeInvalid := range map[string]func(*Config){
		"Classes":                     func(c *Config) { c.Classes = nil },
		"Idempotency":                 func(c *Config) { c.Classes[1].Idempotency = 9 },
		"KeyScope":                    func(c *Config) { c.Classes[1].KeyScope = 9 },
		"Classes[0].PriorityWeight":   func(c *Config) { c.Classes[0].PriorityWeight = math.NaN() },
		"Classes[2].KeyWindow":        func(c *Config) { c.Classes[2].KeyWindow = -1 },
		"Deadline":                    func(c *Config) { c.Classes[0].Deadline = 0 },
		"Classes[0].LatencyObjective": func(c *Config) { c.Classes[0].LatencyObjective = math.Inf(1) },
		"SlowStartTime":               func(c *Config) { c.SlowStartTime = -1 },
		"MaxAttempts":                 func(c *Config) { c.MaxAttempts = -1 },
		"OverloadTime":                func(c *Config) { c.OverloadTime = math.Inf(1) },
		"Prices.CrossZone":            func(c *Config) { c.Prices.CrossZone = -0.1 },
		"Tenants[0].Allowance":        func(c *Config) { c.Tenants = []Tenant{{Allowance: -1}} },
	} {
		cfg := baseConfig()
		makeInvalid(&cfg)
		if b, err := New(cfg); b != nil || err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: balancer %v, error %v", name, b != nil, err)
		}
	}
}
