package knownfailures

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
)

// The actions of `go test -json` that matter here; `go doc test2json` has them all.
const (
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// What the testing package and the race detector print.
const (
	closingFail = "FAIL\n" // by testing.M.Run once all tests have ended; a process that is ended earlier prints none
	framePrefix = "=== "   // of the lines that verbose output has around a test's own
	panicPrefix = "panic: "
	raceReport  = "WARNING: DATA RACE"
)

// event is one line of `go test -json`.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// topLevel is the test that a test or subtest belongs to.
func (e *event) topLevel() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return name
}

// isSubtest tells an event of a subtest, whose result is in that of its top-level test.
func (e *event) isSubtest() bool { return strings.Contains(e.Test, "/") }

// outputLine is something that a test printed; test is empty for the package itself.
type outputLine struct {
	test string
	text string
}

// packageRun is what is known of a package's tests.
type packageRun struct {
	importPath  string
	result      string            // the action that ended the package; empty while it runs
	tests       map[string]string // result by top-level test; empty while it runs
	output      []outputLine
	failedBuild string
	closed      bool // its tests have all ended
	raced       bool
	panicked    bool // outside a test
}

// Judge takes the events of a `go test -json` run, prints them as `go test` prints without -json, and tells which
// failures are not listed.
type Judge struct {
	list     *List
	out      io.Writer
	packages map[string]*packageRun
	order    []string // import paths, as they ended
	summary  []string // the closing lines of the packages
	problems []string // what cannot be passed over
}

// NewJudge judges by the list and prints to out.
func NewJudge(list *List, out io.Writer) *Judge {
	return &Judge{list: list, out: out, packages: map[string]*packageRun{}}
}

// Read takes all events of a run. A line that is none is printed and counts as a failure.
func (j *Judge) Read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			j.readLine(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading the events of go test: %w", err)
		}
	}
}

func (j *Judge) readLine(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil || e.Action == "" {
		text := strings.TrimSpace(string(line))
		fmt.Fprintln(j.out, text)
		j.problem("go test printed a line that is not an event: %q", text)
		return
	}
	j.take(&e)
}

func (j *Judge) take(e *event) {
	if e.Action == actionBuildOutput {
		fmt.Fprint(j.out, e.Output)
		return
	}
	if e.Package == "" {
		return
	}
	p := j.of(e.Package)
	switch e.Action {
	case actionRun:
		p.begin(e)
	case actionOutput:
		p.print(e)
	case actionPass, actionFail, actionSkip:
		if e.Test == "" {
			p.failedBuild = e.FailedBuild
			p.result = e.Action
			j.end(p)
			return
		}
		p.endTest(e)
	}
}

func (j *Judge) of(importPath string) *packageRun {
	p := j.packages[importPath]
	if p == nil {
		p = &packageRun{importPath: importPath, tests: map[string]string{}}
		j.packages[importPath] = p
	}
	return p
}

func (p *packageRun) begin(e *event) {
	if e.isSubtest() || p.tests[e.Test] == actionFail { // with -count, a test that failed once has failed
		return
	}
	p.tests[e.Test] = ""
}

func (p *packageRun) endTest(e *event) {
	if e.isSubtest() || p.tests[e.Test] == actionFail {
		return
	}
	p.tests[e.Test] = e.Action
}

func (p *packageRun) print(e *event) {
	p.output = append(p.output, outputLine{test: e.topLevel(), text: e.Output})
	if strings.Contains(e.Output, raceReport) {
		p.raced = true
	}
	if e.Test != "" {
		return
	}
	if e.Output == closingFail {
		p.closed = true
	}
	if strings.HasPrefix(e.Output, panicPrefix) {
		p.panicked = true
	}
}

// end prints a package that has ended, and notes what is wrong with it.
func (j *Judge) end(p *packageRun) {
	j.order = append(j.order, p.importPath)
	if p.result == actionFail {
		j.printFailed(p)
		j.judgeFailed(p)
	}
	for _, line := range p.output {
		if line.test == "" && isSummary(line.text) {
			fmt.Fprint(j.out, line.text)
			j.summarize(line.text)
		}
	}
	p.output = nil
}

// summarize keeps a line for the end of the report if it is the closing one of a package.
func (j *Judge) summarize(line string) {
	if isSummary(line) {
		j.summary = append(j.summary, line)
	}
}

// isSummary tells the line that `go test` prints for each package.
func isSummary(text string) bool {
	return strings.HasPrefix(text, "ok  \t") || strings.HasPrefix(text, "FAIL\t") || strings.HasPrefix(text, "?   \t")
}

