package knownfailures

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// stream builds the output of `go test -json`.
type stream struct{ text strings.Builder }

func (s *stream) add(e event) *stream {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	s.text.Write(append(line, '\n'))
	return s
}

func (s *stream) output(importPath, test, text string) *stream {
	return s.add(event{Action: actionOutput, Package: importPath, Test: test, Output: text})
}

func (s *stream) begin(importPath, test string) *stream {
	return s.add(event{Action: actionRun, Package: importPath, Test: test}).
		output(importPath, test, "=== RUN   "+test+"\n")
}

// test is a test that prints a line of its own and ends.
func (s *stream) test(importPath, test, result string) *stream {
	s.begin(importPath, test).output(importPath, test, "    printed by "+test+"\n")
	return s.ended(importPath, test, result)
}

func (s *stream) ended(importPath, test, result string) *stream {
	return s.output(importPath, test, "--- "+strings.ToUpper(result)+": "+test+" (0.00s)\n").
		add(event{Action: result, Package: importPath, Test: test})
}

func (s *stream) passed(importPath string) *stream {
	return s.output(importPath, "", "PASS\n").output(importPath, "", "ok  \t"+importPath+"\t0.1s\n").
		add(event{Action: actionPass, Package: importPath})
}

func (s *stream) failed(importPath string) *stream {
	return s.output(importPath, "", "FAIL\n").aborted(importPath)
}

// aborted is a package that fails without the line which tells that its tests were through.
func (s *stream) aborted(importPath string) *stream {
	return s.output(importPath, "", "FAIL\t"+importPath+"\t0.1s\n").
		add(event{Action: actionFail, Package: importPath})
}

const listed = "fleet/lease.TestListed | go test -run TestListed ./... | the lease outlives its holder | issue 22\n"

