package clientserver

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"marblelane/internal/sidecar/sidecartest"
)

// A client's body is slow only if the own deadline ended the read, however long the read took.
func TestBodyErrorIsNotTakenForItsDeadline(t *testing.T) {
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
			body := &pacedBody{body: iotest.ErrReader(test.err), until: func(time.Time) error { return nil }}
			_, err := body.Read(make([]byte, 1))
			if errors.Is(err, errBodySlow) != test.slow || !test.slow && err != test.err {
				t.Errorf("error %v, want one of a slow body: %v", err, test.slow)
			}
		})
	}
}
