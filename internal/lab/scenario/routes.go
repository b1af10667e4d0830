package scenario

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Routes turns routes on in a run with real copies of the list service: what operators allow, and what sidecars read.
// Times and shares that are 0 are left to the programs' defaults.
type Routes struct {
	LeaseTerm        Duration `toml:"term"`         // of a permission
	StragglerAfter Duration `toml:"behind_after"` // from then on a process is behind
	ShutOutAfter   Duration `toml:"shut_after"`   // from then on it is shut out
	GoneAfter   Duration `toml:"gone_after"`   // of silence, from then on it is gone
	MaxStragglerFraction float64  `toml:"behind_share"` // more of them behind: nobody is shut out
	Schemas     []int    `toml:"schemas"`      // that sidecars read; empty: all that they can
	OldSchemaSidecars         int      `toml:"old"`          // so many sidecars, the last ones, read schema 1 alone
	SwapSchemas        bool     `toml:"swap"`         // a process that is started again reads what its sidecar did not before
	KeylessFraction     float64  `toml:"keyless"`      // share of clients without a route key
	Defect      string   `toml:"defect"`       // planted in the copies of the list service

	Subsets []RouteSubset `toml:"subset"`
	Tenants []RouteTenant `toml:"tenant"`
}

// RouteSubset is servers under a name that operators give them: those that match each key that is set.
type RouteSubset struct {
	Name    string   `toml:"name"`
	Kinds   []string `toml:"kinds"`
	Pods    []int    `toml:"pods"`
	Zones   []string `toml:"zones"`
	Servers string   `toml:"servers"` // drawn, as a fault's: 3, 20%, #4
}

// RouteTenant is what operators let a tenant do.
type RouteTenant struct {
	Name     string   `toml:"name"`
	Subsets  []string `toml:"subsets"`
	MaxFraction float64  `toml:"max_share"` // of its requests in a canary; 0: all
	MaxRollouts int      `toml:"rollouts"`  // at a time; 0: one
}

// Rollout is a rollout that a tenant posts.
type Rollout struct {
	At      Duration      `toml:"at"`
	Tenant  string        `toml:"tenant"`
	Name    string        `toml:"name"`
	Subset      string        `toml:"to"` // a subset
	Classes []string      `toml:"classes"`
	Steps   []RolloutStep `toml:"steps"`
	Budget  int64         `toml:"budget"`
	CountLate    bool          `toml:"late"`
	AtEnd   string        `toml:"at_end"`
	PostTwice   bool          `toml:"twice"` // it is sent a second time, word for word
}

// RolloutStep is a share of the tenant's requests with what it takes to go on from it.
type RolloutStep struct {
	Fraction    float64  `toml:"share"`
	Hold     Duration `toml:"hold"`
	MinRequests int64    `toml:"requests"`
}

// Order is what a tenant or an operator says beside: "pause", "resume", "rollback" and "stop" of a rollout, "base" with
// a subset, "schema" with the least version that processes have to read.
type RouteCommand struct {
	At      Duration `toml:"at"`
	Action      string   `toml:"do"`
	Tenant  string   `toml:"tenant"`
	Rollout string   `toml:"rollout"`
	Subset      string   `toml:"to"`
	MinSchema   int      `toml:"least"`
	ExpectRejected bool     `toml:"refused"` // it has to be refused
}

// Ask is a question of the audit's in the middle of a run: who acted on the newest revision in the time before.
type AuditQuery struct {
	At     Duration `toml:"at"`
	Window Duration `toml:"before"`
}

func rolloutPhases() []string {
	return []string{"done", "rolled-back", "stopped", "running", "paused", "refused"}
}

// RouteRules are the rules of runs with rollouts.
func RouteInvariants() []string {
	return []string{"budget", "closed", "audit-true", "rollback-final", "route-free"}
}

// Routed tells whether a scenario has routes at all.
func (s *Scenario) HasRoutes() bool { return len(s.Routes.Subsets) > 0 }

// Checks are the rules that have to be held to some case in a run of this scenario.
func (s *Scenario) RulesToCheck() []string {
	if len(s.Expect.MustCheck) > 0 || len(s.Expect.MustBreak) > 0 || len(s.Rollouts) == 0 {
		return s.Expect.MustCheck
	}
	rules := []string{"budget", "closed", "audit-true", "route-free"}
	if slices.Contains(slices.Collect(maps.Values(s.Expect.RolloutPhases)), "rolled-back") {
		rules = append(rules, "rollback-final")
	}
	return rules
}

// drawSubsets draws which servers each subset holds.
func (p *Plan) drawSubsets(r *rand.Rand) {
	p.Subsets = map[string][]int{}
	for _, sub := range p.Scenario.Routes.Subsets {
		var all []int
		for i := range p.Servers {
			if p.matches(&sub, i) {
				all = append(all, i)
			}
		}
		if sub.Servers != "" {
			drawn := p.selectTargets(r, sub.Servers, p.Scenario.Servers.Count, true)
			all = slices.DeleteFunc(all, func(i int) bool { return !slices.Contains(drawn, i) })
		}
		p.Subsets[sub.Name] = all
	}
}

