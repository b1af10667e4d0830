package recovery

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A data directory of an earlier version is valid, and its log leads to the revision that the replica served.
func TestVerify_earlierVersion(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("../storage/testdata/golden/data")))
	found, err := Verify(dir)
	require.NoError(t, err)
	assert.True(t, found.Sound(), "%v", found.Faults)
	assert.Empty(t, found.Notes)
	assert.EqualValues(t, 130054562512904, found.Rev)
}
