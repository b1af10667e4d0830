package eventloop

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
	"marblelane/internal/sidecar/upstream"
)

// newLoop gives a loop that a test drives in place of Run, and its time. It knows the servers of the configuration.
func newLoop(t *testing.T, cfg *config.Config) (l *Loop, now float64) {
	t.Helper()
	balancer, err := balance.New(cfg.Balance)
	if err != nil {
		t.Fatal(err)
	}
	l = New(cfg, balancer, upstream.NewPool(cfg, cfg.Sockets))
	l.Discovery = discovery.New(cfg.ListAddrs(), cfg.MemoryMB, l.Post, func(f func()) { l.Workers.Go(f) })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		close(l.stopped)
		l.Workers.Wait()
		l.Pool.Close()
	})
	l.ctx = ctx
	now = l.now()
	l.Execute(now, l.balancer.Start(now))
	l.handleListEvent(now, discovery.ListEvent{Kind: balance.ListCached, List: cfg.Known})
	return l, now
}

// The outcome of an attempt that sees that its client has gone crosses the ClientGone of the client's handler: the call
// ends once, whichever comes first, and there is no retry.
func TestClientGone_crossesAttempt(t *testing.T) {
	for name, handlerFirst := range map[string]bool{"outcome first": false, "ClientGone first": true} {
		t.Run(name, func(t *testing.T) {
			b, other := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK)
			cfg, err := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, other.Target).Load(t)
			if err != nil {
				t.Fatal(err)
			}
			l, now := newLoop(t, cfg)
			checking, checks := sidecartest.NewBarrier(), &atomic.Int64{}
			t.Cleanup(checking.Release)
			c := &inflight.Call{
				Request: balance.Request{Class: cfg.Classes["lookup"], Tenant: cfg.Tenants["kita"]},
				Outbound: &inflight.Outbound{
					Method: http.MethodGet, URL: &url.URL{Path: "/api"}, Host: "h", Header: http.Header{"X-Request-Id": {"1"}},
				},
				Timeout: time.Hour, Deadline: time.Now().Add(time.Hour), Response: make(chan inflight.Response, 1),
			}
			c.PollDisconnect = func() bool { checks.Add(1); checking.Pass(); return true }
			l.handleMessage(now, clientserver.Arrival{Call: c})
			open := l.calls[c.Request.ID]
			checking.WaitFor(t, 1) // the attempt has passed all other checks
			if handlerFirst && !c.Finish() {
				t.Fatal("the call is over before its end")
			}
			checking.Release()
			for over := false; !over; {
				ev := sidecartest.Receive(t, "the attempt's outcome", l.inbox)
				_, over = ev.(attemptDone)
				l.handleMessage(l.Clock.Millis(time.Now()), ev)
			}
			if byLoop := len(c.Response) == 1; byLoop == handlerFirst || !c.Finished() {
				t.Errorf("the event loop ends the call: %v, finished %v", byLoop, c.Finished())
			}
			l.handleMessage(l.Clock.Millis(time.Now()), clientserver.CallAbandoned{Call: c}) // late, or twice
			if n := len(l.calls); n != 0 {
				t.Errorf("%d calls are left", n)
			}
			if n := checks.Load(); n != 1 || len(open.attempts) != 1 {
				t.Errorf("%d attempts, want 1", len(open.attempts))
			}
			if n := b.Requests.Load() + other.Requests.Load(); n != 0 {
				t.Errorf("servers got %d requests", n)
			}
		})
	}
}
