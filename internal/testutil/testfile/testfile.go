// Package testfile reads, writes and copies files in tests, which fail where that fails.
package testfile

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Read returns the content of a file.
func Read(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return content
}

// Write replaces the content of a file.
func Write(t *testing.T, path string, content []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, content, 0o644))
}

// CopyDir copies a folder into a temporary one, and returns that.
func CopyDir(t *testing.T, dir string) string {
	t.Helper()
	target := t.TempDir()
	require.NoError(t, os.CopyFS(target, os.DirFS(dir)))
	return target
}
