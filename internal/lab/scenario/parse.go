package scenario

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"marblelane/internal/tomlfile"
)

// Error is a scenario that cannot be read or meant. It names file, line and key.
type Error = tomlfile.Error

type invalidKey struct{ key, text string }

// RuleNames lists the rules that every run is held to.
func InvariantNames() []string {
	return slices.Concat([]string{"one-answer", "unsafe-once", "one-at-a-time", "most-attempts", "no-stray", "drain", "cold", "body", "limits", "client-gone", "time-told", "ready-in-time",
		"linearizable", "watchers-agree", "disk-honest", "age-told"}, RouteInvariants(), MemberInvariants())
}

// Rule tells whether there is a rule of this name.
func IsInvariant(name string) bool { return slices.Contains(InvariantNames(), name) }

// FaultKinds lists the kinds of faults.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultForms())) }

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
