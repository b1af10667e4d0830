package scenario

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is a scenario with everything drawn from one seed before the run. The same seed gives the same plan on any machine.
type Plan struct {
	Scenario *Scenario
	Seed     uint64
	Kinds    []ServerKindPlan
	Servers  []ServerPlan
	Pods     []PodPlan
	Sidecars []SidecarPlan
	Arrivals []Arrival
	Faults   []FaultPlan
	Subsets  map[string][]int // the servers of each
	Seeds    []int            // the sidecars that members join through
	Rate     float64          // requests a second on average
	Capacity float64          // of all servers, in work a millisecond
}

// ServerKindPlan is one kind of servers as drawn.
type ServerKindPlan struct {
	SlotsPerCore int     // for each core
	PauseEvery   float64 // seconds; 0: never
	PauseLength  float64 // milliseconds
	PauseGrowth  float64
}

// ServerPlan is one server as drawn.
type ServerPlan struct {
	UID   string
	Kind  int
	Zone  int
	Pod   int
	Speed float64
	Spare bool // it is down until it replaces another one
}

// PodPlan is one pod as drawn.
type PodPlan struct{ Limit float64 }

// SidecarPlan is one sidecar as drawn.
type SidecarPlan struct {
	Name   string
	Zone   int
	Weight float64 // fraction of the traffic
	Seed   uint64
}

// Arrival is a client's request, before its retries.
type Arrival struct {
	At      time.Duration
	Sidecar int
	Class   int
	Tenant  int
	Work    float64 // milliseconds of a core of speed 1
	Seed    uint64  // of its client's random numbers
	Keyless bool    // its client sends no route key
}

// FaultPlan is a fault with its targets drawn.
type FaultPlan struct {
	At, Until    time.Duration // equal: it happens once
	Fault        Fault
	Servers      []int
	Sidecars     []int
	Replacements []int // spare servers that replace Servers
}

// randomSource is a source of random numbers for one purpose, so that a change in one part of a plan moves no other.
func randomSource(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, purpose)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Plan draws everything from the seed; 0 takes the scenario's own.
func (s *Scenario) Plan(seed uint64) *Plan {
	if seed == 0 {
		seed = s.Seed
	}
	p := &Plan{Scenario: s, Seed: seed}
	p.drawKinds(randomSource(seed, "kinds"))
	p.drawServers(randomSource(seed, "servers"))
	p.drawSidecars(randomSource(seed, "sidecars"))
	p.drawMembers(randomSource(seed, "members"))
	p.drawSubsets(randomSource(seed, "subsets"))
	p.drawFaults(randomSource(seed, "faults"))
	p.drawArrivals(randomSource(seed, "arrivals"))
	if keyless := s.Routes.KeylessFraction; keyless > 0 {
		r := randomSource(seed, "keys")
		for i := range p.Arrivals {
			p.Arrivals[i].Keyless = r.Float64() < keyless
		}
	}
	return p
}

// capacityWindow is the time over which a zone's work must not exceed its capacity: about what a queue can delay within
// the latency objectives.
const capacityWindow = time.Second

// MinCrossZone is the least fraction of the work that has to leave its zone: what the clients of a zone request in each
// second beyond the capacity of its servers. No balancer can send less across zones. Faults are left out, and so is that a
// zone at its limit answers late.
func (p *Plan) MinCrossZone() float64 {
	zones := len(p.Scenario.Network.Zones)
	capacity := make([]float64, zones) // work a millisecond
	for i := range p.Servers {
		if s := &p.Servers[i]; !s.Spare {
			capacity[s.Zone] += p.ServerCapacity(i)
		}
	}
	windows := int(p.Scenario.Length.Duration()/capacityWindow) + 1
	requested := make([]float64, windows*zones)
	all, excess := 0.0, 0.0
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		w := min(max(int(a.At/capacityWindow), 0), windows-1)
		requested[w*zones+p.Sidecars[a.Sidecar].Zone] += a.Work
		all += a.Work
	}
	for i, work := range requested {
		excess += max(work-capacity[i%zones]*float64(capacityWindow)/float64(time.Millisecond), 0)
	}
	if all == 0 {
		return 0
	}
	return excess / all
}

