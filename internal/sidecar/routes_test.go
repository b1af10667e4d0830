package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/balance"
	"marblelane/internal/route"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
	"marblelane/internal/sidecar/sidecartest"
	"marblelane/internal/sidecar/upstream"
)

// routesService is a fake list service with a single replica, the leader, that serves routes, reports and budgets.
type routesService struct {
	*httptest.Server
	calls atomic.Int64

	mu      sync.Mutex
	text    []byte
	changed chan struct{}
	lease   int64               // ms; 0: grants no lease
	budget  int64               // units that are not granted yet
	granted int64               // units granted in total
	report  route.Report        // the last one received
	request route.BudgetRequest // the last one received
}

func newRoutesService(t *testing.T, term, budget int64) *routesService {
	s := &routesService{lease: term, budget: budget, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// set calls f while it holds the lock.
func (s *routesService) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// publish sends a table to all watchers.
func (s *routesService) publish(t *testing.T, rev int64, routes ...route.Route) {
	t.Helper()
	text, err := route.Write(&route.Table{Rev: rev, Routes: routes}, route.Newest)
	require.NoError(t, err)
	s.set(func() {
		s.text = append(text, '\n')
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

func (s *routesService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case route.TablePath:
		for r.Context().Err() == nil {
			w.Write(s.text)
			w.(http.Flusher).Flush()
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			s.mu.Lock()
		}
	case route.ReportPath:
		json.NewDecoder(r.Body).Decode(&s.report)
		json.NewEncoder(w).Encode(route.ReportResponse{LeaseMS: s.lease})
	case route.BudgetsPath:
		var request route.BudgetRequest
		json.NewDecoder(r.Body).Decode(&request)
		var response route.BudgetResponse
		for _, p := range request.Budgets {
			more := min(max(p.Wanted-(s.granted-p.Spent-p.Returned), 0), s.budget)
			s.budget, s.granted = s.budget-more, s.granted+more
			response.Budgets = append(response.Budgets, route.BudgetGrant{Tenant: p.Tenant, Rollout: p.Rollout, Granted: s.granted, MaxIdle: 100})
		}
		s.request = request
		json.NewEncoder(w).Encode(response)
	}
}

// counts returns the counts of the last report, by revision, tenant and whether they are of the canary.
func (s *routesService) counts() map[string]route.Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]route.Count{}
	for _, c := range s.report.Counts {
		counts[fmt.Sprintf("%d %s %v", c.Rev, c.Tenant, c.Canary)] = c
	}
	return counts
}

// headerRecorder is a server that records the routing headers of its requests, as revision/canary.
type headerRecorder struct {
	*sidecartest.Backend
	mu   sync.Mutex
	seen []string
}

func newHeaderRecorder(t *testing.T, uid string, serve sidecartest.ServeFunc) *headerRecorder {
	w := &headerRecorder{}
	w.Backend = sidecartest.NewBackend(t, uid, func(c net.Conn, r *http.Request, body string) bool {
		w.mu.Lock()
		w.seen = append(w.seen, r.Header.Get(routing.RevisionHeader)+"/"+r.Header.Get(routing.CanaryHeader))
		w.mu.Unlock()
		return serve(c, r, body)
	})
	return w
}

func (w *headerRecorder) headers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.seen)
}

func toCanary(fraction float64, budget bool) route.Route {
	return route.Route{
		Tenant: "kita", Canary: route.Subset{UID: []string{"c"}}, Share: fraction, Rollout: "r1", Budget: budget,
	}
}

const longLease = 60_000 // ms; longer than any test

// startWithRoutes starts a sidecar with routes and two servers, a base server and a canary.
func startWithRoutes(t *testing.T, s *routesService, serve sidecartest.ServeFunc, changes ...func(configtest.Conf)) (r *running, base, canary *headerRecorder) {
	t.Helper()
	base, canary = newHeaderRecorder(t, "b", sidecartest.OK), newHeaderRecorder(t, "c", serve)
	c := configtest.NewConf("127.0.0.1:1", base.Target, canary.Target)
	c["routes"], c["management"] = map[string]any{"addrs": []string{s.Listener.Addr().String()}}, sidecartest.Loopback
	for _, change := range changes {
		change(c)
	}
	r = start(t, c)
	return r, base, canary
}

// awaitRevision waits until the sidecar applies a revision, with or without a lease.
func (r *running) awaitRevision(rev int64, hasLease bool) {
	r.t.Helper()
	sidecartest.Until(r.t, fmt.Sprint("revision ", rev), func() bool {
		s := r.loop.Routing.Client.Status()
		return s.ActingRev == rev && s.HasLease == hasLease
	})
	if hasLease { // wait until the event loop has applied it as well
		sidecartest.Until(r.t, "the metrics", func() bool {
			_, text := r.requestManagement(r.t, "GET", statsPath)
			return strings.Contains(text, "svc_steer_permitted 1\n") && strings.Contains(text, fmt.Sprintf("svc_steer_revision %d\n", rev))
		})
	}
}

