// Package model has sidecars without servers and a service without sockets, which call the code of package rollout. Worlds
// are explored through all interleavings (BudgetWorld, LeaseWorld); simulations run a fleet on a clock of their own
// (Simulate).
package model

import (
	"marblelane/balance"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Sidecar is one process with one tenant's canary, as docs/routes.md describes it. Times are milliseconds on its own
// clock.
type Sidecar struct {
	route.Process
	Tenant, Rollout string
	Budget          balance.CanaryBudget
	TableRev        int64        // revision of the table that it acts on
	CanaryActive    bool         // that table sends requests to the canary
	LeaseUntil      int64        // end of its canary lease
	Seq             int64        // of the newest report
	Stamp           route.Moment // of the newest answer
}

// ApplyTable takes in a table that is newer than the present one.
func (s *Sidecar) ApplyTable(t *route.Table) {
	if t.Rev <= s.TableRev {
		return
	}
	s.TableRev, s.CanaryActive = t.Rev, false
	for i := range t.Routes {
		r := &t.Routes[i]
		isCanary := r.Tenant == s.Tenant && rollout.RolloutName(r.Rollout) == s.Rollout && r.Share > 0
		s.CanaryActive = s.CanaryActive || isCanary
	}
}

// MayUseCanary reports whether an attempt to the canary may begin now, if a unit of the budget can be reserved.
func (s *Sidecar) MayUseCanary(now int64) bool { return s.CanaryActive && now < s.LeaseUntil }

// NextReport is the sidecar's next report.
func (s *Sidecar) NextReport(counts []route.Count) route.Report {
	s.Seq++
	return route.Report{
		Process: s.Process, Seq: s.Seq, Echo: s.Stamp, Schemas: []int{1, 2}, AcknowledgedRev: s.TableRev, Counts: counts,
	}
}

// ApplyReportResponse takes in the answer to a report. The lease counts from when the report was sent.
func (s *Sidecar) ApplyReportResponse(sentAt int64, a *route.ReportResponse) {
	s.Stamp = a.Stamp
	if a.LeaseMS > 0 {
		s.LeaseUntil = max(s.LeaseUntil, sentAt+a.LeaseMS)
	}
}

// BudgetRequest is the sidecar's next budget request.
func (s *Sidecar) BudgetRequest(wanted int64) route.BudgetRequest {
	return route.BudgetRequest{Process: s.Process, Budgets: []route.BudgetState{{
		Tenant: s.Tenant, Rollout: s.Rollout,
		Granted: s.Budget.Granted, Spent: s.Budget.Spent, Returned: s.Budget.Returned, Wanted: wanted,
	}}}
}

// ApplyBudgetResponse takes in the answer to a budget request.
func (s *Sidecar) ApplyBudgetResponse(a *route.BudgetResponse) {
	for _, grant := range a.Budgets {
		if grant.Tenant == s.Tenant && grant.Rollout == s.Rollout {
			s.Budget.Grant(grant.Granted, grant.MaxIdle)
		}
	}
}
