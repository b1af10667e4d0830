// Package scenarios embeds the scenarios that are part of the program.
package scenarios

import (
	"embed"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"marblelane/internal/lab/scenario"
)

//go:embed *.toml defects/*.toml
var files embed.FS

// Names returns the names of the scenarios. Those with a planted defect begin with "defects/" and come last.
func Names() []string {
	var names []string
	_ = fs.WalkDir(files, ".", func(path string, d fs.DirEntry, err error) error { // reading an embedded tree does not fail
		if err == nil && strings.HasSuffix(path, ".toml") {
			names = append(names, strings.TrimSuffix(path, ".toml"))
		}
		return nil
	})
	slices.SortFunc(names, func(a, b string) int {
		if x, y := strings.Count(a, "/"), strings.Count(b, "/"); x != y {
			return x - y
		}
		return strings.Compare(a, b)
	})
	return names
}

// Load reads a scenario by name. The error of an unknown name is fs.ErrNotExist.
func Load(name string) (*scenario.Scenario, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("load scenario: %w", err)
	}
	return scenario.Parse(name+".toml", text)
}
