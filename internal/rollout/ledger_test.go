package rollout_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
)

func TestLedger_bounded(t *testing.T) {
	s := NewState()
	s.BeginEpoch(1)
	mustApply(t, s, Command{Op: OpPost, Spec: newSpec(MaxBudget)})
	applyEntry := func(i int, e LedgerEntry) {
		e.Process, e.Tenant, e.Rollout = route.Process{Name: fmt.Sprint(i), Start: 1}, tenantName, rolloutName
		mustApply(t, s, Command{Op: OpLedger, Entries: []LedgerEntry{e}})
	}
	for i := range MaxAccounts + 500 {
		applyEntry(i, LedgerEntry{Granted: 2})
		if i < MaxAccounts/2 {
			applyEntry(i, LedgerEntry{Granted: 2, Spent: 1, Gone: true})
		}
	}
	r, _ := s.Rollout(tenantName, rolloutName)
	granted, spent, _ := s.BudgetTotals(tenantName, rolloutName)
	require.Len(t, r.Ledger, MaxAccounts/2+500+1)
	require.Equal(t, Account{Granted: MaxAccounts, Spent: MaxAccounts, Gone: true}, r.Ledger[FoldedAccountKey])
	require.Equal(t, [2]int64{2 * (MaxAccounts + 500), MaxAccounts}, [2]int64{granted, spent})
	mustApply(t, s, Command{Op: OpStop, Tenant: tenantName, Name: rolloutName})
	for i := MaxAccounts / 2; i < MaxAccounts+500; i++ {
		applyEntry(i, LedgerEntry{Granted: 5, Spent: 1, Returned: 1})
	}
	r, _ = s.Rollout(tenantName, rolloutName)
	require.Len(t, r.Ledger, 1, "settled accounts of an ended rollout must be folded")
	require.Equal(t, Account{Granted: 2 * (MaxAccounts + 500), Spent: MaxAccounts*3/2 + 500, Returned: MaxAccounts/2 + 500,
		Gone: true}, r.Ledger[FoldedAccountKey])
}
