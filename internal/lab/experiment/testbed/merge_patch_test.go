package testbed

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMergePatch_rfc7386(t *testing.T) {
	for name, c := range map[string]struct{ target, patch, want string }{
		"adds and replaces": {`{"a":1,"b":{"c":2}}`, `{"a":3,"b":{"d":4}}`, `{"a":3,"b":{"c":2,"d":4}}`},
		"null removes":      {`{"a":1,"b":{"c":2,"d":3}}`, `{"a":null,"b":{"c":null}}`, `{"b":{"d":3}}`},
		"object over value": {`{"a":1}`, `{"a":{"b":2,"c":null}}`, `{"a":{"b":2}}`},
		"list is replaced":  {`{"a":[1,2]}`, `{"a":[3]}`, `{"a":[3]}`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := mergePatch(json.RawMessage(c.target), json.RawMessage(c.patch))
			require.NoError(t, err)
			assert.JSONEq(t, c.want, string(got))
		})
	}
	_, err := mergePatch(json.RawMessage(`{`), map[string]any{})
	assert.Error(t, err)
}
