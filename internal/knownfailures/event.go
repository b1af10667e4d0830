package knownfailures

import "strings"

// The actions of `go test -json` that are read here; `go doc test2json` has all of them.
const (
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// Text that `go test`, the testing package and the race detector print.
const (
	failLine             = "FAIL\n" // printed by testing.M.Run once all tests have finished, unless the process ends before
	verbosePrefix        = "=== "   // of the lines that verbose output adds around the output of a test
	panicPrefix          = "panic: "
	raceReport           = "WARNING: DATA RACE"
	okSummaryPrefix      = "ok  \t"
	failSummaryPrefix    = "FAIL\t"
	noTestsSummaryPrefix = "?   \t"
)

// event is one line of `go test -json`.
type event struct {
	Action      string
	Package     string
	Test        string // empty for an event of the package itself
	Output      string
	FailedBuild string
}

// topLevelTest is the name of the test that the event's test or subtest belongs to.
func (e *event) topLevelTest() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return name
}

// isSubtest reports whether the event is of a subtest. The result of its top-level test includes that of the subtest.
func (e *event) isSubtest() bool { return strings.Contains(e.Test, "/") }

// isSummary reports whether a line is the closing one that `go test` prints for each package.
func isSummary(line string) bool {
	return strings.HasPrefix(line, okSummaryPrefix) || strings.HasPrefix(line, failSummaryPrefix) ||
		strings.HasPrefix(line, noTestsSummaryPrefix)
}
