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

// What does not heal, and a deadline, end a read at once.
func TestReadThatFailsForGood(t *testing.T) {
	r, client, g := accepted(t, 1)
	tried := 0
	r.Read = func(int, []byte) (int, error) {
		tried++
		return 0, unix.ECONNRESET
	}
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := g.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNRESET) || tried != 1 {
		t.Errorf("%v after %d reads", err, tried)
	}
}

func TestReadEndsAtItsDeadline(t *testing.T) {
	r, _, g := accepted(t, 1)
	var tried int
	r.Read = func(fd int, p []byte) (int, error) {
		tried++
		return syscall.Read(fd, p)
	}
	if err := g.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var late net.Error
	if _, err := g.Read(make([]byte, 1)); !errors.As(err, &late) || !late.Timeout() || tried != 1 {
		t.Errorf("%v after %d reads", err, tried)
	}
}
