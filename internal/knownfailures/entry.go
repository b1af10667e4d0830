package knownfailures

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// The form of an entry in the list: fieldsPerEntry fields, separated by fieldSeparator.
const (
	entryForm      = "import/path.TestName | command and seed | what was seen | issue NUMBER"
	fieldSeparator = "|"
	fieldsPerEntry = 4
)

// commandPrefix is the required start of the command of an entry, so that the command can be run unchanged.
const commandPrefix = "go test "

// maxObservedLength is the maximum length of Entry.Observed, in characters. Details belong in the issue.
const maxObservedLength = 200

var (
	testIDPattern = regexp.MustCompile(`^([^\s:]+)\.((?:Test|Fuzz|Example)[\pL\pN_]*)$`)
	issuePattern  = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// TestID identifies a top-level test of a package.
type TestID struct {
	Package string // import path of the package of the test
	Name    string // name of the test function
}

// String returns the test in the form that the list uses.
func (id TestID) String() string { return id.Package + "." + id.Name }

// Entry is a line of the list: a test that is known to fail.
type Entry struct {
	Test     TestID
	Command  string // `go test` command that runs the test or its package, with the seed of the failure if there is one
	Observed string // how the test fails
	Issue    string // issue of the failure, in the form `issue NUMBER`
	Line     int    // line number of the entry in the file
}

// parseEntry parses and validates a line of the list.
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
	if !issuePattern.MatchString(entry.Issue) {
		return Entry{}, fmt.Errorf("%q is not of the form `issue NUMBER`", entry.Issue)
	}
	return entry, nil
}

func parseTestID(text string) (TestID, error) {
	match := testIDPattern.FindStringSubmatch(text)
	if match == nil {
		return TestID{}, fmt.Errorf("%q is not of the form import/path.TestName", text)
	}
	return TestID{Package: match[1], Name: match[2]}, nil
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

// commandWords returns the words that follow the prefix of a command. A comma separates words too, as in
// `go test ./lease, seed 3`.
func commandWords(command string) []string {
	return strings.FieldsFunc(strings.TrimPrefix(command, commandPrefix), func(r rune) bool {
		return r == ',' || unicode.IsSpace(r)
	})
}

// namesTest reports whether a word of a command, such as -run=^TestName$, contains the name of a test as a complete
// identifier.
func namesTest(word, name string) bool {
	identifiers := strings.FieldsFunc(word, func(r rune) bool {
		return r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
	return slices.Contains(identifiers, name)
}

// namesPackage reports whether a word of a command is the import path of a package or its directory relative to the
// root of the module, such as ./internal/retry.
func namesPackage(word, importPath string) bool {
	if word == importPath {
		return true
	}
	directory, relative := strings.CutPrefix(word, "./")
	return relative && strings.HasSuffix(importPath, "/"+directory)
}

// checkObserved requires a description of the failure of at most maxObservedLength characters.
func checkObserved(observed string) error {
	if observed == "" {
		return errors.New("the description of what was seen is missing")
	}
	if length := utf8.RuneCountInString(observed); length > maxObservedLength {
		return fmt.Errorf("the description of what was seen has %d characters, at most %d are allowed",
			length, maxObservedLength)
	}
	return nil
}
