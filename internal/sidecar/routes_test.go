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

// routesService is a stand-in list service with routes: one replica, the leader.
type routesService struct {
	*httptest.Server
	calls atomic.Int64

	mu      sync.Mutex
	text    []byte
	changed chan struct{}
	term    int64 // ms; 0: no lease
	budget  int64 // units left
	granted int64
	report  route.Report        // the newest
	request route.BudgetRequest // the newest
}

func newRoutesService(t *testing.T, term, budget int64) *routesService {
	s := &routesService{term: term, budget: budget, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

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
		json.NewEncoder(w).Encode(route.ReportResponse{LeaseMS: s.term})
	case route.BudgetsPath:
		var request route.BudgetRequest
		json.NewDecoder(r.Body).Decode(&request)
		var a route.BudgetResponse
		for _, p := range request.Budgets {
			more := min(max(p.Wanted-(s.granted-p.Spent-p.Returned), 0), s.budget)
			s.budget, s.granted = s.budget-more, s.granted+more
			a.Budgets = append(a.Budgets, route.BudgetGrant{Tenant: p.Tenant, Rollout: p.Rollout, Granted: s.granted, MaxIdle: 100})
		}
		s.request = request
		json.NewEncoder(w).Encode(a)
	}
}

func (s *routesService) counts() map[string]route.Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]route.Count{}
	for _, c := range s.report.Counts {
		out[fmt.Sprintf("%d %s %v", c.Rev, c.Tenant, c.Canary)] = c
	}
	return out
}

// headerRecorder is a server that keeps what the headers of routes say.
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

func (w *headerRecorder) all() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.seen)
}

func toCanary(fraction float64, budget bool) route.Route {
	return route.Route{
		Tenant: "kita", Canary: route.Subset{UID: []string{"c"}}, Share: fraction, Rollout: "r1", Budget: budget,
	}
}

const longTerm = 60_000 // ms

