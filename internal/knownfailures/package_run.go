package knownfailures

import (
	"fmt"
	"slices"
	"strings"
)

// result is the outcome of a test or a package.
type result int

// The results. The zero value, unfinished, also stands for a test or package that did not run.
const (
	unfinished result = iota
	passed
	failed
	skipped
)

// String returns the name of the result.
func (r result) String() string {
	switch r {
	case unfinished:
		return "unfinished"
	case passed:
		return "passed"
	case failed:
		return "failed"
	case skipped:
		return "skipped"
	}
	return fmt.Sprintf("result(%d)", int(r))
}

// resultOfAction returns the result that an action reports, or unfinished for an action that does not end a test or
// package.
func resultOfAction(action string) result {
	switch action {
	case actionPass:
		return passed
	case actionFail:
		return failed
	case actionSkip:
		return skipped
	}
	return unfinished
}

// outputLine is a line printed by a test or by the package itself.
type outputLine struct {
	test string // top-level test, empty for the package itself
	text string
}

// packageRun is the state of the test run of a package.
type packageRun struct {
	importPath           string
	result               result
	tests                map[string]result // results of the tests that have started, by name of the top-level test
	output               []outputLine      // output of the package so far; cleared when the package has ended
	failedBuild          string            // package that did not build, empty if the build succeeded
	failLineSeen         bool              // failLine was printed: all tests have finished, at least one failed
	raceReported         bool              // the race detector reported a data race
	panickedOutsideTests bool              // a panic was printed outside of any test
}

func newPackageRun(importPath string) *packageRun {
	return &packageRun{importPath: importPath, tests: map[string]result{}}
}

// recordTestStart records that a test has started. If a test runs repeatedly (-count), a failure is kept.
func (p *packageRun) recordTestStart(e *event) {
	if e.isSubtest() || p.tests[e.Test] == failed {
		return
	}
	p.tests[e.Test] = unfinished
}

// recordTestEnd records the result of a test. An earlier failure is kept.
func (p *packageRun) recordTestEnd(e *event) {
	if e.isSubtest() || p.tests[e.Test] == failed {
		return
	}
	p.tests[e.Test] = resultOfAction(e.Action)
}

// recordOutput stores a printed line. It also records data races, and the fail line and panics of the package itself.
func (p *packageRun) recordOutput(e *event) {
	p.output = append(p.output, outputLine{test: e.topLevelTest(), text: e.Output})
	if strings.Contains(e.Output, raceReport) {
		p.raceReported = true
	}
	if e.Test != "" {
		return
	}
	if e.Output == failLine {
		p.failLineSeen = true
	}
	if strings.HasPrefix(e.Output, panicPrefix) {
		p.panickedOutsideTests = true
	}
}

// failureOutput returns the lines printed by the package itself and by its tests that failed or did not finish. It
// omits summary lines and the lines that verbose output adds.
func (p *packageRun) failureOutput() []string {
	var lines []string
	for _, line := range p.output {
		if r := p.tests[line.test]; line.test != "" && (r == passed || r == skipped) {
			continue
		}
		if strings.HasPrefix(line.text, verbosePrefix) || line.test == "" && isSummary(line.text) {
			continue
		}
		lines = append(lines, line.text)
	}
	return lines
}

// summaryLines returns the summary lines of the package.
func (p *packageRun) summaryLines() []string {
	var lines []string
	for _, line := range p.output {
		if line.test == "" && isSummary(line.text) {
			lines = append(lines, line.text)
		}
	}
	return lines
}

// testsWithResult returns the names of the top-level tests that have the given result, sorted.
func (p *packageRun) testsWithResult(wanted result) []string {
	var names []string
	for name, r := range p.tests {
		if r == wanted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
