// Package golden compares what is stored today with what earlier builds have written.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// RequireJSON compares a value's JSON with the bytes of a file in testdata. These files are what earlier builds have
// written; they are never written anew.
func RequireJSON(t *testing.T, file string, value any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	got, err := json.Marshal(value)
	require.NoError(t, err)
	require.Equal(t, string(bytes.TrimSpace(want)), string(got))
}
