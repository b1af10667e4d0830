// Package model tests the protocol of package rollout with simulated sidecars and a simulated list service, without
// servers and sockets. BudgetWorld and LeaseWorld are small worlds whose interleavings are explored exhaustively.
// Simulate runs a whole fleet on a simulated clock.
package model

import (
	"marblelane/balance"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Sidecar models one sidecar process and its part in one tenant's rollout, as described in docs/routes.md. Times are in
// milliseconds on the sidecar's own clock.
type Sidecar struct {
	route.Process
	Tenant, Rollout string
	Budget          balance.CanaryBudget
	TableRev        int64            // revision of the routing table that the sidecar uses
	CanaryActive    bool             // whether that table sends requests to the canary
	LeaseUntil      int64            // end of its canary lease
	Seq             int64            // sequence number of the newest report
	Stamp           route.LeaderTime // stamp of the newest response, which the next report echoes
}

// ApplyTable replaces the routing table. It ignores a table that is not newer than the current one.
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

// MayUseCanary reports whether the table and the lease permit an attempt to the canary now. The attempt also needs a
// unit of the budget.
func (s *Sidecar) MayUseCanary(now int64) bool { return s.CanaryActive && now < s.LeaseUntil }

// NextReport returns the next load report and increments the sequence number.
func (s *Sidecar) NextReport(counts []route.Count) route.Report {
	s.Seq++
	return route.Report{
		Process: s.Process, Seq: s.Seq, Echo: s.Stamp, Schemas: []int{1, 2}, AcknowledgedRev: s.TableRev, Counts: counts,
	}
}

// ApplyReportResponse applies the response to a report. The lease starts when the report was sent, not when the
// response arrives.
func (s *Sidecar) ApplyReportResponse(sentAt int64, a *route.ReportResponse) {
	s.Stamp = a.Stamp
	if a.LeaseMS > 0 {
		s.LeaseUntil = max(s.LeaseUntil, sentAt+a.LeaseMS)
	}
}

// BudgetRequest returns a budget request that asks for the wanted number of units.
func (s *Sidecar) BudgetRequest(wanted int64) route.BudgetRequest {
	return route.BudgetRequest{Process: s.Process, Budgets: []route.BudgetState{{
		Tenant: s.Tenant, Rollout: s.Rollout,
		Granted: s.Budget.Granted, Spent: s.Budget.Spent, Returned: s.Budget.Returned, Wanted: wanted,
	}}}
}

// ApplyBudgetResponse applies the grants in the response to a budget request.
func (s *Sidecar) ApplyBudgetResponse(a *route.BudgetResponse) {
	for _, grant := range a.Budgets {
		if grant.Tenant == s.Tenant && grant.Rollout == s.Rollout {
			s.Budget.Grant(grant.Granted, grant.MaxIdle)
		}
	}
}
