package compare

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/labtest"
	"marblelane/internal/lab/scenario"
)

// programs are the real programs, built once for all tests.
var programs labtest.Programs

func TestMain(m *testing.M) { os.Exit(labtest.Run(m, &programs)) }

const smallScenario = `
title = "small"
length = "2s"
[sidecars]
count = 2
[servers]
count = 3
[network]
zones = ["here"]
`

const allServersFail = `
[[fault]]
at = "0s"
for = "2s"
kind = "fail"
servers = "all"
size = 1
`

func side(t *testing.T, name, text string) Side {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return Side{Name: name, Scenario: s, Program: programs.Sidecar}
}

// A comparison pairs runs by seed. With a side whose servers all fail, it shows the difference in requests served in
// time.
func TestRun_findsTheDifference(t *testing.T) {
	sound, bad := side(t, "sound", smallScenario), side(t, "bad", smallScenario+allServersFail)
	c, err := Run(t.Context(), sound, bad, 3, 2, harness.Options{})
	if errors.Is(err, ErrLabLate) {
		t.Skip(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(c.Seeds, []uint64{3, 4}) || len(c.Pairs) != 2 {
		t.Errorf("got %d pairs of seeds %v, want 2 of seeds 3 and 4", len(c.Pairs), c.Seeds)
	}
	if r := c.Rows[0]; r.Name != "in aim" || r.Diff > -0.9 || math.Abs(r.B-r.A-r.Diff) > 1e-9 || r.Min > r.Diff || r.Max < r.Diff {
		t.Errorf("row of requests in aim: got %+v, want a difference below -0.9", r)
	}
	dir := t.TempDir()
	if err := c.Plot(dir); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(filepath.Join(dir, "compare.svg")); err != nil || info.Size() == 0 {
		t.Errorf("compare.svg is missing or empty: %v", err)
	}
}
