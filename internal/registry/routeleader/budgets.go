package routeleader

// This file grants rollout budget to processes.

import (
	"slices"
	"time"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/operators"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// answerBudgetRequests processes a batch of requests: it records the budget that was spent and grants what is
// requested.
func (r *Routing) answerBudgetRequests(all []budgetCall) {
	responses, err := r.grant(all)
	for i, a := range all {
		if err != nil {
			a.answer(nil, err)
		} else {
			a.answer(&responses[i], nil)
		}
	}
}

// grant replicates the ledger entries of a batch of requests and returns one response for each request.
func (r *Routing) grant(all []budgetCall) ([]route.BudgetResponse, error) {
	l := r.current()
	if l == nil {
		return nil, listserver.ErrNotLeader
	}
	l.decisions.mu.Lock()
	defer l.decisions.mu.Unlock()
	var entries []rollout.LedgerEntry
	var err error
	l.processes.withState(r.list, func(st *state.State) {
		var s *rollout.State
		if s, err = l.decisions.ledger.base(st.Routes); err != nil {
			return
		}
		for _, a := range all {
			r.defect.modifyBudgets(a.request)
			entries = append(entries, l.processes.controller.BudgetEntries(l.floor(time.Now()), s, a.request)...)
		}
	})
	if err != nil {
		return nil, err
	}
	for some := range slices.Chunk(l.decisions.ledger.toReplicate(entries), maxCommandEntries) {
		c := &rollout.Command{Op: rollout.OpLedger, AtMS: l.wall(time.Now()), Entries: some}
		if _, err := r.change(l, c); err != nil {
			return nil, err
		}
	}
	responses := make([]route.BudgetResponse, len(all))
	l.processes.withState(r.list, func(st *state.State) {
		var s *rollout.State
		if s, err = l.decisions.ledger.base(st.Routes); err != nil {
			return
		}
		for i, a := range all {
			responses[i] = l.processes.controller.BudgetResponse(s, a.request)
			for k, g := range responses[i].Budgets {
				responses[i].Budgets[k].Tenant = operators.ConfiguredTenantName(g.Tenant)
			}
		}
	})
	return responses, err
}
