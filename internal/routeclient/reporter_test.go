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

// TestReport_raisedStart: a process whose start is below that of an earlier one of its name raises it, and gets a lease
// with the next report. A process that was the newest one does not: it is being replaced.
func TestReport_raisedStart(t *testing.T) {
	const newest = int64(1) << 40
	service := newFakeService(t)
	var otherStart atomic.Int64
	starts := make(chan int64, 1000)
	answer := func(r route.Report) (int, any) {
		select {
		case starts <- r.Start:
		default:
		}
		if known := max(newest, otherStart.Load()); r.Start < known {
			return http.StatusOK, route.ReportResponse{Reason: "a later start of this name has reported", NewestStart: known}
		}
		return http.StatusOK, route.ReportResponse{LeaseMS: 1000}
	}
	service.report.Store(&answer)
	client := startClient(t, func(s *Client) { // the second report follows from the rejection
		s.timings.noLeaseReportInterval, s.timings.maxReportInterval = time.Hour, time.Hour
	}, service)
	require.EqualValues(t, 7, receive(t, "first report", starts))
	require.Equal(t, newest+1, receive(t, "second report", starts))
	client.waitUpdate("lease", func(n Update) bool { return !n.LeaseUntil.IsZero() })
	otherStart.Store(newest + 9)
	for rev := range int64(3) {
		client.SetActingRev(rev + 1) // causes a report
		require.Equal(t, newest+1, receive(t, "report beside the later start", starts))
	}
	requests := make(chan route.BudgetRequest, 1)
	answerRequest := func(a route.BudgetRequest) (int, any) {
		select {
		case requests <- a:
		default:
		}
		return http.StatusOK, route.BudgetResponse{}
	}
	service.budgets.Store(&answerRequest)
	client.OfferSample(Sample{Budgets: []route.BudgetState{{Tenant: "a", Rollout: "r", Wanted: 1}}, NeedsUnits: true})
	require.Equal(t, newest+1, receive(t, "budget request", requests).Start)
}

// TestLease_countsFromRequest: the lease counts from before the report. One that counted from the answer would let
// canaries begin after the leader has counted its end.
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
	client := startClient(t, func(s *Client) { s.SetActingRev(3) }, newFakeService(t)) // not c yet: it needs the clock of p
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

// TestReport_redirectToLeader: a redirect keeps the body, and the leader is called directly from then on; when it fails
// the copies are called again.
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
	for receive(t, "report by way of the follower", got).Seq == before {
	}
	client.stop()
}

// TestReport_resync: a process that is behind gets the whole table with the answer, and begins a new watch.
func TestReport_resync(t *testing.T) {
	service := newFakeService(t)
	service.answerReports(route.ReportResponse{})
	client := startClient(t, nil, service)
	watch := receive(t, "watch", service.watches)
	once := func(route.Report) (int, any) {
		service.answerReports(route.ReportResponse{})
		return http.StatusOK, route.ReportResponse{Resync: true, Table: json.RawMessage(document(t, 9)), Reason: "behind"}
	}
	service.report.Store(&once)
	client.waitTable(9)
	receive(t, "end of the watch", watch.ended)
	require.Equal(t, "after=9&schema=2&watch=1", receive(t, "next watch", service.watches).query)
	require.False(t, client.Status().HasLease)
	require.Equal(t, 1, client.log.count("why=behind"))
}
