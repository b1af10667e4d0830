package clientserver

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/metrics"
	"marblelane/internal/sidecar/sidecartest"
)

// If the event loop never decides on a response, which is a bug, the client still gets one failure response in time.
func TestServer_overdueResponse(t *testing.T) {
	cfg, err := configtest.NewConf("127.0.0.1:1").Load(t)
	if err != nil {
		t.Fatal(err)
	}
	posted := make(chan any, 4)
	s := New(Options{
		Config: cfg, Metrics: metrics.New(cfg.ClassNames), Post: func(ev any) { posted <- ev }, WriteTimeout: sidecartest.WaitTimeout,
	})
	s.SetKeepAliveLimit(10)
	s.SetRequestLimit(10)
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	req, err := http.NewRequest("GET", httpServer.URL+apiPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", "1")
	req.Header.Set("X-Priority-Class", "lookup")
	req.Header.Set("X-Tenant-Id", "kita")
	req.Header.Set("X-Timeout-Ms", "50")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != inflight.StatusTimedOut {
		t.Errorf("status %s, want %d", resp.Status, inflight.StatusTimedOut)
	}
	call := (<-posted).(Arrival).Call
	if abandoned, ok := (<-posted).(CallAbandoned); !ok || abandoned.Call != call || call.Finish() {
		t.Error("the event loop was not notified that the call is abandoned, or the call is not finished")
	}
	http.DefaultClient.CloseIdleConnections()
}

// The Retry-After header is in seconds.
func TestWriteResponse_retryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	writeResponse(w, inflight.Response{Status: inflight.StatusRejected, RetryAfter: 1250})
	if got := w.Header().Get("Retry-After"); got != "1.250" {
		t.Errorf("Retry-After: %q, want 1.250", got)
	}
}
