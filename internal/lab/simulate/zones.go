package simulate

import (
	"fmt"
	"io"
	"slices"

	"marblelane/internal/lab/scenario"
)

// Send is one attempt as its sidecar made it, whether or not it reached its server.
type Send struct {
	At      float64 // ms since the start of the run
	Sidecar int
	Server  int
	First   bool // of its request
	NewConnection  bool // a new connection for it was asked for
	Work    float64
}

// ZoneFault is what became of a fault that hit all servers of some zones. Times are in ms.
type ZoneFault struct {
	Kind  string   `json:"kind"`
	From  float64  `json:"from_s"`
	Until float64  `json:"until_s"`
	Zones []string `json:"zones"`
	// Left is how long after its start under 1 % of all first sends went to the zones for the rest of it; negative: never.
	EvacuatedAfter float64 `json:"left_ms"`
	// LostP50 and LostP99 are first sends into the zones while it lasted, over the sidecars.
	SendsP50 float64 `json:"lost_p50"`
	SendsP99 float64 `json:"lost_p99"`
	SendFraction   float64 `json:"share"` // of all first sends while it lasted
	// Peak is the most work that the other zones' servers were sent in a second of it, over what they can do.
	PeakLoad float64 `json:"peak_load"`
	// Back is how long after its end the zones had 0.8 of their share of before, over 2 s; negative: never.
	RecoveredAfter float64 `json:"back_ms"`
}

const (
	evacuatedFraction  = 0.01
	recoveredFraction  = 0.8
	recoveryWindow = 2000.0
	recoveryStep   = 250.0
)

// ZoneFaults measures all faults that hit whole zones, from what sidecars sent.
func ZoneFaults(p *scenario.Plan, sends []Send) []ZoneFault {
	var out []ZoneFault
	for i := range p.Faults {
		f := &p.Faults[i]
		hit := map[int]bool{}
		for _, n := range f.Servers {
			hit[n] = true
		}
		whole := make([]bool, len(p.Scenario.Network.Zones))
		for z := range whole {
			whole[z] = len(hit) > 0 && f.Until > f.At
		}
		capacity := 0.0 // of all other zones, in work a millisecond
		for n := range p.Servers {
			if sp := &p.Servers[n]; !sp.Spare && !hit[n] {
				whole[sp.Zone] = false
			}
		}
		one := ZoneFault{Kind: f.Fault.Kind, From: f.At.Seconds(), Until: f.Until.Seconds()}
		for z, is := range whole {
			if is {
				one.Zones = append(one.Zones, p.Scenario.Network.Zones[z])
			}
		}
		if len(one.Zones) == 0 || len(one.Zones) == len(whole) || len(f.Sidecars) > 0 && len(f.Sidecars) < len(p.Sidecars) {
			continue
		}
		for n := range p.Servers {
			if sp := &p.Servers[n]; !sp.Spare && !whole[sp.Zone] {
				capacity += float64(p.Scenario.Servers.Kinds[sp.Kind].Cores) * sp.Speed * p.Pods[sp.Pod].Limit
			}
		}
		one.measure(p, sends, whole, capacity, ms(f.At), ms(f.Until))
		out = append(out, one)
	}
	return out
}

func (o *ZoneFault) measure(p *scenario.Plan, sends []Send, whole []bool, capacity, from, until float64) {
	lost := make([]float64, len(p.Sidecars))
	var during, into []float64 // times of first sends, and of those into the zones
	before, beforeInto := 0, 0
	work := map[int]float64{}
	for _, s := range sends {
		there := whole[p.Servers[s.Server].Zone]
		switch {
		case s.At >= from && s.At < until:
			if s.First {
				during = append(during, s.At)
			}
			if s.First && there {
				into = append(into, s.At)
				lost[s.Sidecar]++
			}
			if !there {
				work[int((s.At-from)/1000)] += s.Work
			}
		case s.At < from && s.At >= from-5000 && s.First:
			before++
			if there {
				beforeInto++
			}
		}
	}
	o.EvacuatedAfter = -1
	for i := len(into); i >= 0; i-- { // after the i-th send into the zones
		at := from
		if i > 0 {
			at = into[i-1]
		}
		k, _ := slices.BinarySearch(during, at)
		if i > 0 {
			k++
		}
		if rest := len(during) - k; rest > 0 && float64(len(into)-i) >= evacuatedFraction*float64(rest) {
			break
		} else if rest > 0 {
			o.EvacuatedAfter = at - from
		}
	}
	slices.Sort(lost)
	o.SendsP50, o.SendsP99 = lost[len(lost)/2], lost[min(len(lost)*99/100, len(lost)-1)]
	o.SendFraction = float64(len(into)) / float64(max(len(during), 1))
	for _, sim := range work {
		o.PeakLoad = max(o.PeakLoad, sim/(capacity*1000))
	}
	o.RecoveredAfter = -1
	usual := float64(beforeInto) / float64(max(before, 1))
	for at := until; at+recoveryWindow <= ms(p.Scenario.Length.Duration()); at += recoveryStep {
		all, there := 0, 0
		for _, s := range sends {
			if s.First && s.At >= at && s.At < at+recoveryWindow {
				all++
				if whole[p.Servers[s.Server].Zone] {
					there++
				}
			}
		}
		if all > 0 && float64(there)/float64(all) >= recoveredFraction*usual {
			o.RecoveredAfter = at - until
			return
		}
	}
}

// PrintZoneFaults writes them as a table.
func PrintZoneFaults(sim io.Writer, faults []ZoneFault) {
	for _, f := range faults {
		fmt.Fprintf(sim, "zones %v, %s from %.0f to %.0f s: under 1%% of first sends after %.0f ms (-1: never), %.2f%% of all; a sidecar lost %g (p50), %g (p99);\n"+
			"  the others were sent up to %.2f of what they can do; back to 0.8 of its share %.0f ms after the end\n",
			f.Zones, f.Kind, f.From, f.Until, f.EvacuatedAfter, 100*f.SendFraction, f.SendsP50, f.SendsP99, f.PeakLoad, f.RecoveredAfter)
	}
}