// revokedAttempts returns the metric of attempts that were revoked before their first byte.
func (r *running) revokedAttempts() (n int) {
	_, text := r.requestManagement(r.t, "GET", statsPath)
	_, text, _ = strings.Cut(text, "\nsvc_steer_voids ")
	fmt.Sscan(text, &n)
	return n
}

// requestWithRouteKey returns a request with a route key, and with routing headers that the sidecar has to replace.
func (r *running) requestWithRouteKey(key string) *http.Request {
	req := r.request("lookup", 5*time.Second)
	req.Header.Set("X-Route-Key", key)
	req.Header.Set(routing.RevisionHeader, "99") // the sidecar does not accept these from clients
	req.Header.Set(routing.CanaryHeader, "7")
	return req
}

// All requests with the same key go to the same side, the canary gets its fraction of the keys, and the headers at the
// servers agree with the counts at the list service.
func TestRoutes_CanaryFraction(t *testing.T) {
	s := newRoutesService(t, longLease, 0)
	r, base, canary := startWithRoutes(t, s, sidecartest.OK)
	s.publish(t, 5, toCanary(0.5, false))
	r.awaitRevision(5, true)
	const keys = 40
	canaryRequests := map[string]int64{} // by key
	for round := range 2 {
		for i := range keys {
			key := fmt.Sprint("key-", i)
			before := canary.Requests.Load()
			require.Equal(t, 200, r.do(r.requestWithRouteKey(key)).status)
			if n := canary.Requests.Load() - before; round == 0 {
				canaryRequests[key] = n
			} else {
				require.Equal(t, canaryRequests[key], n, key)
			}
		}
	}
	n := canary.Requests.Load()
	require.InDelta(t, keys, n, keys/2)
	require.Equal(t, []string{"5/1"}, slices.Compact(canary.headers()))
	require.Equal(t, []string{"5/"}, slices.Compact(base.headers()))
	want := map[string]route.Count{
		"5 kita false": {Rev: 5, Tenant: "kita", Started: 2*keys - n, Ended: 2*keys - n},
		"5 kita true":  {Rev: 5, Tenant: "kita", Canary: true, Started: n, Ended: n},
	}
	s.set(func() { s.lease = 500 }) // a new revision triggers a report soon; a short lease makes later reports frequent
	s.publish(t, 6)
	sidecartest.Until(t, "the counts", func() bool { return maps.Equal(want, s.counts()) })
	s.set(func() {
		require.Equal(t, "n0", s.report.Name)
		require.Len(t, s.report.Config, 64)
	})
}

// If a canary is restricted to some classes, the base is compared with it only by requests of those classes.
func TestRoutes_otherClassesNotCompared(t *testing.T) {
	s := newRoutesService(t, 500, 0)
	r, base, _ := startWithRoutes(t, s, sidecartest.OK)
	canaryRoute := toCanary(0, false)
	canaryRoute.Classes = []string{"charge"}
	s.publish(t, 5, canaryRoute)
	r.awaitRevision(5, true)
	for range 3 {
		require.Equal(t, 200, r.do(r.request("lookup", 5*time.Second)).status)
		require.Equal(t, 200, r.do(r.request("charge", 5*time.Second)).status)
	}
	require.Len(t, base.headers(), 6)
	want := route.Count{Rev: 5, Tenant: "kita", Started: 6, Ended: 3}
	sidecartest.Until(t, "the counts", func() bool { return s.counts()["5 kita false"] == want })
}

// If the list service does not renew the lease, canaries end with it, and all requests go to the base.
func TestRoutes_leaseExpires(t *testing.T) {
	s := newRoutesService(t, 400, 0)
	r, base, canary := startWithRoutes(t, s, sidecartest.OK)
	s.publish(t, 5, toCanary(1, false))
	r.awaitRevision(5, true)
	sidecartest.Until(t, "a canary", func() bool { return r.do(r.requestWithRouteKey("k")).status == 200 && canary.Requests.Load() > 0 })
	s.set(func() { s.lease = 0 })
	r.awaitRevision(5, false)
	n, b, v := canary.Requests.Load(), base.Requests.Load(), r.revokedAttempts()
	for range 20 {
		require.Equal(t, 200, r.do(r.requestWithRouteKey("k")).status)
	}
	require.Equal(t, []int64{n, b + 20}, []int64{canary.Requests.Load(), base.Requests.Load()})
	require.Equal(t, "/", base.headers()[b])
	sidecartest.Until(t, "the count without a lease", func() bool { return s.counts()["0 kita false"].Ended >= 20 })
	require.Equal(t, v, r.revokedAttempts(), "the balancer used a lease that had expired")
}

