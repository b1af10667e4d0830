package knownfailures

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseList(t *testing.T) {
	const text = "# a comment\n\n" +
		"example.com/fleet/lease.v2.TestExpiry | the lease outlives its holder | issue 22\n" +
		"  fleet.TestÜber_2|cause: a race, seen once|issue 7\t\r\n"
	list, err := ParseList("KNOWN-RED.txt", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{
		{Test: TestID{"example.com/fleet/lease.v2", "TestExpiry"}, Cause: "the lease outlives its holder", Issue: "issue 22", Line: 3},
		{Test: TestID{"fleet", "TestÜber_2"}, Cause: "cause: a race, seen once", Issue: "issue 7", Line: 4},
	}
	if diff := cmp.Diff(want, list.Entries); diff != "" {
		t.Error(diff)
	}
}

func TestParseListNamesFileAndLineOfWhatIsWrong(t *testing.T) {
	const good = "fleet.TestA | cause | issue 1\nfleet.TestB | cause | issue 2\nfleet.TestC | cause | issue 3\n"
	for _, test := range []struct {
		name, text, want string
	}{
		{"a fourth line", good + "\n# more\nfleet.TestD | cause | issue 4\n", "red.txt:6: more than 3 tests are listed"},
		{"a test twice", "fleet.TestA | cause | issue 1\nfleet.TestA | cause | issue 2\n", "red.txt:2: fleet.TestA is listed twice"},
		{"too few fields", "# c\nfleet.TestA | cause\n", "red.txt:2: 2 fields, want"},
		{"too many fields", "fleet.TestA | cause | issue 1 | note\n", "red.txt:1: 4 fields, want"},
		{"words alone", "TestA fails now and then\n", "red.txt:1: 1 fields, want"},
		{"no package", "TestA | cause | issue 1\n", `red.txt:1: "TestA" is not of the form import/path.TestName`},
		{"a subtest", "fleet.TestA/sub | cause | issue 1\n", `red.txt:1: "fleet.TestA/sub" is not of the form`},
		{"a pattern", "fleet.Test.* | cause | issue 1\n", `red.txt:1: "fleet.Test.*" is not of the form`},
		{"all packages", "fleet/....TestA x | cause | issue 1\n", `red.txt:1: "fleet/....TestA x" is not of the form`},
		{"no test", "fleet.Lease | cause | issue 1\n", `red.txt:1: "fleet.Lease" is not of the form`},
		{"no cause", "fleet.TestA |  | issue 1\n", "red.txt:1: the cause is missing"},
		{"no issue", "fleet.TestA | cause | \n", `red.txt:1: "" is not of the form`},
		{"an issue with no number", "fleet.TestA | cause | later\n", `red.txt:1: "later" is not of the form`},
		{"the second of two faults", "x\nfleet.TestA | cause | 4\n", "\nred.txt:2: "},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, err := ParseList("red.txt", strings.NewReader(test.text))
			if err == nil {
				t.Fatalf("no error, and %d entries", len(list.Entries))
			}
			if !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %q, want %q in it", err, test.want)
			}
		})
	}
}

func TestReadListNeedsTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if _, err := ReadList(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("error %v, want one that names %s", err, path)
	}
}

// TestListOfTheProject keeps a malformed line from waiting for the whole run.
func TestListOfTheProject(t *testing.T) {
	if _, err := ReadList("../../KNOWN-RED.txt"); err != nil {
		t.Error(err)
	}
}
