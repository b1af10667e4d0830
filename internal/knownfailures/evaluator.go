package knownfailures

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// evaluator reads the events of a `go test -json` run, prints the output in the format of `go test` without -json, and
// collects the unexpected failures.
type evaluator struct {
	list               *List
	out                io.Writer
	packages           map[string]*packageRun // runs of the packages, by import path
	endedPackages      []*packageRun          // packages that have ended, in this order
	summaryLines       []string               // summary lines of the packages, printed again by report
	unexpectedFailures []string               // failures that the list does not cover
}

// newEvaluator returns an evaluator that accepts the failures of the tests in list and prints to out.
func newEvaluator(list *List, out io.Writer) *evaluator {
	return &evaluator{list: list, out: out, packages: map[string]*packageRun{}}
}

// readEvents reads and handles all events of a run. A line that is not an event is printed and is an unexpected
// failure.
func (ev *evaluator) readEvents(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			ev.handleLine(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the events of go test: %w", err)
		}
	}
}

func (ev *evaluator) handleLine(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil || e.Action == "" {
		text := strings.TrimSpace(string(line))
		fmt.Fprintln(ev.out, text)
		ev.addUnexpectedFailure("go test printed a line that is not an event: %q", text)
		return
	}
	ev.handleEvent(&e)
}

func (ev *evaluator) handleEvent(e *event) {
	if e.Action == actionBuildOutput {
		fmt.Fprint(ev.out, e.Output)
		return
	}
	if e.Package == "" {
		return
	}
	p := ev.packageRunFor(e.Package)
	switch e.Action {
	case actionRun:
		p.recordTestStart(e)
	case actionOutput:
		p.recordOutput(e)
	case actionPass, actionFail, actionSkip:
		if e.Test == "" {
			ev.recordPackageEnd(p, e)
		} else {
			p.recordTestEnd(e)
		}
	}
}

// packageRunFor returns the state of a package. It adds the package at its first event.
func (ev *evaluator) packageRunFor(importPath string) *packageRun {
	p := ev.packages[importPath]
	if p == nil {
		p = newPackageRun(importPath)
		ev.packages[importPath] = p
	}
	return p
}

// recordPackageEnd records and prints the result of a package, and collects its unexpected failures.
func (ev *evaluator) recordPackageEnd(p *packageRun, e *event) {
	p.result = resultOfAction(e.Action)
	p.failedBuild = e.FailedBuild
	ev.endedPackages = append(ev.endedPackages, p)
	if p.result == failed {
		for _, line := range p.failureOutput() {
			fmt.Fprint(ev.out, line)
		}
		ev.checkFailedPackage(p)
	}
	for _, line := range p.summaryLines() {
		fmt.Fprint(ev.out, line)
		ev.addSummaryLine(line)
	}
	p.output = nil
}

// addSummaryLine stores a line for the report if it is the summary of a package.
func (ev *evaluator) addSummaryLine(line string) {
	if isSummary(line) {
		ev.summaryLines = append(ev.summaryLines, line)
	}
}

// checkFailedPackage records the unexpected failures of a package that failed.
func (ev *evaluator) checkFailedPackage(p *packageRun) {
	if p.failedBuild != "" {
		ev.addUnexpectedFailure("%s does not build", p.importPath)
		return
	}
	failedTests := p.testsWithResult(failed)
	for _, name := range failedTests {
		if test := (TestID{p.importPath, name}); !ev.list.contains(test) {
			ev.addUnexpectedFailure("%s failed and is not listed", test)
		}
	}
	for _, name := range p.testsWithResult(unfinished) {
		ev.addUnexpectedFailure("%s did not finish", TestID{p.importPath, name})
	}
	if p.raceReported {
		ev.addUnexpectedFailure("%s reports a data race", p.importPath)
	}
	switch {
	case len(failedTests) == 0:
		ev.addUnexpectedFailure("%s failed outside its tests", p.importPath)
	case !p.failLineSeen || p.panickedOutsideTests:
		ev.addUnexpectedFailure("%s ended before its tests had finished", p.importPath)
	}
}

func (ev *evaluator) addUnexpectedFailure(format string, args ...any) {
	ev.unexpectedFailures = append(ev.unexpectedFailures, fmt.Sprintf(format, args...))
}

// checkWholeRun checks the whole run, after all events have been read, against the exit status of `go test`. It records
// the unexpected failures that the results of the single packages do not show.
func (ev *evaluator) checkWholeRun(exitStatus int) {
	startedTests, failedPackages := 0, 0
	for _, importPath := range slices.Sorted(maps.Keys(ev.packages)) {
		p := ev.packages[importPath]
		startedTests += len(p.tests)
		switch p.result {
		case failed:
			failedPackages++
		case unfinished:
			ev.addUnexpectedFailure("%s did not finish", importPath)
		}
	}
	if startedTests == 0 {
		ev.addUnexpectedFailure("no test ran")
	}
	// go test exits with 0 if all packages pass, with 1 if some fail, and with another status if it could not run them.
	if expected := min(failedPackages, 1); exitStatus != expected {
		ev.addUnexpectedFailure("go test exited with status %d although %d packages failed", exitStatus, failedPackages)
	}
	for _, entry := range ev.list.Entries {
		ev.checkEntryRan(entry)
	}
}

// checkEntryRan records an unexpected failure if a listed test does not exist, was skipped or did not run to
// completion.
func (ev *evaluator) checkEntryRan(entry Entry) {
	p := ev.packages[entry.Test.Package]
	switch {
	case p == nil:
		ev.addUnexpectedFailure("%s:%d: no package %s was tested", ev.list.File, entry.Line, entry.Test.Package)
	case ev.testResult(entry.Test) == unfinished && p.failedBuild == "":
		ev.addUnexpectedFailure("%s:%d: no test %s ran to completion", ev.list.File, entry.Line, entry.Test)
	case ev.testResult(entry.Test) == skipped:
		ev.addUnexpectedFailure("%s:%d: %s was skipped: a listed test must run", ev.list.File, entry.Line, entry.Test)
	}
}

// testResult returns the result of a test, or unfinished if it did not run.
func (ev *evaluator) testResult(test TestID) result {
	if p := ev.packages[test.Package]; p != nil {
		return p.tests[test.Name]
	}
	return unfinished
}

// packagesWithKnownFailures returns the import paths of the packages in which only listed tests failed, in the order in
// which they ended. It returns none if the run already has unexpected failures.
func (ev *evaluator) packagesWithKnownFailures() []string {
	if len(ev.unexpectedFailures) > 0 {
		return nil
	}
	var importPaths []string
	for _, p := range ev.endedPackages {
		if p.result == failed {
			importPaths = append(importPaths, p.importPath)
		}
	}
	return importPaths
}
