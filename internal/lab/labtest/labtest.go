// Package labtest builds the real programs for tests that start them as processes.
package labtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// Programs holds the paths of the built programs.
type Programs struct{ Sidecar, Marblelane string }

// Run is called by TestMain. It builds the programs, runs the tests and returns the exit status. It also fails if goroutines
// are still running after the tests.
func Run(m *testing.M, programs *Programs) int {
	dir, err := os.MkdirTemp("", "lab-test-")
	if err == nil {
		defer os.RemoveAll(dir)
		*programs, err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot build the programs:", err)
		return 1
	}
	code := m.Run()
	if code != 0 {
		return code
	}
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// build builds the programs into dir and returns their paths.
func build(dir string) (Programs, error) {
	cmd := exec.Command("go", "build", "-o", dir+"/", "marblelane/cmd/sidecar", "marblelane/cmd/marblelane")
	if out, err := cmd.CombinedOutput(); err != nil {
		return Programs{}, fmt.Errorf("%w: %s", err, out)
	}
	return Programs{Sidecar: filepath.Join(dir, "sidecar"), Marblelane: filepath.Join(dir, "marblelane")}, nil
}
