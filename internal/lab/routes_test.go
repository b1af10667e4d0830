package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/relay"
)

// A redirect between replicas goes through the proxies, so that faults of the sidecar's links also apply to it.
func TestRegistryProxy_redirects(t *testing.T) {
	port, err := relay.Listen(func(int) *relay.Link { return nil }, func(*relay.Conn) {})
	require.NoError(t, err)
	defer port.Close()
	s := &registryProxy{cluster: &cluster.Cluster{Replicas: []*cluster.Replica{{Address: "127.64.0.1:1234"}}}, proxies: []*relay.Port{port}}
	assert.Equal(t, "http://"+port.Addr(7)+"/routes/reports?a=b", s.proxyURL(7, "http://127.64.0.1:1234/routes/reports?a=b"))
	assert.Equal(t, "http://127.0.0.1:1/x", s.proxyURL(7, "http://127.0.0.1:1/x"))
}
