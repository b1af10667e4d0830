package clientserver

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A read is not repeated after an error that is not temporary.
func TestClientConnRead_lastingError(t *testing.T) {
	limiter, client, conn := acceptOne(t, 1)
	reads := 0
	limiter.SetReadCall(func(int, []byte) (int, error) {
		reads++
		return 0, unix.ECONNRESET
	})
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNRESET) || reads != 1 {
		t.Errorf("error %v after %d system calls", err, reads)
	}
}

// A read is not repeated after its deadline.
func TestClientConnRead_deadline(t *testing.T) {
	limiter, _, conn := acceptOne(t, 1)
	reads := 0
	limiter.SetReadCall(func(fd int, p []byte) (int, error) {
		reads++
		return syscall.Read(fd, p)
	})
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() || reads != 1 {
		t.Errorf("error %v after %d system calls", err, reads)
	}
}