// matches tells whether a server has what a subset asks for, but for those that are drawn.
func (p *Plan) matches(sub *RouteSubset, i int) bool {
	s, v := p.Scenario, &p.Servers[i]
	return (len(sub.Kinds) == 0 || slices.Contains(sub.Kinds, s.Servers.Kinds[v.Kind].Name)) &&
		(len(sub.Pods) == 0 || slices.Contains(sub.Pods, v.Pod)) &&
		(len(sub.Zones) == 0 || slices.Contains(sub.Zones, s.Network.Zones[v.Zone]))
}

// InSubset tells whether a server belongs to a subset, also one that takes another one's place.
func (p *Plan) InSubset(name string, server int) bool {
	if slices.Contains(p.Subsets[name], server) {
		return true
	}
	i := slices.IndexFunc(p.Scenario.Routes.Subsets, func(sub RouteSubset) bool { return sub.Name == name })
	return i >= 0 && p.Scenario.Routes.Subsets[i].Servers == "" && p.matches(&p.Scenario.Routes.Subsets[i], server)
}

// Old tells whether a sidecar reads schema 1 alone.
func (s *Scenario) ReadsOldSchema(sidecar int) bool { return sidecar >= s.Sidecars.Count-s.Routes.OldSchemaSidecars }

// Older tells whether a sidecar runs the older program.
func (s *Scenario) RunsOlderProgram(sidecar int) bool { return sidecar < s.Sidecars.OlderCount }

func (s *Scenario) setRouteDefaults() {
	for i := range s.Routes.Tenants {
		setDefault(&s.Routes.Tenants[i].MaxFraction, 1)
		setDefault(&s.Routes.Tenants[i].MaxRollouts, 1)
	}
	for i := range s.Rollouts {
		setDefault(&s.Rollouts[i].AtEnd, "keep")
	}
	for i := range s.AuditQueries {
		setDefault(&s.AuditQueries[i].Window, Duration(time.Second))
	}
}

type badFunc = func(string, string, ...any) *invalidKey

// checkRoutes checks what says who may prefer which servers, and what is done with it.
func (s *Scenario) checkRoutes(bad badFunc) *invalidKey {
	if !s.HasRoutes() {
		if len(s.Rollouts)+len(s.RouteCommands)+len(s.AuditQueries)+len(s.Routes.Tenants) > 0 || s.Routes.OldSchemaSidecars > 0 || s.Routes.Defect != "" {
			return bad("routes.subset", "is missing: rollouts go to subsets")
		}
		return nil
	}
	if s.Discovery.RegistryReplicas == 0 {
		return bad("discovery.registry", "is missing: routes are told by real copies of the list service")
	}
	for _, v := range []struct {
		key    string
		v      float64
		lo, hi float64
	}{
		{"term", float64(s.Routes.LeaseTerm), 0, 6e11}, {"behind_after", float64(s.Routes.StragglerAfter), 0, 6e11},
		{"shut_after", float64(s.Routes.ShutOutAfter), 0, 6e11}, {"gone_after", float64(s.Routes.GoneAfter), 0, 6e11},
		{"behind_share", s.Routes.MaxStragglerFraction, 0, 1}, {"old", float64(s.Routes.OldSchemaSidecars), 0, float64(s.Sidecars.Count)},
		{"keyless", s.Routes.KeylessFraction, 0, 1},
	} {
		if !(v.v >= v.lo && v.v <= v.hi) {
			return bad("routes."+v.key, "is not between %g and %g", v.lo, v.hi)
		}
	}
	for i, n := range s.Routes.Schemas {
		if n < 1 || n > 1000 {
			return bad(fmt.Sprintf("routes.schemas[%d]", i), "is no version")
		}
	}
	if e := s.checkSubsets(bad); e != nil {
		return e
	}
	for i, t := range s.Routes.Tenants {
		key := fmt.Sprintf("routes.tenant[%d]", i)
		if !s.hasTenant(t.Name) {
			return bad(key+".name", "%q is no tenant", t.Name)
		}
		for k, name := range t.Subsets {
			if !s.hasSubset(name) {
				return bad(fmt.Sprintf("%s.subsets[%d]", key, k), "%q is no subset", name)
			}
		}
		if !(t.MaxFraction > 0 && t.MaxFraction <= 1) || t.MaxRollouts < 1 || t.MaxRollouts > 100 {
			return bad(key+".max_share", "is not in (0, 1], or rollouts is not between 1 and 100")
		}
	}
	return s.checkRollouts(bad)
}

func (s *Scenario) hasTenant(name string) bool {
	return slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
}

func (s *Scenario) hasSubset(name string) bool {
	return slices.ContainsFunc(s.Routes.Subsets, func(sub RouteSubset) bool { return sub.Name == name })
}

func (s *Scenario) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

