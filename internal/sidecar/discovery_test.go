package sidecar

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/discovery"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// When a reload changes the address of the list service, the watch continues at the new address at once, from the
// revision of the current list, and no failure is reported.
func TestDiscovery_addressChange(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.OK)
			before, after := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
			c := configtest.NewConf(before.Addr()).ReplaceSetting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`)
			s := start(t, c, func(s *Sidecar) { s.loop.Discovery.SetTimeouts(discovery.Timeouts{PushedDelay: time.Hour}) }) // one call at a time
			first := sidecartest.Receive(t, "the watch", before.Calls)
			first.SendList(t, endpointlist.List{Rev: 41, All: true})
			sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 41 })

			c["discovery"] = after.Addr()
			path := c.Write(t)
			env := map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": before.Addr()}
			if err := s.Reload(func(name string) string { return env[name] }); err != nil {
				t.Fatal(err)
			}
			second := sidecartest.Receive(t, "the watch at the new address", after.Calls)
			if second.Query != "watch=1&after=41" {
				t.Errorf("query %q", second.Query)
			}
			sidecartest.Receive(t, "the old watch to end", first.Cancelled)
			second.SendList(t, endpointlist.List{Rev: 42, Targets: []endpointlist.Target{b.Target}})
			sidecartest.Until(t, "the change to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 42 })
			if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
				t.Errorf("response %+v, want 200", got)
			}

			if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := s.Reload(func(name string) string { return env[name] }); err == nil {
				t.Error("no error for a file that is not a configuration")
			}
			second.SendLine(t, "") // the watch goes on
			if len(before.Calls)+len(after.Calls) > 0 {
				t.Error("there were more than two calls")
			}
		})
	}
}

// The list in the configuration is used until the list service responds. The first call asks for the changes since that
// list.
func TestDiscovery_configuredList(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	r := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.NewConf(r.Addr(), b.Target))
	if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
		t.Errorf("response %+v, want 200", got)
	}
	if call := sidecartest.Receive(t, "the watch", r.Calls); !strings.HasPrefix(call.Query, "watch=1") {
		t.Errorf("query %q", call.Query)
	}
}

// listWithState returns a list of a, in the given state, and b.
func listWithState(rev int64, a, b *sidecartest.Backend, state string) endpointlist.List {
	first := a.Target
	first.State = state
	return endpointlist.List{Rev: rev, Targets: []endpointlist.Target{first, b.Target}}
}

// A server that drains or was removed gets no new requests, and a server that is added is used.
func TestDiscovery_stateChanges(t *testing.T) {
	a, b := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK)
	r := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.NewConf(r.Addr(), a.Target))
	watch := sidecartest.Receive(t, "the watch", r.Calls)
	rev := int64(1)
	for _, state := range []string{"Terminating", "Ready", "Gone"} {
		rev++
		watch.SendList(t, listWithState(rev, a, b, state))
		watch.SendLine(t, "") // is received only after the line before was written
		sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == rev })
		before := a.Requests.Load()
		for i := range 8 {
			if got := s.do(s.request("charge", time.Second)); got.status != 200 {
				t.Errorf("%s: request %d: %+v", state, i, got)
			}
		}
		if used := a.Requests.Load() > before; used != (state == "Ready") {
			t.Errorf("%s: used: %v", state, used)
		}
	}
	if b.Requests.Load() == 0 {
		t.Error("the new server was not used")
	}
}

// Connections to a server that was restarted, drained, removed or moved are closed when the list arrives, not only when
// they have been idle for too long.
func TestDiscovery_closesOldConnections(t *testing.T) {
	for name, listAfter := range map[string]func(endpointlist.Target) endpointlist.List{
		"restarted": func(s endpointlist.Target) endpointlist.List {
			s.BootMS = float64(time.Now().UnixMilli())
			return endpointlist.List{Rev: 2, Targets: []endpointlist.Target{s}}
		},
		"draining": func(s endpointlist.Target) endpointlist.List {
			s.State = "Terminating"
			return endpointlist.List{Rev: 2, Targets: []endpointlist.Target{s}}
		},
		"gone": func(s endpointlist.Target) endpointlist.List {
			s.State = "Gone"
			return endpointlist.List{Rev: 2, Targets: []endpointlist.Target{s}}
		},
		"moved": func(s endpointlist.Target) endpointlist.List {
			s.Endpoint = "127.0.0.1:1"
			return endpointlist.List{Rev: 2, Targets: []endpointlist.Target{s}}
		},
		"not in the full list": func(endpointlist.Target) endpointlist.List { return endpointlist.List{Rev: 2, All: true} },
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			a := sidecartest.NewBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				if sidecartest.OK(c, r, body) {
					if _, err := c.Read(make([]byte, 1)); err == io.EOF {
						closed <- struct{}{}
					}
				}
				return false
			})
			r := sidecartest.NewFakeDiscovery(t)
			s := start(t, configtest.NewConf(r.Addr(), a.Target))
			watch := sidecartest.Receive(t, "the watch", r.Calls)
			if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
				t.Fatalf("response %+v, want 200", got)
			}
			sentAt := time.Now()
			watch.SendList(t, listAfter(a.Target))
			sidecartest.Receive(t, "the old connection to close", closed)
			if took := time.Since(sentAt); took > 5*time.Second {
				t.Errorf("the connection was closed after %v, want when the list arrives", took)
			}
		})
	}
}

// If lists are pushed the balancer does not poll: the sidecar renews the watch itself.
func TestDiscovery_pushedLists(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	r := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.NewConf(r.Addr()).ReplaceSetting(`"discovery": "subscribe"`, `"discovery": "automatic"`))
	close(sidecartest.Receive(t, "the watch", r.Calls).Lines)
	sidecartest.RespondToAll(t, r, endpointlist.List{Rev: 5, All: true, Targets: []endpointlist.Target{b.Target}})
	sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 5 })
	if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
		t.Errorf("response %+v, want 200", got)
	}
}
