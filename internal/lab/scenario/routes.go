package scenario

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"marblelane/internal/lab/invariant"
)

// Routes turns on routes in a run with real replicas of the list service: what operators allow and what sidecars read.
// A time or fraction of 0 means the default of the programs.
type Routes struct {
	LeaseTerm            Duration `toml:"term"`         // term of the route lease
	StragglerAfter       Duration `toml:"behind_after"` // time after which a process is a straggler
	ShutOutAfter         Duration `toml:"shut_after"`   // time after which a straggler is shut out
	GoneAfter            Duration `toml:"gone_after"`   // time without a report after which a process is gone
	MaxStragglerFraction float64  `toml:"behind_share"` // fraction of stragglers above which none is shut out
	Schemas              []int    `toml:"schemas"`      // schema versions that sidecars read; empty means all that they support
	OldSchemaSidecars    int      `toml:"old"`          // number of sidecars, the last ones, that read only schema 1
	SwapSchemas          bool     `toml:"swap"`         // a restarted process reads the schemas that its sidecar did not read before
	KeylessFraction      float64  `toml:"keyless"`      // fraction of clients that send no route key
	Defect               string   `toml:"defect"`       // planted defect of the replicas of the list service

	Subsets []RouteSubset `toml:"subset"`
	Tenants []RouteTenant `toml:"tenant"`
}

// RouteSubset is a named set of servers: those that match each key that is set.
type RouteSubset struct {
	Name    string   `toml:"name"`
	Kinds   []string `toml:"kinds"`
	Pods    []int    `toml:"pods"`
	Zones   []string `toml:"zones"`
	Servers string   `toml:"servers"` // selector of servers, as in a fault: 3, 20%, #4
}

// RouteTenant holds the permissions that operators grant a tenant.
type RouteTenant struct {
	Name        string   `toml:"name"`
	Subsets     []string `toml:"subsets"`   // subsets that the tenant's rollouts can use
	MaxFraction float64  `toml:"max_share"` // maximum fraction of the tenant's requests in a canary; 0 means all
	MaxRollouts int      `toml:"rollouts"`  // maximum rollouts at the same time; 0 means one
}

// Rollout is a rollout that a tenant posts.
type Rollout struct {
	At        Duration      `toml:"at"`
	Tenant    string        `toml:"tenant"`
	Name      string        `toml:"name"`
	Subset    string        `toml:"to"` // target subset
	Classes   []string      `toml:"classes"`
	Steps     []RolloutStep `toml:"steps"`
	Budget    int64         `toml:"budget"` // failures that the rollout may cause
	CountLate bool          `toml:"late"`   // whether late responses count as failures
	AtEnd     string        `toml:"at_end"` // what follows the last step: "keep" (default) or "return"
	PostTwice bool          `toml:"twice"`  // whether the same text is posted a second time
}

// RolloutStep is a fraction of the tenant's requests and the conditions for the next step.
type RolloutStep struct {
	Fraction    float64  `toml:"share"`
	Hold        Duration `toml:"hold"`     // minimum time in the step
	MinRequests int64    `toml:"requests"` // minimum requests in the step
}

// RouteCommand is a command of a tenant or an operator. "pause", "resume", "rollback" and "stop" act on a rollout,
// "base" sets a tenant's base subset, and "schema" sets the minimum schema version that processes must read.
type RouteCommand struct {
	At             Duration `toml:"at"`
	Action         string   `toml:"do"`
	Tenant         string   `toml:"tenant"`
	Rollout        string   `toml:"rollout"`
	Subset         string   `toml:"to"`
	MinSchema      int      `toml:"least"`
	ExpectRejected bool     `toml:"refused"` // whether the command must be rejected
}

// AuditQuery is a query to the audit during a run: which processes acted on the newest revision in the
// window before it.
type AuditQuery struct {
	At     Duration `toml:"at"`
	Window Duration `toml:"before"`
}

// rolloutPhases returns the phases that an expected result can name.
func rolloutPhases() []string {
	return []string{"done", "rolled-back", "stopped", "running", "paused", "refused"}
}

// HasRoutes reports whether the scenario has routes.
func (s *Scenario) HasRoutes() bool { return len(s.Routes.Subsets) > 0 }

// InvariantsToCheck returns the invariants that must be checked on at least one case in a run of this scenario.
func (s *Scenario) InvariantsToCheck() []string {
	if len(s.Expect.MustCheck) > 0 || len(s.Expect.MustBreak) > 0 || len(s.Rollouts) == 0 {
		return s.Expect.MustCheck
	}
	rules := []string{invariant.Budget, invariant.RevClosed, invariant.AuditTrue, invariant.RouteFree}
	if slices.Contains(slices.Collect(maps.Values(s.Expect.RolloutPhases)), "rolled-back") {
		rules = append(rules, invariant.RollbackFinal)
	}
	return rules
}

