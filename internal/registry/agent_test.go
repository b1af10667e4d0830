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
)

// A server is listed once it is healthy, survives the service being away, and leaves in order.
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
	time.Sleep(200 * time.Millisecond) // it has been asked, and it is not healthy
	if got := listed(); got != "" {
		t.Errorf("before it is healthy the list is %s", got)
	}
	healthy.Store(true)
	until(t, "the server on the list", func() bool { return listed() == "s1=Ready" })

	// All replicas go and come back; a new leader gives its lease a full term, and it is renewed in time.
	for _, c := range all {
		c.end(t)
	}
	time.Sleep(a.Lease)
	for _, c := range all {
		c.start(t)
	}
	if got := listed(); got != "s1=Ready" {
		t.Errorf("after the service was away the list is %s", got)
	}
	// Taken off by somebody, it comes back.
	if code, _ := call(t, "DELETE", leader(t, all).cfg.Listen, listserver.ListPath+"/s1", ""); code != 200 {
		t.Fatal(code)
	}
	until(t, "the server on the list again", func() bool { return listed() == "s1=Ready" })

	w := watch(t, leader(t, all).cfg.Listen, 0)
	w.next(t)
	stop()
	var states []string
	for len(states) == 0 || states[len(states)-1] != state.Gone {
		for _, e := range w.next(t).Targets {
			states = append(states, e.State)
		}
	}
	if got := strings.Join(states, " "); got != "Terminating Gone" {
		t.Errorf("it left with %s", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A server that fails its check for a whole lease is off the list.
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
	until(t, "the server on the list", func() bool { return uids(t, one) == "s1=Ready" })
	healthy.Store(false)
	until(t, "the sick server off the list", func() bool { return uids(t, one) == "" })
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A server that somebody drains while its agent renews stays drained, also when its lease has ended meanwhile; the
// next start is ready, also on a machine whose clock was set back by an hour.
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
	until(t, "its answer", renewed)
	if code, _ := call(t, "DELETE", one.cfg.Listen, listserver.ListPath+"/s1", ""); code != 200 { // as an ended lease would
		t.Fatal(code)
	}
	until(t, "the server again", func() bool { return uids(t, one) != "" })
	if got := uids(t, one); got != "s1=Terminating" {
		t.Errorf("it came back as %s", got)
	}
	// Its machine starts it anew while it is still listed, with a clock that was set back.
	second := run(hour)
	until(t, "the next start", func() bool { return uids(t, one) == "s1=Ready" })
	stop()
	second()
}
