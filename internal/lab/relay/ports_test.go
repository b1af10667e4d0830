package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Ports are unique and below the ephemeral range; a second listener on one fails.
func TestListen_uniquePorts(t *testing.T) {
	taken := map[int]bool{}
	for range 200 {
		p, err := Listen(func(int) *Link { return nil }, func(*Conn) {})
		require.NoError(t, err)
		defer p.Close()
		assert.False(t, taken[p.port], "port %d is given twice", p.port)
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