func judge(t *testing.T, list string, s *stream, status int) (*Judge, string, error) {
	t.Helper()
	parsed, err := ParseList("KNOWN-RED.txt", strings.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	j := NewJudge(parsed, &out)
	if err := j.Read(strings.NewReader(s.text.String())); err != nil {
		t.Fatal(err)
	}
	j.Finish(status)
	err = j.Report()
	return j, out.String(), err
}

func TestJudge(t *testing.T) {
	const pkg = "fleet/lease"
	for _, test := range []struct {
		name     string
		list     string
		events   func(s *stream)
		status   int
		problems []string // nil: CI passes
		again    []string // packages to run again without their listed tests
	}{
		{
			name:   "all pass and none is listed",
			events: func(s *stream) { s.test(pkg, "TestA", "pass").passed(pkg) },
		},
		{
			name: "a listed test fails",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestA", "pass").test(pkg, "TestListed", "fail").failed(pkg)
				s.test("fleet/quorum", "TestQ", "pass").passed("fleet/quorum")
			},
			status: 1,
			again:  []string{pkg},
		},
		{
			name: "a listed test fails in a subtest",
			list: listed,
			events: func(s *stream) {
				s.begin(pkg, "TestListed").test(pkg, "TestListed/late", "fail").test(pkg, "TestListed/early", "pass")
				s.ended(pkg, "TestListed", "fail").failed(pkg)
			},
			status: 1,
			again:  []string{pkg},
		},
		{
			name:   "a listed test passes",
			list:   listed,
			events: func(s *stream) { s.test(pkg, "TestListed", "pass").passed(pkg) },
		},
		{
			name:     "a listed test is skipped",
			list:     listed,
			events:   func(s *stream) { s.test(pkg, "TestListed", "skip").passed(pkg) },
			problems: []string{"KNOWN-RED.txt:1: fleet/lease.TestListed skipped itself: a listed test has to run"},
		},
		{
			name: "a listed test fails once of two times",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "fail").test(pkg, "TestListed", "pass").failed(pkg)
			},
			status: 1,
			again:  []string{pkg},
		},
		{
			name:     "another test fails and none is listed",
			events:   func(s *stream) { s.test(pkg, "TestA", "fail").failed(pkg) },
			status:   1,
			problems: []string{"fleet/lease.TestA failed and is not listed"},
		},
		{
			name: "another test fails beside a listed one",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "fail").test(pkg, "TestA", "fail").failed(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease.TestA failed and is not listed"},
		},
		{
			name: "a test whose name begins with a listed one's fails",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "pass").test(pkg, "TestListedToo", "fail").failed(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease.TestListedToo failed and is not listed"},
		},
		{
			name: "the test of another package with a listed one's name fails",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "pass").passed(pkg)
				s.test("fleet/quorum", "TestListed", "fail").failed("fleet/quorum")
			},
			status:   1,
			problems: []string{"fleet/quorum.TestListed failed and is not listed"},
		},
		{
			name: "the package of a listed test does not build",
			list: listed,
			events: func(s *stream) {
				s.add(event{Action: actionBuildOutput, Output: "lease.go:3: undefined: x\n"})
				s.output(pkg, "", "FAIL\t"+pkg+" [build failed]\n")
				s.add(event{Action: actionFail, Package: pkg, FailedBuild: pkg})
				s.test("fleet/quorum", "TestQ", "pass").passed("fleet/quorum")
			},
			status:   1,
			problems: []string{"fleet/lease does not build"},
		},
		{
			name:     "a check after the tests fails",
			events:   func(s *stream) { s.test(pkg, "TestA", "pass").aborted(pkg) },
			status:   1,
			problems: []string{"fleet/lease failed beside its tests"},
		},
		{
			name: "a check after the tests fails and a listed test passed",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "pass").output(pkg, "", "PASS\n").aborted(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease failed beside its tests"},
		},
		{
			name: "a listed test panics",
			list: listed,
			events: func(s *stream) {
				s.begin(pkg, "TestListed").output(pkg, "TestListed", "--- FAIL: TestListed (0.00s)\n")
				s.output(pkg, "TestListed", "panic: boom [recovered, repanicked]\n")
				s.add(event{Action: actionFail, Package: pkg, Test: "TestListed"}).aborted(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease ended before its tests were through"},
		},
		{
			name: "a goroutine of a listed test panics",
			list: listed,
			events: func(s *stream) {
				s.begin(pkg, "TestListed").output(pkg, "TestListed", "panic: boom\n").aborted(pkg)
			},
			status: 1,
			problems: []string{
				"fleet/lease.TestListed did not end",
				"fleet/lease failed beside its tests",
				"KNOWN-RED.txt:1: no test fleet/lease.TestListed ran to its end",
			},
		},
		{
			name: "the process panics once its tests are through",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "fail").output(pkg, "", "FAIL\n").output(pkg, "", "panic: late\n").aborted(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease ended before its tests were through"},
		},
		{
			name: "the time limit ends another test after a listed one failed",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "fail").begin(pkg, "TestSlow")
				s.output(pkg, "TestSlow", "panic: test timed out after 10m0s\n").aborted(pkg)
			},
			status: 1,
			problems: []string{
				"fleet/lease.TestSlow did not end",
				"fleet/lease ended before its tests were through",
			},
		},
		{
			name: "a listed test reports a race",
			list: listed,
			events: func(s *stream) {
				s.begin(pkg, "TestListed").output(pkg, "TestListed", "WARNING: DATA RACE\n")
				s.ended(pkg, "TestListed", "fail").failed(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease reports a data race"},
		},
		{
			name: "a race is reported outside the tests",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "fail").output(pkg, "", "WARNING: DATA RACE\n").failed(pkg)
			},
			status:   1,
			problems: []string{"fleet/lease reports a data race"},
		},
		{
			name:     "a listed test is not there",
			list:     listed,
			events:   func(s *stream) { s.test(pkg, "TestA", "pass").passed(pkg) },
			problems: []string{"KNOWN-RED.txt:1: no test fleet/lease.TestListed ran to its end"},
		},
		{
			name:     "a listed test's package is not there",
			list:     "# c\n" + listed,
			events:   func(s *stream) { s.test("fleet/quorum", "TestQ", "pass").passed("fleet/quorum") },
			problems: []string{"KNOWN-RED.txt:2: no package fleet/lease was tested"},
		},
		{
			name:     "go test fails with no failed package",
			events:   func(s *stream) { s.test(pkg, "TestA", "pass").passed(pkg) },
			status:   1,
			problems: []string{"go test ended with status 1, and 0 packages failed"},
		},
		{
			name:     "go test is ended by a signal",
			list:     listed,
			events:   func(s *stream) { s.test(pkg, "TestListed", "fail").failed(pkg) },
			status:   -1,
			problems: []string{"go test ended with status -1, and 1 packages failed"},
		},
		{
			name: "the events break off",
			list: listed,
			events: func(s *stream) {
				s.test(pkg, "TestListed", "fail").failed(pkg).begin("fleet/quorum", "TestQ")
			},
			status:   1,
			problems: []string{"fleet/quorum did not end"},
		},
		{
			name:     "no test ran",
			events:   func(s *stream) { s.passed(pkg) },
			problems: []string{"no test ran"},
		},
		{
			name: "a line is no event",
			events: func(s *stream) {
				s.text.WriteString("fatal error\n{}\n")
				s.test(pkg, "TestA", "pass").passed(pkg)
			},
			problems: []string{
				`go test printed a line that is not an event: "fatal error"`,
				`go test printed a line that is not an event: "{}"`,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &stream{}
			test.events(s)
			j, out, err := judge(t, test.list, s, test.status)
			if diff := cmp.Diff(test.problems, j.problems); diff != "" {
				t.Error(diff)
			}
			if (err != nil) != (test.problems != nil) {
				t.Errorf("the report's error is %v", err)
			}
			if diff := cmp.Diff(test.again, j.passedOver()); diff != "" {
				t.Error(diff)
			}
			for _, problem := range test.problems {
				if !strings.Contains(out, "not passed over: "+problem+"\n") {
					t.Errorf("%q is not printed in:\n%s", problem, out)
				}
			}
		})
	}
}

