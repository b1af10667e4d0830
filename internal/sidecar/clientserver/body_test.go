package clientserver

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/sidecartest"
)

// Only the time spent waiting for the client counts against its allowance, and only received bytes extend it.
func TestPacedBody_deadlines(t *testing.T) {
	var deadline time.Time
	p := &pacedBody{
		body: sidecartest.ZeroReader{}, allowance: 100 * time.Millisecond,
		setDeadline: func(t time.Time) error { deadline = t; return nil },
	}
	p.Read(make([]byte, minBodyRate))
	if wait := time.Until(deadline); wait > 100*time.Millisecond {
		t.Errorf("deadline for the first byte is in %v", wait)
	}
	p.Read(make([]byte, 1))
	if wait := time.Until(deadline); wait < time.Second || wait > 1200*time.Millisecond {
		t.Errorf("deadline after one second's worth of bytes is in %v", wait)
	}
	p.waited = 900 * time.Millisecond
	p.Read(make([]byte, 1))
	if wait := time.Until(deadline); wait > 250*time.Millisecond {
		t.Errorf("deadline after 900 ms of waiting is in %v", wait)
	}
	p.received = inflight.MaxBody
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, errBodyTooLarge) {
		t.Errorf("read beyond the maximum length: error %v", err)
	}
}

// A read error means that the client is too slow only if the read deadline caused it, however long the read took.
func TestPacedBody_errors(t *testing.T) {
	for _, test := range []struct {
		err  error
		slow bool
	}{
		{sidecartest.OpError("read", syscall.ECONNRESET), false},
		{sidecartest.OpError("read", syscall.ETIMEDOUT), false},
		{sidecartest.OpError("read", syscall.EHOSTUNREACH), false},
		{&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, true},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			body := &pacedBody{body: iotest.ErrReader(test.err), setDeadline: func(time.Time) error { return nil }}
			_, err := body.Read(make([]byte, 1))
			if errors.Is(err, errBodyTooSlow) != test.slow || !test.slow && err != test.err {
				t.Errorf("error %v, want errBodyTooSlow: %v", err, test.slow)
			}
		})
	}
}
