package sidecartest

import (
	"sync/atomic"
	"testing"
	"time"
)

// Times and limits of the shutdown tests.
const (
	StallTime      = 150 * time.Millisecond // time for which a process is stalled at a checkpoint
	NewClientsTime = 400 * time.Millisecond // time after SIGTERM in which new clients connect
	MaxMachineLag  = 20 * time.Millisecond  // a longer lag of the test process counts as a second stall
	MaxRounds      = 6                      // attempts at a shutdown test while the machine lags
)

// What a client has sent when its sidecar is terminated.
const (
	IdleConn    = "idle"
	PartialHead = "partial head"
	PartialBody = "partial body"
)

// TrackLag records the largest delay of this process's timers in ns, until ended returns true.
func TrackLag(maxLag *atomic.Int64, ended func() bool) {
	const step = 2 * time.Millisecond
	for last := time.Now(); !ended(); {
		time.Sleep(step)
		now := time.Now()
		maxLag.Store(max(maxLag.Load(), int64(now.Sub(last)-step)))
		last = now
	}
}

// MachineLag returns a function that returns the largest delay of this process's timers since the call. Time limits
// cannot be checked more precisely than this.
func MachineLag(t *testing.T) func() time.Duration {
	t.Helper()
	maxLag := new(atomic.Int64)
	go TrackLag(maxLag, func() bool { return t.Context().Err() != nil })
	return func() time.Duration { return time.Duration(maxLag.Load()) }
}