// If a revision is replaced between the decision for an attempt and its first byte, the attempt is revoked, and the
// request is served by another server.
func TestRoutes_revokedAttempt(t *testing.T) {
	for name, send := range map[string]func(*running) *http.Request{
		"held": func(r *running) *http.Request { return r.request("charge", 5*time.Second) },
		"streamed": func(r *running) *http.Request {
			req := r.request("charge", 5*time.Second)
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 300<<10))), -1
			return req
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRoutesService(t, longLease, 0)
			dials, release := make(chan string, 10), make(chan struct{})
			base, canary := newHeaderRecorder(t, "b", sidecartest.OK), newHeaderRecorder(t, "c", sidecartest.OK)
			c := configtest.NewConf("127.0.0.1:1", base.Target, canary.Target).ReplaceSetting(`"connect_timeout_ms": 100`, `"connect_timeout_ms": 9000`).
				ReplaceSetting(`"parallel_tries": true`, `"parallel_tries": false`).ReplaceSetting(`"max_attempts": 6`, `"max_attempts": 1`)
			c["routes"], c["management"] = map[string]any{"addrs": []string{s.Listener.Addr().String()}}, sidecartest.Loopback
			r := start(t, c, func(s *Sidecar) {
				s.loop.Pool.SetDialControl(func(_, addr string, _ syscall.RawConn) error {
					dials <- addr
					if addr == canary.Target.Endpoint {
						<-release
					}
					return nil
				})
			})
			s.publish(t, 5, toCanary(1, false))
			r.awaitRevision(5, true)
			response := r.goDo(send(r))
			require.Equal(t, canary.Target.Endpoint, sidecartest.Receive(t, "the dial", dials))
			s.publish(t, 6)
			r.awaitRevision(6, true)
			close(release)
			require.Equal(t, 200, sidecartest.Receive(t, "the response", response).status)
			require.Equal(t, []int64{0, 1}, []int64{canary.Requests.Load(), base.Requests.Load()})
			sidecartest.Until(t, "the revoked attempt to be counted", func() bool { return r.revokedAttempts() == 1 })
		})
	}
}

// If the lease ends after the head of an attempt was built and before its first byte is sent, a streamed upload is
// revoked and not counted, as its head cannot be built again. A request with a held body starts without a lease.
func TestRoutes_RevokedUpload(t *testing.T) {
	s := newRoutesService(t, 700, 0)
	r, _, _ := startWithRoutes(t, s, sidecartest.OK)
	s.publish(t, 5, toCanary(0, false))
	r.awaitRevision(5, true)
	sampleTimer := time.NewTimer(time.Hour)
	defer sampleTimer.Stop()
	router := &routing.Router{Client: r.loop.Routing.Client, Tenants: []string{"kita"}, RoutedTenants: map[int]routing.RoutedTenant{0: {}}, SampleTimer: sampleTimer}
	streamed, held := &inflight.Call{Outbound: &inflight.Outbound{Upload: inflight.NewUpload(-1, nil)}}, &inflight.Call{Outbound: &inflight.Outbound{}}
	var checks []*routing.AttemptCheck
	for _, c := range []*inflight.Call{streamed, held} {
		check := router.NewCheck(0, c, &balance.Action{RoutesRev: 5})
		require.EqualValues(t, 5, check.ExpectRevision())
		checks = append(checks, check)
	}
	s.set(func() { s.lease = 0 })
	r.awaitRevision(5, false)
	out, in := net.Pipe()
	defer in.Close()
	_, err := upstream.NewStreamWriter(out, checks[0], 5).Write([]byte("x"))
	require.ErrorIs(t, err, routing.ErrRevoked)
	require.False(t, checks[0].Started)
	rev, err := checks[1].Begin()
	require.NoError(t, err)
	require.Zero(t, rev)
	sidecartest.Until(t, "the count", func() bool { return s.counts()["0 kita false"].Started > 0 })
	require.Equal(t, map[string]route.Count{"0 kita false": {Tenant: "kita", Started: 1}}, s.counts())
}

