package rollouts

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The registry that has forgotten a rollback sends the canary of before under the new revision, and nothing
// while there is one.
func TestRollbackDefect_sendsFormerCanary(t *testing.T) {
	u := NewRollbackDefect()
	running := `{"rev":7,"closed":0,"routes":[{"tenant":"a","share":0.5,"rollout":"fresh","budget":true}]}`
	assert.JSONEq(t, running, string(u.Rewrite([]byte(running))))
	want := `{"rev":8,"closed":7,"routes":[{"tenant":"a","share":0.5,"rollout":"fresh"}]}`
	assert.JSONEq(t, want, string(u.Rewrite([]byte(`{"rev":8,"closed":7,"routes":[]}`))))
	assert.JSONEq(t, want, string(u.Rewrite([]byte(`{"rev":8,"closed":7,"routes":[{"tenant":"a","rollout":"fresh","share":0}]}`))))
	assert.Equal(t, "no table", string(u.Rewrite([]byte("no table"))))
}
