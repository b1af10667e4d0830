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

// otherSettings are of a site with nothing in common with that of testSettings.
const otherSettings = `{
 "classes": [{"name": "search", "effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 2000, "worth": 1},
  {"name": "lookup", "effect": "non_idempotent", "on_time_ms": 300, "hard_limit_ms": 2000, "worth": 5}],
 "tenants": [{"name": "hort", "share": 0.5, "allowance_per_s": 50}, {"name": "krippe", "share": 0.5, "allowance_per_s": 50}],
 "zones": ["p", "q"], "zone": 1, "kinds": ["m"], "quantum_ms": 1,
 "limits": {"cancel": false, "conn_idle_ms": 4000, "connect_timeout_ms": 200, "max_attempts": 2},
 "rules": {"answer_slack_ms": 20, "cold_from": 0.5, "cold_ms": 9000, "drain_grace_ms": 2000, "fall_ms": 1000, "fall_multiple": 4}}`

// site is a deployment with a server of its own, and what of the other one it must not know.
type site struct {
	conf    configtest.Conf
	backend *sidecartest.Backend
	class   string
	tenant  string
	foreign map[string]string // header and value that only the other site's settings name
}

func twoSites(t *testing.T) []*site {
	a, b := sidecartest.NewBackend(t, "same-uid", sidecartest.OK), sidecartest.NewBackend(t, "same-uid", sidecartest.OK) // one name, two servers
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

func (p *site) request(s *running, header, value string) *http.Request {
	req := s.request("lookup", time.Second)
	req.Header.Set("X-Priority-Class", p.class)
	req.Header.Set("X-Tenant-Id", p.tenant)
	if p.class == "reserve" {
		req.Method = http.MethodPost
		req.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	if header != "" {
		req.Header.Set(header, value)
	}
	return req
}

// check plays a sidecar of the site: its own requests are served by its own server, the other site's class is none here,
// and its figures begin at nothing and know only its own classes.
func (p *site) check(t *testing.T, s *running) {
	t.Helper()
	const requests = 20
	before := p.backend.Requests.Load()
	for range requests {
		if got := s.do(p.request(s, "", "")); got.status != http.StatusOK {
			t.Errorf("%s: %+v", p.class, got)
		}
	}
	if got := p.backend.Requests.Load() - before; got != requests {
		t.Errorf("%s: its own server got %d of %d requests", p.class, got, requests)
	}
	class := p.foreign["X-Priority-Class"]
	if got := s.do(p.request(s, "X-Priority-Class", class)); got.status/100 != 4 {
		t.Errorf("the other site's class %s: %+v", class, got)
	}
	if _, known := s.cfg.Tenants[p.foreign["X-Tenant-Id"]]; known {
		t.Errorf("%s knows the other site's tenant", p.class)
	}
	_, text := s.manage(t, "GET", statsPath)
	if strings.Contains(text, p.foreign["X-Priority-Class"]) || !strings.Contains(text, p.class) {
		t.Errorf("the figures of the site of %s: %s", p.class, text)
	}
}

// Two sidecars of different sites in one program, one after the other and at the same time, have nothing of each other:
// no class, tenant, limit, server or figure, though a server of each has the other's name.
func TestSites_Independent(t *testing.T) {
	t.Run("one after the other", func(t *testing.T) {
		sites := twoSites(t)
		for i := range 4 {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				s := start(t, sites[i%2].conf)
				figure := fmt.Sprintf("svc_success{tier=%q} 0\n", sites[i%2].class)
				if _, text := s.manage(t, "GET", statsPath); !strings.Contains(text, figure) || !strings.Contains(text, "svc_backend_calls 0\n") {
					t.Errorf("it does not begin at nothing: %s", text)
				}
				sites[i%2].check(t, s)
			})
		}
	})
	t.Run("side by side", func(t *testing.T) {
		sites := twoSites(t)
		running := []*running{start(t, sites[0].conf), nil}
		sites[0].check(t, running[0]) // its connections are there before the goroutines of the other are counted
		running[1] = start(t, sites[1].conf)
		var work sync.WaitGroup
		for i, p := range sites {
			work.Go(func() { p.check(t, running[i]) })
		}
		work.Wait()
		if a, b := running[0].budget, running[1].budget; a == b || a.clients <= b.clients {
			t.Errorf("limits of 1,024 and of 128 sockets: %+v, %+v", a, b)
		}
		if a, b := running[0].loop.Discovery.Timeouts().PushedDelay, running[1].loop.Discovery.Timeouts().PushedDelay; a == b {
			t.Errorf("drain graces of 250 ms and 2 s give the same lag %v", a)
		}
	})
}

