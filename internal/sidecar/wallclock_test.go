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

// A server that started behind a step of the wall clock gets a warming up server's part, whichever way the step was.
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
			sidecartest.Until(t, "the list", func() bool { return s.loop.Discovery.Revision.Load() == 41 })
			if err := fault.NewSet(step, 0, "").Write(path); err != nil {
				t.Fatal(err)
			}
			again := b.Target
			again.BootMS = clock.UnixMillis(time.Now().Add(step))
			watch.SendList(t, endpointlist.List{Rev: 42, Targets: []endpointlist.Target{again}})
			sidecartest.Until(t, "the restart", func() bool { return s.loop.Discovery.Revision.Load() == 42 })
			for range 60 {
				if got := s.do(s.request("lookup", time.Second)); got.status != 200 {
					t.Fatalf("%+v", got)
				}
			}
			if n := b.Requests.Load(); n > 15 {
				t.Errorf("%d of 60 requests reached the warming up server, %d the warm one", n, a.Requests.Load())
			}
		})
	}
}