// routed starts a sidecar with routes, a base of two servers and a canary.
func routed(t *testing.T, s *routesService, serve sidecartest.ServeFunc, changes ...func(configtest.Conf)) (r *running, base, canary *headerRecorder) {
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

// awaitRevision waits until the sidecar acts on a revision, with a lease or without.
func (r *running) awaitRevision(rev int64, hasLease bool) {
	r.t.Helper()
	sidecartest.Until(r.t, fmt.Sprint("revision ", rev), func() bool {
		s := r.loop.Routing.Client.Status()
		return s.ActingRev == rev && s.HasLease == hasLease
	})
	if hasLease { // the event loop has it, too
		sidecartest.Until(r.t, "the figures", func() bool {
			_, text := r.manage(r.t, "GET", statsPath)
			return strings.Contains(text, "svc_steer_permitted 1\n") && strings.Contains(text, fmt.Sprintf("svc_steer_revision %d\n", rev))
		})
	}
}

func (r *running) revokedAttempts() (n int) {
	_, text := r.manage(r.t, "GET", statsPath)
	_, text, _ = strings.Cut(text, "\nsvc_steer_voids ")
	fmt.Sscan(text, &n)
	return n
}

func (r *running) requestWithRouteKey(key string) *http.Request {
	req := r.request("lookup", 5*time.Second)
	req.Header.Set("X-Route-Key", key)
	req.Header.Set(routing.RevisionHeader, "99") // clients may not set it
	req.Header.Set(routing.CanaryHeader, "7")
	return req
}

// A key stays on its side, the share of the keys is met, and servers and the list service see the same.
func TestRoutes_CanaryFraction(t *testing.T) {
	s := newRoutesService(t, longTerm, 0)
	r, base, canary := routed(t, s, sidecartest.OK)
	s.publish(t, 5, toCanary(0.5, false))
	r.awaitRevision(5, true)
	const keys = 40
	side := map[string]int64{}
	for round := range 2 {
		for i := range keys {
			key := fmt.Sprint("key-", i)
			before := canary.Requests.Load()
			require.Equal(t, 200, r.do(r.requestWithRouteKey(key)).status)
			if went := canary.Requests.Load() - before; round == 0 {
				side[key] = went
			} else {
				require.Equal(t, side[key], went, key)
			}
		}
	}
	n := canary.Requests.Load()
	require.InDelta(t, keys, n, keys/2)
	require.Equal(t, []string{"5/1"}, slices.Compact(canary.all()))
	require.Equal(t, []string{"5/"}, slices.Compact(base.all()))
	want := map[string]route.Count{
		"5 kita false": {Rev: 5, Tenant: "kita", Started: 2*keys - n, Ended: 2*keys - n},
		"5 kita true":  {Rev: 5, Tenant: "kita", Canary: true, Started: n, Ended: n},
	}
	s.set(func() { s.term = 500 }) // as of the next report, which comes soon after the revision, they come often
	s.publish(t, 6)
	sidecartest.Until(t, "the counts", func() bool { return maps.Equal(want, s.counts()) })
	s.set(func() {
		require.Equal(t, "n0", s.report.Name)
		require.Len(t, s.report.Config, 64)
	})
}

// What a canary for some classes is compared with is of those classes alone.
func TestRoutes_OthersNotCompared(t *testing.T) {
	s := newRoutesService(t, 500, 0)
	r, base, _ := routed(t, s, sidecartest.OK)
	one := toCanary(0, false)
	one.Classes = []string{"charge"}
	s.publish(t, 5, one)
	r.awaitRevision(5, true)
	for range 3 {
		require.Equal(t, 200, r.do(r.request("lookup", 5*time.Second)).status)
		require.Equal(t, 200, r.do(r.request("charge", 5*time.Second)).status)
	}
	require.Len(t, base.all(), 6)
	want := route.Count{Rev: 5, Tenant: "kita", Started: 6, Ended: 3}
	sidecartest.Until(t, "the counts", func() bool { return s.counts()["5 kita false"] == want })
}

// When the service is silent canaries end with the lease, and all requests go to the base.
func TestRoutes_leaseExpires(t *testing.T) {
	s := newRoutesService(t, 400, 0)
	r, base, canary := routed(t, s, sidecartest.OK)
	s.publish(t, 5, toCanary(1, false))
	r.awaitRevision(5, true)
	sidecartest.Until(t, "a canary", func() bool { return r.do(r.requestWithRouteKey("k")).status == 200 && canary.Requests.Load() > 0 })
	s.set(func() { s.term = 0 })
	r.awaitRevision(5, false)
	n, b, v := canary.Requests.Load(), base.Requests.Load(), r.revokedAttempts()
	for range 20 {
		require.Equal(t, 200, r.do(r.requestWithRouteKey("k")).status)
	}
	require.Equal(t, []int64{n, b + 20}, []int64{canary.Requests.Load(), base.Requests.Load()})
	require.Equal(t, "/", base.all()[b])
	sidecartest.Until(t, "the count without a lease", func() bool { return s.counts()["0 kita false"].Ended >= 20 })
	require.Equal(t, v, r.revokedAttempts(), "the module decides with a lease that has expired")
}

// A revision that ends between the decision and the first byte ends the attempt before it begins, and the request has
// its one answer elsewhere.
func TestRoutes_revokedAttempt(t *testing.T) {
	for name, send := range map[string]func(*running) *http.Request{
		"held": func(r *running) *http.Request { return r.request("charge", 5*time.Second) },
		"passed on": func(r *running) *http.Request {
			req := r.request("charge", 5*time.Second)
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 300<<10))), -1
			return req
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRoutesService(t, longTerm, 0)
			dials, release := make(chan string, 10), make(chan struct{})
			base, canary := newHeaderRecorder(t, "b", sidecartest.OK), newHeaderRecorder(t, "c", sidecartest.OK)
			c := configtest.NewConf("127.0.0.1:1", base.Target, canary.Target).Setting(`"connect_timeout_ms": 100`, `"connect_timeout_ms": 9000`).
				Setting(`"parallel_tries": true`, `"parallel_tries": false`).Setting(`"max_attempts": 6`, `"max_attempts": 1`)
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
			answer := r.goDo(send(r))
			require.Equal(t, canary.Target.Endpoint, sidecartest.Receive(t, "the dial", dials))
			s.publish(t, 6)
			r.awaitRevision(6, true)
			close(release)
			require.Equal(t, 200, sidecartest.Receive(t, "the answer", answer).status)
			require.Equal(t, []int64{0, 1}, []int64{canary.Requests.Load(), base.Requests.Load()})
			sidecartest.Until(t, "the void", func() bool { return r.revokedAttempts() == 1 })
		})
	}
}

