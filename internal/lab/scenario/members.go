package scenario

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Members turns on membership in a run (docs/membership.md), for each sidecar and each replica of the list service.
// A time of 0 means the default of the programs.
type Members struct {
	ProbeInterval Duration `toml:"interval"`     // time between two probes
	AdmitWithin   Duration `toml:"admit_within"` // time after which a joining member admits itself
	Seeds         string   `toml:"seeds"`        // selector of the seeds among the sidecars that run from the start
	Peers         int      `toml:"peers"`        // sidecars assumed before any member is known; 0 means those at the start
	LateCount     int      `toml:"late"`         // number of sidecars, the last ones, that start late
	LateStart     Duration `toml:"late_at"`      // time at which the late sidecars start
	// ReuseNames means that sidecars that start late have the names of the first ones.
	ReuseNames bool `toml:"reuse_names"`
	// KeepAddress means that a restarted process has the address of its predecessor.
	KeepAddress   bool   `toml:"keep_address"`
	TrustRefusals *bool  `toml:"believe_refused"` // a refused connection proves an end; nil means the programs' default
	Defect        string `toml:"defect"`          // planted defect of the sidecars
}

// InMembership reports whether a sidecar takes part in membership. One that runs the older program does not.
func (s *Scenario) InMembership(sidecar int) bool {
	return s.Members != nil && !s.RunsOlderProgram(sidecar)
}

// StartsLate reports whether a sidecar starts later than the run.
func (s *Scenario) StartsLate(sidecar int) bool {
	return s.Members != nil && sidecar >= s.Sidecars.Count-s.Members.LateCount
}

// PeerCount returns the number of sidecars that the settings state.
func (s *Scenario) PeerCount() int {
	if s.Members == nil {
		return s.Sidecars.Count
	}
	return s.Members.Peers
}

func (s *Scenario) setMemberDefaults() {
	if s.Members == nil {
		return
	}
	setDefault(&s.Members.Seeds, "all")
	setDefault(&s.Members.Peers, s.Sidecars.Count-s.Members.LateCount)
}

// checkMembers checks the table of membership.
func (s *Scenario) checkMembers() *invalidKey {
	m := s.Members
	if m == nil {
		e := &s.Expect
		if e.Members != nil || e.DetectWithin != nil || e.RemoveWithin != nil || e.ConvergeWithin != nil || e.AdmitWithin != nil {
			return invalid("members", "is missing, but the section expect has keys of membership")
		}
		return nil
	}
	if s.Registry.Replicas > 0 || s.Sidecars.Program == "none" {
		return invalid("members", "needs a run with sidecars")
	}
	if e := checkBounds([]bound{
		{"members.interval", float64(m.ProbeInterval), 0, float64(time.Minute)},
		{"members.admit_within", float64(m.AdmitWithin), 0, float64(10 * time.Minute)},
		{"members.late", float64(m.LateCount), 0, float64(s.Sidecars.Count - 1)},
		{"members.late_at", float64(m.LateStart), 0, float64(s.Length)},
		{"members.peers", float64(m.Peers), 1, 10000},
	}); e != nil {
		return e
	}
	switch err := s.checkSidecars(m.Seeds, s.Sidecars.Count-m.LateCount); {
	case err != nil:
		return invalid("members.seeds", "%v", err)
	case m.LateCount > 0 != (m.LateStart > 0):
		return invalid("members.late_at", "must be set if and only if late is set")
	case m.ReuseNames && (m.LateCount == 0 || 2*m.LateCount > s.Sidecars.Count):
		return invalid("members.reuse_names", "needs late sidecars, and at least as many others whose names they reuse")
	case s.Expect.Members != nil && *s.Expect.Members < 1:
		return invalid("expect.members", "must be over 0")
	}
	return nil
}

// drawMembers draws the seeds and sets the names of sidecars that start late.
func (p *Plan) drawMembers(r *rand.Rand) {
	m := p.Scenario.Members
	if m == nil {
		return
	}
	first := len(p.Sidecars) - m.LateCount
	p.Seeds = slices.DeleteFunc(p.selectSidecars(r, m.Seeds, first), func(i int) bool {
		return i >= first || !p.Scenario.InMembership(i)
	})
	if m.ReuseNames {
		for i := range m.LateCount {
			p.Sidecars[first+i].Name = p.Sidecars[i].Name
		}
	}
}

// lateStartGrace is the time from the start of a late sidecar to its first requests.
const lateStartGrace = 3 * time.Second

// runningSidecar returns the sidecar that receives a request: another one in place of a sidecar that has not started.
func (p *Plan) runningSidecar(sidecar int, at time.Duration) int {
	if m := p.Scenario.Members; p.Scenario.StartsLate(sidecar) && at < m.LateStart.Duration()+lateStartGrace {
		return sidecar % (len(p.Sidecars) - m.LateCount)
	}
	return sidecar
}

// dropUnstarted removes the sidecars that have not started at a time, for kinds of faults that act on processes.
func (p *Plan) dropUnstarted(sidecars []int, kind string, at time.Duration) []int {
	if m := p.Scenario.Members; m == nil || !findFaultKind(kind).processes || at >= m.LateStart.Duration() {
		return sidecars
	}
	return slices.DeleteFunc(sidecars, p.Scenario.StartsLate)
}
