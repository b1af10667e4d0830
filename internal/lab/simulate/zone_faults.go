package simulate

import (
	"fmt"
	"io"
	"slices"

	"marblelane/internal/lab/scenario"
)

// Send is one attempt as its sidecar made it, whether or not it reached its server.
type Send struct {
	At            float64 // ms since the start of the run
	Sidecar       int
	Server        int
	First         bool // of its request
	NewConnection bool // a connection was opened for it
	Work          float64
}

// ZoneFault measures a fault that hit all servers of some zones. Times are in ms but for From and Until.
type ZoneFault struct {
	Kind  string   `json:"kind"`
	From  float64  `json:"from_s"`
	Until float64  `json:"until_s"`
	Zones []string `json:"zones"`
	// EvacuatedAfter is the time from the fault's start after which, for the rest of it, less than evacuatedFraction of all
	// first sends go to the zones; negative: never.
	EvacuatedAfter float64 `json:"left_ms"`
	// SendsP50 and SendsP99 are percentiles, over the sidecars, of their first sends into the zones during the fault.
	SendsP50     float64 `json:"lost_p50"`
	SendsP99     float64 `json:"lost_p99"`
	SendFraction float64 `json:"share"` // of all first sends during the fault, those into the zones
	// PeakLoad is the most work that the other zones' servers were sent in a second of the fault, over their capacity.
	PeakLoad float64 `json:"peak_load"`
	// RecoveredAfter is the time from the fault's end after which the zones get recoveredFraction of their usual fraction of
	// first sends, over recoveryWindow; negative: never.
	RecoveredAfter float64 `json:"back_ms"`
}

const (
	evacuatedFraction = 0.01
	recoveredFraction = 0.8
	recoveryWindow    = 2000.0 // ms
	recoveryStep      = 250.0  // ms
	usualWindow       = 5000.0 // ms before the fault
	loadWindow        = 1000.0 // ms
	never             = -1.0
)

// ZoneFaults measures all faults that hit whole zones, from what sidecars sent.
func ZoneFaults(p *scenario.Plan, sends []Send) []ZoneFault {
	var out []ZoneFault
	for i := range p.Faults {
		f := &p.Faults[i]
		hitZones := zonesHit(p, f)
		fault := ZoneFault{Kind: f.Fault.Kind, From: f.At.Seconds(), Until: f.Until.Seconds()}
		for zone, hit := range hitZones {
			if hit {
				fault.Zones = append(fault.Zones, p.Scenario.Network.Zones[zone])
			}
		}
		ofSomeSidecars := len(f.Sidecars) > 0 && len(f.Sidecars) < len(p.Sidecars)
		if len(fault.Zones) == 0 || len(fault.Zones) == len(hitZones) || ofSomeSidecars {
			continue
		}
		m := zoneMeasure{plan: p, sends: sends, hitZones: hitZones, from: ms(f.At), until: ms(f.Until)}
		m.measure(&fault)
		out = append(out, fault)
	}
	return out
}

// zonesHit tells of each zone whether a fault that lasts hits all its servers.
func zonesHit(p *scenario.Plan, f *scenario.FaultPlan) []bool {
	zones := make([]bool, len(p.Scenario.Network.Zones))
	for zone := range zones {
		zones[zone] = len(f.Servers) > 0 && f.Until > f.At
	}
	for i := range p.Servers {
		if server := &p.Servers[i]; !server.Spare && !slices.Contains(f.Servers, i) {
			zones[server.Zone] = false
		}
	}
	return zones
}

// zoneMeasure measures one fault of whole zones.
type zoneMeasure struct {
	plan        *scenario.Plan
	sends       []Send // by time
	hitZones    []bool
	from, until float64 // ms since the start of the run
}

func (m *zoneMeasure) measure(out *ZoneFault) {
	first, intoZones := m.firstSends()
	out.EvacuatedAfter = m.evacuatedAfter(first, intoZones)
	out.SendFraction = float64(len(intoZones)) / float64(max(len(first), 1))
	out.SendsP50, out.SendsP99 = m.sendPercentiles()
	out.PeakLoad = m.peakLoad()
	out.RecoveredAfter = m.recoveredAfter()
}

