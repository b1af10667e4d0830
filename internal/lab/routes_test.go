package lab

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/cluster"
	"marblelane/internal/lab/relay"
)

// A redirect between copies stays behind the proxies, so that faults of a sidecar's links hold there too.
func TestRedirectsStayBehindProxies(t *testing.T) {
	port, err := relay.Listen(func(int) *relay.Link { return nil }, func(*relay.Conn) {})
	require.NoError(t, err)
	defer port.Close()
	s := &service{rr: &cluster.Cluster{Replicas: []*cluster.Replica{{Address: "127.64.0.1:1234"}}}, ports: []*relay.Port{port}}
	assert.Equal(t, "http://"+port.Addr(7)+"/routes/reports?a=b", s.place(7, "http://127.64.0.1:1234/routes/reports?a=b"))
	assert.Equal(t, "http://127.0.0.1:1/x", s.place(7, "http://127.0.0.1:1/x"))
}

// The planted service that has forgotten a rollback tells the canary of before under the new revision, and nothing
// while there is one.
func TestUndoer(t *testing.T) {
	u := &undoer{last: map[string]json.RawMessage{}}
	running := `{"rev":7,"closed":0,"routes":[{"tenant":"a","share":0.5,"rollout":"fresh","budget":true}]}`
	assert.JSONEq(t, running, string(u.tell([]byte(running))))
	want := `{"rev":8,"closed":7,"routes":[{"tenant":"a","share":0.5,"rollout":"fresh"}]}`
	assert.JSONEq(t, want, string(u.tell([]byte(`{"rev":8,"closed":7,"routes":[]}`))))
	assert.JSONEq(t, want, string(u.tell([]byte(`{"rev":8,"closed":7,"routes":[{"tenant":"a","rollout":"fresh","share":0}]}`))))
	assert.Equal(t, "no table", string(u.tell([]byte("no table"))))
}
