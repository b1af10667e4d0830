package sidecar

import (
	"os"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// If the configuration file is unusable, Reload changes nothing: the watch of the list service goes on and no call is
// made to the new address. The error names the file.
func TestReload_BadFile(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			b, r, other := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
			c := configtest.NewConf(r.Addr(), b.Target).ReplaceSetting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`)
			s := start(t, c, func(s *Sidecar) { s.loop.Discovery.SetTimeouts(discovery.Timeouts{PushedDelay: time.Hour}) })
			watch := sidecartest.Receive(t, "the watch", r.Calls)
			c["discovery"] = other.Addr()
			path := c.Write(t)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			reload := func() error {
				return s.Reload(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] })
			}
			bad := map[string]string{
				"half written": string(text[:len(text)/2]), "empty": "", "no discovery": strings.Replace(string(text), `"discovery":"127`, `"x":"127`, 1),
				"invalid port": strings.Replace(string(text), other.Addr(), "127.0.0.1:99999", 1),
				"wrong type":   strings.Replace(string(text), `"`+other.Addr()+`"`, "5", 1),
			}
			for name, text := range bad {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				if err := reload(); err == nil || !strings.Contains(err.Error(), path) {
					t.Errorf("%s: error %v, want one that names the file", name, err)
				}
			}
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			if err := reload(); err == nil || !strings.Contains(err.Error(), path) {
				t.Errorf("missing: error %v, want one that names the file", err)
			}
			rev := int64(41)
			watch.SendList(t, endpointlist.List{Rev: rev, Targets: []endpointlist.Target{b.Target}}) // the first watch goes on
			sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == rev })
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := reload(); err != nil {
				t.Fatal(err)
			}
			if call := sidecartest.Receive(t, "the call after a complete file", other.Calls); call.Query != "watch=1&after=41" {
				t.Errorf("query %q", call.Query)
			}
			if len(r.Calls)+len(other.Calls) > 0 {
				t.Error("reloading an unusable file made a call to a list service")
			}
		})
	}
}

// After two concurrent reloads, and after one more that returns to the first address, there is exactly one watch, at the
// address of the last reload.
func TestReload_Repeated(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			first, second, third := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
			c := configtest.NewConf(first.Addr()).ReplaceSetting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`)
			s := start(t, c, func(s *Sidecar) { s.loop.Discovery.SetTimeouts(discovery.Timeouts{PushedDelay: time.Hour}) })
			started := sidecartest.Receive(t, "the watch, before any response", first.Calls)
			paths := map[*sidecartest.FakeDiscovery]string{}
			for _, r := range []*sidecartest.FakeDiscovery{first, second, third} {
				paths[r] = withDiscovery(c, r.Addr()).Write(t)
			}
			reload := func(r *sidecartest.FakeDiscovery) error {
				path := paths[r]
				return s.Reload(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] })
			}
			ended := make(chan error, 2)
			for _, r := range []*sidecartest.FakeDiscovery{second, third} {
				go func() { ended <- reload(r) }()
			}
			for range 2 {
				if err := sidecartest.Receive(t, "the reloads", ended); err != nil {
					t.Fatal(err)
				}
			}
			sidecartest.Receive(t, "the watch at the first address to end", started.Cancelled)
			if err := reload(first); err != nil {
				t.Fatal(err)
			}
			back := sidecartest.Receive(t, "the watch back at the first address", first.Calls)
			back.SendList(t, endpointlist.List{Rev: 9, All: true})
			sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 9 })
			for _, r := range []*sidecartest.FakeDiscovery{second, third} {
				for len(r.Calls) > 0 {
					sidecartest.Receive(t, "calls to the other addresses to end", (<-r.Calls).Cancelled)
				}
			}
			if len(first.Calls) > 0 {
				t.Error("there is a second watch at the first address")
			}
		})
	}
}

// withDiscovery returns a copy of c with another address of the list service.
func withDiscovery(c configtest.Conf, addr string) configtest.Conf {
	changed := configtest.Conf{}
	for key, value := range c {
		changed[key] = value
	}
	changed["discovery"] = addr
	return changed
}
