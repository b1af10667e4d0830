package relay

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Ports are unique and below the ephemeral range, and a second listener on a port fails.
func TestListen_uniquePorts(t *testing.T) {
	taken := map[int]bool{}
	for range 200 {
		p, err := Listen(func(int) *Link { return nil }, func(*Conn) {})
		require.NoError(t, err)
		defer p.Close()
		assert.False(t, taken[p.port], "port %d was returned twice", p.port)
		taken[p.port] = true
		if low := firstEphemeralPort(); low-lowestPort >= minPortRange {
			assert.Less(t, p.port, low)
		}
	}
	for port := range taken {
		p := &Port{port: port, conns: map[*Conn]struct{}{}}
		assert.Error(t, p.Open(), "port %d", port)
		break
	}
}

// The process can listen on a reserved port, also after a restart. A search for a free port finds it in use.
func TestReserve_portKeptUntilRelease(t *testing.T) {
	const host = "127.64.0.0"
	r, err := Reserve(host)
	require.NoError(t, err)
	reserved := netip.MustParseAddrPort(r.Addr())
	for range 2 {
		_, err = reserve(reserved.Addr(), int(reserved.Port()))
		require.ErrorIs(t, err, syscall.EADDRINUSE, "second reservation of the port")
		err = (&Port{conns: map[*Conn]struct{}{}}).listen(int(reserved.Port()), true)
		require.ErrorIs(t, err, syscall.EADDRINUSE, "exclusive listener on all loopback addresses")

		l, err := net.Listen("tcp4", r.Addr())
		require.NoError(t, err, "listener of the process")
		require.NoError(t, l.Close())
	}
	require.NoError(t, r.Release())
	again, err := reserve(reserved.Addr(), int(reserved.Port()))
	require.NoError(t, err)
	assert.Equal(t, reserved.String(), again.Addr())
	require.NoError(t, again.Release())
}
