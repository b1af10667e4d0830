package scenario

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Members turns membership on in a run (docs/membership.md), for each sidecar and each replica of the list service.
// Times that are 0 are left to the programs' defaults.
type Members struct {
	ProbeInterval Duration `toml:"interval"`     // between two probes
	AdmitWithin   Duration `toml:"admit_within"` // after which a joining member admits itself
	Seeds         string   `toml:"seeds"`        // which sidecars, of those that are there from the beginning
	Peers         int      `toml:"peers"`        // assumed before any member is known; 0: those there at first
	LateCount     int      `toml:"late"`         // the number of sidecars, the last ones, that start later
	LateStart     Duration `toml:"late_at"`      // when those start
	// ReuseNames gives those that start later the names of the first ones.
	ReuseNames bool `toml:"reuse_names"`
	// KeepAddress lets a process that is started again after its end have the address of the one before.
	KeepAddress   bool   `toml:"keep_address"`
	TrustRefusals *bool  `toml:"believe_refused"` // absent: the programs' default
	Defect        string `toml:"defect"`          // planted in the sidecars
}

// InMembership tells whether a sidecar takes part in membership; one of an older program does not.
func (s *Scenario) InMembership(sidecar int) bool {
	return s.Members != nil && !s.RunsOlderProgram(sidecar)
}

// StartsLate tells whether a sidecar starts later than the run.
func (s *Scenario) StartsLate(sidecar int) bool {
	return s.Members != nil && sidecar >= s.Sidecars.Count-s.Members.LateCount
}

// PeerCount is how many sidecars the settings say there are.
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
			return invalid("members", "is missing: there is an expectation of it")
		}
		return nil
	}
	if s.Registry.Replicas > 0 || s.Sidecars.Program == "none" {
		return invalid("members", "is of runs with sidecars")
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
		return invalid("members.late_at", "and late go together")
	case m.ReuseNames && (m.LateCount == 0 || 2*m.LateCount > s.Sidecars.Count):
		return invalid("members.reuse_names", "has late sidecars take the names of as many others")
	case s.Expect.Members != nil && *s.Expect.Members < 1:
		return invalid("expect.members", "is not over 0")
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
	p.Seeds = slices.DeleteFunc(p.selectSidecars(r, m.Seeds, first), func(i int) bool {
		return i >= first || !p.Scenario.InMembership(i)
	})
	if m.ReuseNames {
		for i := range m.LateCount {
			p.Sidecars[first+i].Name = p.Sidecars[i].Name
		}
	}
}

// lateStartGrace is how long after its start a sidecar that starts late gets its first requests.
const lateStartGrace = 3 * time.Second

// runningSidecar gives the sidecar that takes a request: another one for a sidecar that has not started yet.
func (p *Plan) runningSidecar(sidecar int, at time.Duration) int {
	if m := p.Scenario.Members; p.Scenario.StartsLate(sidecar) && at < m.LateStart.Duration()+lateStartGrace {
		return sidecar % (len(p.Sidecars) - m.LateCount)
	}
	return sidecar
}

// dropUnstarted leaves out the sidecars that do not run yet at a time.
func (p *Plan) dropUnstarted(sidecars []int, kind string, at time.Duration) []int {
	if m := p.Scenario.Members; m == nil || !findFaultKind(kind).processes || at >= m.LateStart.Duration() {
		return sidecars
	}
	return slices.DeleteFunc(sidecars, p.Scenario.StartsLate)
}
