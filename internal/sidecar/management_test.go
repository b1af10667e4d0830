package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// requestManagement sends a request to the management address and returns status and body of the response.
func (r *running) requestManagement(t *testing.T, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.ManagementAddr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Errorf("%s %s: the response does not close the connection", method, path)
	}
	return resp.StatusCode, string(body)
}

func TestHealthcheck_waitsForList(t *testing.T) {
	discovery := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.WithManagement(configtest.NewConf(discovery.Addr())))
	if status, text := s.requestManagement(t, "GET", healthPath); status != 503 {
		t.Errorf("without a list: %d %q", status, text)
	}
	call := sidecartest.Receive(t, "the watch", discovery.Calls)
	call.SendList(t, endpointlist.List{Rev: 2, All: true, Targets: []endpointlist.Target{sidecartest.Ready("a", "127.0.0.1:1")}})
	sidecartest.Until(t, "the list to be applied", func() bool {
		status, _ := s.requestManagement(t, "GET", healthPath)
		return status == 200
	})
	for _, test := range []struct {
		method, path string
		want         int
	}{{"GET", "/", 404}, {"GET", "/api", 404}, {"GET", "//stats", 404}, {"POST", statsPath, 405}, {"DELETE", healthPath, 405}} {
		if status, _ := s.requestManagement(t, test.method, test.path); status != test.want {
			t.Errorf("%s %s: %d, want %d", test.method, test.path, status, test.want)
		}
	}
	s.clients.StartDraining()
	if status, _ := s.requestManagement(t, "GET", healthPath); status != 503 {
		t.Errorf("while draining: %d", status)
	}
}

func TestStats(t *testing.T) {
	release := make(chan struct{})
	b := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Priority-Class") == "charge" {
			return sidecartest.Respond("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true)(c, r, body)
		}
		if r.Header.Get("X-Priority-Class") == "reserve" {
			<-release
		}
		return sidecartest.OK(c, r, body)
	})
	draining := sidecartest.Ready("b", "127.0.0.1:1")
	draining.State = "Terminating"
	c := configtest.WithManagement(configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, draining)).ReplaceSetting(`"lookup"`, `"look\"up"`).
		ReplaceSetting(`"open_cap": 20000`, `"open_cap": 1`)
	s := start(t, c)
	awaitMetrics := func(lines ...string) {
		t.Helper()
		text := ""
		sidecartest.Until(t, strings.Join(lines, ", "), func() bool {
			_, text = s.requestManagement(t, "GET", statsPath)
			for _, line := range lines {
				if !strings.Contains(text, line+"\n") {
					return false
				}
			}
			return true
		})
	}
	awaitMetrics(`svc_success{tier="look\"up"} 0`, "svc_backend_calls 0", "svc_inflight 0", "svc_hosts_listed 2", "svc_hosts_down 1")
	for range 3 {
		req := s.request("lookup", time.Second)
		req.Header.Set("X-Priority-Class", `look"up`)
		if got := s.do(req); got.status != 200 {
			t.Errorf("response %+v, want 200", got)
		}
	}
	if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusFailed {
		t.Errorf("response %+v, want %d", got, inflight.StatusFailed)
	}
	if got := s.do(s.request("nope", time.Second)); got.status != 400 {
		t.Errorf("response %+v, want 400", got)
	}
	held := s.goDo(s.request("reserve", time.Second))
	awaitMetrics("svc_inflight 1", "svc_backend_calls 5")
	if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusRejected {
		t.Errorf("response %+v, want %d", got, inflight.StatusRejected)
	}
	close(release)
	if got := sidecartest.Receive(t, "a response", held); got.status != 200 {
		t.Errorf("response %+v, want 200", got)
	}
	awaitMetrics(`svc_success{tier="look\"up"} 3`, `svc_success{tier="reserve"} 1`, `svc_success{tier="charge"} 0`,
		`svc_busy{tier="charge"} 1`, `svc_failure{tier="charge"} 1`, `svc_failure{tier="look\"up"} 0`,
		"svc_inflight 0", "svc_backend_calls 5")
}

// Callers that hold connections without sending a complete request do not shut out other callers.
func TestManagement_silentCallers(t *testing.T) {
	s := start(t, configtest.WithManagement(configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), sidecartest.Ready("a", "127.0.0.1:1"))))
	for i := range 3 * s.management.Limit() {
		c, err := net.Dial("tcp", s.ManagementAddr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /stats HT")
		}
	}
	startedAt := time.Now()
	if status, _ := s.requestManagement(t, "GET", healthPath); status != 200 || time.Since(startedAt) > config.ManagementTimeout {
		t.Errorf("%d after %v", status, time.Since(startedAt))
	}
}

func TestManagement_InvalidAddress(t *testing.T) {
	c := configtest.NewConf("127.0.0.1:1")
	c["management"] = "nowhere"
	if _, err := c.Load(t); err == nil || !strings.Contains(err.Error(), "management") {
		t.Errorf("malformed address: error %v, want one that names the key management", err)
	}
	occupied, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	c["management"] = occupied.Addr().String()
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "management") {
		t.Errorf("address in use: error %v, want one that names the key management", err)
	}
}

func TestManagement_Off(t *testing.T) {
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()))
	if s.ManagementAddr() != "" {
		t.Errorf("the sidecar listens at %s without a management address", s.ManagementAddr())
	}
}
