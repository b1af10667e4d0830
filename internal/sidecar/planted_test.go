package sidecar

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/listener"
	"marblelane/internal/sidecar/clientserver"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/handover"
	"marblelane/internal/sidecar/sidecartest"
)

// countAcceptFailures counts failing accepts below the listener that retries them.
func countAcceptFailures(t *testing.T, l *clientserver.Limiter, failures *atomic.Int64) {
	t.Helper()
	wrapped, ok := l.Listener.(*listener.Listener)
	if !ok {
		t.Fatalf("the listener is a %T, which does not retry failing accepts", l.Listener)
	}
	wrapped.Listener = sidecartest.FailureCounter{Listener: wrapped.Listener, Failures: failures}
}

// Failing accepts, most of which net/http does not treat as temporary, do not end the process. It serves once they
// succeed.
func TestAccept_TransientFailure(t *testing.T) {
	for _, errno := range []string{
		"ENOBUFS", "ENOMEM", "EPROTO", "ENETUNREACH", "EHOSTUNREACH", "ENETDOWN", "EPERM", "EMFILE", "ENFILE",
	} {
		t.Run(errno, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			path := filepath.Join(t.TempDir(), "faults.toml")
			planFault(t, path, fault.CallAccept, errno)
			c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
			c["faults"] = path
			var failures atomic.Int64
			s := start(t, c, func(s *Sidecar) { countAcceptFailures(t, s.listener, &failures) })
			sidecartest.Until(t, "failing accepts", func() bool { return failures.Load() >= 3 })
			if err := (fault.Config{}).Write(path); err != nil {
				t.Fatal(err)
			}
			if got := s.do(s.request("charge", 5*time.Second)); got.status != 200 {
				t.Errorf("response %+v, want 200", got)
			}
		})
	}
}

// planFault makes all further calls of a system call fail, for sidecars that read the file at path.
func planFault(t *testing.T, path, call, errno string) {
	t.Helper()
	if err := (fault.Config{Calls: map[string]string{call: errno}}).Write(path); err != nil {
		t.Fatal(err)
	}
}

// Failing accepts do not close the management address or the handover socket either.
func TestAccept_OtherListeners(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	c := upgradable(t, sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	path := filepath.Join(t.TempDir(), "faults.toml")
	planFault(t, path, fault.CallAccept, "EPROTO")
	c["faults"] = path
	var failures atomic.Int64
	old := start(t, c, func(s *Sidecar) { countAcceptFailures(t, s.management, &failures) })
	sidecartest.Until(t, "failing accepts", func() bool { return failures.Load() >= 3 })
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	var successor sync.WaitGroup
	sidecartest.Until(t, "the handover socket", func() bool {
		_, err := os.Lstat(cfg.HandoverSocket())
		return err == nil
	})
	successor.Go(func() {
		p, l, err := handover.FindPredecessor(cfg)
		if err != nil || p == nil {
			t.Errorf("a successor finds the predecessor %v: %v", p, err)
			return
		}
		l.Close()
		p.Close()
	})
	sidecartest.Until(t, "more failing accepts", func() bool { return failures.Load() >= 6 })
	if err := (fault.Config{}).Write(path); err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "the health check to succeed", func() bool { return old.healthy(t) })
	successor.Wait()
}

// The time that a request waits until its connection is accepted counts towards its timeout: the server gets the rest.
func TestDeadline_includesAcceptQueue(t *testing.T) {
	timeouts := make(chan string, 1)
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		timeouts <- r.Header.Get("X-Timeout-Ms")
		return sidecartest.OK(c, r, body)
	})
	path := filepath.Join(t.TempDir(), "faults.toml")
	planFault(t, path, fault.CallAccept, "ENOMEM")
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	c["faults"] = path
	var failures atomic.Int64
	s := start(t, c, func(s *Sidecar) { countAcceptFailures(t, s.listener, &failures) })
	sidecartest.Until(t, "failing accepts", func() bool { return failures.Load() > 0 })
	conn := s.dial(t)
	defer conn.Close()
	const wait, waited, coarse = 5 * time.Second, 300 * time.Millisecond, 20 * time.Millisecond
	if err := s.request("charge", wait).Write(conn); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	sidecartest.Until(t, "the request to wait in the accept queue", func() bool { return time.Since(sent) >= waited })
	if err := (fault.Config{}).Write(path); err != nil {
		t.Fatal(err)
	}
	left, err := strconv.Atoi(sidecartest.Receive(t, "the attempt", timeouts))
	if err != nil {
		t.Fatal(err)
	}
	if limit := wait - waited + coarse; time.Duration(left)*time.Millisecond > limit {
		t.Errorf("the server got a timeout of %d ms, want at most %v", left, limit)
	}
}
