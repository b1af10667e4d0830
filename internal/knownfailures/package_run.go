package knownfailures

import (
	"fmt"
	"slices"
	"strings"
)

// result is how a test or a package ended.
type result int

// The zero result is that of a test or package which has not ended, or did not run.
const (
	unfinished result = iota
	passed
	failed
	skipped
)

// String is the result in words.
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

// resultOfAction is the result that an action reports, unfinished for an action that ends nothing.
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

// outputLine is a line that a test has printed.
type outputLine struct {
	test string // the top-level test; empty for the package itself
	text string
}

// packageRun is the state of the tests of one package.
type packageRun struct {
	importPath           string
	result               result
	tests                map[string]result // by top-level test, of those that have started
	output               []outputLine      // until the package has ended
	failedBuild          string            // the package that did not build; empty if all did
	failLineSeen         bool              // all its tests have finished, and one of them failed
	raceReported         bool              // reported by the race detector
	panickedOutsideTests bool              // outside a test
}

func newPackageRun(importPath string) *packageRun {
	return &packageRun{importPath: importPath, tests: map[string]result{}}
}

// recordTestStart records that a test has started. With -count a test that has failed once stays failed.
func (p *packageRun) recordTestStart(e *event) {
	if e.isSubtest() || p.tests[e.Test] == failed {
		return
	}
	p.tests[e.Test] = unfinished
}

// recordTestEnd records the result of a test.
func (p *packageRun) recordTestEnd(e *event) {
	if e.isSubtest() || p.tests[e.Test] == failed {
		return
	}
	p.tests[e.Test] = resultOfAction(e.Action)
}

// recordOutput keeps a printed line, and records what it tells about the package.
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

// failureOutput has the lines that the package itself, and those of its tests that neither passed nor were skipped, have
// printed.
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

// summaryLines has the closing lines of the package.
func (p *packageRun) summaryLines() []string {
	var lines []string
	for _, line := range p.output {
		if line.test == "" && isSummary(line.text) {
			lines = append(lines, line.text)
		}
	}
	return lines
}

// testsWithResult has the names of the top-level tests with a result, in alphabetical order.
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
