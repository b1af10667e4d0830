package soak

import (
	"os"
	"testing"

	"marblelane/internal/lab/labtest"
)

// programs are the real programs, built once for all tests.
var programs labtest.Programs

// TestMain builds the programs before the tests.
func TestMain(m *testing.M) { os.Exit(labtest.Run(m, &programs)) }
