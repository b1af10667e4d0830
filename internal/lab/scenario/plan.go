package scenario

import (
	"bufio"
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Plan is a scenario with everything drawn from one seed, before anything runs: the same seed gives the same
// plan on any machine. What happens in a run is up to the parties; what is done to them is not.
type Plan struct {
	Scenario *Scenario
	Seed     uint64
	Kinds    []KindPlan
	Servers  []ServerPlan
	Pods     []PodPlan
	Sidecars []SidecarPlan
	Arrivals []Arrival
	Faults   []FaultPlan
	Subsets  map[string][]int // the servers of each
	Seeds    []int            // the sidecars that members join by
	Rate     float64          // requests a second on average
	Capacity float64          // of all servers, in work a millisecond
}

// KindPlan is one kind of servers as drawn.
type KindPlan struct {
	Slots      int     // for each core
	PauseEvery float64 // seconds; 0: never
	Pause      float64 // milliseconds
	PauseGrow  float64
}

// ServerPlan is one server as drawn.
type ServerPlan struct {
	UID   string
	Kind  int
	Zone  int
	Pod   int
	Speed float64
	Spare bool // it is down until it takes another one's place
}

// PodPlan is one pod as drawn.
type PodPlan struct{ Limit float64 }

// SidecarPlan is one sidecar as drawn.
type SidecarPlan struct {
	Name   string
	Zone   int
	Weight float64 // its share of the traffic
	Seed   uint64
}

// Arrival is a client's request, before its retries.
type Arrival struct {
	At      time.Duration
	Sidecar int
	Class   int
	Tenant  int
	Work    float64 // milliseconds of a core of speed 1
	Seed    uint64  // of what its client draws
	Keyless bool    // its client sends no route key
}

// FaultPlan is a fault with its targets drawn.
type FaultPlan struct {
	At, Until time.Duration // equal: it happens once
	Fault     Fault
	Servers   []int
	Sidecars  []int
	Fresh     []int // the servers that take the places of Servers
}

// stream is a source of random numbers for one purpose, so that a change in one part of a plan moves no other.
func stream(seed uint64, purpose string) *rand.Rand {
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
	p.drawKinds(stream(seed, "kinds"))
	p.drawServers(stream(seed, "servers"))
	p.drawSidecars(stream(seed, "sidecars"))
	p.drawMembers(stream(seed, "members"))
	p.drawSubsets(stream(seed, "subsets"))
	p.drawFaults(stream(seed, "faults"))
	p.drawArrivals(stream(seed, "arrivals"))
	if share := s.Routes.Keyless; share > 0 {
		r := stream(seed, "keys")
		for i := range p.Arrivals {
			p.Arrivals[i].Keyless = r.Float64() < share
		}
	}
	return p
}

// crossWindow is the time over which a zone may be asked for no more than it can do: about what a queue can hold back
// without harm to the aims.
const crossWindow = time.Second

// NeededCrossings is the least share of the work that has to leave its zone: what the sidecars of a zone are asked for
// in each second beyond the capacity of its servers. Faults are not counted in, nor that a zone at its limit answers
// late; it is a bound that no balancer can pass, to hold what crosses against.
func (p *Plan) NeededCrossings() float64 {
	zones := len(p.Scenario.Network.Zones)
	capacity := make([]float64, zones) // work a millisecond
	for i := range p.Servers {
		if s := &p.Servers[i]; !s.Spare {
			capacity[s.Zone] += float64(p.Scenario.Servers.Kinds[s.Kind].Cores) * s.Speed * p.Pods[s.Pod].Limit
		}
	}
	windows := int(p.Scenario.Length.Of()/crossWindow) + 1
	asked := make([]float64, windows*zones)
	all, over := 0.0, 0.0
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		w := min(max(int(a.At/crossWindow), 0), windows-1)
		asked[w*zones+p.Sidecars[a.Sidecar].Zone] += a.Work
		all += a.Work
	}
	for i, work := range asked {
		over += max(work-capacity[i%zones]*float64(crossWindow)/float64(time.Millisecond), 0)
	}
	if all == 0 {
		return 0
	}
	return over / all
}

