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

// Plan is a scenario with all random choices drawn from one seed before the run. The same seed yields the same plan on
// any machine.
type Plan struct {
	Scenario *Scenario
	Seed     uint64
	Kinds    []ServerKindPlan
	Servers  []ServerPlan
	Pods     []PodPlan
	Sidecars []SidecarPlan
	Arrivals []Arrival
	Faults   []FaultPlan
	Subsets  map[string][]int // indexes of the servers in each subset
	Seeds    []int            // indexes of the sidecars through which members join
	Rate     float64          // average requests per second
	Capacity float64          // capacity of all servers, in work per millisecond
}

// ServerKindPlan holds the values drawn for a kind of server.
type ServerKindPlan struct {
	SlotsPerCore int     // requests that a core works on at the same time
	PauseEvery   float64 // mean seconds between pauses; 0 means no pauses
	PauseLength  float64 // maximum length of a pause in milliseconds
	PauseGrowth  float64 // relative growth of a pause with all slots in use
}

// ServerPlan holds the values drawn for a server.
type ServerPlan struct {
	UID   string
	Kind  int // index in Plan.Kinds
	Zone  int // index in Network.Zones
	Pod   int // index in Plan.Pods
	Speed float64
	Spare bool // whether it is down until it replaces another server
}

// PodPlan holds the limit of a pod, as a fraction of the capacity of its servers.
type PodPlan struct{ Limit float64 }

// SidecarPlan holds the values drawn for a sidecar.
type SidecarPlan struct {
	Name   string
	Zone   int
	Weight float64 // fraction of the traffic that goes to the sidecar
	Seed   uint64
}

// Arrival is a client's request. Its retries are not part of the plan.
type Arrival struct {
	At      time.Duration
	Sidecar int
	Class   int
	Tenant  int
	Work    float64 // work of the request, in milliseconds on a core of speed 1
	Seed    uint64  // seed of its client's random numbers
	Keyless bool    // whether its client sends no route key
}

// FaultPlan is one occurrence of a fault, with its targets drawn.
type FaultPlan struct {
	At, Until    time.Duration // begin and end from the start of the run; equal for a fault that happens once
	Fault        Fault
	Servers      []int // indexes of the servers that the fault acts on
	Sidecars     []int // indexes of the sidecars that the fault acts on
	Replacements []int // indexes of the spare servers that replace Servers
}

// randomSource returns a source of random numbers for one purpose. Separate sources keep a change in one part of a plan
// from changing the others.
func randomSource(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, purpose)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Plan draws a plan from a seed. A seed of 0 means the seed of the scenario.
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

// capacityWindow is the time over which the work of a zone is compared with its capacity. It is about the longest
// queueing delay within the latency objectives.
const capacityWindow = time.Second

// MinCrossZone returns the minimum fraction of the work that must leave its zone: the work that the clients of a zone
// request beyond the capacity of its servers in each second. No balancer can send less across zones. The computation
// ignores faults and the longer latency of a zone at its limit.
func (p *Plan) MinCrossZone() float64 {
	zones := len(p.Scenario.Network.Zones)
	capacity := make([]float64, zones) // capacity of each zone, in work per millisecond
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

// ServerCapacity returns the capacity of a server, in work per millisecond.
func (p *Plan) ServerCapacity(server int) float64 {
	s := &p.Servers[server]
	return float64(p.Scenario.Servers.Kinds[s.Kind].Cores) * s.Speed * p.Pods[s.Pod].Limit
}

// Scaled returns a time of the clients or servers divided by the speedup of the run.
func (s *Scenario) Scaled(d Duration) time.Duration {
	return time.Duration(math.Round(float64(d) / s.Traffic.Speedup))
}

// zoneOf returns the zone of a pod. Pods are assigned to the zones in rotation, in the ratio of ServersByZone.
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

// regionOf returns the region of a zone. Without regions, each zone is a region of its own.
func (n *Network) regionOf(zone int) int {
	for i, region := range n.Regions {
		if slices.Contains(region, n.Zones[zone]) {
			return i
		}
	}
	return zone
}

// ZonesByRegion returns the zones of each region, by the region's name in the sidecars' configuration.
func (n *Network) ZonesByRegion() map[string][]string {
	out := map[string][]string{}
	for i, zones := range n.Regions {
		out[fmt.Sprintf("region-%d", i)] = zones
	}
	return out
}

// RegionByZone returns the region of each zone, or nil without regions.
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

// AttemptWorkFactor returns the ratio of the work of one attempt to the work of its request. It is drawn with mean 1
// and the class's AttemptNoise. The same client attempt has the same factor each time it is sent to the same server.
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

// MeanWork returns the mean work of a request, in milliseconds on a core of speed 1.
func (s *Scenario) MeanWork() float64 {
	total, mean := s.totalClassFraction(), 0.0
	for _, c := range s.Classes {
		mean += c.Fraction / total * c.Work.Milliseconds() / s.Traffic.Speedup
	}
	return mean
}

// rushLength is the time within which the requests of a rush arrive.
const rushLength = 40 * time.Millisecond

// WriteTo writes the whole schedule with one line for each drawn item. Equal bytes mean equal plans.
func (p *Plan) WriteTo(w io.Writer) (int64, error) {
	out := bufio.NewWriter(w)
	n := int64(0)
	line := func(format string, args ...any) {
		k, _ := fmt.Fprintf(out, format, args...) // out keeps an error until Flush returns it
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

// ServiceAfterTerm is the time after SIGTERM within which an arriving request may still be without a response at
// SIGKILL.
const ServiceAfterTerm = 700 * time.Millisecond

// KillDelay returns the minimum time between SIGTERM and the platform's SIGKILL: the longest deadline, at most 3 s,
// plus ServiceAfterTerm.
func (s *Scenario) KillDelay() time.Duration {
	maxDeadline := time.Duration(0)
	for _, c := range s.Classes {
		maxDeadline = max(maxDeadline, s.Scaled(c.Deadline))
	}
	return min(maxDeadline, 3*time.Second) + ServiceAfterTerm
}

// ConnectTimeoutMS is the connect timeout of the sidecars' settings, in milliseconds.
const ConnectTimeoutMS = 120.0

// Latency returns the one-way latency between two zones without faults.
func (n *Network) Latency(a, b int) Duration {
	switch {
	case a == b:
		return n.SameZone
	case len(n.Regions) > 0 && n.regionOf(a) != n.regionOf(b):
		return n.CrossRegion
	}
	return n.CrossZone
}

// MaxLatency returns the maximum one-way latency between a sidecar and a server in the run, with its faults.
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

// Settings returns the settings object that the platform passes to a sidecar.
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
