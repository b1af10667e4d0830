package scenario

// This file draws the machines, faults and arrivals of a plan from its seed.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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
	// Kinds by their shares, not by chance: few servers of one draw would have another capacity than asked for.
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
	s := p.Scenario
	for _, f := range s.Faults {
		drawn := FaultPlan{Fault: f, At: f.At.Duration(), Until: f.At.Duration() + f.For.Duration()}
		if f.Servers != "" {
			drawn.Servers = p.selectTargets(r, f.Servers, s.Servers.Count, true)
			if f.Zone != "" {
				drawn.Servers = slices.DeleteFunc(drawn.Servers, func(i int) bool { return s.Network.Zones[p.Servers[i].Zone] != f.Zone })
			}
		}
		if f.Sidecars != "" {
			drawn.Sidecars = p.withoutUnstarted(p.selectTargets(r, f.Sidecars, len(p.Sidecars), false), f.Kind, drawn.At)
		}
		if faultForms()[f.Kind].turns {
			for k, i := range drawn.Sidecars {
				turn := drawn
				turn.At += time.Duration(k) * f.Every.Duration()
				turn.Until, turn.Sidecars = turn.At, []int{i}
				p.Faults = append(p.Faults, turn)
			}
			continue
		}
		if f.Every == 0 {
			if f.Kind == "replace" {
				drawn.Replacements = p.spares(drawn.Servers)
			}
			p.Faults = append(p.Faults, drawn)
			continue
		}
		// Half of each period it is there, half of it not; what happens at once happens each time.
		form := faultForms()[f.Kind]
		for at := drawn.At; at < f.At.Duration()+f.For.Duration(); at += f.Every.Duration() {
			repeat := drawn
			repeat.At, repeat.Until = at, at
			if form.lasts {
				repeat.Until = min(at+f.Every.Duration()/2, drawn.Until)
			}
			p.Faults = append(p.Faults, repeat)
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
func (p *Plan) selectTargets(r *rand.Rand, selector string, n int, servers bool) []int {
	var out []int
	all := func(is func(int) bool) []int {
		for i := range n {
			if is(i) {
				out = append(out, i)
			}
		}
		return out
	}
	kind, name, _ := strings.Cut(selector, ":")
	switch {
	case selector == "all":
		return all(func(int) bool { return true })
	case selector == "late":
		return all(p.Scenario.StartsLate)
	case kind == "zone":
		zone := slices.Index(p.Scenario.Network.Zones, name)
		return all(func(i int) bool {
			if servers {
				return p.Servers[i].Zone == zone
			}
			return p.Sidecars[i].Zone == zone
		})
	case kind == "region":
		return all(func(i int) bool {
			zone := p.Sidecars[min(i, len(p.Sidecars)-1)].Zone
			if servers {
				zone = p.Servers[i].Zone
			}
			return strconv.Itoa(p.Scenario.Network.regionOf(zone)) == name
		})
	case kind == "subset":
		return slices.Clone(p.Subsets[name])
	case kind == "pod":
		return all(func(i int) bool { return strconv.Itoa(p.Servers[i].Pod) == name })
	case kind == "kind":
		return all(func(i int) bool { return p.Scenario.Servers.Kinds[p.Servers[i].Kind].Name == name })
	case selector[0] == '#':
		i, _ := strconv.Atoi(selector[1:])
		return []int{i}
	}
	count := 0
	if share, ok := strings.CutSuffix(selector, "%"); ok {
		f, _ := strconv.ParseFloat(share, 64)
		count = max(int(math.Round(f/100*float64(n))), 1)
	} else {
		count, _ = strconv.Atoi(selector)
	}
	out = r.Perm(n)[:count]
	slices.Sort(out)
	return out
}

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
		if f.Fault.Kind == "burst" {
			highest = max(highest, p.Rate*(1+s.Traffic.RateSwing)*f.Fault.Size)
		}
	}
	// A Poisson process of changing rate by thinning (Lewis and Shedler, 1979).
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
	p.drawRushes(stream(p.Seed, "rushes"), classTotal, tenantTotal)
}

// drawRushes adds the requests that come to one sidecar at once.
func (p *Plan) drawRushes(r *rand.Rand, classTotal, tenantTotal float64) {
	for _, f := range p.Faults {
		if f.Fault.Kind != "rush" {
			continue
		}
		for range int(f.Fault.Size) {
			at := f.At + time.Duration(r.Float64()*float64(rushLength))
			p.Arrivals = append(p.Arrivals, p.drawArrival(r, at, f.Sidecars[0], classTotal, tenantTotal))
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// drawArrival draws a request that a sidecar is asked for at a time; classes and tenants are the sums of their shares.
func (p *Plan) drawArrival(r *rand.Rand, at time.Duration, sidecar int, classTotal, tenantTotal float64) Arrival {
	s := p.Scenario
	a := Arrival{At: at, Sidecar: sidecar, Seed: r.Uint64()}
	a.Class = drawWeighted(r, len(s.Classes), classTotal, func(i int) float64 { return s.Classes[i].Fraction })
	a.Tenant = drawWeighted(r, len(s.Tenants), tenantTotal, func(i int) float64 { return s.Tenants[i].Fraction * s.Tenants[i].UsageFactor })
	c := &s.Classes[a.Class]
	w := 1.0
	switch {
	case c.Dist == "exp":
		w = r.ExpFloat64()
	case c.CV > 0:
		w = lognormal(r, c.CV)
	}
	a.Work = math.Round(c.Work.Milliseconds()/s.Traffic.Speedup*w*1000) / 1000
	return a
}

func (p *Plan) rateAt(t time.Duration) float64 {
	s := p.Scenario
	rate := p.Rate * (1 - s.Traffic.RateSwing*math.Cos(2*math.Pi*float64(t)/float64(s.Length)))
	for _, f := range p.Faults {
		if f.Fault.Kind == "burst" && t >= f.At && t < f.Until {
			rate *= f.Fault.Size
		}
	}
	return rate
}

func (p *Plan) drawSidecar(r *rand.Rand) int {
	return drawWeighted(r, len(p.Sidecars), 1, func(i int) float64 { return p.Sidecars[i].Weight })
}

func drawWeighted(r *rand.Rand, n int, total float64, weight func(int) float64) int {
	x := r.Float64() * total
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// lognormal draws with mean 1 and the coefficient of variation cv.
func lognormal(r *rand.Rand, cv float64) float64 {
	v := math.Log1p(cv * cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(v) - v/2)
}
