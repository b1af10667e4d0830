package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	const validEntry = "fleet.TestA | go test -run TestA ./... | late | issue 1\n"
	for _, test := range []struct {
		name    string
		list    string
		command []string
		status  int
		want    string // text that the error output contains
	}{
		{"no command", validEntry, nil, statusUsage, "usage: cicheck LIST go test"},
		{"a malformed line", validEntry + "fleet.TestB\n", []string{"go", "test", "./..."}, statusUsage, "KNOWN-RED.txt:2: 1 fields, want"},
		{
			"a cause instead of command and observation", "fleet.TestA | cause | issue 1\n", []string{"go", "test", "./..."}, statusUsage,
			"KNOWN-RED.txt:1: 3 fields, want `import/path.TestName | command and seed | what was seen | issue NUMBER`",
		},
		{"not go test", validEntry, []string{"true", "test", "./..."}, statusFailed, "is not of the form `go test [flags] packages`"},
		{"no such package", validEntry, []string{"go", "test", "marblelane/cmd/cicheck/absent"}, statusFailed, "unexpected failures, not covered by"},
	} {
		t.Run(test.name, func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(list, []byte(test.list), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errOut strings.Builder
			status := run(t.Context(), append([]string{list}, test.command...), &out, &errOut)
			if status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			if !strings.Contains(errOut.String(), test.want) {
				t.Errorf("%q is not in the error output %q", test.want, errOut.String())
			}
		})
	}
}

func TestRun_missingList(t *testing.T) {
	var out, errOut strings.Builder
	path := filepath.Join(t.TempDir(), "absent.txt")
	if status := run(t.Context(), []string{path, "go", "test", "./..."}, &out, &errOut); status != statusUsage {
		t.Errorf("status %d, want %d", status, statusUsage)
	}
	if !strings.Contains(errOut.String(), path) {
		t.Errorf("error output %q does not name %s", errOut.String(), path)
	}
}

func TestRun_allPass(t *testing.T) {
	list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(list, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut strings.Builder
	const testedPackage = "marblelane/internal/fault"
	if status := run(t.Context(), []string{list, "go", "test", testedPackage}, &out, &errOut); status != statusPassed {
		t.Errorf("status %d: %s%s", status, &out, &errOut)
	}
	if !strings.Contains(out.String(), "ok  \t"+testedPackage+"\t") {
		t.Errorf("no summary line in %q", &out)
	}
}
