package simulate

import (
	"fmt"
	"io"
	"slices"

	"marblelane/internal/lab/scenario"
)

// Send is one attempt that a sidecar made, whether or not it reached its server.
type Send struct {
	At            float64 // time of the send, in ms since the start of the run
	Sidecar       int
	Server        int
	First         bool    // first attempt of its client attempt
	NewConnection bool    // no idle connection was reused
	Work          float64 // work of the request in milliseconds of a core of speed 1
}

// ZoneFault has the figures of a fault that hit all servers of some zones. Times are in ms, except for From and Until,
// which are in seconds since the start of the run.
type ZoneFault struct {
	Kind  string   `json:"kind"`
	From  float64  `json:"from_s"`
	Until float64  `json:"until_s"`
	Zones []string `json:"zones"`
	// EvacuatedAfter is the time from the fault's start after which less than evacuatedFraction of all first sends go
	// to the zones until the fault's end. It is negative if there is no such time.
	EvacuatedAfter float64 `json:"left_ms"`
	// SendsP50 and SendsP99 are percentiles, over the sidecars, of their first sends into the zones during the fault.
	SendsP50     float64 `json:"lost_p50"`
	SendsP99     float64 `json:"lost_p99"`
	SendFraction float64 `json:"share"` // fraction of all first sends during the fault that go into the zones
	// PeakLoad is the greatest work that the other zones' servers were sent in a second of the fault, divided by their
	// capacity.
	PeakLoad float64 `json:"peak_load"`
	// RecoveredAfter is the time from the fault's end after which the zones get recoveredFraction of their usual
	// fraction of first sends, over recoveryWindow. It is negative if there is no such time.
	RecoveredAfter float64 `json:"back_ms"`
}

// The bounds and windows of the figures of ZoneFault.
const (
	evacuatedFraction = 0.01
	recoveredFraction = 0.8
	recoveryWindow    = 2000.0 // length of the window of RecoveredAfter, in ms
	recoveryStep      = 250.0  // time between the starts of two windows of RecoveredAfter, in ms
	usualWindow       = 5000.0 // length of the window before the fault for the usual fraction of first sends, in ms
	loadWindow        = 1000.0 // length of the window of PeakLoad, in ms
	never             = -1.0   // value of EvacuatedAfter and RecoveredAfter if there is no such time
)

// ZoneFaults computes the figures of all faults that hit whole zones, but not all zones, from the sends of a run.
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

// zonesHit returns for each zone whether a lasting fault hits all its servers.
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

// zoneMeasure computes the figures of one fault of whole zones.
type zoneMeasure struct {
	plan        *scenario.Plan
	sends       []Send // sends of the run, sorted by time
	hitZones    []bool
	from, until float64 // start and end of the fault, in ms since the start of the run
}

func (m *zoneMeasure) measure(out *ZoneFault) {
	first, intoZones := m.firstSends()
	out.EvacuatedAfter = m.evacuatedAfter(first, intoZones)
	out.SendFraction = float64(len(intoZones)) / float64(max(len(first), 1))
	out.SendsP50, out.SendsP99 = m.sendPercentiles()
	out.PeakLoad = m.peakLoad()
	out.RecoveredAfter = m.recoveredAfter()
}

// hitsZones reports whether a send goes to one of the zones that the fault hits.
func (m *zoneMeasure) hitsZones(s *Send) bool { return m.hitZones[m.plan.Servers[s.Server].Zone] }

func (m *zoneMeasure) isDuring(s *Send) bool { return s.At >= m.from && s.At < m.until }

// firstSends returns the times of all first sends during the fault, and of those into the zones.
func (m *zoneMeasure) firstSends() (first, intoZones []float64) {
	for i := range m.sends {
		s := &m.sends[i]
		if !s.First || !m.isDuring(s) {
			continue
		}
		first = append(first, s.At)
		if m.hitsZones(s) {
			intoZones = append(intoZones, s.At)
		}
	}
	return first, intoZones
}

// evacuatedAfter computes ZoneFault.EvacuatedAfter. It goes backwards from the last send into the zones, as long as the
// sends into the zones after the current one are less than evacuatedFraction of all first sends after it.
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

// sendPercentiles returns the median and the 99th percentile, over the sidecars, of the first sends into the zones.
func (m *zoneMeasure) sendPercentiles() (p50, p99 float64) {
	counts := make([]float64, len(m.plan.Sidecars))
	for i := range m.sends {
		if s := &m.sends[i]; s.First && m.isDuring(s) && m.hitsZones(s) {
			counts[s.Sidecar]++
		}
	}
	slices.Sort(counts)
	return counts[len(counts)/2], counts[min(len(counts)*99/100, len(counts)-1)]
}

// peakLoad computes ZoneFault.PeakLoad.
func (m *zoneMeasure) peakLoad() float64 {
	capacity := 0.0 // capacity of the servers in the other zones, in work per millisecond
	for i := range m.plan.Servers {
		if server := &m.plan.Servers[i]; !server.Spare && !m.hitZones[server.Zone] {
			capacity += m.plan.ServerCapacity(i)
		}
	}
	work := map[int]float64{}
	for i := range m.sends {
		if s := &m.sends[i]; m.isDuring(s) && !m.hitsZones(s) {
			work[int((s.At-m.from)/loadWindow)] += s.Work
		}
	}
	peak := 0.0
	for _, w := range work {
		peak = max(peak, w/(capacity*loadWindow))
	}
	return peak
}

// recoveredAfter computes ZoneFault.RecoveredAfter.
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

// hitFraction returns the number of first sends in a span, and the fraction of them that goes to the zones.
func (m *zoneMeasure) hitFraction(from, until float64) (sends int, fraction float64) {
	hit := 0
	for i := range m.sends {
		s := &m.sends[i]
		if !s.First || s.At < from || s.At >= until {
			continue
		}
		sends++
		if m.hitsZones(s) {
			hit++
		}
	}
	return sends, float64(hit) / float64(max(sends, 1))
}

// PrintZoneFaults prints the figures of zone faults, two lines for each fault.
func PrintZoneFaults(w io.Writer, faults []ZoneFault) {
	for _, f := range faults {
		fmt.Fprintf(w, "zones %v, %s from %.0f to %.0f s: under 1%% of first sends after %.0f ms (-1: never), %.2f%% of first sends in total, %g (p50) and %g (p99) per sidecar\n"+
			"  peak load of the other zones %.2f of their capacity, back to 0.8 of the usual fraction %.0f ms after the end (-1: never)\n",
			f.Zones, f.Kind, f.From, f.Until, f.EvacuatedAfter, 100*f.SendFraction, f.SendsP50, f.SendsP99, f.PeakLoad, f.RecoveredAfter)
	}
}
