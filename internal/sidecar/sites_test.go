package sidecar

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// otherSettings are the settings of a site that has nothing in common with the site of testSettings.
const otherSettings = `{
 "classes": [{"name": "search", "effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 2000, "worth": 1},
  {"name": "lookup", "effect": "non_idempotent", "on_time_ms": 300, "hard_limit_ms": 2000, "worth": 5}],
 "tenants": [{"name": "hort", "share": 0.5, "allowance_per_s": 50}, {"name": "krippe", "share": 0.5, "allowance_per_s": 50}],
 "zones": ["p", "q"], "zone": 1, "kinds": ["m"], "quantum_ms": 1,
 "limits": {"cancel": false, "conn_idle_ms": 4000, "connect_timeout_ms": 200, "max_attempts": 2},
 "rules": {"answer_slack_ms": 20, "cold_from": 0.5, "cold_ms": 9000, "drain_grace_ms": 2000, "fall_ms": 1000, "fall_multiple": 4}}`

// site is a deployment with its own server and settings. A sidecar of it must not know the names of the other site.
type site struct {
	conf    configtest.Conf
	backend *sidecartest.Backend
	class   string
	tenant  string
	foreign map[string]string // by header: a value that only the settings of the other site define
}

// twoSites returns two sites whose servers have the same UID.
func twoSites(t *testing.T) []*site {
	a, b := sidecartest.NewBackend(t, "same-uid", sidecartest.OK), sidecartest.NewBackend(t, "same-uid", sidecartest.OK) // one UID, two servers
	first, second := configtest.NewConf("127.0.0.1:1", a.Target), configtest.NewConf("127.0.0.1:1", b.Target)
	second["settings"] = json.RawMessage(otherSettings)
	second["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 128}
	for _, c := range []configtest.Conf{first, second} {
		c["management"] = sidecartest.Loopback
	}
	return []*site{
		{first, a, "reserve", "kita", map[string]string{"X-Priority-Class": "search", "X-Tenant-Id": "hort"}},
		{second, b, "search", "hort", map[string]string{"X-Priority-Class": "reserve", "X-Tenant-Id": "kita"}},
	}
}

func (s *site) request(r *running, header, value string) *http.Request {
	req := r.request("lookup", time.Second)
	req.Header.Set("X-Priority-Class", s.class)
	req.Header.Set("X-Tenant-Id", s.tenant)
	if s.class == "reserve" {
		req.Method = http.MethodPost
		req.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	if header != "" {
		req.Header.Set(header, value)
	}
	return req
}

// checkIsolated checks a sidecar of the site: its requests are served by its own server, requests with the class of the
// other site are malformed, and its metrics list only its own classes.
func (s *site) checkIsolated(t *testing.T, r *running) {
	t.Helper()
	const requests = 20
	before := s.backend.Requests.Load()
	for range requests {
		if got := r.do(s.request(r, "", "")); got.status != http.StatusOK {
			t.Errorf("%s: %+v", s.class, got)
		}
	}
	if got := s.backend.Requests.Load() - before; got != requests {
		t.Errorf("%s: the server of the site got %d of %d requests", s.class, got, requests)
	}
	class := s.foreign["X-Priority-Class"]
	if got := r.do(s.request(r, "X-Priority-Class", class)); got.status/100 != 4 {
		t.Errorf("the other site's class %s: %+v", class, got)
	}
	if _, known := r.cfg.Tenants[s.foreign["X-Tenant-Id"]]; known {
		t.Errorf("the site of %s knows the tenant of the other site", s.class)
	}
	_, text := r.requestManagement(t, "GET", statsPath)
	if strings.Contains(text, s.foreign["X-Priority-Class"]) || !strings.Contains(text, s.class) {
		t.Errorf("the metrics of the site of %s: %s", s.class, text)
	}
}

// Two sidecars of different sites run in one program, one after the other and at the same time. They share no state: no
// class, tenant, limit, server or metric, although their servers have the same UID.
func TestSites_Independent(t *testing.T) {
	t.Run("one after the other", func(t *testing.T) {
		sites := twoSites(t)
		for i := range 4 {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				s := start(t, sites[i%2].conf)
				metric := fmt.Sprintf("svc_success{tier=%q} 0\n", sites[i%2].class)
				if _, text := s.requestManagement(t, "GET", statsPath); !strings.Contains(text, metric) || !strings.Contains(text, "svc_backend_calls 0\n") {
					t.Errorf("the metrics do not start at 0: %s", text)
				}
				sites[i%2].checkIsolated(t, s)
			})
		}
	})
	t.Run("side by side", func(t *testing.T) {
		sites := twoSites(t)
		running := []*running{start(t, sites[0].conf), nil}
		sites[0].checkIsolated(t, running[0]) // open its connections before start counts the goroutines for the other sidecar
		running[1] = start(t, sites[1].conf)
		var work sync.WaitGroup
		for i, s := range sites {
			work.Go(func() { s.checkIsolated(t, running[i]) })
		}
		work.Wait()
		if a, b := running[0].budget, running[1].budget; a == b || a.clients <= b.clients {
			t.Errorf("budgets for 1,024 and for 128 sockets: %+v, %+v", a, b)
		}
		if a, b := running[0].loop.Discovery.Timeouts().PushedDelay, running[1].loop.Discovery.Timeouts().PushedDelay; a == b {
			t.Errorf("drain graces of 250 ms and 2 s yield the same delay of pushed lists %v", a)
		}
	})
}

