package scenario

import (
	"path/filepath"
	"slices"
	"strings"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/tomlfile"
)

// Error is a scenario file that cannot be read or makes no sense. It names file, line and key.
type Error = tomlfile.Error

// InvariantNames lists the invariants that runs are checked against.
func InvariantNames() []string {
	return invariant.Names()
}

// IsInvariant tells whether there is an invariant of this name.
func IsInvariant(name string) bool { return slices.Contains(InvariantNames(), name) }

// Parse reads a scenario; name stands for its file in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	at, err := tomlfile.Decode(name, text, s)
	if err != nil {
		return nil, err
	}
	s.Name = strings.TrimSuffix(filepath.Base(name), ".toml")
	s.setDefaults()
	if e := s.check(); e != nil {
		return nil, &Error{File: name, Line: at.Line(e.key), Key: e.key, Text: e.text}
	}
	return s, nil
}