// If late responses of a canary count as failures, so does a client that closes its connection after the latency
// objective and long before its deadline: that costs a budget unit and counts in the comparison. A client that leaves
// earlier does not count.
func TestRoutes_clientLeavesLate(t *testing.T) {
	const objective = 100 * time.Millisecond
	s := newRoutesService(t, 1000, 3)
	release := make(chan struct{})
	r, _, canary := startWithRoutes(t, s, func(net.Conn, *http.Request, string) bool { <-release; return false }, func(c configtest.Conf) {
		c.ReplaceSetting(`"parallel_tries": true`, `"parallel_tries": false`).ReplaceSetting(`"max_attempts": 6`, `"max_attempts": 1`).
			ReplaceSetting(`"on_time_ms": 750`, fmt.Sprint(`"on_time_ms": `, objective.Milliseconds()))
	})
	t.Cleanup(sync.OnceFunc(func() { close(release) }))
	canaryRoute := toCanary(1, true)
	canaryRoute.Late = true
	s.publish(t, 5, canaryRoute)
	r.awaitRevision(5, true)
	sidecartest.Until(t, "granted units", func() bool {
		_, text := r.requestManagement(t, "GET", statsPath)
		return !strings.Contains(text, "svc_steer_units_free 0\n")
	})
	leave := func(after time.Duration) {
		before := canary.Requests.Load()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			if resp, err := r.client.Do(r.request("lookup", 5*time.Second).WithContext(ctx)); err == nil {
				resp.Body.Close()
			}
		}()
		sidecartest.Until(t, "the attempt", func() bool { return canary.Requests.Load() > before })
		sent := time.Now()
		sidecartest.Until(t, "the time at which the client leaves", func() bool { return time.Since(sent) >= after })
		cancel()
		sidecartest.Receive(t, "the client to end", gone)
	}
	leave(0)
	sidecartest.Until(t, "the count of the client that left early", func() bool { return s.counts()["5 kita true"].Started == 1 })
	leave(objective + 50*time.Millisecond)
	want := route.Count{Rev: 5, Tenant: "kita", Canary: true, Started: 2, Ended: 1, Late: 1}
	sidecartest.Until(t, "the counts", func() bool { return s.counts()["5 kita true"] == want })
	sidecartest.Until(t, "the spent unit", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.request.Budgets[0].Spent == 1
	})
}

// Failures of the canary stay within the granted budget units, are retried at the base so that every request is served,
// and are reported. Unused units are returned at the end.
func TestRoutes_budgetBoundsFailures(t *testing.T) {
	const units = 3
	s := newRoutesService(t, longLease, units)
	failing := sidecartest.Respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true)
	r, _, canary := startWithRoutes(t, s, failing)
	s.publish(t, 5, toCanary(1, true))
	r.awaitRevision(5, true)
	spent := func() (n int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range s.request.Budgets {
			n = p.Spent
		}
		return n
	}
	sidecartest.Until(t, "all units spent", func() bool {
		require.Equal(t, 200, r.do(r.requestWithRouteKey("k")).status)
		return spent() == units
	})
	for range 30 {
		require.Equal(t, 200, r.do(r.requestWithRouteKey("k")).status)
	}
	require.EqualValues(t, units, canary.Requests.Load())
	s.set(func() { s.budget = 1 })
	sidecartest.Until(t, "another unit granted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.request.Budgets[0].Granted == units+1
	})
	r.term()
	r.ended <- <-r.ended
	require.Equal(t, []int64{units, 1}, []int64{s.request.Budgets[0].Spent, s.request.Budgets[0].Returned})
	sidecartest.Until(t, "the last report", func() bool { return s.counts()["5 kita true"].Failed == units })
}

// Without the section routes the sidecar makes no calls for routes and adds no headers, and forwards the client's
// unchanged.
func TestRoutes_notConfigured(t *testing.T) {
	s := newRoutesService(t, longLease, 0)
	b := newHeaderRecorder(t, "b", sidecartest.OK)
	c := configtest.NewConf("127.0.0.1:1", b.Target)
	c["lists"] = []map[string]any{{"addr": s.Listener.Addr().String()}}
	r := start(t, c)
	require.Equal(t, 200, r.do(r.requestWithRouteKey("k")).status)
	require.Nil(t, r.loop.Routing)
	require.Equal(t, []string{"99/7"}, b.headers())
	sidecartest.Until(t, "the call for the list", func() bool { return s.calls.Load() > 0 })
	s.set(func() { require.Empty(t, s.report.Name) })
}

func TestRoutes_reloadAddrs(t *testing.T) {
	before, after := newRoutesService(t, longLease, 0), newRoutesService(t, longLease, 0)
	var path string
	r, _, _ := startWithRoutes(t, before, sidecartest.OK, func(c configtest.Conf) {
		c["routes"] = map[string]any{"addrs": []string{after.Listener.Addr().String()}}
		path = c.Write(t)
		c["routes"] = map[string]any{"addrs": []string{before.Listener.Addr().String()}, "schemas": []int{1}}
	})
	before.publish(t, 5, toCanary(1, false))
	r.awaitRevision(5, true)
	require.NoError(t, r.Reload(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }))
	after.publish(t, 6)
	r.awaitRevision(6, true)
}
