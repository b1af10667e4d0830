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

// What a client gets where a system call fails once and there is one server: a request that must not run twice goes
// on where the trouble is this machine's, and is refused where it is the server's. It runs once or not at all.
// Refusals last as long as their client waits, so one errno of each call and result stands for the others of it.
func TestAnswerAfterAnErrno(t *testing.T) {
	type refusal struct {
		call   string
		result balance.Result
	}
	refused := map[refusal]bool{}
	for _, test := range sidecartest.ErrnoCases() {
		wait := time.Second
		if test.Status != 200 {
			if refused[refusal{test.Call, test.Result}] {
				continue
			}
			refused[refusal{test.Call, test.Result}] = true
			wait = 150 * time.Millisecond
		}
		t.Run(test.Call+" "+test.Errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			s := start(t, configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target), func(s *Sidecar) { test.Failing(s.loop.Pool, 1) })
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

// A request goes on as long as its time lasts, over more failures of this machine than it has attempts.
func TestLocalFailuresUseUpNoAttempts(t *testing.T) {
	const failures = 9 // the settings allow 6 attempts
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	fail := sidecartest.ErrnoCase{Call: "socket", Errno: syscall.EMFILE}
	s := start(t, configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target), func(s *Sidecar) { fail.Failing(s.loop.Pool, failures) })
	if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
		t.Errorf("%+v, want it served", got)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d requests at the server, want 1", n)
	}
}

// A request that cannot be sent for as long as its time lasts is refused at its end, once.
func TestLocalFailuresEndInARefusal(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	fail := sidecartest.ErrnoCase{Call: "connect", Errno: syscall.EADDRNOTAVAIL}
	s := start(t, configtest.NewConf(sidecartest.NewRegistry(t).Addr(), b.Target), func(s *Sidecar) { fail.Failing(s.loop.Pool, sidecartest.Always) })
	got := s.do(s.request("charge", 300*time.Millisecond))
	if got.status != inflight.StatusRejected || got.took < 250*time.Millisecond {
		t.Errorf("%+v after %v, want a refusal when its time is up", got, got.took)
	}
}
