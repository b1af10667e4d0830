package knownfailures

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Source files of the packages of the module that the tests run.
const (
	listedFailurePackage = `package red

import "testing"

func TestListed(t *testing.T) { t.Run("sub", func(t *testing.T) { t.Error("the known fault") }) }
func TestFixed(t *testing.T) {}
func TestOther(t *testing.T)  {}
`
	passingPackage = `package green

import "testing"

func TestGreen(t *testing.T) {}
`
	unlistedFailurePackage = `package other

import "testing"

func TestOther(t *testing.T) { t.Error("a new fault") }
`
	// The check after the tests of this package fails. Like goleak.VerifyTestMain, it is skipped if a test has failed.
	failingExitCheckPackage = `package leaky

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if code == 0 {
		code = 3
	}
	os.Exit(code)
}

func TestListed(t *testing.T) { t.Error("the known fault") }
func TestOther(t *testing.T)  {}
`
	panickingPackage = `package panicking

import "testing"

func TestListed(t *testing.T) { panic("boom") }
func TestOther(t *testing.T)  {}
`
	racingPackage = `package racing

import "testing"

func TestListed(t *testing.T) {
	count, done := 0, make(chan struct{})
	go func() { count++; close(done) }()
	count++
	<-done
}
`
	brokenPackage = `package broken

import "testing"

func TestListed(t *testing.T) { undefined() }
`
)

// writeModule writes a module named scratch and returns its directory. Each package consists of one test file.
func writeModule(t *testing.T, packages map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{"go.mod": "module scratch\n\ngo 1.24\n"}
	for name, text := range packages {
		files[filepath.Join(name, name+"_test.go")] = text
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// runTestCommand runs a test command in the directory of a module and returns its output.
func runTestCommand(t *testing.T, dir, list string, command ...string) (string, error) {
	t.Helper()
	parsed, err := ParseList("KNOWN-RED.txt", strings.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	var out, errOut strings.Builder
	runner := &Runner{Dir: dir, List: parsed, Out: &out, ErrOut: &errOut}
	err = runner.Run(t.Context(), command)
	return out.String() + errOut.String(), err
}

func TestRunner(t *testing.T) {
	for _, test := range []struct {
		name     string
		packages map[string]string
		list     string
		flags    []string
		want     []string // texts that the output contains
		failed   bool
	}{
		{
			name:     "listed tests fail and pass",
			packages: map[string]string{"red": listedFailurePackage, "green": passingPackage},
			list: "scratch/red.TestListed | go test -run TestListed ./... | known | issue 1\n" +
				"scratch/red.TestFixed | go test -run TestFixed ./... | known | issue 2\n",
			want: []string{
				"red_test.go:5: the known fault\n",
				"--- FAIL: TestListed",
				"go test -skip=^(TestListed|TestFixed)$ scratch/red\nok  \tscratch/red\t",
				"scratch/red.TestListed failed, as listed (issue 1)\n" +
					"        command: go test -run TestListed ./...\n        observed: known\n",
				"scratch/red.TestFixed PASSED: ",
				"ok  \tscratch/green\t",
			},
		},
		{
			name:     "an unlisted test fails",
			packages: map[string]string{"red": listedFailurePackage, "other": unlistedFailurePackage},
			list:     "scratch/red.TestListed | go test -run TestListed ./... | known | issue 1\n",
			want:     []string{"a new fault\n", "unexpected failure: scratch/other.TestOther failed and is not listed\n"},
			failed:   true,
		},
		{
			name:     "a listed test does not exist",
			packages: map[string]string{"green": passingPackage},
			list:     "scratch/green.TestGone | go test -run TestGone ./... | known | issue 1\n",
			want:     []string{"unexpected failure: KNOWN-RED.txt:1: no test scratch/green.TestGone ran to completion\n"},
			failed:   true,
		},
		{
			name:     "a failed listed test hides a check after the tests",
			packages: map[string]string{"leaky": failingExitCheckPackage},
			list:     "scratch/leaky.TestListed | go test -run TestListed ./... | known | issue 1\n",
			want:     []string{"unexpected failure: rerun of scratch/leaky without its listed tests: exit status 1\n"},
			failed:   true,
		},
		{
			name:     "a listed test panics",
			packages: map[string]string{"panicking": panickingPackage},
			list:     "scratch/panicking.TestListed | go test -run TestListed ./... | known | issue 1\n",
			want:     []string{"panic: boom", "unexpected failure: scratch/panicking ended before its tests had finished\n"},
			failed:   true,
		},
		{
			name:     "a listed test has a data race",
			packages: map[string]string{"racing": racingPackage},
			list:     "scratch/racing.TestListed | go test -run TestListed ./... | known | issue 1\n",
			flags:    []string{"-race"},
			want:     []string{"WARNING: DATA RACE\n", "unexpected failure: scratch/racing reports a data race\n"},
			failed:   true,
		},
		{
			name:     "the package of a listed test does not build",
			packages: map[string]string{"broken": brokenPackage, "green": passingPackage},
			list:     "scratch/broken.TestListed | go test -run TestListed ./... | known | issue 1\n",
			want:     []string{"undefined: undefined\n", "unexpected failure: scratch/broken does not build\n", "ok  \tscratch/green\t"},
			failed:   true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := writeModule(t, test.packages)
			command := append(append([]string{"go", "test"}, test.flags...), "./...")
			out, err := runTestCommand(t, dir, test.list, command...)
			if (err != nil) != test.failed {
				t.Errorf("Run returned error %v", err)
			}
			for _, want := range test.want {
				if !strings.Contains(out, want) {
					t.Errorf("output does not contain %q", want)
				}
			}
			if t.Failed() {
				t.Log(out)
			}
		})
	}
}

// Ten listed tests fail. Each failure is accepted and reported.
func TestRunner_tenListedTests(t *testing.T) {
	const listedTestCount = 10
	var source, list strings.Builder
	source.WriteString("package red\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) {}\n")
	for i := range listedTestCount {
		fmt.Fprintf(&source, "func TestListed%d(t *testing.T) { t.Error(\"fault %d\") }\n", i, i)
		fmt.Fprintf(&list, "scratch/red.TestListed%d | go test -run TestListed%d ./... | fault %d | issue %d\n", i, i, i, i+1)
	}
	out, err := runTestCommand(t, writeModule(t, map[string]string{"red": source.String()}), list.String(), "go", "test", "./...")
	if err != nil {
		t.Error(err)
	}
	for i := range listedTestCount {
		want := fmt.Sprintf("    scratch/red.TestListed%d failed, as listed (issue %d)\n"+
			"        command: go test -run TestListed%d ./...\n        observed: fault %d\n", i, i+1, i, i)
		if !strings.Contains(out, want) {
			t.Errorf("output does not contain %q", want)
		}
	}
	if t.Failed() {
		t.Log(out)
	}
}

func TestRunner_malformedCommand(t *testing.T) {
	for _, test := range []struct {
		name    string
		command []string
		want    string
	}{
		{"not the go command", []string{"gotestsum", "./..."}, `"gotestsum ./..." is not of the form`},
		{"another subcommand", []string{"go", "vet", "./..."}, `"go vet ./..." is not of the form`},
		{"no packages", []string{"go", "test"}, `"go test" is not of the form`},
		{"a flag as last argument", []string{"go", "test", "-race"}, `last argument "-race" does not name packages`},
		{"a flag and its value as two arguments", []string{"go", "test", "-run", "TestA", "./..."}, `"TestA" is not a flag`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := runTestCommand(t, t.TempDir(), "", test.command...)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v does not contain %q", err, test.want)
			}
		})
	}
}
