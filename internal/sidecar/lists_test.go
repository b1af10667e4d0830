package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// withLists adds list services to a configuration.
func withLists(c configtest.Conf, addrs ...string) configtest.Conf {
	var lists []map[string]any
	for _, a := range addrs {
		lists = append(lists, map[string]any{"addr": a})
	}
	c["lists"], c["list_doubt_share"], c["list_stale_ms"] = lists, 0.3, 5000
	return c
}

// The second list service is watched once the first fails. Its list is not accepted while it is older than the current
// one. A server that a newer list leaves out stays in use while it responds. The metrics show both.
func TestListServices_failover(t *testing.T) {
	a, b, c := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK), sidecartest.NewBackend(t, "c", sidecartest.OK)
	near, far := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
	cfg := withLists(configtest.NewConf(near.Addr()), near.Addr(), far.Addr())
	cfg["management"] = sidecartest.Loopback
	s := start(t, cfg)
	watch := sidecartest.Receive(t, "the watch", near.Calls)
	watch.SendList(t, endpointlist.List{Rev: 41, All: true, Targets: []endpointlist.Target{a.Target, b.Target, c.Target}})
	sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 41 })
	close(watch.Lines)
	second := sidecartest.Receive(t, "the watch at the second list service", far.Calls)
	if second.Query != "watch=1&after=41" {
		t.Errorf("query %q", second.Query)
	}
	second.SendList(t, endpointlist.List{Rev: 40, All: true})
	third := sidecartest.Receive(t, "the next attempt", near.Calls)
	awaitMetric := func(want string) {
		t.Helper()
		sidecartest.Until(t, want, func() bool {
			_, text := s.requestManagement(t, "GET", statsPath)
			return strings.Contains(text, want+"\n")
		})
	}
	awaitMetric("svc_list_refused 1")
	awaitMetric("svc_hosts_listed 3")
	third.SendList(t, endpointlist.List{Rev: 42, All: true, Targets: []endpointlist.Target{c.Target}})
	awaitMetric("svc_list_revision 42")
	awaitMetric("svc_hosts_doubted 2")
	awaitMetric("svc_list_refused 0")
	for range 6 {
		if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
			t.Errorf("response %+v, want 200", got)
		}
	}
	removed := a.Target
	removed.State = "Gone"
	third.SendList(t, endpointlist.List{Rev: 43, Targets: []endpointlist.Target{removed}})
	awaitMetric("svc_hosts_doubted 1")
}

// An invalid entry does not affect the rest of the list.
func TestListServices_badEntries(t *testing.T) {
	good, dup := sidecartest.NewBackend(t, "good", sidecartest.OK), sidecartest.NewBackend(t, "dup", sidecartest.OK)
	r := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.NewConf(r.Addr()))
	watch := sidecartest.Receive(t, "the watch", r.Calls)
	watch.SendList(t, endpointlist.List{Rev: 41, All: true, Targets: []endpointlist.Target{
		{UID: "x", Endpoint: "nowhere", State: "Ready"}, {UID: "y", Endpoint: ":0", State: "Ready"}, {UID: "", State: "Ready"},
		{UID: "z", Endpoint: "127.0.0.1:1", State: "Sleeping"}, {UID: "twin", Endpoint: dup.Target.Endpoint, State: "Ready", BootMS: 1},
		{UID: "v", Endpoint: "127.0.0.1:99999", State: "Ready"}, dup.Target, good.Target,
	}})
	sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 41 })
	var used []string
	for _, uid := range []string{"x", "y", "z", "v", "", "twin", "dup", "good"} {
		if _, ok := s.loop.Balancer().UsableServer(endpointlist.ServerID(uid)); ok { // the loop is idle, as no request has been sent yet
			used = append(used, uid)
		}
	}
	if fmt.Sprint(used) != "[twin good]" { // of two UIDs with the same address the one that started later is used
		t.Errorf("servers in use: %v, want [twin good]", used)
	}
	for range 4 {
		if got := s.do(s.request("lookup", time.Second)); got.status != http.StatusOK {
			t.Errorf("response %+v, want 200", got)
		}
	}
}

// A reload may change the number of list services.
func TestListServices_reload(t *testing.T) {
	b := sidecartest.NewBackend(t, "a", sidecartest.OK)
	one, two := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
	c := withLists(configtest.NewConf(one.Addr(), b.Target), one.Addr())
	s := start(t, c)
	first := sidecartest.Receive(t, "the watch", one.Calls)
	first.SendList(t, endpointlist.List{Rev: 5, All: true, Targets: []endpointlist.Target{b.Target}})
	sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 5 })
	path := withLists(c, two.Addr(), one.Addr()).Write(t)
	if err := s.Reload(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }); err != nil {
		t.Fatal(err)
	}
	watch := sidecartest.Receive(t, "the watch at the new first address", two.Calls)
	if watch.Query != "watch=1&after=5" {
		t.Errorf("query %q", watch.Query)
	}
	close(watch.Lines)
	sidecartest.Receive(t, "the watch at the new second address", one.Calls)
}