func (s *Scenario) checkSubsets(bad badFunc) *invalidKey {
	seen := map[string]bool{}
	for i, sub := range s.Routes.Subsets {
		key := fmt.Sprintf("routes.subset[%d]", i)
		if sub.Name == "" || seen[sub.Name] || strings.Contains(sub.Name, ":") {
			return bad(key+".name", "%q is not a name of its own", sub.Name)
		}
		seen[sub.Name] = true
		for k, name := range sub.Kinds {
			if !slices.ContainsFunc(s.Servers.Kinds, func(kind ServerKind) bool { return kind.Name == name }) {
				return bad(fmt.Sprintf("%s.kinds[%d]", key, k), "%q is no kind of servers", name)
			}
		}
		for k, name := range sub.Zones {
			if !slices.Contains(s.Network.Zones, name) {
				return bad(fmt.Sprintf("%s.zones[%d]", key, k), "%q is no zone", name)
			}
		}
		for k, pod := range sub.Pods {
			if pod < 0 || pod*s.Servers.PodSize >= s.Servers.Count {
				return bad(fmt.Sprintf("%s.pods[%d]", key, k), "there is no pod %d", pod)
			}
		}
		if sub.Servers != "" {
			if strings.HasPrefix(sub.Servers, "subset:") {
				return bad(key+".servers", "a subset is of no other subset")
			}
			if err := s.checkSelector(sub.Servers, s.Servers.Count, true); err != nil {
				return bad(key+".servers", "%v", err)
			}
		}
	}
	return nil
}

func (s *Scenario) checkRollouts(bad badFunc) *invalidKey {
	names := map[string]bool{}
	for i := range s.Rollouts {
		o, key := &s.Rollouts[i], fmt.Sprintf("rollout[%d]", i)
		switch {
		case o.Name == "" || names[o.Name]:
			return bad(key+".name", "%q is not a name of its own", o.Name)
		case o.At < 0 || o.At > s.Length:
			return bad(key+".at", "lies outside the run")
		case !s.hasTenant(o.Tenant):
			return bad(key+".tenant", "%q is no tenant", o.Tenant)
		case !s.hasSubset(o.Subset):
			return bad(key+".to", "%q is no subset", o.Subset)
		case len(o.Steps) == 0 || len(o.Steps) > 100:
			return bad(key+".steps", "are not 1 to 100")
		case o.Budget < 0:
			return bad(key+".budget", "is negative")
		case o.AtEnd != "keep" && o.AtEnd != "return":
			return bad(key+".at_end", "%q is neither keep nor return", o.AtEnd)
		}
		names[o.Name] = true
		for k, name := range o.Classes {
			if !s.hasClass(name) {
				return bad(fmt.Sprintf("%s.classes[%d]", key, k), "%q is no class", name)
			}
		}
		for k, st := range o.Steps {
			if math.IsNaN(st.Fraction) || st.Hold < 0 || st.MinRequests < 0 {
				return bad(fmt.Sprintf("%s.steps[%d].share", key, k), "or hold or requests cannot be")
			}
		}
	}
	for name, end := range s.Expect.RolloutPhases {
		if !names[name] || !slices.Contains(rolloutPhases(), end) {
			return bad("expect.rollout_ends."+name, "there is no such rollout, or %q is none of %s", end, strings.Join(rolloutPhases(), ", "))
		}
	}
	if s.Expect.FractionError != nil && !(*s.Expect.FractionError >= 0) {
		return bad("expect.share_error", "is negative")
	}
	for i, rule := range s.Expect.MustCheck {
		if !IsInvariant(rule) {
			return bad(fmt.Sprintf("expect.checks[%d]", i), "%q is no rule", rule)
		}
	}
	return s.checkOrders(names, bad)
}

func (s *Scenario) checkOrders(names map[string]bool, bad badFunc) *invalidKey {
	for i := range s.RouteCommands {
		o, key := &s.RouteCommands[i], fmt.Sprintf("order[%d]", i)
		if o.At < 0 || o.At > s.Length {
			return bad(key+".at", "lies outside the run")
		}
		switch o.Action {
		case "pause", "resume", "rollback", "stop":
			if !names[o.Rollout] || o.Subset != "" || o.MinSchema != 0 {
				return bad(key+".rollout", "%q is no rollout, or to or least is set", o.Rollout)
			}
		case "base":
			if !s.hasTenant(o.Tenant) || !s.hasSubset(o.Subset) {
				return bad(key+".to", "a base is a tenant's and a subset's")
			}
		case "schema":
			if o.MinSchema < 1 || o.Tenant != "" || o.Rollout != "" {
				return bad(key+".least", "is not at least 1, or the order names a tenant or rollout")
			}
		default:
			return bad(key+".do", "%q is none of pause, resume, rollback, stop, base, schema", o.Action)
		}
	}
	for i, a := range s.AuditQueries {
		if a.At <= 0 || a.At > s.Length || a.Window <= 0 {
			return bad(fmt.Sprintf("ask[%d].at", i), "lies outside the run, or before is not over 0")
		}
	}
	return nil
}
