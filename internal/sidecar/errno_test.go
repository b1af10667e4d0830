package sidecar

import (
	"syscall"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// The answer to a client where a system call fails once and there is one server. A non-idempotent request goes on if the
// failure is this machine's, and is rejected if it is the server's; it runs once or not at all. Rejections last as long as
// their client waits, so one errno of each call and result stands for the others.
func TestErrno_answerToClient(t *testing.T) {
	type rejection struct {
		call   string
		result balance.Result
	}
	rejected := map[rejection]bool{}
	for _, test := range sidecartest.ErrnoCases() {
		wait := time.Second
		if test.Status != 200 {
			if rejected[rejection{test.Call, test.Result}] {
				continue
			}
			rejected[rejection{test.Call, test.Result}] = true
			wait = 150 * time.Millisecond
		}
		t.Run(test.Call+" "+test.Errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) { test.Inject(s.loop.Pool, 1) })
			if got := s.do(s.request("charge", wait)); got.status != test.Status {
				t.Errorf("%+v, want %d", got, test.Status)
			}
			runs := int64(0)
			if test.Status == 200 {
				runs = 1
			}
			if n := b.Requests.Load(); n != runs {
				t.Errorf("it ran %d times, want %d", n, runs)
			}
		})
	}
}

// A request goes on within its time over more failures of this machine than it has attempts.
func TestErrno_localFailuresCostNoAttempt(t *testing.T) {
	const failures = 9 // the settings allow 6 attempts
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	fail := sidecartest.ErrnoCase{Call: "socket", Errno: syscall.EMFILE}
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) { fail.Inject(s.loop.Pool, failures) })
	if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
		t.Errorf("%+v, want it served", got)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d requests at the server, want 1", n)
	}
}

// A request that cannot be sent within its time is rejected at the end of it, once.
func TestErrno_localFailuresUntilDeadline(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	fail := sidecartest.ErrnoCase{Call: "connect", Errno: syscall.EADDRNOTAVAIL}
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) { fail.Inject(s.loop.Pool, sidecartest.Unlimited) })
	got := s.do(s.request("charge", 300*time.Millisecond))
	if got.status != inflight.StatusRejected || got.took < 250*time.Millisecond {
		t.Errorf("%+v after %v, want a rejection when its time is over", got, got.took)
	}
}
