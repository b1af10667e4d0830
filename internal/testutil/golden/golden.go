// Package golden compares stored forms with files that earlier builds have written.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// RequireJSON fails the test unless the JSON encoding of value equals the content of a file in testdata, apart from
// surrounding white space in the file. The files were written by earlier builds and must never be regenerated.
func RequireJSON(t *testing.T, file string, value any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	got, err := json.Marshal(value)
	require.NoError(t, err)
	require.Equal(t, string(bytes.TrimSpace(want)), string(got))
}
