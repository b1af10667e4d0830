package main

import (
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The help of each command, argument and flag consists of full sentences. A flag without a default has a placeholder.
func TestHelp_oneForm(t *testing.T) {
	parser, err := kong.New(&cli{}, kong.Name("marblelane"))
	require.NoError(t, err)
	commands := 0
	require.NoError(t, kong.Visit(parser.Model, func(node kong.Visitable, next kong.Next) error {
		switch n := node.(type) {
		case *kong.Node:
			commands++
			assert.Regexp(t, `^[A-Z].*\.$`, n.Help, n.FullPath())
		case *kong.Value:
			assert.Regexp(t, `^[A-Z].*\.$`, n.Help, n.Name)
		case *kong.Flag:
			assert.Regexp(t, `^[A-Z].*\.$`, n.Help, n.Name)
			assert.True(t, n.IsBool() || n.HasDefault || n.PlaceHolder != "", "--%s has no placeholder", n.Name)
		}
		return next(nil)
	}))
	assert.Greater(t, commands, 30)
}
