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

// newLoop returns a loop that a test drives instead of Run, and its current time. It has the servers of the
// configuration.
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
	l.handleListEvent(now, discovery.ListEvent{Kind: balance.ListCached, List: cfg.KnownList})
	return l, now
}

// An attempt that notices that its client has closed the connection ends at the same time as the client's handler sends
// CallAbandoned. The call ends once, whichever message comes first, and there is no retry.
func TestCallAbandoned_crossesAttempt(t *testing.T) {
	for name, handlerFirst := range map[string]bool{"outcome first": false, "CallAbandoned first": true} {
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
				t.Fatal("the call has finished early")
			}
			checking.Release()
			for ended := false; !ended; {
				message := sidecartest.Receive(t, "the attempt's outcome", l.inbox)
				_, ended = message.(attemptDone)
				l.handleMessage(l.Clock.Millis(time.Now()), message)
			}
			if byLoop := len(c.Response) == 1; byLoop == handlerFirst || !c.Finished() {
				t.Errorf("the event loop ended the call: %v, finished: %v", byLoop, c.Finished())
			}
			l.handleMessage(l.Clock.Millis(time.Now()), clientserver.CallAbandoned{Call: c}) // it may come late, or a second time
			if n := len(l.calls); n != 0 {
				t.Errorf("%d calls are left in the table", n)
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
