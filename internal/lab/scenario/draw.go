package scenario

// This file draws the machines, faults and arrivals of a plan from its seed.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

func (p *Plan) drawKinds(r *rand.Rand) {
	for _, k := range p.Scenario.Servers.Kinds {
		p.Kinds = append(p.Kinds, ServerKindPlan{
			SlotsPerCore: int(math.Round(k.SlotsPerCore.At(r.Float64()))), PauseEvery: k.PauseEvery.At(r.Float64()),
			PauseLength: k.PauseLength.At(r.Float64()), PauseGrowth: k.PauseGrowth.At(r.Float64()),
		})
	}
}

func (p *Plan) drawServers(r *rand.Rand) {
	s := p.Scenario
	var total float64
	for _, k := range s.Servers.Kinds {
		total += k.Fraction
	}
	// Kinds are assigned by their fractions and not drawn: with few servers, a draw would miss the configured capacity.
	kinds := make([]int, s.Servers.Count)
	coveredFraction, k := s.Servers.Kinds[0].Fraction/total, 0
	for i := range kinds {
		for k+1 < len(s.Servers.Kinds) && (float64(i)+0.5)/float64(len(kinds)) > coveredFraction {
			k++
			coveredFraction += s.Servers.Kinds[k].Fraction / total
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

func (p *Plan) drawSidecars(r *rand.Rand) {
	s := p.Scenario
	total := 0.0
	for i := range s.Sidecars.Count {
		w := 1.0
		if cv := s.Sidecars.TrafficSkew; cv > 0 {
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

func (p *Plan) drawFaults(r *rand.Rand) {
	for _, f := range p.Scenario.Faults {
		p.Faults = append(p.Faults, p.occurrences(p.drawTargets(r, f))...)
	}
	slices.SortStableFunc(p.Faults, func(a, b FaultPlan) int { return cmp.Compare(a.At, b.At) })
}

// drawTargets returns a fault with the servers and sidecars drawn that it acts on.
func (p *Plan) drawTargets(r *rand.Rand, f Fault) FaultPlan {
	out := FaultPlan{Fault: f, At: f.At.Duration(), Until: f.At.Duration() + f.For.Duration()}
	if f.Servers != "" {
		out.Servers = p.selectServers(r, f.Servers)
	}
	if f.Servers != "" && f.Zone != "" {
		zones := p.Scenario.Network.Zones
		out.Servers = slices.DeleteFunc(out.Servers, func(i int) bool { return zones[p.Servers[i].Zone] != f.Zone })
	}
	if f.Sidecars != "" {
		out.Sidecars = p.dropUnstarted(p.selectSidecars(r, f.Sidecars, len(p.Sidecars)), f.Kind, out.At)
	}
	if f.Kind == FaultReplace {
		out.Replacements = p.addSpares(out.Servers)
	}
	return out
}

// occurrences returns each occurrence of a fault: one, one for each sidecar in turn, or one for each period.
func (p *Plan) occurrences(first FaultPlan) []FaultPlan {
	kind, every := findFaultKind(first.Fault.Kind), first.Fault.Every.Duration()
	if kind.timing == staggered {
		var out []FaultPlan
		for k, sidecar := range first.Sidecars {
			next := first
			next.At += time.Duration(k) * every
			next.Until, next.Sidecars = next.At, []int{sidecar}
			out = append(out, next)
		}
		return out
	}
	if every == 0 {
		return []FaultPlan{first}
	}
	// A fault with a duration is active in the first half of each period.
	var out []FaultPlan
	for at := first.At; at < first.Until; at += every {
		next := first
		next.At, next.Until = at, at
		if kind.timing == hasDuration {
			next.Until = min(at+every/2, first.Until)
		}
		out = append(out, next)
	}
	return out
}

// addSpares adds a spare server with the properties of each replaced server, under a new UID, and returns the new
// indexes.
func (p *Plan) addSpares(replaced []int) []int {
	var spares []int
	for _, i := range replaced {
		sp := p.Servers[i]
		sp.UID, sp.Spare = fmt.Sprintf("%s-%d", sp.UID, len(p.Servers)), true
		spares = append(spares, len(p.Servers))
		p.Servers = append(p.Servers, sp)
	}
	return spares
}

// drawArrivals draws the requests of all clients.
func (p *Plan) drawArrivals(r *rand.Rand) {
	s := p.Scenario
	classTotal, meanWork := s.totalClassFraction(), s.MeanWork()
	p.Rate = s.Traffic.Rate
	if p.Rate == 0 {
		p.Rate = s.Traffic.Load * p.Capacity / meanWork * 1000
	}
	tenantTotal := 0.0
	for _, t := range s.Tenants {
		tenantTotal += t.Fraction * t.UsageFactor
	}
	highest := p.Rate * (1 + s.Traffic.RateSwing)
	for _, f := range p.Faults {
		if f.Fault.Kind == FaultBurst {
			highest = max(highest, p.Rate*(1+s.Traffic.RateSwing)*f.Fault.Size)
		}
	}
	// A Poisson process of variable rate, generated by thinning (Lewis and Shedler, 1979).
	length := s.Length.Duration()
	for at := 0.0; ; {
		at += r.ExpFloat64() / highest
		t := time.Duration(at*1e6) * time.Microsecond
		if t >= length {
			break
		}
		if r.Float64()*highest > p.rateAt(t) {
			continue
		}
		p.Arrivals = append(p.Arrivals, p.drawArrival(r, t, p.runningSidecar(p.drawSidecar(r), t), classTotal, tenantTotal))
	}
	p.drawRushes(randomSource(p.Seed, "rushes"), classTotal, tenantTotal)
}

// drawRushes adds the requests of rush faults. The requests of one rush go to one sidecar.
func (p *Plan) drawRushes(r *rand.Rand, classTotal, tenantTotal float64) {
	for _, f := range p.Faults {
		if f.Fault.Kind != FaultRush {
			continue
		}
		for range int(f.Fault.Size) {
			at := f.At + time.Duration(r.Float64()*float64(rushLength))
			p.Arrivals = append(p.Arrivals, p.drawArrival(r, at, f.Sidecars[0], classTotal, tenantTotal))
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// drawArrival draws a request that arrives at a sidecar at a time. classTotal and tenantTotal are the total weights of
// the classes and the tenants.
func (p *Plan) drawArrival(r *rand.Rand, at time.Duration, sidecar int, classTotal, tenantTotal float64) Arrival {
	s := p.Scenario
	a := Arrival{At: at, Sidecar: sidecar, Seed: r.Uint64()}
	a.Class = drawWeighted(r, len(s.Classes), classTotal, func(i int) float64 { return s.Classes[i].Fraction })
	a.Tenant = drawWeighted(r, len(s.Tenants), tenantTotal, func(i int) float64 { return s.Tenants[i].Fraction * s.Tenants[i].UsageFactor })
	c := &s.Classes[a.Class]
	w := 1.0
	switch {
	case c.Dist == DistExponential:
		w = r.ExpFloat64()
	case c.CV > 0:
		w = lognormal(r, c.CV)
	}
	a.Work = math.Round(c.Work.Milliseconds()/s.Traffic.Speedup*w*1000) / 1000
	return a
}

// rateAt returns the request rate at a time, with bursts, in requests per second.
func (p *Plan) rateAt(t time.Duration) float64 {
	s := p.Scenario
	rate := p.Rate * (1 - s.Traffic.RateSwing*math.Cos(2*math.Pi*float64(t)/float64(s.Length)))
	for _, f := range p.Faults {
		if f.Fault.Kind == FaultBurst && t >= f.At && t < f.Until {
			rate *= f.Fault.Size
		}
	}
	return rate
}

func (p *Plan) drawSidecar(r *rand.Rand) int {
	return drawWeighted(r, len(p.Sidecars), 1, func(i int) float64 { return p.Sidecars[i].Weight })
}

// drawWeighted draws one of n indexes in proportion to their weights, whose sum is total.
func drawWeighted(r *rand.Rand, n int, total float64, weight func(int) float64) int {
	x := r.Float64() * total
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// lognormal draws from a lognormal distribution with mean 1 and the coefficient of variation cv.
func lognormal(r *rand.Rand, cv float64) float64 {
	v := math.Log1p(cv * cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(v) - v/2)
}
