package rollouts

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A registry that has lost a rollback sends the former canary under the new revision. Tables with a canary are sent
// unchanged.
func TestRollbackDefect_sendsFormerCanary(t *testing.T) {
	u := NewRollbackDefect()
	running := `{"rev":7,"closed":0,"routes":[{"tenant":"a","share":0.5,"rollout":"fresh","budget":true}]}`
	assert.JSONEq(t, running, string(u.Rewrite([]byte(running))))
	want := `{"rev":8,"closed":7,"routes":[{"tenant":"a","share":0.5,"rollout":"fresh"}]}`
	assert.JSONEq(t, want, string(u.Rewrite([]byte(`{"rev":8,"closed":7,"routes":[]}`))))
	assert.JSONEq(t, want, string(u.Rewrite([]byte(`{"rev":8,"closed":7,"routes":[{"tenant":"a","rollout":"fresh","share":0}]}`))))
	assert.Equal(t, "no table", string(u.Rewrite([]byte("no table"))))
}
