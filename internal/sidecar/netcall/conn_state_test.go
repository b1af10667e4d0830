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

// If the state of a connection is not available, or the query returns unrelated data, a close is detected as far as a
// peek shows it. An open connection is never reported as closed.
func TestPeerClosed(t *testing.T) {
	type query = func(int) (uint8, error)
	notSupported := func(int) (uint8, error) { return 0, syscall.ENOPROTOOPT }
	unrelated := func(int) (uint8, error) { return unix.BPF_TCP_CLOSE, nil }
	noState := func(int) (uint8, error) { return 0, nil }
	for name, test := range map[string]struct {
		query        query
		behindUnread bool // a close behind unread bytes is detected
	}{
		"state":           {tcpState, true},
		"not supported":   {notSupported, false},
		"unrelated state": {unrelated, false},
		"no state":        {noState, false},
	} {
		for how, end := range sidecartest.CloseMethods {
			for _, unread := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, unread %v", name, how, unread), func(t *testing.T) {
					states := &ConnStateReader{Query: test.query}
					client, server := tcpPair(t)
					states.VerifyQuery(server)
					if states.PeerClosed(server) {
						t.Fatal("an open connection is reported as closed")
					}
					if unread {
						if _, err := io.WriteString(client, "x"); err != nil {
							t.Fatal(err)
						}
						sidecartest.Until(t, "a byte", func() bool { _, unread := Peek(server); return unread })
						if states.PeerClosed(server) {
							t.Fatal("an open connection with unread bytes is reported as closed")
						}
					}
					end(client)
					sidecartest.Until(t, "the close to arrive", func() bool {
						state, err := NewConnStateReader().State(server)
						return err == nil && state != unix.BPF_TCP_ESTABLISHED
					})
					want := test.behindUnread || !unread
					if got := states.PeerClosed(server); got != want {
						t.Errorf("closed: %v, want %v", got, want)
					}
				})
			}
		}
	}
	if client, _ := net.Pipe(); NewConnStateReader().PeerClosed(client) {
		t.Error("a connection without a descriptor is reported as closed")
	}
}