// Pace is a time of the scenario's clients and servers at the run's pace.
func (s *Scenario) Pace(d Duration) time.Duration {
	return time.Duration(math.Round(float64(d) / s.Traffic.Pace))
}

func (p *Plan) drawKinds(r *rand.Rand) {
	for _, k := range p.Scenario.Servers.Kinds {
		p.Kinds = append(p.Kinds, KindPlan{
			Slots: int(math.Round(k.Slots.At(r.Float64()))), PauseEvery: k.PauseEvery.At(r.Float64()),
			Pause: k.Pause.At(r.Float64()), PauseGrow: k.PauseGrow.At(r.Float64()),
		})
	}
}

func (p *Plan) drawServers(r *rand.Rand) {
	s := p.Scenario
	var total float64
	for _, k := range s.Servers.Kinds {
		total += k.Share
	}
	// Kinds by their shares, not by chance: few servers of one draw would have another capacity than asked for.
	kinds := make([]int, s.Servers.Count)
	sum, k := s.Servers.Kinds[0].Share/total, 0
	for i := range kinds {
		for k+1 < len(s.Servers.Kinds) && (float64(i)+0.5)/float64(len(kinds)) > sum {
			k++
			sum += s.Servers.Kinds[k].Share / total
		}
		kinds[i] = k
	}
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	pods := (s.Servers.Count + s.Servers.PodSize - 1) / s.Servers.PodSize
	limited := int(math.Round(s.Servers.LimitedPods * float64(pods)))
	order := r.Perm(pods)
	p.Pods = make([]PodPlan, pods)
	for i, pod := range order {
		p.Pods[pod].Limit = 1
		if i < limited {
			p.Pods[pod].Limit = s.Servers.PodLimit.At(r.Float64())
		}
	}
	capacity := make([]float64, pods)
	for i, k := range kinds {
		sp := ServerPlan{
			Kind: k, Pod: i / s.Servers.PodSize, Speed: s.Servers.Kinds[k].Speed.At(r.Float64()),
			UID: fmt.Sprintf("s-%08x", uint32(r.Uint64())),
		}
		sp.Zone = s.Network.zoneOf(sp.Pod)
		p.Servers = append(p.Servers, sp)
		capacity[sp.Pod] += float64(s.Servers.Kinds[k].Cores) * sp.Speed
	}
	for i, c := range capacity {
		p.Capacity += c * p.Pods[i].Limit
	}
}

