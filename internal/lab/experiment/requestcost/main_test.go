package requestcost

import (
	"os"
	"testing"

	"marblelane/internal/lab/labtest"
)

// programs are the real programs, built once for all tests.
var programs labtest.Programs

func TestMain(m *testing.M) { os.Exit(labtest.Run(m, &programs)) }