// A sidecar starts and serves with every setting at the limits of its range.
func TestSites_extremeSettings(t *testing.T) {
	many := make([]string, 60)
	for i := range many {
		many[i] = fmt.Sprintf(`{"name": "extra%d", "effect": "read_like", "on_time_ms": %d, "hard_limit_ms": %d}`, i, 100+i, 1000+i)
	}
	set := func(old, to string) func(configtest.Conf) {
		return func(c configtest.Conf) { c.ReplaceSetting(old, to) }
	}
	for name, changes := range map[string][]func(configtest.Conf){
		"short objective and deadline": {set(`"on_time_ms": 750, "hard_limit_ms": 2500`, `"on_time_ms": 20, "hard_limit_ms": 50`),
			set(`"on_time_ms": 500, "hard_limit_ms": 1000`, `"on_time_ms": 20, "hard_limit_ms": 50`),
			set(`"on_time_ms": 500, "hard_limit_ms": 1000`, `"on_time_ms": 20, "hard_limit_ms": 50`)},
		"long objective and deadline": {set(`"on_time_ms": 750, "hard_limit_ms": 2500`, `"on_time_ms": 20000, "hard_limit_ms": 60000`),
			set(`"on_time_ms": 500, "hard_limit_ms": 1000`, `"on_time_ms": 20000, "hard_limit_ms": 60000`)},
		"unlimited deadline":             {set(`"hard_limit_ms": 2500`, `"hard_limit_ms": 1e300`)},
		"window shorter than an attempt": {set(`"window_ms": 2000`, `"window_ms": 1`)},
		"no window":                      {set(`"window_ms": 2000`, `"window_ms": 0`)},
		"zero quantum":                   {set(`"quantum_ms": 2`, `"quantum_ms": 0`)},
		"long quantum":                   {set(`"quantum_ms": 2`, `"quantum_ms": 500`)},
		"no idle connections":            {set(`"conn_idle_ms": 10000`, `"conn_idle_ms": 0`)},
		"unlimited idle time":            {set(`"conn_idle_ms": 10000`, `"conn_idle_ms": 1e300`)},
		"no connect timeout":             {set(`"connect_timeout_ms": 100, `, ``)},
		"one attempt":                    {set(`"max_attempts": 6`, `"max_attempts": 1`)},
		"no attempt limit":               {set(`"max_attempts": 6, `, ``)},
		"one request open":               {set(`"open_cap": 20000`, `"open_cap": 1`)},
		"fewest sockets":                 {func(c configtest.Conf) { c["limits"] = map[string]any{"sockets": config.MinSockets, "memory_mb": 32} }},
		"no limits":                      {func(c configtest.Conf) { delete(c, "limits") }},
		"a hundredth of a core, 1 MB":    {func(c configtest.Conf) { c["limits"] = map[string]any{"cores": 0.01, "memory_mb": 1, "sockets": 1024} }},
		"no tenants":                     {set(`"tenants": [{"name": "kita", "share": 1, "allowance_per_s": 100}],`, ``)},
		"no zones":                       {set(`"zones": ["z"], `, ``)},
		"a zone without name":            {set(`"zones": ["z"], `, `"zones": ["z"], "zone": 7, `)},
		"many classes":                   {set(`"classes": [`, `"classes": [`+strings.Join(many, ",")+`,`)},
		"no rules":                       {set(`"rules": {"answer_slack_ms": 8, "ask_within_ms": 10000, "cold_from": 0.12, "cold_ms": 24000,`+"\n"+`  "drain_grace_ms": 250, "fall_ms": 3000, "fall_multiple": 2.5}`, `"rules": {}`)},
		"no drain grace, polled lists":   {set(`"drain_grace_ms": 250`, `"drain_grace_ms": 0`)},
		"pushed, a grace of a minute":    {set(`"drain_grace_ms": 250`, `"drain_grace_ms": 60000`), set(`"discovery": "subscribe"`, `"discovery": "automatic"`)},
		"no reports and no probes":       {set(`"report": {"via": "piggyback", "fields": ["busy", "rate"]},`, ``), set(`"probes": true`, `"probes": false`)},
	} {
		t.Run(name, func(t *testing.T) {
			b, r := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewDrainedDiscovery(t)
			c := configtest.NewConf(r.Addr(), b.Target)
			for _, change := range changes {
				change(c)
			}
			s := start(t, c)
			for _, class := range []string{"lookup", "reserve", "charge", "lookup"} {
				if got := s.do(s.request(class, 5*time.Second)); got.status != http.StatusOK && got.status != inflight.StatusTimedOut && got.status != inflight.StatusRejected {
					t.Errorf("%s: %+v", class, got)
				}
			}
			served := 0
			for range 20 { // on a busy machine a deadline of 50 ms may be missed
				if s.do(s.request("lookup", 5*time.Second)).status == http.StatusOK {
					served++
				}
			}
			if served == 0 {
				t.Error("none of 20 requests was served")
			}
		})
	}
}
