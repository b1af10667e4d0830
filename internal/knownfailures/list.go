// Package knownfailures runs a `go test` command and passes over the failures of the tests that a list names, and over
// nothing else.
//
// The list, KNOWN-RED.txt, has one line for each test: its import path and name, the command and seed that show the
// failure, what was seen, and the issue. A listed test is run like any other and its result is printed. What fails beside
// the listed tests fails the run: another test, a package that does not build, a panic, a time limit, a data race, or a
// check after the tests of a package, such as one for leaked goroutines. Because such a check is often left out once a
// test has failed, each package whose failure is passed over is run again without its listed tests, and has to pass.
package knownfailures

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// List is the content of a file of known failures.
type List struct {
	File    string // its name, for messages
	Entries []Entry
}

// ReadList reads the list from a file. A missing file is an error.
func ReadList(path string) (*List, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return ParseList(path, file)
}

// ParseList reads a list. Its error names the file and the line of each malformed entry.
func ParseList(file string, in io.Reader) (*List, error) {
	list := &List{File: file}
	var errs []error
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
			errs = append(errs, fmt.Errorf("%s:%d: %w", file, number, err))
		}
	}
	if err := lines.Err(); err != nil {
		errs = append(errs, fmt.Errorf("%s: %w", file, err))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return list, nil
}

// add appends an entry; a test may be listed once.
func (l *List) add(entry Entry, line int) error {
	if l.contains(entry.Test) {
		return fmt.Errorf("%s is listed twice", entry.Test)
	}
	entry.Line = line
	l.Entries = append(l.Entries, entry)
	return nil
}

// contains reports whether a test is listed.
func (l *List) contains(test TestID) bool {
	for _, entry := range l.Entries {
		if entry.Test == test {
			return true
		}
	}
	return false
}

// testNames has the names of the tests that are listed for a package.
func (l *List) testNames(importPath string) []string {
	var names []string
	for _, entry := range l.Entries {
		if entry.Test.Package == importPath {
			names = append(names, entry.Test.Name)
		}
	}
	return names
}
