package scenario

import (
	"path/filepath"
	"slices"
	"strings"

	"marblelane/internal/lab/invariant"
	"marblelane/internal/tomlfile"
)

// Error reports a scenario file that cannot be decoded or is invalid, with its file, line and key.
type Error = tomlfile.Error

// InvariantNames returns the names of the invariants that runs are checked against.
func InvariantNames() []string {
	return invariant.Names()
}

// IsInvariant reports whether an invariant of this name exists.
func IsInvariant(name string) bool { return slices.Contains(InvariantNames(), name) }

// Parse decodes and validates a scenario. name is the file name that errors contain.
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
