package routeleader

import (
	"slices"

	"marblelane/internal/audit"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// Defect is a fault that the lab injects to verify that its checks detect it; empty in production.
type Defect string

const (
	GrantUncommitted Defect = "grant-unkept" // grants stay in this leader's memory, so the next leader grants them again
	NoWait           Defect = "no-wait"      // a new leader closes revisions without waiting for leases of an earlier leader
	AuditSilent      Defect = "audit-silent" // the audit reports a silent process as one that did not act
	countLate        Defect = "count-late"   // spent budget is counted as returned, so it is granted again
	ignorable        Defect = "ignorable"    // the field classes is treated as one that older readers may ignore
)

// Defects lists all defects.
func Defects() []Defect { return []Defect{GrantUncommitted, NoWait, AuditSilent, countLate, ignorable} }

// Valid reports whether d is the name of a defect or empty.
func (d Defect) Valid() bool { return d == "" || slices.Contains(Defects(), d) }

// tableAsRead returns the table that is compared and encoded for readers of the given schemas. With the defect
// ignorable, that table has no classes for readers that do not read the newest schema.
func (d Defect) tableAsRead(t *route.Table, reads []int) *route.Table {
	if d != ignorable || slices.Contains(reads, route.Newest) {
		return t
	}
	out := &route.Table{Rev: t.Rev, Closed: t.Closed, Routes: slices.Clone(t.Routes)}
	for i := range out.Routes {
		out.Routes[i].Classes = nil
	}
	return out
}

// controllerStart returns the start of the leadership, on the leader's clock, that the controller is created with.
func (d Defect) controllerStart(nowMS int64) int64 {
	if d == NoWait {
		return nowMS - 1<<40
	}
	return nowMS
}

// modifyBudgets modifies the budgets of a request if d is countLate.
func (d Defect) modifyBudgets(a *route.BudgetRequest) {
	for i := range a.Budgets {
		if p := &a.Budgets[i]; d == countLate {
			p.Returned, p.Spent = p.Returned+p.Spent, 0
		}
	}
}

// grantLedger determines the state from which budget is granted. Without a defect, budget is granted from the
// replicated state and all grants are replicated.
type grantLedger struct {
	defect      Defect
	uncommitted []rollout.LedgerEntry // grants that the defect GrantUncommitted keeps in memory
}

// base returns the state from which budget is granted.
func (g *grantLedger) base(s *rollout.State) (*rollout.State, error) {
	if g.defect != GrantUncommitted {
		return s, nil
	}
	s = s.Clone()
	_, err := s.Apply(&rollout.Command{Op: rollout.OpLedger, Entries: g.uncommitted})
	return s, err
}

// toReplicate returns the entries that are to be replicated: none with the defect GrantUncommitted, else all.
func (g *grantLedger) toReplicate(entries []rollout.LedgerEntry) []rollout.LedgerEntry {
	if g.defect != GrantUncommitted {
		return entries
	}
	g.uncommitted = append(g.uncommitted, entries...)
	return nil
}

// modifyVerdicts modifies the verdicts of the audit if d is AuditSilent.
func (d Defect) modifyVerdicts(all []audit.ProcessVerdict) []audit.ProcessVerdict {
	for i := range all {
		if d == AuditSilent && all[i].Verdict == audit.Unknown {
			all[i].Verdict = audit.DidNotAct
		}
	}
	return all
}
