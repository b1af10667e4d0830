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
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// entryForm is an entry as it stands in the list, with its fields divided by fieldSeparator.
const (
	entryForm      = "import/path.TestName | command and seed | what was seen | issue NUMBER"
	fieldSeparator = "|"
	fieldsPerEntry = 4
)

// commandPrefix begins the command of each entry, so that it can be run as it stands.
const commandPrefix = "go test "

// maxObservedLength bounds what was seen, in characters: the issue has the rest.
const maxObservedLength = 200

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
	Test     TestID
	Command  string // runs the test or its package, with the seed of the failure
	Observed string // what was seen
	Issue    string
	Line     int
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
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != fieldsPerEntry {
		return Entry{}, fmt.Errorf("%d fields, want `%s`", len(fields), entryForm)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	test, err := parseTestID(fields[0])
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{Test: test, Command: fields[1], Observed: fields[2], Issue: fields[3]}
	if err := checkCommand(entry.Command, test); err != nil {
		return Entry{}, err
	}
	if err := checkObserved(entry.Observed); err != nil {
		return Entry{}, err
	}
	if !issueForm.MatchString(entry.Issue) {
		return Entry{}, fmt.Errorf("%q is not of the form `issue NUMBER`", entry.Issue)
	}
	return entry, nil
}

func parseTestID(text string) (TestID, error) {
	parts := testForm.FindStringSubmatch(text)
	if parts == nil {
		return TestID{}, fmt.Errorf("%q is not of the form import/path.TestName", text)
	}
	return TestID{Package: parts[1], Name: parts[2]}, nil
}

// checkCommand requires a `go test` command that names the test or its package.
func checkCommand(command string, test TestID) error {
	if command == "" {
		return errors.New("the command is missing")
	}
	if !strings.HasPrefix(command, commandPrefix) {
		return fmt.Errorf("the command %q does not begin with %q", command, commandPrefix)
	}
	for _, word := range commandWords(command) {
		if namesTest(word, test.Name) || namesPackage(word, test.Package) {
			return nil
		}
	}
	return fmt.Errorf("the command %q names neither %s nor %s", command, test.Name, test.Package)
}

// commandWords has the words of a command after its prefix. A comma may divide it from its seed.
func commandWords(command string) []string {
	return strings.FieldsFunc(strings.TrimPrefix(command, commandPrefix), func(r rune) bool {
		return r == ',' || unicode.IsSpace(r)
	})
}

// namesTest reports whether a word of a command, such as -run=^TestName$, has the name of a test in it. A longer name
// that contains it does not count.
func namesTest(word, name string) bool {
	identifiers := strings.FieldsFunc(word, func(r rune) bool {
		return r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
	return slices.Contains(identifiers, name)
}

// namesPackage reports whether a word of a command is the import path of a package, or its folder below the root of the
// module, such as ./internal/retry.
func namesPackage(word, importPath string) bool {
	if word == importPath {
		return true
	}
	folder, relative := strings.CutPrefix(word, "./")
	return relative && folder != "" && strings.HasSuffix(importPath, "/"+folder)
}

// checkObserved requires a short account of what was seen.
func checkObserved(observed string) error {
	if observed == "" {
		return errors.New("what was seen is missing")
	}
	if length := utf8.RuneCountInString(observed); length > maxObservedLength {
		return fmt.Errorf("what was seen has %d characters, at most %d are allowed", length, maxObservedLength)
	}
	return nil
}

func (l *List) add(entry Entry, line int) error {
	if l.has(entry.Test) {
		return fmt.Errorf("%s is listed twice", entry.Test)
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
