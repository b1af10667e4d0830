package listserver

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
)

// Watches of /members must have the write timeout of watches of the list: package streamlimit then closes a watch whose
// client stops reading.
func TestMembers_watchTimeout(t *testing.T) {
	m := NewMembers(&membership.Config{}, Options{})
	require.Equal(t, lineWriteTimeout, m.watchers.WriteTimeout)
}
