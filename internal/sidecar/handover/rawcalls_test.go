package handover

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// failingConn fails reads and writes with the error that failure returns, until failure returns nil.
type failingConn struct {
	net.Conn
	failure func() error
}

func (c failingConn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c failingConn) Write(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Messages between the two processes of an upgrade arrive even if system calls fail temporarily.
func TestHandover_transientFailures(t *testing.T) {
	for _, errno := range sidecartest.ResourceErrnos {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			one, other := net.Pipe()
			go func() {
				netcall.RetryingConn{Conn: failingConn{one, sidecartest.FailFirst(3, errno)}}.Write([]byte{servingByte})
				one.Close()
			}()
			words, err := io.ReadAll(netcall.RetryingConn{Conn: failingConn{other, sidecartest.FailFirst(3, errno)}})
			if err != nil || string(words) != string(servingByte) {
				t.Errorf("%q, %v", words, err)
			}
		})
	}
}

// A message that the kernel has truncated, because this process has reached its limit of descriptors, fails with
// EMFILE, so that the start requests it again. A message without exactly one descriptor fails without EMFILE, and is
// not requested again.
func TestReceivedListener_Invalid(t *testing.T) {
	if _, err := receivedListener(nil, unix.MSG_CTRUNC); !errors.Is(err, errNoListener) || !errors.Is(err, unix.EMFILE) ||
		!strings.Contains(err.Error(), "truncated") {
		t.Errorf("truncated: %v", err)
	}
	one := unix.UnixRights(0)
	for name, rights := range map[string][]byte{"nothing": nil, "half": one[:len(one)/2], "two": unix.UnixRights(0, 0)} {
		_, err := receivedListener(rights, 0)
		if !errors.Is(err, errNoListener) || errors.Is(err, unix.EMFILE) || strings.Contains(err.Error(), "truncated") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
