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
	testIDPattern = regexp.MustCompile(`^([^\s:]+)\.((?:Test|Fuzz|Example)[\pL\pN_]*)$`)
	issuePattern  = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// TestID names a top-level test of a package.
type TestID struct {
	Package string // import path
	Name    string
}

// String is the test as it stands in the list.
func (id TestID) String() string { return id.Package + "." + id.Name }

// Entry is one line of the list: a test that is known to fail.
type Entry struct {
	Test     TestID
	Command  string // runs the test or its package, with the seed of the failure
	Observed string // what was seen
	Issue    string
	Line     int // in the file
}

// parseEntry reads one line of the list.
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
	return relative && strings.HasSuffix(importPath, "/"+folder)
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
