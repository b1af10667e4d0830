// Package scenarios holds the scenarios that come with the program.
package scenarios

import (
	"embed"
	"io/fs"
	"slices"
	"strings"
)

//go:embed *.toml defects/*.toml
var files embed.FS

// Names lists the scenarios; those with a planted defect stand last, under "defects/".
func Names() []string {
	var names []string
	_ = fs.WalkDir(files, ".", func(path string, d fs.DirEntry, err error) error { // an embedded tree has no errors
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

// Read gives a scenario's text by its name.
func Read(name string) ([]byte, error) { return files.ReadFile(name + ".toml") }