// drawSubsets draws the servers of each subset.
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
			drawn := p.selectServers(r, sub.Servers)
			all = slices.DeleteFunc(all, func(i int) bool { return !slices.Contains(drawn, i) })
		}
		p.Subsets[sub.Name] = all
	}
}

// matches reports whether a server matches the kinds, pods and zones of a subset. It ignores the selector Servers,
// which drawSubsets applies.
func (p *Plan) matches(sub *RouteSubset, i int) bool {
	s, v := p.Scenario, &p.Servers[i]
	return (len(sub.Kinds) == 0 || slices.Contains(sub.Kinds, s.Servers.Kinds[v.Kind].Name)) &&
		(len(sub.Pods) == 0 || slices.Contains(sub.Pods, v.Pod)) &&
		(len(sub.Zones) == 0 || slices.Contains(sub.Zones, s.Network.Zones[v.Zone]))
}

// InSubset reports whether a server belongs to a subset. A replacement of another server belongs by its properties.
func (p *Plan) InSubset(name string, server int) bool {
	if slices.Contains(p.Subsets[name], server) {
		return true
	}
	i := slices.IndexFunc(p.Scenario.Routes.Subsets, func(sub RouteSubset) bool { return sub.Name == name })
	return i >= 0 && p.Scenario.Routes.Subsets[i].Servers == "" && p.matches(&p.Scenario.Routes.Subsets[i], server)
}

// ReadsOldSchema reports whether a sidecar reads only schema 1.
func (s *Scenario) ReadsOldSchema(sidecar int) bool {
	return sidecar >= s.Sidecars.Count-s.Routes.OldSchemaSidecars
}

// RunsOlderProgram reports whether a sidecar runs the older program.
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

// checkRoutes checks the tables of routes and rollouts.
func (s *Scenario) checkRoutes() *invalidKey {
	if !s.HasRoutes() {
		if len(s.Rollouts)+len(s.RouteCommands)+len(s.AuditQueries)+len(s.Routes.Tenants) > 0 || s.Routes.OldSchemaSidecars > 0 || s.Routes.Defect != "" {
			return invalid("routes.subset", "is missing: routes and rollouts need subsets")
		}
		return nil
	}
	if s.Discovery.RegistryReplicas == 0 {
		return invalid("discovery.registry", "is missing: routes need real replicas of the list service")
	}
	if e := checkBounds(s.routeBounds()); e != nil {
		return e
	}
	for i, n := range s.Routes.Schemas {
		if n < 1 || n > 1000 {
			return invalid(fmt.Sprintf("routes.schemas[%d]", i), "must be between 1 and 1000")
		}
	}
	if e := s.checkSubsets(); e != nil {
		return e
	}
	if e := s.checkRouteTenants(); e != nil {
		return e
	}
	return s.checkRollouts()
}

func (s *Scenario) routeBounds() []bound {
	const maxTime = float64(10 * time.Minute)
	return []bound{
		{"routes.term", float64(s.Routes.LeaseTerm), 0, maxTime},
		{"routes.behind_after", float64(s.Routes.StragglerAfter), 0, maxTime},
		{"routes.shut_after", float64(s.Routes.ShutOutAfter), 0, maxTime},
		{"routes.gone_after", float64(s.Routes.GoneAfter), 0, maxTime},
		{"routes.behind_share", s.Routes.MaxStragglerFraction, 0, 1},
		{"routes.old", float64(s.Routes.OldSchemaSidecars), 0, float64(s.Sidecars.Count)},
		{"routes.keyless", s.Routes.KeylessFraction, 0, 1},
	}
}

