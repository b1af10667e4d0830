package rollout

// This file builds views of the state: the table of routes, and copies of rollouts.

import (
	"maps"
	"slices"
	"strings"

	"marblelane/internal/route"
)

// Table returns the table of routes, with a route for each tenant that has a base or a live rollout, sorted by name. A
// paused rollout is listed with a canary fraction of 0, so that processes keep their budgets for it.
func (s *State) Table() route.Table {
	out := route.Table{Rev: s.rev, Closed: s.closed}
	for _, t := range s.sortedTenants() {
		if t.Live != nil || !selectsAll(t.Base) {
			out.Routes = append(out.Routes, t.route())
		}
	}
	return out
}

func (t *tenantState) route() route.Route {
	line := route.Route{Tenant: t.Name, Base: cloneSubset(t.Base)}
	r := t.Live
	if r == nil {
		return line
	}
	line.Classes, line.Canary = slices.Clone(r.Spec.Classes), cloneSubset(r.Spec.Canary)
	line.Rollout, line.Step, line.Budget = r.id(), r.Step, true
	line.Late, line.Note = r.Spec.LateIsFailure, r.Spec.Note
	if r.Phase == Running {
		line.Share = r.Spec.Steps[r.Step].CanaryFraction
	}
	return line
}

// Rollouts returns all live and ended rollouts, sorted by tenant and name.
func (s *State) Rollouts() []Rollout {
	var out []Rollout
	for _, t := range s.sortedTenants() {
		out = append(out, s.RolloutsOf(t.Name)...)
	}
	return out
}

// RolloutsOf returns the live and ended rollouts of one tenant, sorted by name.
func (s *State) RolloutsOf(tenant string) []Rollout {
	var out []Rollout
	if t := s.tenants[tenant]; t != nil {
		for _, r := range t.rollouts() {
			out = append(out, r.snapshot())
		}
	}
	slices.SortFunc(out, func(a, b Rollout) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	return out
}

// Rollout returns the live or ended rollout with this name or ID.
func (s *State) Rollout(tenant, name string) (Rollout, bool) {
	if r := s.findRollout(tenant, name); r != nil {
		return r.snapshot(), true
	}
	return Rollout{}, false
}

func (r *rolloutState) snapshot() Rollout {
	out := r.Rollout
	out.Spec, out.Ledger = r.Spec.clone(), maps.Clone(r.Ledger)
	return out
}

// LiveSpecs returns the specs of all live rollouts, sorted by tenant.
func (s *State) LiveSpecs() []Spec {
	var out []Spec
	for _, t := range s.sortedTenants() {
		if t.Live != nil {
			out = append(out, t.Live.Spec.clone())
		}
	}
	return out
}

// LiveSpec returns the spec of a tenant's live rollout.
func (s *State) LiveSpec(tenant string) (spec Spec, ok bool) {
	if t := s.tenants[tenant]; t != nil && t.Live != nil {
		return t.Live.Spec.clone(), true
	}
	return Spec{}, false
}

// BudgetTotals returns the units of a rollout's budget that all processes together were granted, have spent and have
// returned.
func (s *State) BudgetTotals(tenant, name string) (granted, spent, returned int64) {
	if r := s.findRollout(tenant, name); r != nil {
		return r.totals.Granted, r.totals.Spent, r.totals.Returned
	}
	return 0, 0, 0
}

// Preview returns the table that a tenant's command would produce, and whether the command changes anything. The state is
// not changed; only the command's tenant is copied, without its ledgers.
func (s *State) Preview(c *Command) (table route.Table, changed bool, err error) {
	name := c.Tenant
	if c.Spec != nil {
		name = c.Spec.Tenant
	}
	preview := &State{rev: s.rev, closed: s.closed, minSchema: s.minSchema, tenants: maps.Clone(s.tenants)}
	if t := s.tenants[name]; t != nil {
		preview.tenants[name] = t.withoutLedgers()
	}
	if _, err := preview.Apply(c); err != nil {
		return route.Table{}, false, err
	}
	return preview.Table(), preview.rev != s.rev, nil
}

func (t *tenantState) withoutLedgers() *tenantState {
	out := *t
	out.Ended = slices.Clone(t.Ended)
	for i, r := range out.Ended {
		out.Ended[i] = r.withoutLedger()
	}
	if t.Live != nil {
		out.Live = t.Live.withoutLedger()
	}
	return &out
}

func (r *rolloutState) withoutLedger() *rolloutState {
	out := *r
	out.Ledger = map[string]Account{}
	return &out
}