// An upload whose lease ends after its head was written, and before a byte of it was sent, does not begin, and is
// not counted: one whose head can be written anew begins without a lease.
func TestRoutes_RevokedUpload(t *testing.T) {
	s := newRoutesService(t, 700, 0)
	r, _, _ := routed(t, s, sidecartest.OK)
	s.publish(t, 5, toCanary(0, false))
	r.awaitRevision(5, true)
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	duty := &routing.Router{Client: r.loop.Routing.Client, Tenants: []string{"kita"}, RoutedTenants: map[int]routing.RoutedTenant{0: {}}, SampleTimer: due}
	passedOn, held := &inflight.Call{Outbound: &inflight.Outbound{Upload: inflight.NewUpload(-1, nil)}}, &inflight.Call{Outbound: &inflight.Outbound{}}
	var checks []*routing.AttemptCheck
	for _, c := range []*inflight.Call{passedOn, held} {
		k := duty.NewCheck(0, c, &balance.Action{RoutesRev: 5})
		require.EqualValues(t, 5, k.ExpectRevision())
		checks = append(checks, k)
	}
	s.set(func() { s.term = 0 })
	r.awaitRevision(5, false)
	out, in := net.Pipe()
	defer in.Close()
	_, err := upstream.NewStreamWriter(out, checks[0], 5).Write([]byte("x"))
	require.ErrorIs(t, err, routing.ErrRevoked)
	require.False(t, checks[0].Started)
	under, err := checks[1].Begin()
	require.NoError(t, err)
	require.Zero(t, under)
	sidecartest.Until(t, "the count", func() bool { return s.counts()["0 kita false"].Started > 0 })
	require.Equal(t, map[string]route.Count{"0 kita false": {Tenant: "kita", Started: 1}}, s.counts())
}

// A client that leaves after the latency objective, and long before the end of its time, has met a failure of a canary whose late
// answers are failures: it costs a unit, and is compared. One that leaves earlier is no evidence.
func TestRoutes_clientLeavesLate(t *testing.T) {
	const objective = 100 * time.Millisecond
	s := newRoutesService(t, 1000, 3)
	release := make(chan struct{})
	r, _, canary := routed(t, s, func(net.Conn, *http.Request, string) bool { <-release; return false }, func(c configtest.Conf) {
		c.Setting(`"parallel_tries": true`, `"parallel_tries": false`).Setting(`"max_attempts": 6`, `"max_attempts": 1`).
			Setting(`"on_time_ms": 750`, fmt.Sprint(`"on_time_ms": `, objective.Milliseconds()))
	})
	t.Cleanup(sync.OnceFunc(func() { close(release) }))
	one := toCanary(1, true)
	one.Late = true
	s.publish(t, 5, one)
	r.awaitRevision(5, true)
	sidecartest.Until(t, "units", func() bool {
		_, text := r.manage(t, "GET", statsPath)
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
		sidecartest.Until(t, "the client's patience", func() bool { return time.Since(sent) >= after })
		cancel()
		sidecartest.Receive(t, "the client's end", gone)
	}
	leave(0)
	sidecartest.Until(t, "the count of who left early", func() bool { return s.counts()["5 kita true"].Started == 1 })
	leave(objective + 50*time.Millisecond)
	want := route.Count{Rev: 5, Tenant: "kita", Canary: true, Started: 2, Ended: 1, Late: 1}
	sidecartest.Until(t, "the counts", func() bool { return s.counts()["5 kita true"] == want })
	sidecartest.Until(t, "the unit", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.request.Budgets[0].Spent == 1
	})
}

// Failures of the canary stay within the units, cost no request its answer, and are reported; what is left is returned.
func TestRoutes_budgetBoundsFailures(t *testing.T) {
	const units = 3
	s := newRoutesService(t, longTerm, units)
	fails := sidecartest.Respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true)
	r, _, canary := routed(t, s, fails)
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

// Without the section nothing is called and nothing added, and a client's headers are forwarded as any other.
func TestRoutes_notConfigured(t *testing.T) {
	s := newRoutesService(t, longTerm, 0)
	b := newHeaderRecorder(t, "b", sidecartest.OK)
	c := configtest.NewConf("127.0.0.1:1", b.Target)
	c["lists"] = []map[string]any{{"addr": s.Listener.Addr().String()}}
	r := start(t, c)
	require.Equal(t, 200, r.do(r.requestWithRouteKey("k")).status)
	require.Nil(t, r.loop.Routing)
	require.Equal(t, []string{"99/7"}, b.all())
	sidecartest.Until(t, "the call for the list", func() bool { return s.calls.Load() > 0 })
	s.set(func() { require.Empty(t, s.report.Name) })
}

func TestRoutes_reloadAddrs(t *testing.T) {
	before, after := newRoutesService(t, longTerm, 0), newRoutesService(t, longTerm, 0)
	var path string
	r, _, _ := routed(t, before, sidecartest.OK, func(c configtest.Conf) {
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
