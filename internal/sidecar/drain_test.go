package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// A request whose deadline is later than the earliest SIGKILL gets its response before then: failed if it may have run,
// rejected if it may be sent again without harm.
func TestDrain_openRequestsGetResponse(t *testing.T) {
	received := make(chan string, 4)
	b := sidecartest.NewBackend(t, "hung", func(_ net.Conn, req *http.Request, _ string) bool {
		received <- req.Header.Get("X-Priority-Class")
		return true // without a response
	})
	// The longest deadline of a class is 2.5 s. A longer timeout of a client does not extend the shutdown.
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target))
	sidecartest.Until(t, "a server", func() bool { return s.loop.Metrics.Servers.Load().Ready > 0 })
	charge := s.goDo(s.request("charge", 5*time.Second))
	lookup := s.goDo(s.request("lookup", 5*time.Second))
	for range 2 {
		sidecartest.Receive(t, "an attempt", received)
	}
	startedAt := time.Now()
	s.term()
	for class, want := range map[string]struct {
		done   <-chan result
		status int
	}{"charge": {charge, inflight.StatusFailed}, "lookup": {lookup, inflight.StatusRejected}} {
		if got := sidecartest.Receive(t, class, want.done); got.status != want.status {
			t.Errorf("%s: %d, want %d", class, got.status, want.status)
		}
	}
	if took := time.Since(startedAt); took > s.killTime() {
		t.Errorf("responses came %v after SIGTERM, SIGKILL may come after %v", took, s.killTime())
	}
	if err := sidecartest.Receive(t, "the sidecar to end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil
}
