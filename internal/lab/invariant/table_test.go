package invariant

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each invariant has a unique name, a row in the table of docs/lab.md, and an existing page.
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
				t.Errorf("%s has no row for this invariant", labPage)
			}
			if _, err := os.Stat(filepath.Join(root, invariant.Page)); err != nil {
				t.Error(err)
			}
		})
	}
}
