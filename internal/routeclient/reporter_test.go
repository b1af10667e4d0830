package routeclient

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/route"
)

// TestReport_raisedStart verifies that a process whose start number is below that of an earlier process of its name
// raises the number, and gets a lease with the next report. A process that was accepted as the newest one keeps its
// number, as it is being replaced.
func TestReport_raisedStart(t *testing.T) {
	const newest = int64(1) << 40
	service := newFakeService(t)
	var otherStart atomic.Int64
	starts := make(chan int64, 1000)
	respond := func(r route.Report) (int, any) {
		select {
		case starts <- r.Start:
		default:
		}
		if known := max(newest, otherStart.Load()); r.Start < known {
			return http.StatusOK, route.ReportResponse{Reason: "a later start of this name has reported", NewestStart: known}
		}
		return http.StatusOK, route.ReportResponse{LeaseMS: 1000}
	}
	service.report.Store(&respond)
	client := startClient(t, func(s *Client) { // a rejected report causes the second one at once
		s.timings.noLeaseReportInterval, s.timings.maxReportInterval = time.Hour, time.Hour
	}, service)
	require.EqualValues(t, 7, receive(t, "first report", starts))
	require.Equal(t, newest+1, receive(t, "second report", starts))
	client.waitUpdate("lease", func(n Update) bool { return !n.LeaseUntil.IsZero() })
	otherStart.Store(newest + 9)
	for rev := range int64(3) {
		client.SetActingRev(rev + 1) // causes a report
		require.Equal(t, newest+1, receive(t, "report after that of a later start", starts))
	}
	requests := make(chan route.BudgetRequest, 1)
	respondToRequest := func(a route.BudgetRequest) (int, any) {
		select {
		case requests <- a:
		default:
		}
		return http.StatusOK, route.BudgetResponse{}
	}
	service.budgets.Store(&respondToRequest)
	client.OfferSample(Sample{Budgets: []route.BudgetState{{Tenant: "a", Rollout: "r", Wanted: 1}}, NeedsUnits: true})
	require.Equal(t, newest+1, receive(t, "budget request", requests).Start)
}

// TestLease_countsFromRequest verifies that the term of a lease starts before the report is made. With a term from the
// response on, canary attempts could start after the lease has ended for the leader.
func TestLease_countsFromRequest(t *testing.T) {
	const term, delay = time.Second, 400 * time.Millisecond
	service := newFakeService(t)
	sent := make(chan time.Time, 1)
	var clock *manualClock
	once := func(route.Report) (int, any) {
		sent <- clock.Now()
		clock.advance(delay)
		f := func(route.Report) (int, any) { return http.StatusServiceUnavailable, nil }
		service.report.Store(&f)
		return http.StatusOK, route.ReportResponse{LeaseMS: term.Milliseconds()}
	}
	// The client starts with another service, as the handler of service needs the clock of the client.
	client := startClient(t, func(s *Client) { s.SetActingRev(3) }, newFakeService(t))
	clock = client.clock
	service.report.Store(&once)
	client.SetAddrs([]string{service.addr()})
	sentAt := receive(t, "report", sent)
	n := client.waitUpdate("lease", func(n Update) bool { return !n.LeaseUntil.IsZero() })
	require.Equal(t, sentAt.Add(term), n.LeaseUntil)
	client.clock.advance(term - delay - 1)
	_, ok := client.StartAttempt(3, "a", true)
	require.True(t, ok, "just before the end")
	client.clock.advance(1)
	_, ok = client.StartAttempt(3, "a", true)
	require.False(t, ok, "at the end")
	require.False(t, client.Status().HasLease)
	require.True(t, client.makeReport(1, route.LeaderTime{}).NoLease)
}

// TestReport_redirectToLeader verifies that a redirect keeps the body, that the leader is called directly from then on,
// and that the replicas are called again after the leader has failed.
func TestReport_redirectToLeader(t *testing.T) {
	follower, leader := newFakeService(t), newFakeService(t)
	redirect := func(route.Report) (int, any) { return http.StatusTemporaryRedirect, leader.URL }
	follower.report.Store(&redirect)
	got := make(chan route.Report, 1000)
	var seq atomic.Int64
	accept := func(r route.Report) (int, any) {
		got <- r
		return http.StatusOK, route.ReportResponse{Stamp: route.LeaderTime{Leader: "l", MS: seq.Add(1)}, LeaseMS: 10}
	}
	leader.report.Store(&accept)
	client := startClient(t, nil, follower)
	first, second := receive(t, "report", got), receive(t, "second report", got)
	require.Equal(t, route.Process{Name: "n0", Start: 7}, first.Process)
	require.Equal(t, []any{"v", "d", int64(1)}, []any{first.Version, first.Config, first.Seq})
	require.Equal(t, []int{1, 2}, first.Schemas)
	require.True(t, first.NoLease)
	require.Equal(t, route.LeaderTime{Leader: "l", MS: 1}, second.Echo)
	require.EqualValues(t, 1, follower.posts.Load())
	unavailable := func(route.Report) (int, any) { return http.StatusServiceUnavailable, nil }
	leader.report.Store(&unavailable)
	follower.report.Store(&accept)
	before := second.Seq
	for receive(t, "report redirected by the follower", got).Seq == before {
	}
	client.stop()
}

// TestReport_resync verifies that a process that is behind applies the table of the response and starts a new watch.
func TestReport_resync(t *testing.T) {
	service := newFakeService(t)
	service.respondToReports(route.ReportResponse{})
	client := startClient(t, nil, service)
	watch := receive(t, "watch", service.watches)
	once := func(route.Report) (int, any) {
		service.respondToReports(route.ReportResponse{})
		return http.StatusOK, route.ReportResponse{Resync: true, Table: json.RawMessage(document(t, 9)), Reason: "behind"}
	}
	service.report.Store(&once)
	client.waitTable(9)
	receive(t, "end of the watch", watch.ended)
	require.Equal(t, "after=9&schema=2&watch=1", receive(t, "next watch", service.watches).query)
	require.False(t, client.Status().HasLease)
	require.Equal(t, 1, client.log.count("why=behind"))
}
