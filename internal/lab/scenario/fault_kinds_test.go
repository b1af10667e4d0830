package scenario

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Each kind of fault has a unique name, a type of run, directions if it accepts way, and is documented in docs/lab.md.
// The page can name planted defects without the prefix "defect-".
func TestFaultKinds_table(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "lab.md"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range faultKinds {
		kind := &faultKinds[i]
		t.Run(kind.name, func(t *testing.T) {
			if findFaultKind(kind.name) != kind {
				t.Error("another kind has the same name")
			}
			if slices.Contains(kind.keys, keyDirection) != (len(kind.directions) > 0) {
				t.Errorf("directions are %v, but a kind has directions if and only if it accepts way", kind.directions)
			}
			if kind.runType == nil {
				t.Error("kind has no type of run")
			}
			if documented := strings.TrimPrefix(kind.name, "defect-"); !strings.Contains(string(page), documented+"`") {
				t.Errorf("docs/lab.md does not name `%s`", documented)
			}
		})
	}
}
