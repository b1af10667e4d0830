// Package testfile reads, writes and copies files in tests. A failed operation fails the test.
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

// Write writes content to a file and replaces any previous content.
func Write(t *testing.T, path string, content []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, content, 0o644))
}

// CopyDir copies a directory to a temporary directory and returns its path.
func CopyDir(t *testing.T, dir string) string {
	t.Helper()
	target := t.TempDir()
	require.NoError(t, os.CopyFS(target, os.DirFS(dir)))
	return target
}
