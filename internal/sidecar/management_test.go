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

func (r *running) manage(t *testing.T, method, path string) (int, string) {
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
		t.Errorf("%s %s: the connection is kept", method, path)
	}
	return resp.StatusCode, string(body)
}

func TestHealthcheck_waitsForList(t *testing.T) {
	discovery := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.Managed(configtest.NewConf(discovery.Addr())))
	if status, text := s.manage(t, "GET", healthPath); status != 503 {
		t.Errorf("without a list: %d %q", status, text)
	}
	call := sidecartest.Receive(t, "the watch", discovery.Calls)
	call.SendList(t, endpointlist.List{Rev: 2, All: true, Targets: []endpointlist.Target{sidecartest.Ready("a", "127.0.0.1:1")}})
	sidecartest.Until(t, "the list to count", func() bool {
		status, _ := s.manage(t, "GET", healthPath)
		return status == 200
	})
	for _, test := range []struct {
		method, path string
		want         int
	}{{"GET", "/", 404}, {"GET", "/api", 404}, {"GET", "//stats", 404}, {"POST", statsPath, 405}, {"DELETE", healthPath, 405}} {
		if status, _ := s.manage(t, test.method, test.path); status != test.want {
			t.Errorf("%s %s: %d, want %d", test.method, test.path, status, test.want)
		}
	}
	s.clients.StartDraining()
	if status, _ := s.manage(t, "GET", healthPath); status != 503 {
		t.Errorf("while it drains: %d", status)
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
	c := configtest.Managed(configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target, draining)).Setting(`"lookup"`, `"look\"up"`).
		Setting(`"open_cap": 20000`, `"open_cap": 1`)
	s := start(t, c)
	wants := func(lines ...string) {
		t.Helper()
		text := ""
		sidecartest.Until(t, strings.Join(lines, ", "), func() bool {
			_, text = s.manage(t, "GET", statsPath)
			for _, line := range lines {
				if !strings.Contains(text, line+"\n") {
					return false
				}
			}
			return true
		})
	}
	wants(`svc_success{tier="look\"up"} 0`, "svc_backend_calls 0", "svc_inflight 0", "svc_hosts_listed 2", "svc_hosts_down 1")
	for range 3 {
		req := s.request("lookup", time.Second)
		req.Header.Set("X-Priority-Class", `look"up`)
		if got := s.do(req); got.status != 200 {
			t.Errorf("%+v", got)
		}
	}
	if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusFailed {
		t.Errorf("%+v", got)
	}
	if got := s.do(s.request("nope", time.Second)); got.status != 400 {
		t.Errorf("%+v", got)
	}
	held := s.goDo(s.request("reserve", time.Second))
	wants("svc_inflight 1", "svc_backend_calls 5")
	if got := s.do(s.request("charge", time.Second)); got.status != inflight.StatusRejected {
		t.Errorf("%+v", got)
	}
	close(release)
	if got := sidecartest.Receive(t, "an answer", held); got.status != 200 {
		t.Errorf("%+v", got)
	}
	wants(`svc_success{tier="look\"up"} 3`, `svc_success{tier="reserve"} 1`, `svc_success{tier="charge"} 0`,
		`svc_busy{tier="charge"} 1`, `svc_failure{tier="charge"} 1`, `svc_failure{tier="look\"up"} 0`,
		"svc_inflight 0", "svc_backend_calls 5")
}

// Callers that hold connections and say nothing, or half of a call, shut no other caller out.
func TestManagement_silentCallers(t *testing.T) {
	s := start(t, configtest.Managed(configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), sidecartest.Ready("a", "127.0.0.1:1"))))
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
	if status, _ := s.manage(t, "GET", healthPath); status != 200 || time.Since(startedAt) > config.ManagementTimeout {
		t.Errorf("%d after %v", status, time.Since(startedAt))
	}
}

func TestManagement_InvalidAddress(t *testing.T) {
	c := configtest.NewConf("127.0.0.1:1")
	c["management"] = "nowhere"
	if _, err := c.Load(t); err == nil || !strings.Contains(err.Error(), "management") {
		t.Errorf("an address that cannot be read: %v", err)
	}
	taken, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	c["management"] = taken.Addr().String()
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "management") {
		t.Errorf("an address that is taken: %v", err)
	}
}

func TestManagement_Off(t *testing.T) {
	s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr()))
	if s.ManagementAddr() != "" {
		t.Errorf("it listens at %s", s.ManagementAddr())
	}
}
