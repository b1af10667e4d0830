package netcall

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/sidecartest"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", sidecartest.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return c.(*net.TCPConn), server
}

// Where the state of a connection cannot be had, or is that of something else, an end is seen as far as peeking shows it. A
// peer that is there is never taken for one that has gone.
func TestPeerGone(t *testing.T) {
	type call = func(int) (uint8, error)
	unknown := func(int) (uint8, error) { return 0, syscall.ENOPROTOOPT }
	wrong := func(int) (uint8, error) { return unix.BPF_TCP_CLOSE, nil }
	nothing := func(int) (uint8, error) { return 0, nil }
	for name, test := range map[string]struct {
		call   call
		behind bool // an end behind unread bytes is seen
	}{
		"known":                 {tcpState, true},
		"unknown":               {unknown, false},
		"about something else":  {wrong, false},
		"answered with nothing": {nothing, false},
	} {
		for how, end := range sidecartest.Ends {
			for _, unread := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, unread %v", name, how, unread), func(t *testing.T) {
					states := &ConnStateReader{Query: test.call}
					client, server := tcpPair(t)
					states.VerifyQuery(server)
					if states.PeerClosed(server) {
						t.Fatal("a client that is there has gone")
					}
					if unread {
						if _, err := io.WriteString(client, "x"); err != nil {
							t.Fatal(err)
						}
						sidecartest.Until(t, "a byte", func() bool { _, unread := Peek(server); return unread })
						if states.PeerClosed(server) {
							t.Fatal("a client that has sent something has gone")
						}
					}
					end(client)
					sidecartest.Until(t, "the end to arrive", func() bool {
						state, err := NewConnStateReader().State(server)
						return err == nil && state != unix.BPF_TCP_ESTABLISHED
					})
					want := test.behind || !unread
					if got := states.PeerClosed(server); got != want {
						t.Errorf("gone: %v, want %v", got, want)
					}
				})
			}
		}
	}
	if client, _ := net.Pipe(); NewConnStateReader().PeerClosed(client) {
		t.Error("what is no connection of the system has gone")
	}
}
