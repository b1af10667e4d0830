package scenario

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Each kind of fault has a name of its own, the values of its keys, and a place in docs/lab.md, where the names of planted
// defects may begin otherwise.
func TestFaultKinds_table(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "lab.md"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range faultKinds {
		kind := &faultKinds[i]
		t.Run(kind.name, func(t *testing.T) {
			if findFaultKind(kind.name) != kind {
				t.Error("another kind has this name")
			}
			if slices.Contains(kind.keys, keyDirection) != (len(kind.directions) > 0) {
				t.Errorf("it takes way, but has the directions %v", kind.directions)
			}
			if kind.runType == nil {
				t.Error("it has no type of run")
			}
			if documented := strings.TrimPrefix(kind.name, "defect-"); !strings.Contains(string(page), documented+"`") {
				t.Errorf("docs/lab.md does not name `%s`", documented)
			}
		})
	}
}