func (s *Scenario) checkRouteTenants() *invalidKey {
	for i, t := range s.Routes.Tenants {
		key := fmt.Sprintf("routes.tenant[%d]", i)
		if !s.hasTenant(t.Name) {
			return invalid(key+".name", "unknown tenant %q", t.Name)
		}
		for k, name := range t.Subsets {
			if !s.hasSubset(name) {
				return invalid(fmt.Sprintf("%s.subsets[%d]", key, k), "unknown subset %q", name)
			}
		}
		if !(t.MaxFraction > 0 && t.MaxFraction <= 1) || t.MaxRollouts < 1 || t.MaxRollouts > 100 {
			return invalid(key+".max_share", "must be over 0 and at most 1, and rollouts must be between 1 and 100")
		}
	}
	return nil
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

func (s *Scenario) checkSubsets() *invalidKey {
	seen := map[string]bool{}
	for i, sub := range s.Routes.Subsets {
		key := fmt.Sprintf("routes.subset[%d]", i)
		if sub.Name == "" || seen[sub.Name] || strings.Contains(sub.Name, ":") {
			return invalid(key+".name", "name %q is empty, used twice or contains a colon", sub.Name)
		}
		seen[sub.Name] = true
		for k, name := range sub.Kinds {
			if !s.hasServerKind(name) {
				return invalid(fmt.Sprintf("%s.kinds[%d]", key, k), "unknown kind of servers %q", name)
			}
		}
		for k, name := range sub.Zones {
			if !slices.Contains(s.Network.Zones, name) {
				return invalid(fmt.Sprintf("%s.zones[%d]", key, k), "unknown zone %q", name)
			}
		}
		for k, pod := range sub.Pods {
			if !s.hasPod(pod) {
				return invalid(fmt.Sprintf("%s.pods[%d]", key, k), "unknown pod %d", pod)
			}
		}
		if sub.Servers != "" {
			if strings.HasPrefix(sub.Servers, "subset:") {
				return invalid(key+".servers", "must not refer to another subset")
			}
			if err := s.checkServers(sub.Servers); err != nil {
				return invalid(key+".servers", "%v", err)
			}
		}
	}
	return nil
}

func (s *Scenario) checkRollouts() *invalidKey {
	names := map[string]bool{}
	for i := range s.Rollouts {
		o, key := &s.Rollouts[i], fmt.Sprintf("rollout[%d]", i)
		switch {
		case o.Name == "" || names[o.Name]:
			return invalid(key+".name", "name %q is empty or used twice", o.Name)
		case o.At < 0 || o.At > s.Length:
			return invalid(key+".at", "must be within the run")
		case !s.hasTenant(o.Tenant):
			return invalid(key+".tenant", "unknown tenant %q", o.Tenant)
		case !s.hasSubset(o.Subset):
			return invalid(key+".to", "unknown subset %q", o.Subset)
		case len(o.Steps) == 0 || len(o.Steps) > 100:
			return invalid(key+".steps", "must be 1 to 100 steps")
		case o.Budget < 0:
			return invalid(key+".budget", "must not be negative")
		case o.AtEnd != "keep" && o.AtEnd != "return":
			return invalid(key+".at_end", "unknown value %q: must be keep or return", o.AtEnd)
		}
		names[o.Name] = true
		for k, name := range o.Classes {
			if !s.hasClass(name) {
				return invalid(fmt.Sprintf("%s.classes[%d]", key, k), "unknown class %q", name)
			}
		}
		for k, st := range o.Steps {
			if math.IsNaN(st.Fraction) || st.Hold < 0 || st.MinRequests < 0 {
				return invalid(fmt.Sprintf("%s.steps[%d].share", key, k), "must be a number, and hold and requests must not be negative")
			}
		}
	}
	for name, end := range s.Expect.RolloutPhases {
		if !names[name] || !slices.Contains(rolloutPhases(), end) {
			return invalid("expect.rollout_ends."+name, "unknown rollout, or phase %q is not one of %s", end, strings.Join(rolloutPhases(), ", "))
		}
	}
	if s.Expect.FractionError != nil && !(*s.Expect.FractionError >= 0) {
		return invalid("expect.share_error", "must not be negative")
	}
	for i, rule := range s.Expect.MustCheck {
		if !IsInvariant(rule) {
			return invalid(fmt.Sprintf("expect.checks[%d]", i), "unknown invariant %q", rule)
		}
	}
	return s.checkRouteCommands(names)
}

func (s *Scenario) checkRouteCommands(names map[string]bool) *invalidKey {
	for i := range s.RouteCommands {
		o, key := &s.RouteCommands[i], fmt.Sprintf("order[%d]", i)
		if o.At < 0 || o.At > s.Length {
			return invalid(key+".at", "must be within the run")
		}
		switch o.Action {
		case "pause", "resume", "rollback", "stop":
			if !names[o.Rollout] || o.Subset != "" || o.MinSchema != 0 {
				return invalid(key+".rollout", "unknown rollout %q, or to or least is set", o.Rollout)
			}
		case "base":
			if !s.hasTenant(o.Tenant) || !s.hasSubset(o.Subset) {
				return invalid(key+".to", "base needs a known tenant and a known subset")
			}
		case "schema":
			if o.MinSchema < 1 || o.Tenant != "" || o.Rollout != "" {
				return invalid(key+".least", "must be at least 1, and tenant and rollout must not be set")
			}
		default:
			return invalid(key+".do", "unknown command %q: must be one of pause, resume, rollback, stop, base, schema", o.Action)
		}
	}
	for i, a := range s.AuditQueries {
		if a.At <= 0 || a.At > s.Length || a.Window <= 0 {
			return invalid(fmt.Sprintf("ask[%d].at", i), "must be within the run, and before must be over 0")
		}
	}
	return nil
}
