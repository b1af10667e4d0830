package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Members turns membership on in a run (docs/membership.md): each sidecar, and each copy of the list service, is told
// of the fleet. Times that are 0 are left to the programs' defaults.
type Members struct {
	ProbeInterval    Duration `toml:"interval"`     // between probes
	AdmitWithin Duration `toml:"admit_within"` // after which a newcomer counts itself in
	Seeds       string   `toml:"seeds"`        // which sidecars, of those that are there from the beginning
	Peers       int      `toml:"peers"`        // as many share before anybody was heard of; 0: those there at first
	LateCount        int      `toml:"late"`         // so many sidecars, the last ones, start later
	LateStart      Duration `toml:"late_at"`      // ... at this time
	// ReuseNames gives those that start later the names of the first ones.
	ReuseNames bool `toml:"reuse_names"`
	// KeepAddress lets a process that is started again after its end have the address of the one before.
	KeepAddress    bool   `toml:"keep_address"`
	TrustRefusals *bool  `toml:"believe_refused"` // absent: the programs' default
	Defect         string `toml:"defect"`          // planted in the sidecars
}

// MemberRules are the rules of runs with membership.
func MemberInvariants() []string { return []string{"shares", "not-gone"} }

// Membered tells whether a sidecar takes part in membership; one of an older program does not.
func (s *Scenario) InMembership(sidecar int) bool { return s.Members != nil && !s.RunsOlderProgram(sidecar) }

// Late tells whether a sidecar starts later than the run.
func (s *Scenario) StartsLate(sidecar int) bool {
	return s.Members != nil && sidecar >= s.Sidecars.Count-s.Members.LateCount
}

// Peers is how many sidecars the settings say there are.
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

// checkMembers checks what says how sidecars know of each other.
func (s *Scenario) checkMembers(bad badFunc) *invalidKey {
	m := s.Members
	if m == nil {
		e := &s.Expect
		if e.Members != nil || e.DetectWithin != nil || e.RemoveWithin != nil || e.ConvergeWithin != nil || e.AdmitWithin != nil {
			return bad("members", "is missing: there is an expectation of it")
		}
		return nil
	}
	if s.Registry.Replicas > 0 || s.Sidecars.Program == "none" {
		return bad("members", "is of runs with sidecars")
	}
	for _, v := range []struct {
		key    string
		v      float64
		lo, hi float64
	}{
		{"interval", float64(m.ProbeInterval), 0, 6e10}, {"admit_within", float64(m.AdmitWithin), 0, 6e11},
		{"late", float64(m.LateCount), 0, float64(s.Sidecars.Count - 1)}, {"late_at", float64(m.LateStart), 0, float64(s.Length)},
		{"peers", float64(m.Peers), 1, 10000},
	} {
		if !(v.v >= v.lo && v.v <= v.hi) {
			return bad("members."+v.key, "is not between %g and %g", v.lo, v.hi)
		}
	}
	switch err := s.checkSelector(m.Seeds, s.Sidecars.Count-m.LateCount, false); {
	case err != nil:
		return bad("members.seeds", "%v", err)
	case m.LateCount > 0 != (m.LateStart > 0):
		return bad("members.late_at", "and late go together")
	case m.ReuseNames && (m.LateCount == 0 || 2*m.LateCount > s.Sidecars.Count):
		return bad("members.reuse_names", "has late sidecars take the names of as many others")
	case s.Expect.Members != nil && *s.Expect.Members < 1:
		return bad("expect.members", "is not over 0")
	}
	return nil
}

// drawMembers draws which sidecars are seeds, and names those that start later.
func (p *Plan) drawMembers(r *rand.Rand) {
	m := p.Scenario.Members
	if m == nil {
		return
	}
	first := len(p.Sidecars) - m.LateCount
	p.Seeds = slices.DeleteFunc(p.selectTargets(r, m.Seeds, first, false), func(i int) bool {
		return i >= first || !p.Scenario.InMembership(i)
	})
	if m.ReuseNames {
		for i := range m.LateCount {
			p.Sidecars[first+i].Name = p.Sidecars[i].Name
		}
	}
}

// lateReady is how long after its start a sidecar that starts late gets its first requests.
const lateStartGrace = 3 * time.Second

// hasStarted gives the sidecar that takes a request: one that has not started yet leaves it to another.
func (p *Plan) runningSidecar(sidecar int, at time.Duration) int {
	if m := p.Scenario.Members; p.Scenario.StartsLate(sidecar) && at < m.LateStart.Duration()+lateStartGrace {
		return sidecar % (len(p.Sidecars) - m.LateCount)
	}
	return sidecar
}

// withoutLate leaves out the sidecars that do not run yet at a time.
func (p *Plan) withoutUnstarted(sidecars []int, kind string, at time.Duration) []int {
	if m := p.Scenario.Members; m == nil || !strings.HasPrefix(kind, "sidecar-") || at >= m.LateStart.Duration() {
		return sidecars
	}
	return slices.DeleteFunc(sidecars, p.Scenario.StartsLate)
}
