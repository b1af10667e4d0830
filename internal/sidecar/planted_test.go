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

// countFailures counts below the listener that goes on after them.
func countFailures(t *testing.T, l *clientserver.Limiter, failures *atomic.Int64) {
	t.Helper()
	wrapped, ok := l.Listener.(*listener.Listener)
	if !ok {
		t.Fatalf("the listener is a %T, which ends at the first failure", l.Listener)
	}
	wrapped.Listener = sidecartest.FailureCounter{Listener: wrapped.Listener, Failures: failures}
}

// Failing accepts, of which net/http takes few for temporary, do not end the process; once they work it serves.
func TestAccept_TransientFailure(t *testing.T) {
	for _, errno := range []string{
		"ENOBUFS", "ENOMEM", "EPROTO", "ENETUNREACH", "EHOSTUNREACH", "ENETDOWN", "EPERM", "EMFILE", "ENFILE",
	} {
		t.Run(errno, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			path := filepath.Join(t.TempDir(), "faults.toml")
			plan(t, path, fault.CallAccept, errno)
			c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
			c["faults"] = path
			var failures atomic.Int64
			s := start(t, c, func(s *Sidecar) { countFailures(t, s.listener, &failures) })
			sidecartest.Until(t, "accepts that fail", func() bool { return failures.Load() >= 3 })
			if err := (fault.Set{}).Write(path); err != nil {
				t.Fatal(err)
			}
			if got := s.do(s.request("charge", 5*time.Second)); got.status != 200 {
				t.Errorf("%+v", got)
			}
		})
	}
}

// plan makes a system call fail from the next one on.
func plan(t *testing.T, path, call, errno string) {
	t.Helper()
	if err := (fault.Set{Calls: map[string]string{call: errno}}).Write(path); err != nil {
		t.Fatal(err)
	}
}

// The platform's address and the place where a newer process meets this one stay, too.
func TestAccept_OtherListeners(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	c := upgradable(t, sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	path := filepath.Join(t.TempDir(), "faults.toml")
	plan(t, path, fault.CallAccept, "EPROTO")
	c["faults"] = path
	var failures atomic.Int64
	old := start(t, c, func(s *Sidecar) { countFailures(t, s.management, &failures) })
	sidecartest.Until(t, "accepts that fail", func() bool { return failures.Load() >= 3 })
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	var successor sync.WaitGroup
	sidecartest.Until(t, "the meeting place", func() bool {
		_, err := os.Lstat(cfg.HandoverSocket())
		return err == nil
	})
	successor.Go(func() {
		p, l, err := handover.FindPredecessor(cfg)
		if err != nil || p == nil {
			t.Errorf("a newer process meets %v: %v", p, err)
			return
		}
		l.Close()
		p.Close()
	})
	sidecartest.Until(t, "more accepts that fail", func() bool { return failures.Load() >= 6 })
	if err := (fault.Set{}).Write(path); err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "the platform's address", func() bool { return old.healthy(t) })
	successor.Wait()
}

// The time of a request that waits until its connection is accepted counts: its server gets what is left.
func TestDeadline_includesAcceptQueue(t *testing.T) {
	timeouts := make(chan string, 1)
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		timeouts <- r.Header.Get("X-Timeout-Ms")
		return sidecartest.OK(c, r, body)
	})
	path := filepath.Join(t.TempDir(), "faults.toml")
	plan(t, path, fault.CallAccept, "ENOMEM")
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target)
	c["faults"] = path
	var failures atomic.Int64
	s := start(t, c, func(s *Sidecar) { countFailures(t, s.listener, &failures) })
	sidecartest.Until(t, "accepts that fail", func() bool { return failures.Load() > 0 })
	conn := s.dial(t)
	defer conn.Close()
	const wait, waited, coarse = 5 * time.Second, 300 * time.Millisecond, 20 * time.Millisecond
	if err := s.request("charge", wait).Write(conn); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	sidecartest.Until(t, "some of its time to pass", func() bool { return time.Since(sent) >= waited })
	if err := (fault.Set{}).Write(path); err != nil {
		t.Fatal(err)
	}
	left, err := strconv.Atoi(sidecartest.Receive(t, "the attempt", timeouts))
	if err != nil {
		t.Fatal(err)
	}
	if limit := wait - waited + coarse; time.Duration(left)*time.Millisecond > limit {
		t.Errorf("the server got %d ms, want %v at most", left, limit)
	}
}
