package sidecartest

import (
	"sync/atomic"
	"testing"
	"time"
)

const (
	Hold          = 150 * time.Millisecond // for which a process may be held up
	NewClientsFor = 400 * time.Millisecond // after SIGTERM
	LateMachine   = 20 * time.Millisecond  // for which this process had no processor: that is a second hold
	MostRounds    = 6                      // of a shutdown on a machine that is late

	// What a client has sent when its sidecar is told to end.
	Resting     = "resting"
	PartialHead = "partial head"
	PartialBody = "partial body"
)

// FollowLag keeps the most that this process's timers were late, in ns, until there is an end.
func FollowLag(most *atomic.Int64, ended func() bool) {
	const step = 2 * time.Millisecond
	for last := time.Now(); !ended(); {
		time.Sleep(step)
		now := time.Now()
		most.Store(max(most.Load(), int64(now.Sub(last)-step)))
		last = now
	}
}

// MachineLag tells how late this process's timers have been since the call: nothing that is timed can be held to less.
func MachineLag(t *testing.T) func() time.Duration {
	t.Helper()
	most := new(atomic.Int64)
	go FollowLag(most, func() bool { return t.Context().Err() != nil })
	return func() time.Duration { return time.Duration(most.Load()) }
}
