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

// With a single server a system call fails once. A non-idempotent request is sent again if the failure is local to this
// machine, and is rejected if it is one of the server; it runs once or not at all. A rejection takes as long as its
// client waits, so the test covers only one errno for each rejected pair of call and result.
func TestErrno_responseToClient(t *testing.T) {
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
			wantRuns := int64(0)
			if test.Status == 200 {
				wantRuns = 1
			}
			if n := b.Requests.Load(); n != wantRuns {
				t.Errorf("it ran %d times, want %d", n, wantRuns)
			}
		})
	}
}

// Failures of this machine do not count as attempts: a request is served after more of them than it has attempts.
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

// A request that cannot be sent before its deadline gets one rejection, at its deadline.
func TestErrno_localFailuresUntilDeadline(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	fail := sidecartest.ErrnoCase{Call: "connect", Errno: syscall.EADDRNOTAVAIL}
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) { fail.Inject(s.loop.Pool, sidecartest.Unlimited) })
	got := s.do(s.request("charge", 300*time.Millisecond))
	if got.status != inflight.StatusRejected || got.took < 250*time.Millisecond {
		t.Errorf("%+v after %v, want a rejection at the deadline", got, got.took)
	}
}
