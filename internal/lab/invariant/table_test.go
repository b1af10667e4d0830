package invariant

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each invariant has a name of its own, a row in docs/lab.md, and a page that exists.
func TestInvariants_areDocumented(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	table, err := os.ReadFile(filepath.Join(root, labPage))
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, invariant := range all {
		t.Run(invariant.Name, func(t *testing.T) {
			if seen[invariant.Name] {
				t.Error("another invariant has this name")
			}
			seen[invariant.Name] = true
			if !strings.Contains(string(table), "\n| `"+invariant.Name+"` |") {
				t.Errorf("%s has no row for it", labPage)
			}
			if _, err := os.Stat(filepath.Join(root, invariant.Page)); err != nil {
				t.Error(err)
			}
		})
	}
}