// ServerCapacity is what a server can do, in work a millisecond.
func (p *Plan) ServerCapacity(server int) float64 {
	s := &p.Servers[server]
	return float64(p.Scenario.Servers.Kinds[s.Kind].Cores) * s.Speed * p.Pods[s.Pod].Limit
}

// Scaled is a time of the scenario's clients and servers in a run that is sped up.
func (s *Scenario) Scaled(d Duration) time.Duration {
	return time.Duration(math.Round(float64(d) / s.Traffic.Speedup))
}

// zoneOf is the zone that a pod lies in: the zones in turn, or as ServersByZone says.
func (n *Network) zoneOf(pod int) int {
	if len(n.ServersByZone) == 0 {
		return pod % len(n.Zones)
	}
	all := 0
	for _, k := range n.ServersByZone {
		all += k
	}
	left := pod % all
	for zone, k := range n.ServersByZone {
		if left -= k; left < 0 {
			return zone
		}
	}
	return 0
}

// regionOf is the region of a zone; each is one of its own where there are none.
func (n *Network) regionOf(zone int) int {
	for i, region := range n.Regions {
		if slices.Contains(region, n.Zones[zone]) {
			return i
		}
	}
	return zone
}

// ZonesByRegion are the zones of each region by the name that the sidecars' configuration has.
func (n *Network) ZonesByRegion() map[string][]string {
	out := map[string][]string{}
	for i, zones := range n.Regions {
		out[fmt.Sprintf("region-%d", i)] = zones
	}
	return out
}

// RegionByZone is the region of each zone; nil where there are none.
func (n *Network) RegionByZone() []int {
	if len(n.Regions) == 0 {
		return nil
	}
	var out []int
	for zone := range n.Zones {
		out = append(out, n.regionOf(zone))
	}
	return out
}

// AttemptWorkFactor is the work of one attempt of a request over the request's own. It is drawn with mean 1 from the
// class's coefficient of variation, and is the same whenever this client attempt is sent to this server.
func (c *Class) AttemptWorkFactor(attemptID uint64, server int) float64 {
	if c.AttemptNoise <= 0 {
		return 1
	}
	return lognormal(rand.New(rand.NewPCG(attemptID, uint64(server))), c.AttemptNoise)
}

func (s *Scenario) totalClassFraction() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Fraction
	}
	return sum
}

// MeanWork is that of a request, in milliseconds of a core of speed 1.
func (s *Scenario) MeanWork() float64 {
	total, mean := s.totalClassFraction(), 0.0
	for _, c := range s.Classes {
		mean += c.Fraction / total * c.Work.Milliseconds() / s.Traffic.Speedup
	}
	return mean
}

// rushLength is the time within which the requests of a rush come.
const rushLength = 40 * time.Millisecond

// WriteTo writes the whole schedule, arrivals and faults, in one line each: two plans are the same if these bytes
// are.
func (p *Plan) WriteTo(w io.Writer) (int64, error) {
	out := bufio.NewWriter(w)
	n := int64(0)
	line := func(format string, args ...any) {
		k, _ := fmt.Fprintf(out, format, args...) // an error stays in out until Flush
		n += int64(k)
	}
	line("scenario %s seed %d\n", p.Scenario.Name, p.Seed)
	for i, k := range p.Kinds {
		line("kind %d slots %d pauses every %.6f s for %.6f ms grow %.6f\n", i, k.SlotsPerCore, k.PauseEvery, k.PauseLength, k.PauseGrowth)
	}
	for i, s := range p.Servers {
		line("server %d %s kind %d zone %d pod %d speed %.6f\n", i, s.UID, s.Kind, s.Zone, s.Pod, s.Speed)
	}
	for i, q := range p.Pods {
		line("pod %d limit %.6f\n", i, q.Limit)
	}
	for i, s := range p.Sidecars {
		line("sidecar %d zone %d weight %.6f seed %016x\n", i, s.Zone, s.Weight, s.Seed)
	}
	for _, f := range p.Faults {
		line("fault %v to %v %s %g servers %v sidecars %v\n", f.At, f.Until, f.Fault.Kind, f.Fault.Size, f.Servers, f.Sidecars)
	}
	for _, a := range p.Arrivals {
		line("%d us sidecar %d class %d tenant %d work %.3f seed %016x\n",
			a.At.Microseconds(), a.Sidecar, a.Class, a.Tenant, a.Work, a.Seed)
	}
	return n, out.Flush()
}

