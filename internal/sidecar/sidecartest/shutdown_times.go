package sidecartest

import (
	"sync/atomic"
	"testing"
	"time"
)

// Times and rounds of shutdowns under test.
const (
	StallTime      = 150 * time.Millisecond // for which a process may be held up
	NewClientsTime = 400 * time.Millisecond // after SIGTERM
	MaxMachineLag  = 20 * time.Millisecond  // for which this process had no processor: that is a second hold
	MaxRounds      = 6                      // of a shutdown on a machine that is late
)

// What a client has sent when its sidecar is terminated.
const (
	IdleConn    = "resting"
	PartialHead = "partial head"
	PartialBody = "partial body"
)

// TrackLag records by how many ns this process's timers were late at the most, until ended.
func TrackLag(maxLag *atomic.Int64, ended func() bool) {
	const step = 2 * time.Millisecond
	for last := time.Now(); !ended(); {
		time.Sleep(step)
		now := time.Now()
		maxLag.Store(max(maxLag.Load(), int64(now.Sub(last)-step)))
		last = now
	}
}

// MachineLag gives by how much this process's timers were late since the call: no time limit can be checked closer.
func MachineLag(t *testing.T) func() time.Duration {
	t.Helper()
	maxLag := new(atomic.Int64)
	go TrackLag(maxLag, func() bool { return t.Context().Err() != nil })
	return func() time.Duration { return time.Duration(maxLag.Load()) }
}
