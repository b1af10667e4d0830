package clientserver

import (
	"errors"
	"testing"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// Only the time spent waiting for the client counts, and only what it sends buys more.
func TestPacedBody(t *testing.T) {
	var until time.Time
	p := &pacedBody{
		body: sidecartest.Zeros{}, left: 100 * time.Millisecond,
		until: func(t time.Time) error { until = t; return nil },
	}
	p.Read(make([]byte, slowestBody))
	if wait := time.Until(until); wait > 100*time.Millisecond {
		t.Errorf("%v for the first byte", wait)
	}
	p.Read(make([]byte, 1))
	if wait := time.Until(until); wait < time.Second || wait > 1200*time.Millisecond {
		t.Errorf("%v after what takes a second", wait)
	}
	p.waited = 900 * time.Millisecond
	p.Read(make([]byte, 1))
	if wait := time.Until(until); wait > 250*time.Millisecond {
		t.Errorf("%v after 900 ms", wait)
	}
	p.read = inflight.MaxBody
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, errBodyLarge) {
		t.Errorf("above the most: %v", err)
	}
}
