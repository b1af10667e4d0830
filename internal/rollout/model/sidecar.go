// Package model has sidecars without servers and a service without sockets, to show and to measure how many of them
// behave together: a process as docs/routes.md says it, and plays of a fleet of them on a clock of its own.
package model

import (
	"marblelane/balance"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Sidecar is one process with one tenant's canary. Times are milliseconds on its own clock.
type Sidecar struct {
	route.Process
	Tenant, Rollout string
	Purse           balance.CanaryBudget
	Have            int64 // the table that it acts on
	Canary          bool  // that table sends to the canary
	Until           int64 // its permission
	Seq             int64
	Stamp           route.Moment // of the newest answer
}

// Told takes in a table, unless it has that one or a later one.
func (s *Sidecar) Told(t *route.Table) {
	if t.Rev <= s.Have {
		return
	}
	s.Have, s.Canary = t.Rev, false
	for i := range t.Routes {
		r := &t.Routes[i]
		s.Canary = s.Canary || r.Tenant == s.Tenant && rollout.NameOf(r.Rollout) == s.Rollout && r.Share > 0
	}
}

// May tells whether an attempt to the canary may begin now, but for a unit of the budget.
func (s *Sidecar) May(now int64) bool { return s.Canary && now < s.Until }

// Report is what it says of itself.
func (s *Sidecar) Report(counts []route.Count) route.Report {
	s.Seq++
	return route.Report{Process: s.Process, Seq: s.Seq, Echo: s.Stamp, Schemas: []int{1, 2}, Have: s.Have, Counts: counts}
}

// Answered takes in the answer to a report that it began to send at asked.
func (s *Sidecar) Answered(asked int64, a *route.Answer) {
	s.Stamp = a.Stamp
	if a.TermMS > 0 {
		s.Until = max(s.Until, asked+a.TermMS)
	}
}

// Ask is what it says of its purse.
func (s *Sidecar) Ask(want int64) route.UnitsAsk {
	return route.UnitsAsk{Process: s.Process, Purses: []route.PurseState{{Tenant: s.Tenant, Rollout: s.Rollout,
		Granted: s.Purse.Granted, Spent: s.Purse.Spent, Returned: s.Purse.Returned, Want: want}}}
}

// Granted takes in the answer to an ask.
func (s *Sidecar) Granted(a *route.UnitsAnswer) {
	for _, g := range a.Purses {
		if g.Tenant == s.Tenant && g.Rollout == s.Rollout {
			s.Purse.Grant(g.Granted, g.Keep)
		}
	}
}
