package sidecar

import (
	"strconv"
	"testing"

	"marblelane/internal/sidecar/checkpoint"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// holdAt returns a hook that blocks each caller at a checkpoint until the barrier is released.
func holdAt(at checkpoint.Checkpoint, barrier *sidecartest.Barrier) checkpoint.Hook {
	return func(c checkpoint.Checkpoint) {
		if c == at {
			barrier.Pass()
		}
	}
}

// If a client closes its connection while its attempt is held up before the first byte, the attempt notices that and
// sends nothing.
func TestHeldUp_clientLeaves(t *testing.T) {
	for name, body := range map[string]string{"held": "", "forwarded": string(sidecartest.PatternBody(inflight.MaxHeldBody / 2))} {
		for _, at := range []checkpoint.Checkpoint{checkpoint.AttemptDecided, checkpoint.ClockRead} {
			t.Run(name+", "+string(at), func(t *testing.T) {
				b, held := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBarrier()
				s := start(t, configtest.NewConf(sidecartest.NewFakeDiscovery(t).Addr(), b.Target), func(s *Sidecar) {
					s.setClientPoll(noClientPoll)
					s.loop.Pool.SetHook(holdAt(at, held))
				})
				t.Cleanup(held.Release)
				if body != "" {
					s.clients.SetBodyMemory(0) // only inflight.MinHeldBody of a body is held
				}
				client := s.newLeavingClient(t, "charge", "HTTP/1.1", "Content-Length: "+strconv.Itoa(len(body))+"\r\n", body)
				held.WaitFor(t, 1)
				client.leave(sidecartest.CloseMethods["close"])
				held.Release()
				s.expectNothingSent(t, b)
			})
		}
	}
}

// A server that starts to drain while an attempt to it is held up does not get the request; another server does.
func TestHeldUp_serverDrains(t *testing.T) {
	a, b, held := sidecartest.NewBackend(t, "a", sidecartest.OK), sidecartest.NewBackend(t, "b", sidecartest.OK), sidecartest.NewBarrier()
	registry := sidecartest.NewFakeDiscovery(t)
	s := start(t, configtest.NewConf(registry.Addr(), a.Target), func(s *Sidecar) {
		s.loop.Pool.SetHook(holdAt(checkpoint.AttemptDecided, held))
	})
	t.Cleanup(held.Release)
	watch := sidecartest.Receive(t, "the watch", registry.Calls)
	done := s.goDo(s.request("charge", sidecartest.WaitTimeout))
	held.WaitFor(t, 1)
	watch.SendList(t, listWithState(2, a, b, "Terminating"))
	watch.SendLine(t, "") // is received only after the line before was written
	sidecartest.Until(t, "the list to be applied", func() bool { return s.loop.Discovery.Revision.Load() == 2 })
	held.Release()
	if got := sidecartest.Receive(t, "the response", done); got.status != 200 {
		t.Errorf("response %+v, want 200", got)
	}
	if n, m := a.Requests.Load(), b.Requests.Load(); n != 0 || m != 1 {
		t.Errorf("the draining server got %d requests, the other one %d", n, m)
	}
}
