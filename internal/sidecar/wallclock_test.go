package sidecar

import (
	"path/filepath"
	"testing"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/sidecar/clock"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// Lists state the start times of servers in wall-clock time. A server that starts after a step of the wall clock,
// forward or back, still gets only the share of a server that is warming up.
func TestClockStep_SlowStart(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -30 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			a, b := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK)
			reg := sidecartest.NewFakeDiscovery(t)
			path := filepath.Join(t.TempDir(), "faults.toml")
			conf := configtest.NewConf(reg.Addr())
			conf["faults"] = path
			s := start(t, conf)
			watch := sidecartest.Receive(t, "the watch", reg.Calls)
			watch.SendList(t, endpointlist.List{Rev: 41, All: true, Targets: []endpointlist.Target{a.Target, b.Target}})
			sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 41 })
			if err := fault.NewConfig(step, 0, "").Write(path); err != nil {
				t.Fatal(err)
			}
			restarted := b.Target
			restarted.BootMS = clock.UnixMillis(time.Now().Add(step))
			watch.SendList(t, endpointlist.List{Rev: 42, Targets: []endpointlist.Target{restarted}})
			sidecartest.Until(t, "the restart to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 42 })
			for range 60 {
				if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
					t.Fatalf("response %+v, want 200", got)
				}
			}
			if n := b.Requests.Load(); n > 15 {
				t.Errorf("%d of 60 requests reached the server that is warming up, %d the other one", n, a.Requests.Load())
			}
		})
	}
}
