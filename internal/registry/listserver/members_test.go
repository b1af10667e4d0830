package listserver

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
)

// Package streamlimit closes a watch whose client does not read within the write timeout.
func TestMembers_watchTimeout(t *testing.T) {
	m := NewMembers(&membership.Config{}, Options{})
	require.Equal(t, lineWriteTimeout, m.watchers.WriteTimeout)
}