// zoneOf is the zone that a pod lies in: the zones in turn, or each so often as the split has it.
func (n *Network) zoneOf(pod int) int {
	if len(n.Split) == 0 {
		return pod % len(n.Zones)
	}
	all := 0
	for _, k := range n.Split {
		all += k
	}
	left := pod % all
	for zone, k := range n.Split {
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

// RegionNames are the zones of each region by a name, as sidecars are told of them.
func (n *Network) RegionNames() map[string][]string {
	out := map[string][]string{}
	for i, zones := range n.Regions {
		out[fmt.Sprintf("region-%d", i)] = zones
	}
	return out
}

// RegionNumbers is the region of each zone; nil where there are none.
func (n *Network) RegionNumbers() []int {
	if len(n.Regions) == 0 {
		return nil
	}
	var out []int
	for zone := range n.Zones {
		out = append(out, n.regionOf(zone))
	}
	return out
}

func (p *Plan) drawSidecars(r *rand.Rand) {
	s := p.Scenario
	total := 0.0
	for i := range s.Sidecars.Count {
		w := 1.0
		if cv := s.Sidecars.Skew; cv > 0 {
			w = lognormal(r, cv)
		}
		total += w
		p.Sidecars = append(p.Sidecars, SidecarPlan{
			Name: fmt.Sprintf("n%d", i), Zone: i % len(s.Network.Zones), Weight: w, Seed: r.Uint64(),
		})
	}
	for i := range p.Sidecars {
		p.Sidecars[i].Weight /= total
	}
}

// Vary is by how much the work of one attempt of a request differs from the request's own: drawn with mean 1
// from the class's coefficient of variation, and the same whenever this try is sent to this server.
func (c *Class) Vary(try uint64, server int) float64 {
	if c.AttemptNoise <= 0 {
		return 1
	}
	return lognormal(rand.New(rand.NewPCG(try, uint64(server))), c.AttemptNoise)
}

// lognormal draws with mean 1 and the coefficient of variation cv.
func lognormal(r *rand.Rand, cv float64) float64 {
	v := math.Log1p(cv * cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(v) - v/2)
}

func (p *Plan) drawFaults(r *rand.Rand) {
	s := p.Scenario
	for _, f := range s.Faults {
		one := FaultPlan{Fault: f, At: f.At.Of(), Until: f.At.Of() + f.For.Of()}
		if f.Servers != "" {
			one.Servers = p.pick(r, f.Servers, s.Servers.Count, true)
			if f.Zone != "" {
				one.Servers = slices.DeleteFunc(one.Servers, func(i int) bool { return s.Network.Zones[p.Servers[i].Zone] != f.Zone })
			}
		}
		if f.Sidecars != "" {
			one.Sidecars = p.withoutLate(p.pick(r, f.Sidecars, len(p.Sidecars), false), f.Kind, one.At)
		}
		if faultForms()[f.Kind].turns {
			for k, i := range one.Sidecars {
				turn := one
				turn.At += time.Duration(k) * f.Every.Of()
				turn.Until, turn.Sidecars = turn.At, []int{i}
				p.Faults = append(p.Faults, turn)
			}
			continue
		}
		if f.Every == 0 {
			if f.Kind == "replace" {
				one.Fresh = p.spares(one.Servers)
			}
			p.Faults = append(p.Faults, one)
			continue
		}
		// Half of each period it is there, half of it not; what happens at once happens each time.
		form := faultForms()[f.Kind]
		for at := one.At; at < f.At.Of()+f.For.Of(); at += f.Every.Of() {
			again := one
			again.At, again.Until = at, at
			if form.lasts {
				again.Until = min(at+f.Every.Of()/2, one.Until)
			}
			p.Faults = append(p.Faults, again)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b FaultPlan) int { return cmp.Compare(a.At, b.At) })
}

// spares adds a machine like each of the servers, under a name of its own.
func (p *Plan) spares(like []int) []int {
	var fresh []int
	for _, i := range like {
		sp := p.Servers[i]
		sp.UID, sp.Spare = fmt.Sprintf("%s-%d", sp.UID, len(p.Servers)), true
		fresh = append(fresh, len(p.Servers))
		p.Servers = append(p.Servers, sp)
	}
	return fresh
}

// pick draws what a choice means; checkPick has read it before.
func (p *Plan) pick(r *rand.Rand, pick string, n int, servers bool) []int {
	var out []int
	all := func(is func(int) bool) []int {
		for i := range n {
			if is(i) {
				out = append(out, i)
			}
		}
		return out
	}
	what, name, _ := strings.Cut(pick, ":")
	switch {
	case pick == "all":
		return all(func(int) bool { return true })
	case pick == "late":
		return all(p.Scenario.Late)
	case what == "zone":
		zone := slices.Index(p.Scenario.Network.Zones, name)
		return all(func(i int) bool {
			if servers {
				return p.Servers[i].Zone == zone
			}
			return p.Sidecars[i].Zone == zone
		})
	case what == "region":
		return all(func(i int) bool {
			zone := p.Sidecars[min(i, len(p.Sidecars)-1)].Zone
			if servers {
				zone = p.Servers[i].Zone
			}
			return strconv.Itoa(p.Scenario.Network.regionOf(zone)) == name
		})
	case what == "subset":
		return slices.Clone(p.Subsets[name])
	case what == "pod":
		return all(func(i int) bool { return strconv.Itoa(p.Servers[i].Pod) == name })
	case what == "kind":
		return all(func(i int) bool { return p.Scenario.Servers.Kinds[p.Servers[i].Kind].Name == name })
	case pick[0] == '#':
		i, _ := strconv.Atoi(pick[1:])
		return []int{i}
	}
	count := 0
	if share, ok := strings.CutSuffix(pick, "%"); ok {
		f, _ := strconv.ParseFloat(share, 64)
		count = max(int(math.Round(f/100*float64(n))), 1)
	} else {
		count, _ = strconv.Atoi(pick)
	}
	out = r.Perm(n)[:count]
	slices.Sort(out)
	return out
}

func (s *Scenario) classShares() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
	}
	return sum
}