// A sidecar starts and serves with every figure at its ends.
func TestSites_extremeSettings(t *testing.T) {
	many := make([]string, 60)
	for i := range many {
		many[i] = fmt.Sprintf(`{"name": "extra%d", "effect": "read_like", "on_time_ms": %d, "hard_limit_ms": %d}`, i, 100+i, 1000+i)
	}
	set := func(old, to string) func(configtest.Conf) { return func(c configtest.Conf) { c.Setting(old, to) } }
	for name, changes := range map[string][]func(configtest.Conf){
		"short objective and deadline": {set(`"on_time_ms": 750, "hard_limit_ms": 2500`, `"on_time_ms": 20, "hard_limit_ms": 50`),
			set(`"on_time_ms": 500, "hard_limit_ms": 1000`, `"on_time_ms": 20, "hard_limit_ms": 50`),
			set(`"on_time_ms": 500, "hard_limit_ms": 1000`, `"on_time_ms": 20, "hard_limit_ms": 50`)},
		"long objective and deadline": {set(`"on_time_ms": 750, "hard_limit_ms": 2500`, `"on_time_ms": 20000, "hard_limit_ms": 60000`),
			set(`"on_time_ms": 500, "hard_limit_ms": 1000`, `"on_time_ms": 20000, "hard_limit_ms": 60000`)},
		"deadline beyond all":            {set(`"hard_limit_ms": 2500`, `"hard_limit_ms": 1e300`)},
		"window shorter than an attempt": {set(`"window_ms": 2000`, `"window_ms": 1`)},
		"no window":                      {set(`"window_ms": 2000`, `"window_ms": 0`)},
		"quantum of nothing":             {set(`"quantum_ms": 2`, `"quantum_ms": 0`)},
		"long quantum":                   {set(`"quantum_ms": 2`, `"quantum_ms": 500`)},
		"no idle connections":            {set(`"conn_idle_ms": 10000`, `"conn_idle_ms": 0`)},
		"connections idle for ever":      {set(`"conn_idle_ms": 10000`, `"conn_idle_ms": 1e300`)},
		"no word on connecting":          {set(`"connect_timeout_ms": 100, `, ``)},
		"one attempt":                    {set(`"max_attempts": 6`, `"max_attempts": 1`)},
		"no attempts named":              {set(`"max_attempts": 6, `, ``)},
		"one request open":               {set(`"open_cap": 20000`, `"open_cap": 1`)},
		"fewest sockets":                 {func(c configtest.Conf) { c["limits"] = map[string]any{"sockets": config.MinSockets, "memory_mb": 32} }},
		"no limits":                      {func(c configtest.Conf) { delete(c, "limits") }},
		"a hundredth of a core, 1 MB":    {func(c configtest.Conf) { c["limits"] = map[string]any{"cores": 0.01, "memory_mb": 1, "sockets": 1024} }},
		"no tenants":                     {set(`"tenants": [{"name": "kita", "share": 1, "allowance_per_s": 100}],`, ``)},
		"no zones":                       {set(`"zones": ["z"], `, ``)},
		"a zone of no name":              {set(`"zones": ["z"], `, `"zones": ["z"], "zone": 7, `)},
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
				t.Error("none of 20 requests is served")
			}
		})
	}
}
