package sidecar

import (
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// A request may not be retried after the window of its idempotency key. If the window ends while a retry connects, the
// request gets its response then and not only at its deadline.
func TestKeyWindow_endsWhileConnecting(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true))
	b.Target.Capacity = 1000 // so that it gets the first attempt
	never := sidecartest.Ready("b", unresponsiveAddr(t))
	c := configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, never).
		ReplaceSetting(`"window_ms": 2000`, `"window_ms": 100`).
		ReplaceSetting(`"connect_timeout_ms": 100`, `"connect_timeout_ms": 60000`).
		ReplaceSetting(`"hard_limit_ms": 1000, "worth": 8`, `"hard_limit_ms": 9000, "worth": 8`)
	s := start(t, c)
	if got := s.do(s.request("reserve", 9*time.Second)); got.status != inflight.StatusFailed {
		t.Errorf("%+v, want a failure", got)
	}
	if n := b.Requests.Load(); n != 1 {
		t.Errorf("%d attempts at the server, want 1", n)
	}
}