// MeanWork is that of a request, in milliseconds of a core of speed 1.
func (s *Scenario) MeanWork() float64 {
	shares, mean := s.classShares(), 0.0
	for _, c := range s.Classes {
		mean += c.Share / shares * c.Work.MS() / s.Traffic.Pace
	}
	return mean
}

func (p *Plan) drawArrivals(r *rand.Rand) {
	s := p.Scenario
	classes, meanWork := s.classShares(), s.MeanWork()
	p.Rate = s.Traffic.Rate
	if p.Rate == 0 {
		p.Rate = s.Traffic.Load * p.Capacity / meanWork * 1000
	}
	tenants := 0.0
	for _, t := range s.Tenants {
		tenants += t.Share * t.Usage
	}
	highest := p.Rate * (1 + s.Traffic.Swing)
	for _, f := range p.Faults {
		if f.Fault.Kind == "burst" {
			highest = max(highest, p.Rate*(1+s.Traffic.Swing)*f.Fault.Size)
		}
	}
	// A Poisson process of changing rate by thinning (Lewis and Shedler, 1979).
	length := s.Length.Of()
	for at := 0.0; ; {
		at += r.ExpFloat64() / highest
		t := time.Duration(at*1e6) * time.Microsecond
		if t >= length {
			break
		}
		if r.Float64()*highest > p.rateAt(t) {
			continue
		}
		p.Arrivals = append(p.Arrivals, p.drawArrival(r, t, p.hasStarted(p.weighted(r), t), classes, tenants))
	}
	p.drawRushes(stream(p.Seed, "rushes"), classes, tenants)
}

// rushLasts is the time within which the requests of a rush come.
const rushLasts = 40 * time.Millisecond