func TestJudgePrintsWhatGoTestPrints(t *testing.T) {
	s := &stream{}
	s.add(event{Action: actionBuildOutput, Output: "relay.go:3: undefined: x\n"})
	s.test("fleet/lease", "TestA", "pass").begin("fleet/lease", "TestB").test("fleet/lease", "TestB/sub", "fail")
	s.ended("fleet/lease", "TestB", "fail").failed("fleet/lease")
	s.test("fleet/quorum", "TestQ", "pass").passed("fleet/quorum")
	s.output("fleet/wire", "", "?   \tfleet/wire\t[no test files]\n").add(event{Action: actionSkip, Package: "fleet/wire"})
	_, out, _ := judge(t, "", s, 1)
	const want = "relay.go:3: undefined: x\n" +
		"    printed by TestB/sub\n--- FAIL: TestB/sub (0.00s)\n--- FAIL: TestB (0.00s)\nFAIL\nFAIL\tfleet/lease\t0.1s\n" +
		"ok  \tfleet/quorum\t0.1s\n" +
		"?   \tfleet/wire\t[no test files]\n" +
		"not passed over: fleet/lease.TestB failed and is not listed\nFAIL\n"
	if diff := cmp.Diff(want, out); diff != "" {
		t.Error(diff)
	}
}

func TestReportNamesEachListedTest(t *testing.T) {
	const list = "fleet/lease.TestRed | go test -run TestRed ./... -args -seed 7 | late | issue 1\n" +
		"fleet/lease.TestGreen | go test fleet/lease | early | issue 2\n"
	s := &stream{}
	s.test("fleet/lease", "TestRed", "fail").test("fleet/lease", "TestGreen", "pass")
	s.failed("fleet/lease")
	s.test("fleet/quorum", "TestQ", "pass").passed("fleet/quorum")
	_, out, err := judge(t, list, s, 1)
	if err != nil {
		t.Error(err)
	}
	const want = "tests listed in KNOWN-RED.txt:\n" +
		"    fleet/lease.TestRed failed, as listed (issue 1)\n" +
		"        command: go test -run TestRed ./... -args -seed 7\n        seen: late\n" +
		"    fleet/lease.TestGreen PASSED: if its fault is fixed, remove its entry (issue 2)\n" +
		"        command: go test fleet/lease\n        seen: early\n" +
		"FAIL\tfleet/lease\t0.1s\nok  \tfleet/quorum\t0.1s\n"
	if !strings.HasSuffix(out, want) {
		t.Errorf("the output does not end with\n%s\nbut is\n%s", want, out)
	}
}

func TestReport_allPass(t *testing.T) {
	s := &stream{}
	s.test("fleet/lease", "TestListed", "pass").passed("fleet/lease")
	_, out, err := judge(t, listed, s, 0)
	if err != nil {
		t.Error(err)
	}
	const want = "ok  \tfleet/lease\t0.1s\n" +
		"tests listed in KNOWN-RED.txt:\n" +
		"    fleet/lease.TestListed PASSED: if its fault is fixed, remove its entry (issue 22)\n" +
		"        command: go test -run TestListed ./...\n" +
		"        seen: the lease outlives its holder\n" +
		"ok  \tfleet/lease\t0.1s\n"
	if diff := cmp.Diff(want, out); diff != "" {
		t.Error(diff)
	}
}
