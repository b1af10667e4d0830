package knownfailures

import "strings"

// The actions of `go test -json` events that the evaluator handles. `go doc test2json` lists all actions.
const (
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// Texts that `go test`, the testing package and the race detector print.
const (
	failLine             = "FAIL\n" // printed by testing.M.Run when a test failed, after all tests have finished
	verbosePrefix        = "=== "   // start of the lines that verbose output adds around the output of a test
	panicPrefix          = "panic: "
	raceReport           = "WARNING: DATA RACE"
	okSummaryPrefix      = "ok  \t"
	failSummaryPrefix    = "FAIL\t"
	noTestsSummaryPrefix = "?   \t"
)

// event is a line of the output of `go test -json`.
type event struct {
	Action      string
	Package     string
	Test        string // test or subtest, empty for an event of the package itself
	Output      string
	FailedBuild string // package that did not build, set in the fail event of a package whose build failed
}

// topLevelTest returns the name of the top-level test to which the event belongs.
func (e *event) topLevelTest() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return name
}

// isSubtest reports whether the event belongs to a subtest. The result of a top-level test includes those of its
// subtests.
func (e *event) isSubtest() bool { return strings.Contains(e.Test, "/") }

// isSummary reports whether a line is the summary that `go test` prints for each package.
func isSummary(line string) bool {
	return strings.HasPrefix(line, okSummaryPrefix) || strings.HasPrefix(line, failSummaryPrefix) ||
		strings.HasPrefix(line, noTestsSummaryPrefix)
}
