package knownfailures

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseList(t *testing.T) {
	const text = "# a comment\n\n" +
		"example.com/fleet/lease.v2.TestExpiry | go test -run=^TestExpiry$ ./... -args -seed=7 | too late | issue 22\n" +
		"  fleet.TestÜber_2|go test -race fleet, seed 3|a race: seen once|issue 7\t\r\n"
	list, err := ParseList("KNOWN-RED.txt", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{
		{
			Test:     TestID{"example.com/fleet/lease.v2", "TestExpiry"},
			Command:  "go test -run=^TestExpiry$ ./... -args -seed=7",
			Observed: "too late",
			Issue:    "issue 22",
			Line:     3,
		},
		{
			Test:     TestID{"fleet", "TestÜber_2"},
			Command:  "go test -race fleet, seed 3",
			Observed: "a race: seen once",
			Issue:    "issue 7",
			Line:     4,
		},
	}
	if diff := cmp.Diff(want, list.Entries); diff != "" {
		t.Error(diff)
	}
}

func TestParseList_commands(t *testing.T) {
	for _, command := range []string{
		"go test -run TestA ./...",
		"go test -run=^TestA$ ./...",
		"go test -run='^(TestZ/TestA)$' ./...",
		"go test -run TestA/late ./internal/lease -args -seed 7",
		"go test -race -count=20 ./internal/lease",
		"go test -race ./lease -args -seed 7",
		"go test fleet/internal/lease",
	} {
		t.Run(command, func(t *testing.T) {
			list, err := ParseList("red.txt", strings.NewReader("fleet/internal/lease.TestA | "+command+" | late | issue 1\n"))
			if err != nil {
				t.Fatal(err)
			}
			if got := list.Entries[0].Command; got != command {
				t.Errorf("command %q, want %q", got, command)
			}
		})
	}
}

// The number of entries is not limited.
func TestParseList_tenEntries(t *testing.T) {
	const entryCount = 10
	var text strings.Builder
	for i := range entryCount {
		fmt.Fprintf(&text, "fleet.Test%d | go test -run Test%d ./... | late | issue %d\n", i, i, i+1)
	}
	list, err := ParseList("red.txt", strings.NewReader(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(list.Entries) != entryCount {
		t.Fatalf("%d entries, want %d", len(list.Entries), entryCount)
	}
	for i, entry := range list.Entries {
		if want := fmt.Sprintf("fleet.Test%d", i); entry.Test.String() != want {
			t.Errorf("entry %d lists %s, want %s", i, entry.Test, want)
		}
	}
}

func TestParseList_malformed(t *testing.T) {
	const wantForm = "want `import/path.TestName | command and seed | what was seen | issue NUMBER`"
	const validEntry = "fleet.TestA | go test -run TestA ./... | late | issue 1\n"
	maxObserved := strings.Repeat("ü", maxObservedLength)
	if _, err := ParseList("red.txt", strings.NewReader("fleet.TestA | go test fleet | "+maxObserved+" | issue 1\n")); err != nil {
		t.Errorf("a description of %d characters is rejected: %v", maxObservedLength, err)
	}
	for _, test := range []struct {
		name, text, want string
	}{
		{"a test listed twice", validEntry + "fleet.TestA | go test fleet | late | issue 2\n", "red.txt:2: fleet.TestA is listed twice"},
		{"a cause instead of command and observation", "# c\nfleet.TestA | cause | issue 1\n", "red.txt:2: 3 fields, " + wantForm},
		{"too few fields", "# c\nfleet.TestA | go test fleet\n", "red.txt:2: 2 fields, " + wantForm},
		{"too many fields", "fleet.TestA | go test fleet | late | issue 1 | note\n", "red.txt:1: 5 fields, " + wantForm},
		{"no fields", "TestA fails now and then\n", "red.txt:1: 1 fields, " + wantForm},
		{
			"no package", "TestA | go test fleet | late | issue 1\n",
			`red.txt:1: "TestA" is not of the form import/path.TestName`,
		},
		{
			"a subtest", "fleet.TestA/sub | go test fleet | late | issue 1\n",
			`red.txt:1: "fleet.TestA/sub" is not of the form`,
		},
		{"a pattern", "fleet.Test.* | go test fleet | late | issue 1\n", `red.txt:1: "fleet.Test.*" is not of the form`},
		{
			"a package pattern", "fleet/....TestA x | go test fleet | late | issue 1\n",
			`red.txt:1: "fleet/....TestA x" is not of the form`,
		},
		{"not a test name", "fleet.Lease | go test fleet | late | issue 1\n", `red.txt:1: "fleet.Lease" is not of the form`},
		{"no command", "fleet.TestA |  | late | issue 1\n", "red.txt:1: the command is missing"},
		{
			"not a go command", "fleet.TestA | fleet/run TestA | late | issue 1\n",
			"red.txt:1: the command \"fleet/run TestA\" does not begin with \"go test \"",
		},
		{"another subcommand", "fleet.TestA | go tests TestA | late | issue 1\n", "does not begin with"},
		{"no argument", "fleet.TestA | go test | late | issue 1\n", "does not begin with"},
		{
			"a command for all tests", "fleet.TestA | go test ./... | late | issue 1\n",
			`red.txt:1: the command "go test ./..." names neither TestA nor fleet`,
		},
		{"a command for a longer name", "fleet.TestA | go test -run TestAB ./... | late | issue 1\n", "names neither"},
		{"a command for another package", "fleet/release.TestA | go test ./lease | late | issue 1\n", "names neither"},
		{"a command for the current folder", "fleet/lease.TestA | go test ./ | late | issue 1\n", "names neither"},
		{"no observed failure", "fleet.TestA | go test fleet | | issue 1\n", "red.txt:1: the description of what was seen is missing"},
		{
			"too long a description", "fleet.TestA | go test fleet | " + maxObserved + "x | issue 1\n",
			"red.txt:1: the description of what was seen has 201 characters, at most 200 are allowed",
		},
		{"no issue", "fleet.TestA | go test fleet | late | \n", `red.txt:1: "" is not of the form`},
		{"an issue with no number", "fleet.TestA | go test fleet | late | later\n", `red.txt:1: "later" is not of the form`},
		{"two malformed entries", "x\nfleet.TestA | go test fleet | late | 4\n", "\nred.txt:2: "},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, err := ParseList("red.txt", strings.NewReader(test.text))
			if err == nil {
				t.Fatalf("no error, got %d entries", len(list.Entries))
			}
			if !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %q does not contain %q", err, test.want)
			}
		})
	}
}

func TestReadList_missingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if _, err := ReadList(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("error %v, want an error that names %s", err, path)
	}
}

// The list of this project is well-formed. This test finds a malformed entry without a run of .ci/run.
func TestReadList_projectList(t *testing.T) {
	if _, err := ReadList("../../KNOWN-RED.txt"); err != nil {
		t.Error(err)
	}
}
