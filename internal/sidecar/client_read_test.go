package sidecar

import (
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

// A request is served although reading from its client fails at first with a transient error.
func TestClientRead_momentaryErrno(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			var failures atomic.Int64
			s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), sidecartest.NewBackend(t, "a", sidecartest.OK).Target), func(s *Sidecar) {
				s.listener.SetReadCall(func(fd int, p []byte) (int, error) {
					if failures.Add(1) <= 3 {
						return 0, errno
					}
					return syscall.Read(fd, p)
				})
			})
			if got := s.do(s.request("charge", sidecartest.WaitTimeout)); got.status != 200 {
				t.Errorf("response %+v, want 200", got)
			}
		})
	}
}
