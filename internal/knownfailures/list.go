// Package knownfailures runs a `go test` command and accepts the failures of the tests in a list. Any other failure
// fails the run.
//
// The list, KNOWN-RED.txt, has one line for each test: its import path and name, the command and seed that reproduce
// the failure, the observed failure, and the issue. Listed tests run like any other test and their results are printed.
//
// These are unexpected failures, which fail the run: the failure of an unlisted test, a package that does not build, a
// panic, a timeout, a data race, and a failed check after the tests of a package, such as one for leaked goroutines.
// Because such a check is often skipped after a test has failed, each package in which only listed tests failed is run
// again without its listed tests. This second run must pass.
package knownfailures

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// List is the content of a file that lists known failures.
type List struct {
	File    string // file name, used in messages
	Entries []Entry
}

// ReadList reads a list from a file. A missing file is an error.
func ReadList(path string) (*List, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return ParseList(path, file)
}

// ParseList parses a list. It skips empty lines and lines that start with #. The error names the file and the line of
// each malformed entry.
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
		errs = append(errs, fmt.Errorf("read %s: %w", file, err))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return list, nil
}

// add appends an entry. It returns an error if the test is already listed.
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

// testNames returns the names of the listed tests of a package.
func (l *List) testNames(importPath string) []string {
	var names []string
	for _, entry := range l.Entries {
		if entry.Test.Package == importPath {
			names = append(names, entry.Test.Name)
		}
	}
	return names
}
