package main

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"marblelane/internal/lab/scenario"
	"marblelane/lab/scenarios"
)

// loadScenario reads a scenario: one that comes with the program by its name, any other by its file.
//
// NAME~KIND is a scenario without its faults of the kinds that begin with KIND: what it would be if they were not there.
func loadScenario(name string) (*scenario.Scenario, error) {
	if complete, kind, cut := strings.Cut(name, "~"); cut {
		s, err := loadScenario(complete)
		if err != nil {
			return nil, err
		}
		before := len(s.Faults)
		s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return strings.HasPrefix(f.Kind, kind) })
		if len(s.Faults) == before {
			return nil, fmt.Errorf("%s has no fault of a kind that begins with %q", complete, kind)
		}
		return s, nil
	}
	if strings.HasSuffix(name, ".toml") {
		return scenario.Read(name)
	}
	s, err := scenarios.Load(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("there is no scenario %q: `marblelane lab list` lists them; a file of your own ends in .toml", name)
	}
	return s, err
}