// ServiceAfterTerm is how long after SIGTERM a request may arrive and still be unanswered at SIGKILL.
const ServiceAfterTerm = 700 * time.Millisecond

// KillDelay is the least time between SIGTERM and the platform's SIGKILL: the longest deadline, at most 3 s, and
// ServiceAfterTerm.
func (s *Scenario) KillDelay() time.Duration {
	maxDeadline := time.Duration(0)
	for _, c := range s.Classes {
		maxDeadline = max(maxDeadline, s.Scaled(c.Deadline))
	}
	return min(maxDeadline, 3*time.Second) + ServiceAfterTerm
}

// ConnectTimeoutMS is how long a sidecar waits for a connection to come up, by the settings, in milliseconds.
const ConnectTimeoutMS = 120.0

// Latency is the one-way latency between two zones without faults.
func (n *Network) Latency(a, b int) Duration {
	switch {
	case a == b:
		return n.SameZone
	case len(n.Regions) > 0 && n.regionOf(a) != n.regionOf(b):
		return n.CrossRegion
	}
	return n.CrossZone
}

// MaxLatency is the longest one-way latency between a sidecar and a server in the run, with its faults.
func (p *Plan) MaxLatency() time.Duration {
	n := &p.Scenario.Network
	maxLatency := max(n.SameZone.Duration(), n.CrossZone.Duration())
	if len(n.Regions) > 0 {
		maxLatency = max(maxLatency, n.CrossRegion.Duration())
	}
	for _, f := range p.Faults {
		maxLatency = max(maxLatency, f.Fault.Latency.Duration())
	}
	return time.Duration(float64(maxLatency) * (1 + n.Jitter))
}

// Settings is the object that the platform gives a sidecar, as its pages describe it.
func (p *Plan) Settings(i int) map[string]any {
	s := p.Scenario
	ms := func(d Duration) float64 { return float64(s.Scaled(d)) / float64(time.Millisecond) }
	var classes, tenants []map[string]any
	for _, c := range s.Classes {
		effect := "read_like"
		if c.Effect == EffectNonIdempotent {
			effect = "non_idempotent"
		}
		classes = append(classes, map[string]any{"name": c.Name, "effect": effect, "group": "all", "on_time_ms": ms(c.Objective),
			"hard_limit_ms": ms(c.Deadline), "worth": c.PriorityWeight, "late_worth": 0.0, "stream": false, "window_ms": 5000.0})
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Fraction
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Fraction / total,
			"allowance_per_s": math.Round(p.Rate / max(s.Traffic.Load, 0.1) * 0.83 * t.Fraction / total)})
	}
	var kinds []string
	for _, k := range s.Servers.Kinds {
		kinds = append(kinds, k.Name)
	}
	return map[string]any{
		"classes": classes, "tenants": tenants, "kinds": kinds, "zones": s.Network.Zones, "zone": p.Sidecars[i].Zone,
		"discovery": "automatic", "my_number": i, "peers_total": s.PeerCount(), "over_share_worth": 0.2,
		"quantum_ms": 5.0, "report": map[string]any{"fields": []string{}, "via": "silent"},
		"result_mix": map[string]any{"whole": 0.3, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.3},
		"penalties":  map[string]any{"cross_zone": s.Rules.CrossZoneCost, "late_fail": 0.036, "probe": 0.01, "waste": 0.2},
		"limits": map[string]any{"cancel": true, "conn_idle_ms": s.Servers.IdleTimeout.Milliseconds(), "connect_timeout_ms": ConnectTimeoutMS,
			"max_attempts": s.Rules.MaxAttempts, "max_retry_after_ms": 3000.0, "may_tell": false, "open_cap": 25000,
			"parallel_tries": false, "probes": s.Rules.HealthChecks, "retry_after": true},
		"rules": map[string]any{"answer_slack_ms": s.Rules.AnswerSlack.Milliseconds(), "ask_within_ms": 10000.0,
			"cold_from": s.Rules.InitialCapacity, "cold_ms": s.Rules.SlowStart.Milliseconds(), "drain_grace_ms": s.Rules.DrainGrace.Milliseconds(),
			"fall_ms": s.Rules.OverloadTime.Milliseconds(), "fall_multiple": s.Rules.OverloadMultiple},
	}
}
