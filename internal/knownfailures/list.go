// Package knownfailures runs a `go test` command and passes over the failures of the tests that a list names, and over
// nothing else.
//
// The list, KNOWN-RED.txt, has one line for each test: its import path and name, the cause, and the issue. A listed test
// is run like any other and its result is printed. What fails beside the listed tests fails the run: another test, a
// package that does not build, a panic, a time limit, a data race, or a check after the tests of a package, such as one
// for leaked goroutines. Because such a check is often left out once a test has failed, each package whose failure is
// passed over is run again without its listed tests, and has to pass.
package knownfailures

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
)

// mostEntries is how many tests may be listed at once, as the project's rules for its tests say.
const mostEntries = 3

// fieldsPerLine are the test, the cause and the issue.
const fieldsPerLine = 3

var (
	testForm  = regexp.MustCompile(`^([^\s:]+)\.((?:Test|Fuzz|Example)[\pL\pN_]*)$`)
	issueForm = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// TestID names a top-level test of a package.
type TestID struct {
	Package string // import path
	Name    string
}

// String is the test as the list writes it.
func (id TestID) String() string { return id.Package + "." + id.Name }

// Entry is one line of the list.
type Entry struct {
	Test  TestID
	Cause string
	Issue string
	Line  int
}

// List is what a file of known failures says.
type List struct {
	File    string // for messages
	Entries []Entry
}

// ReadList reads the list from a file, which has to exist.
func ReadList(path string) (*List, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return ParseList(path, file)
}

// ParseList reads a list. Its error names the file and the line of each thing that is wrong.
func ParseList(file string, in io.Reader) (*List, error) {
	list := &List{File: file}
	var wrong []error
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		entry, err := parseEntry(text)
		if err == nil {
			err = list.add(entry, number)
		}
		if err != nil {
			wrong = append(wrong, fmt.Errorf("%s:%d: %w", file, number, err))
		}
	}
	if err := lines.Err(); err != nil {
		wrong = append(wrong, fmt.Errorf("%s: %w", file, err))
	}
	if len(wrong) > 0 {
		return nil, errors.Join(wrong...)
	}
	return list, nil
}

func parseEntry(text string) (Entry, error) {
	fields := strings.Split(text, "|")
	if len(fields) != fieldsPerLine {
		return Entry{}, fmt.Errorf("%d fields, want `import/path.TestName | cause | issue NUMBER`", len(fields))
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	test := testForm.FindStringSubmatch(fields[0])
	if test == nil {
		return Entry{}, fmt.Errorf("%q is not of the form import/path.TestName", fields[0])
	}
	if fields[1] == "" {
		return Entry{}, errors.New("the cause is missing")
	}
	if !issueForm.MatchString(fields[2]) {
		return Entry{}, fmt.Errorf("%q is not of the form `issue NUMBER`", fields[2])
	}
	return Entry{Test: TestID{Package: test[1], Name: test[2]}, Cause: fields[1], Issue: fields[2]}, nil
}

func (l *List) add(entry Entry, line int) error {
	if l.has(entry.Test) {
		return fmt.Errorf("%s is listed twice", entry.Test)
	}
	if len(l.Entries) == mostEntries {
		return fmt.Errorf("more than %d tests are listed", mostEntries)
	}
	entry.Line = line
	l.Entries = append(l.Entries, entry)
	return nil
}

func (l *List) has(test TestID) bool {
	for _, entry := range l.Entries {
		if entry.Test == test {
			return true
		}
	}
	return false
}

// of has the names of the tests that are listed for a package.
func (l *List) of(importPath string) []string {
	var names []string
	for _, entry := range l.Entries {
		if entry.Test.Package == importPath {
			names = append(names, entry.Test.Name)
		}
	}
	return names
}