// isHit tells whether a send goes to one of the zones.
func (m *zoneMeasure) isHit(s *Send) bool { return m.hitZones[m.plan.Servers[s.Server].Zone] }

func (m *zoneMeasure) isDuring(s *Send) bool { return s.At >= m.from && s.At < m.until }

// firstSends gives the times of all first sends during the fault, and of those into the zones.
func (m *zoneMeasure) firstSends() (first, intoZones []float64) {
	for i := range m.sends {
		s := &m.sends[i]
		if !s.First || !m.isDuring(s) {
			continue
		}
		first = append(first, s.At)
		if m.isHit(s) {
			intoZones = append(intoZones, s.At)
		}
	}
	return first, intoZones
}

// evacuatedAfter goes back from the last send into the zones, as long as those after it are few among the remaining ones.
func (m *zoneMeasure) evacuatedAfter(first, intoZones []float64) float64 {
	evacuated := never
	for i := len(intoZones); i >= 0; i-- {
		at, passed := m.from, 0
		if i > 0 {
			at = intoZones[i-1]
			passed, _ = slices.BinarySearch(first, at)
			passed++
		}
		remaining := len(first) - passed
		if remaining == 0 {
			continue
		}
		if float64(len(intoZones)-i) >= evacuatedFraction*float64(remaining) {
			break
		}
		evacuated = at - m.from
	}
	return evacuated
}

// sendPercentiles gives the median and the 99th percentile of the sidecars' first sends into the zones.
func (m *zoneMeasure) sendPercentiles() (p50, p99 float64) {
	counts := make([]float64, len(m.plan.Sidecars))
	for i := range m.sends {
		if s := &m.sends[i]; s.First && m.isDuring(s) && m.isHit(s) {
			counts[s.Sidecar]++
		}
	}
	slices.Sort(counts)
	return counts[len(counts)/2], counts[min(len(counts)*99/100, len(counts)-1)]
}

// peakLoad is the most work that the other zones were sent in a second, over their capacity.
func (m *zoneMeasure) peakLoad() float64 {
	capacity := 0.0 // work a millisecond
	for i := range m.plan.Servers {
		if server := &m.plan.Servers[i]; !server.Spare && !m.hitZones[server.Zone] {
			capacity += m.plan.ServerCapacity(i)
		}
	}
	work := map[int]float64{}
	for i := range m.sends {
		if s := &m.sends[i]; m.isDuring(s) && !m.isHit(s) {
			work[int((s.At-m.from)/loadWindow)] += s.Work
		}
	}
	peak := 0.0
	for _, w := range work {
		peak = max(peak, w/(capacity*loadWindow))
	}
	return peak
}

func (m *zoneMeasure) recoveredAfter() float64 {
	_, usual := m.hitFraction(m.from-usualWindow, m.from)
	end := ms(m.plan.Scenario.Length.Duration())
	for at := m.until; at+recoveryWindow <= end; at += recoveryStep {
		if sends, fraction := m.hitFraction(at, at+recoveryWindow); sends > 0 && fraction >= recoveredFraction*usual {
			return at - m.until
		}
	}
	return never
}

// hitFraction counts the first sends in a time, and gives the fraction of them that goes to the zones.
func (m *zoneMeasure) hitFraction(from, until float64) (sends int, fraction float64) {
	hit := 0
	for i := range m.sends {
		s := &m.sends[i]
		if !s.First || s.At < from || s.At >= until {
			continue
		}
		sends++
		if m.isHit(s) {
			hit++
		}
	}
	return sends, float64(hit) / float64(max(sends, 1))
}

// PrintZoneFaults writes them as a table.
func PrintZoneFaults(w io.Writer, faults []ZoneFault) {
	for _, f := range faults {
		fmt.Fprintf(w, "zones %v, %s from %.0f to %.0f s: under 1%% of first sends after %.0f ms (-1: never), %.2f%% of all; a sidecar lost %g (p50), %g (p99);\n"+
			"  the others were sent up to %.2f of what they can do; back to 0.8 of its share %.0f ms after the end\n",
			f.Zones, f.Kind, f.From, f.Until, f.EvacuatedAfter, 100*f.SendFraction, f.SendsP50, f.SendsP99, f.PeakLoad, f.RecoveredAfter)
	}
}
