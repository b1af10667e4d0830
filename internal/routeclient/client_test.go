package routeclient

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
)

// TestTakeUpdate_latest verifies that a pending update contains the latest table, lease and grant of each budget.
func TestTakeUpdate_latest(t *testing.T) {
	client := startClient(t, nil)
	_, fresh := client.TakeUpdate()
	require.False(t, fresh)
	now := client.clock.Now()
	require.NoError(t, client.offerTable(&route.Table{Rev: 1}))
	client.setLease(now, time.Second)
	client.offerGrants([]route.BudgetGrant{{Tenant: "a", Granted: 1}, {Tenant: "b", Granted: 1}})
	require.NoError(t, client.offerTable(&route.Table{Rev: 2}))
	require.NoError(t, client.offerTable(&route.Table{Rev: 1}))
	client.offerGrants([]route.BudgetGrant{{Tenant: "a", Granted: 4}})
	client.setLease(now, 2*time.Second)
	client.setLease(now.Add(time.Second), 0)
	n, fresh := client.TakeUpdate()
	require.True(t, fresh)
	require.Equal(t, Update{
		Table: &route.Table{Rev: 2}, LeaseUntil: now.Add(2 * time.Second),
		Grants: []route.BudgetGrant{{Tenant: "a", Granted: 4}, {Tenant: "b", Granted: 1}},
	}, n)
	_, fresh = client.TakeUpdate()
	require.False(t, fresh)
}

// TestRun_silentServiceAtEnd verifies that Run ends although the service does not respond.
func TestRun_silentServiceAtEnd(t *testing.T) {
	service := newFakeService(t)
	release := make(chan struct{})
	defer close(release)
	entered := make(chan struct{}, 10)
	f := func(route.Report) (int, any) {
		entered <- struct{}{}
		<-release
		return http.StatusOK, nil
	}
	service.report.Store(&f)
	client := startClient(t, func(s *Client) { s.timings.finalCallTimeout = time.Millisecond }, service)
	receive(t, "report", entered)
	client.stop()
}