// drawRushes adds the requests that come to one sidecar at once.
func (p *Plan) drawRushes(r *rand.Rand, classes, tenants float64) {
	for _, f := range p.Faults {
		if f.Fault.Kind != "rush" {
			continue
		}
		for range int(f.Fault.Size) {
			at := f.At + time.Duration(r.Float64()*float64(rushLasts))
			p.Arrivals = append(p.Arrivals, p.drawArrival(r, at, f.Sidecars[0], classes, tenants))
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// drawArrival draws a request that a sidecar is asked for at a time; classes and tenants are the sums of their shares.
func (p *Plan) drawArrival(r *rand.Rand, at time.Duration, sidecar int, classes, tenants float64) Arrival {
	s := p.Scenario
	a := Arrival{At: at, Sidecar: sidecar, Seed: r.Uint64()}
	a.Class = drawShare(r, len(s.Classes), classes, func(i int) float64 { return s.Classes[i].Share })
	a.Tenant = drawShare(r, len(s.Tenants), tenants, func(i int) float64 { return s.Tenants[i].Share * s.Tenants[i].Usage })
	c := &s.Classes[a.Class]
	w := 1.0
	switch {
	case c.Dist == "exp":
		w = r.ExpFloat64()
	case c.CV > 0:
		w = lognormal(r, c.CV)
	}
	a.Work = math.Round(c.Work.MS()/s.Traffic.Pace*w*1000) / 1000
	return a
}

func (p *Plan) rateAt(t time.Duration) float64 {
	s := p.Scenario
	rate := p.Rate * (1 - s.Traffic.Swing*math.Cos(2*math.Pi*float64(t)/float64(s.Length)))
	for _, f := range p.Faults {
		if f.Fault.Kind == "burst" && t >= f.At && t < f.Until {
			rate *= f.Fault.Size
		}
	}
	return rate
}

func (p *Plan) weighted(r *rand.Rand) int {
	return drawShare(r, len(p.Sidecars), 1, func(i int) float64 { return p.Sidecars[i].Weight })
}

func drawShare(r *rand.Rand, n int, total float64, share func(int) float64) int {
	x := r.Float64() * total
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

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
		line("kind %d slots %d pauses every %.6f s for %.6f ms grow %.6f\n", i, k.Slots, k.PauseEvery, k.Pause, k.PauseGrow)
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

// SparedTerm is how long after SIGTERM a request that a process takes may still be found unanswered by SIGKILL.
const SparedTerm = 700 * time.Millisecond

// KillAfter is how long after SIGTERM the platform's SIGKILL comes, at the earliest: the longest deadline, at most 3 s,
// and the spared time.
func (s *Scenario) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, s.Pace(c.Deadline))
	}
	return min(longest, 3*time.Second) + SparedTerm
}

// ConnectTimeoutMS is how long a sidecar waits for a connection to come up, by the settings, in milliseconds.
const ConnectTimeoutMS = 120.0

// Latency is the time one way between two zones when nothing is wrong.
func (n *Network) Latency(a, b int) Duration {
	switch {
	case a == b:
		return n.Same
	case len(n.Regions) > 0 && n.regionOf(a) != n.regionOf(b):
		return n.Far
	}
	return n.Cross
}

// LongestLatency is the longest time one way between a sidecar and a server in the run, faults counted in.
func (p *Plan) LongestLatency() time.Duration {
	n := &p.Scenario.Network
	longest := max(n.Same.Of(), n.Cross.Of())
	if len(n.Regions) > 0 {
		longest = max(longest, n.Far.Of())
	}
	for _, f := range p.Faults {
		longest = max(longest, f.Fault.Latency.Of())
	}
	return time.Duration(float64(longest) * (1 + n.Jitter))
}

// Settings is the object that the platform gives a sidecar, as its pages describe it.
func (p *Plan) Settings(i int) map[string]any {
	s := p.Scenario
	ms := func(d Duration) float64 { return float64(s.Pace(d)) / float64(time.Millisecond) }
	var classes, tenants []map[string]any
	for _, c := range s.Classes {
		effect := "read_like"
		if c.Effect == "unsafe" {
			effect = "non_idempotent"
		}
		classes = append(classes, map[string]any{"name": c.Name, "effect": effect, "group": "all", "on_time_ms": ms(c.Aim),
			"hard_limit_ms": ms(c.Deadline), "worth": c.Worth, "late_worth": 0.0, "stream": false, "window_ms": 5000.0})
	}
	total := 0.0
	for _, t := range s.Tenants {
		total += t.Share
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Share / total,
			"allowance_per_s": math.Round(p.Rate / max(s.Traffic.Load, 0.1) * 0.83 * t.Share / total)})
	}
	var kinds []string
	for _, k := range s.Servers.Kinds {
		kinds = append(kinds, k.Name)
	}
	return map[string]any{
		"classes": classes, "tenants": tenants, "kinds": kinds, "zones": s.Network.Zones, "zone": p.Sidecars[i].Zone,
		"discovery": "automatic", "my_number": i, "peers_total": s.Peers(), "over_share_worth": 0.2,
		"quantum_ms": 5.0, "report": map[string]any{"fields": []string{}, "via": "silent"},
		"result_mix": map[string]any{"whole": 0.3, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.3},
		"penalties":  map[string]any{"cross_zone": s.Rules.CrossPrice, "late_fail": 0.036, "probe": 0.01, "waste": 0.2},
		"limits": map[string]any{"cancel": true, "conn_idle_ms": s.Servers.Idle.MS(), "connect_timeout_ms": ConnectTimeoutMS,
			"max_attempts": s.Rules.MaxAttempts, "max_retry_after_ms": 3000.0, "may_tell": false, "open_cap": 25000,
			"parallel_tries": false, "probes": s.Rules.Probes, "retry_after": true},
		"rules": map[string]any{"answer_slack_ms": s.Rules.AnswerSlack.MS(), "ask_within_ms": 10000.0,
			"cold_from": s.Rules.ColdFrom, "cold_ms": s.Rules.Cold.MS(), "drain_grace_ms": s.Rules.DrainGrace.MS(),
			"fall_ms": s.Rules.FallTime.MS(), "fall_multiple": s.Rules.FallMultiple},
	}
}
