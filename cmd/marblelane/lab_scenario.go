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

// loadScenario reads a built-in scenario by its name, any other by its file, which ends in .toml.
//
// NAME~KIND is the scenario without its faults whose kind begins with KIND.
func loadScenario(name string) (*scenario.Scenario, error) {
	if complete, kind, cut := strings.Cut(name, "~"); cut {
		s, err := loadScenario(complete)
		if err != nil {
			return nil, err
		}
		before := len(s.Faults)
		s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return strings.HasPrefix(f.Kind, kind) })
		if len(s.Faults) == before {
			return nil, fmt.Errorf("scenario %s: no fault of a kind that begins with %q", complete, kind)
		}
		return s, nil
	}
	if strings.HasSuffix(name, ".toml") {
		return scenario.Read(name)
	}
	s, err := scenarios.Load(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no scenario %q: `marblelane lab list` lists the built-in ones; the name of a scenario file ends in .toml", name)
	}
	return s, err
}