// printFailed prints what the package and those of its tests that did not pass have printed.
func (j *Judge) printFailed(p *packageRun) {
	for _, line := range p.output {
		ended := p.tests[line.test]
		if line.test != "" && (ended == actionPass || ended == actionSkip) {
			continue
		}
		if strings.HasPrefix(line.text, framePrefix) || line.test == "" && isSummary(line.text) {
			continue
		}
		fmt.Fprint(j.out, line.text)
	}
}

// judgeFailed notes what of a package's failure is not the failure of a listed test.
func (j *Judge) judgeFailed(p *packageRun) {
	if p.failedBuild != "" {
		j.problem("%s does not build", p.importPath)
		return
	}
	failed := p.failedTests()
	for _, name := range failed {
		if test := (TestID{p.importPath, name}); !j.list.has(test) {
			j.problem("%s failed and is not listed", test)
		}
	}
	for _, name := range p.testsWith("") {
		j.problem("%s did not end", TestID{p.importPath, name})
	}
	if p.raced {
		j.problem("%s reports a data race", p.importPath)
	}
	if len(failed) == 0 {
		j.problem("%s failed beside its tests", p.importPath)
	} else if !p.closed || p.panicked {
		j.problem("%s ended before its tests were through", p.importPath)
	}
}

func (p *packageRun) failedTests() []string { return p.testsWith(actionFail) }

func (p *packageRun) testsWith(result string) []string {
	var names []string
	for name, ended := range p.tests {
		if ended == result {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (j *Judge) problem(format string, args ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, args...))
}

// Finish takes the exit status of `go test`, once all events are read, and judges what no single package shows.
func (j *Judge) Finish(status int) {
	ran, failed := 0, 0
	for _, importPath := range sortedKeys(j.packages) {
		p := j.packages[importPath]
		ran += len(p.tests)
		if p.result == actionFail {
			failed++
		}
		if p.result == "" {
			j.problem("%s did not end", importPath)
		}
	}
	if ran == 0 {
		j.problem("no test ran")
	}
	// go test ends with 0 when all packages pass, with 1 when some fail, and otherwise when it was itself in trouble.
	if expected := min(failed, 1); status != expected {
		j.problem("go test ended with status %d, and %d packages failed", status, failed)
	}
	for _, entry := range j.list.Entries {
		j.judgeEntry(entry)
	}
}

// judgeEntry notes a listed test that there is not, or that was not played.
func (j *Judge) judgeEntry(entry Entry) {
	p := j.packages[entry.Test.Package]
	switch {
	case p == nil:
		j.problem("%s:%d: no package %s was tested", j.list.File, entry.Line, entry.Test.Package)
	case j.result(entry) == "" && p.failedBuild == "":
		j.problem("%s:%d: no test %s ran to its end", j.list.File, entry.Line, entry.Test)
	case j.result(entry) == actionSkip:
		j.problem("%s:%d: %s skipped itself: a listed test has to run", j.list.File, entry.Line, entry.Test)
	}
}

// result is how a listed test ended, empty if it did not run or did not end.
func (j *Judge) result(entry Entry) string {
	if p := j.packages[entry.Test.Package]; p != nil {
		return p.tests[entry.Test.Name]
	}
	return ""
}

// passedOver has the packages whose failure is that of listed tests alone, as they ended.
func (j *Judge) passedOver() []string {
	if len(j.problems) > 0 {
		return nil
	}
	var importPaths []string
	for _, importPath := range j.order {
		if j.packages[importPath].result == actionFail {
			importPaths = append(importPaths, importPath)
		}
	}
	return importPaths
}

// Report prints the results of the listed tests, the closing line of each package, and what cannot be passed over. Its
// error counts these last.
func (j *Judge) Report() error {
	if len(j.list.Entries) > 0 {
		j.reportEntries()
		for _, line := range j.summary {
			fmt.Fprint(j.out, line)
		}
	}
	if len(j.problems) == 0 {
		return nil
	}
	for _, problem := range j.problems {
		fmt.Fprintln(j.out, "not passed over:", problem)
	}
	fmt.Fprint(j.out, closingFail)
	return fmt.Errorf("%d failures that %s does not cover", len(j.problems), j.list.File)
}

func (j *Judge) reportEntries() {
	fmt.Fprintf(j.out, "tests listed in %s:\n", j.list.File)
	for _, entry := range j.list.Entries {
		said := "did not run to its end"
		switch j.result(entry) {
		case actionFail:
			said = "failed, as listed"
		case actionPass:
			said = "PASSED: if its fault is fixed, remove its entry"
		case actionSkip:
			said = "was skipped"
		}
		fmt.Fprintf(j.out, "    %s %s (%s)\n", entry.Test, said, entry.Issue)
		fmt.Fprintf(j.out, "        command: %s\n", entry.Command)
		fmt.Fprintf(j.out, "        seen: %s\n", entry.Observed)
	}
}

func sortedKeys(packages map[string]*packageRun) []string {
	var keys []string
	for key := range packages {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
