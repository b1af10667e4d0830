package registry

import (
	"slices"

	"marblelane/internal/audit"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// defect is what the lab plants to see that its rules find it. Nobody else sets one.
type defect string

const (
	grantUnkept defect = "grant-unkept" // units are granted from this leader's memory; the next grants them again
	noWait      defect = "no-wait"      // a new leader closes without waiting for terms that another granted
	auditSilent defect = "audit-silent" // who was silent counts as who did not
	countLate   defect = "count-late"   // what failures cost comes off no budget: whole slices are handed out again
	ignorable   defect = "ignorable"    // classes count as a field that older readers may pass over
)

func defects() []defect { return []defect{grantUnkept, noWait, auditSilent, countLate, ignorable} }

func (d defect) known() bool { return d == "" || slices.Contains(defects(), d) }

// meant is the table as it is compared and written for readers of some schemas.
func (d defect) meant(t *route.Table, reads []int) *route.Table {
	if d != ignorable || slices.Contains(reads, route.Newest) {
		return t
	}
	out := &route.Table{Rev: t.Rev, Closed: t.Closed, Routes: slices.Clone(t.Routes)}
	for i := range out.Routes {
		out.Routes[i].Classes = nil
	}
	return out
}

// began is when a new leader's controller takes its lead to have begun.
func (d defect) began(nowMS int64) int64 {
	if d == noWait {
		return nowMS - 1<<40
	}
	return nowMS
}

// asked is what a process says of its purses.
func (d defect) asked(a *route.BudgetRequest) {
	for i := range a.Budgets {
		if p := &a.Budgets[i]; d == countLate {
			p.Returned, p.Spent = p.Returned+p.Spent, 0
		}
	}
}

// ledger is the state that grants are made from, and whether they are kept.
func (d defect) ledger(s *rollout.State, unkept []rollout.LedgerEntry) (of *rollout.State, kept bool, err error) {
	if d != grantUnkept {
		return s, true, nil
	}
	of = s.Clone()
	_, err = of.Apply(&rollout.Command{Op: rollout.OpLedger, Entries: unkept})
	return of, false, err
}

// answers are the audit's.
func (d defect) answers(all []audit.Answer) []audit.Answer {
	for i := range all {
		if d == auditSilent && all[i].Verdict == audit.Unknown {
			all[i].Verdict = audit.DidNot
		}
	}
	return all
}
