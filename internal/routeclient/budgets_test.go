package routeclient

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
)

// TestBudgets_requests verifies that requests are sent only if there are budgets, and at once when units are needed or
// were spent.
func TestBudgets_requests(t *testing.T) {
	service := newFakeService(t)
	requests := make(chan route.BudgetRequest, 1000)
	f := func(a route.BudgetRequest) (int, any) {
		requests <- a
		return http.StatusOK, route.BudgetResponse{Budgets: []route.BudgetGrant{
			{Tenant: "a", Rollout: "r", Granted: 3, MaxIdle: 1}, {Tenant: "b", Rollout: "r", Granted: 9},
		}}
	}
	service.budgets.Store(&f)
	client := startClient(t, func(s *Client) { s.timings.budgetInterval = time.Hour }, service)
	client.OfferSample(Sample{ListRev: 1})
	budget := route.BudgetState{Tenant: "a", Rollout: "r", Wanted: 2}
	client.OfferSample(Sample{Budgets: []route.BudgetState{budget}, NeedsUnits: true})
	require.Equal(t, route.BudgetRequest{
		Process: route.Process{Name: "n0", Start: 7}, Budgets: []route.BudgetState{budget},
	}, receive(t, "first request", requests))
	n := client.waitUpdate("grants", func(n Update) bool { return len(n.Grants) > 0 })
	require.Equal(t, []route.BudgetGrant{{Tenant: "a", Rollout: "r", Granted: 3, MaxIdle: 1}}, n.Grants)
	budget.Granted, budget.Spent = 3, 1
	client.OfferSample(Sample{Budgets: []route.BudgetState{budget}})
	require.Equal(t, budget, receive(t, "request after a unit was spent", requests).Budgets[0])
	client.OfferSample(Sample{Budgets: []route.BudgetState{budget}, NeedsUnits: true})
	require.Equal(t, budget, receive(t, "request that needs units", requests).Budgets[0])
	client.OfferSample(Sample{Budgets: []route.BudgetState{budget}})
	budget.Returned = 2
	client.OfferSample(Sample{Budgets: []route.BudgetState{budget}})
	client.stop()
	require.Equal(t, budget, receive(t, "final request", requests).Budgets[0])
	require.Empty(t, requests)
}
