package sidecartest

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// BindAddr returns an address that a socket without a listener keeps bound until the end of the test. A socket option
// other than 0 is set on it; with SO_REUSEPORT other sockets can bind the address as well.
func BindAddr(t *testing.T, option int) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if option != 0 {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	addr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*unix.SockaddrInet4).Port)
}
