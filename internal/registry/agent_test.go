package registry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/internal/registry/agent"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
	"marblelane/internal/testutil/heldproxy"
)

// expectDrainAndRemoval reads a watch until the server is gone, and checks that it was draining before.
func expectDrainAndRemoval(t *testing.T, w *watcher) {
	t.Helper()
	var states []string
	for len(states) == 0 || states[len(states)-1] != state.Gone {
		for _, e := range w.next(t).Targets {
			states = append(states, e.State)
		}
	}
	if got := strings.Join(states, " "); got != "Terminating Gone" {
		t.Errorf("states while the agent stops: %s", got)
	}
}

// A server is registered once it is healthy, stays listed after an outage of the list service, and is drained and
// removed when its agent stops.
func TestAgent(t *testing.T) {
	all := cluster(t, 3, nil)
	var healthy atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	a := &agent.Registrar{Replicas: []string{all[0].cfg.Listen, all[1].cfg.Listen, all[2].cfg.Listen}, Lease: 900 * time.Millisecond,
		HealthCheckURL: server.URL, DrainTime: 300 * time.Millisecond, Entry: *testEntry("s1", 7)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	listed := func() string { return uids(t, leader(t, all)) }
	time.Sleep(200 * time.Millisecond) // health checks have failed meanwhile
	if got := listed(); got != "" {
		t.Errorf("before the server is healthy the list is %s", got)
	}
	healthy.Store(true)
	until(t, "the registration of the server", func() bool { return listed() == "s1=Ready" })

	// All replicas stop and start again. The new leader gives the lease a full term, in which it is renewed.
	for _, c := range all {
		c.end(t)
	}
	time.Sleep(a.Lease)
	for _, c := range all {
		c.start(t)
	}
	if got := listed(); got != "s1=Ready" {
		t.Errorf("after the outage the list is %s", got)
	}
	// A server that someone else removed registers again.
	if code, _ := call(t, "DELETE", leader(t, all).cfg.Listen, listserver.ListPath+"/s1", ""); code != 200 {
		t.Fatal(code)
	}
	until(t, "the registration after the removal", func() bool { return listed() == "s1=Ready" })

	w := watch(t, leader(t, all).cfg.Listen, 0)
	w.next(t)
	stop()
	expectDrainAndRemoval(t, w)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A server that is told to end while its registration is in progress is drained and removed, even if the response to the
// registration is late or lost.
func TestAgent_endsWhileRegistering(t *testing.T) {
	for name, finish := range map[string]func(*heldproxy.Proxy){
		"response late": (*heldproxy.Proxy).Send, "response lost": (*heldproxy.Proxy).Lose,
	} {
		t.Run(name, func(t *testing.T) {
			one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers = "", nil })[0]
			until(t, "a leader", func() bool { return uids(t, one) == "" })
			proxy := heldproxy.Start(t, one.cfg.Listen, func(r *http.Request) bool {
				return r.URL.Path == listserver.ListPath+"/s1" && r.Method == http.MethodPost
			})
			a := &agent.Registrar{Replicas: []string{proxy.Addr()}, Lease: time.Hour, DrainTime: 100 * time.Millisecond, Entry: *testEntry("s1", 7)}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- a.Run(ctx) }()
			<-proxy.Held
			if got := uids(t, one); got != "s1=Ready" {
				t.Errorf("after the registration the list is %s", got)
			}
			w := watch(t, one.cfg.Listen, 0)
			w.next(t)
			stop()
			finish(proxy)
			expectDrainAndRemoval(t, w)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// A server whose health checks fail for a full lease term is removed from the list.
func TestAgent_failedHealthCheck(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers = "", nil })[0]
	var healthy atomic.Bool
	healthy.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	a := &agent.Registrar{Replicas: []string{"127.0.0.1:1", one.cfg.Listen}, Lease: 500 * time.Millisecond, HealthCheckURL: server.URL, Entry: *testEntry("s1", 7)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	until(t, "the registration of the server", func() bool { return uids(t, one) == "s1=Ready" })
	healthy.Store(false)
	until(t, "the removal of the unhealthy server", func() bool { return uids(t, one) == "" })
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A server that is drained while its agent renews stays drained, even if its entry was removed meanwhile. The next
// start of the server is ready, even if the clock of its machine was set back by an hour.
func TestAgent_drain(t *testing.T) {
	one := cluster(t, 1, func(c *Config) { c.Dir, c.Peers = "", nil })[0]
	run := func(boot int64) (stop func()) {
		a := &agent.Registrar{Replicas: []string{one.cfg.Listen}, Lease: 600 * time.Millisecond, DrainTime: time.Millisecond, Entry: *testEntry("s1", boot)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx) }()
		return func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}
	hour := time.Hour.Milliseconds()
	stop := run(2 * hour)
	until(t, "the server", func() bool { return uids(t, one) == "s1=Ready" })
	if code, _ := call(t, "POST", one.cfg.Listen, listserver.ListPath+"/s1/drain", ""); code != 200 {
		t.Fatal(code)
	}
	renewed := func() bool { // a renewal after the drain has reached the agent
		return time.Until(one.node.Server().LeaseEnd("s1")) > 550*time.Millisecond
	}
	until(t, "a renewal", func() bool { return !renewed() })
	until(t, "another renewal", renewed)
	until(t, "one more", func() bool { return !renewed() })
	until(t, "the response to a renewal", renewed)
	if code, _ := call(t, "DELETE", one.cfg.Listen, listserver.ListPath+"/s1", ""); code != 200 { // as an expired lease would
		t.Fatal(code)
	}
	until(t, "the server again", func() bool { return uids(t, one) != "" })
	if got := uids(t, one); got != "s1=Terminating" {
		t.Errorf("the server was registered again as %s", got)
	}
	// The server is started again while it is listed, with a clock that was set back.
	second := run(hour)
	until(t, "the next start", func() bool { return uids(t, one) == "s1=Ready" })
	stop()
	second()
}
