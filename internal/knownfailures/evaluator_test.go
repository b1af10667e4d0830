package knownfailures

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const listedEntry = "fleet/lease.TestListed | go test -run TestListed ./... | the lease outlives its holder | issue 22\n"

// evaluateEvents evaluates the events of a run with the given list. It returns the evaluator, its output, and the error
// of its report.
func evaluateEvents(t *testing.T, list string, s *eventStream, exitStatus int) (ev *evaluator, printed string, err error) {
	t.Helper()
	parsed, err := ParseList("KNOWN-RED.txt", strings.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	ev = newEvaluator(parsed, &out)
	if err := ev.readEvents(strings.NewReader(s.text.String())); err != nil {
		t.Fatal(err)
	}
	ev.checkWholeRun(exitStatus)
	err = ev.report()
	return ev, out.String(), err
}

func TestEvaluator(t *testing.T) {
	const pkg = "fleet/lease"
	for _, test := range []struct {
		name           string
		list           string
		events         func(s *eventStream)
		exitStatus     int
		wantUnexpected []string // unexpected failures, nil if the run passes
		rerun          []string // import paths of the packages to run again without their listed tests
	}{
		{
			name:   "all tests pass and none is listed",
			events: func(s *eventStream) { s.addTest(pkg, "TestA", "pass").addPassedPackage(pkg) },
		},
		{
			name: "a listed test fails",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestA", "pass").addTest(pkg, "TestListed", "fail").addFailedPackage(pkg)
				s.addTest("fleet/quorum", "TestQ", "pass").addPassedPackage("fleet/quorum")
			},
			exitStatus: 1,
			rerun:      []string{pkg},
		},
		{
			name: "a listed test fails in a subtest",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTestStart(pkg, "TestListed").addTest(pkg, "TestListed/late", "fail").addTest(pkg, "TestListed/early", "pass")
				s.addTestEnd(pkg, "TestListed", "fail").addFailedPackage(pkg)
			},
			exitStatus: 1,
			rerun:      []string{pkg},
		},
		{
			name:   "a listed test passes",
			list:   listedEntry,
			events: func(s *eventStream) { s.addTest(pkg, "TestListed", "pass").addPassedPackage(pkg) },
		},
		{
			name:           "a listed test is skipped",
			list:           listedEntry,
			events:         func(s *eventStream) { s.addTest(pkg, "TestListed", "skip").addPassedPackage(pkg) },
			wantUnexpected: []string{"KNOWN-RED.txt:1: fleet/lease.TestListed was skipped: a listed test must run"},
		},
		{
			name: "a listed test fails in one of two runs",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addTest(pkg, "TestListed", "pass").addFailedPackage(pkg)
			},
			exitStatus: 1,
			rerun:      []string{pkg},
		},
		{
			name:           "an unlisted test fails and none is listed",
			events:         func(s *eventStream) { s.addTest(pkg, "TestA", "fail").addFailedPackage(pkg) },
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease.TestA failed and is not listed"},
		},
		{
			name: "an unlisted test and a listed test fail",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addTest(pkg, "TestA", "fail").addFailedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease.TestA failed and is not listed"},
		},
		{
			name: "an unlisted test and two listed tests fail",
			list: listedEntry + "fleet/lease.TestListed2 | go test fleet/lease | late | issue 23\n",
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addTest(pkg, "TestListed2", "fail").addTest(pkg, "TestA", "fail").addFailedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease.TestA failed and is not listed"},
		},
		{
			name: "a test whose name starts with a listed name fails",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "pass").addTest(pkg, "TestListedToo", "fail").addFailedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease.TestListedToo failed and is not listed"},
		},
		{
			name: "a test with a listed name fails in another package",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "pass").addPassedPackage(pkg)
				s.addTest("fleet/quorum", "TestListed", "fail").addFailedPackage("fleet/quorum")
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/quorum.TestListed failed and is not listed"},
		},
		{
			name: "the package of a listed test does not build",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addEvent(event{Action: actionBuildOutput, Output: "lease.go:3: undefined: x\n"})
				s.addOutput(pkg, "", "FAIL\t"+pkg+" [build failed]\n")
				s.addEvent(event{Action: actionFail, Package: pkg, FailedBuild: pkg})
				s.addTest("fleet/quorum", "TestQ", "pass").addPassedPackage("fleet/quorum")
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease does not build"},
		},
		{
			name:           "a check after the tests fails",
			events:         func(s *eventStream) { s.addTest(pkg, "TestA", "pass").addAbortedPackage(pkg) },
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease failed outside its tests"},
		},
		{
			name: "a check after the tests fails and a listed test passed",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "pass").addOutput(pkg, "", "PASS\n").addAbortedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease failed outside its tests"},
		},
		{
			name: "a listed test panics",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTestStart(pkg, "TestListed").addOutput(pkg, "TestListed", "--- FAIL: TestListed (0.00s)\n")
				s.addOutput(pkg, "TestListed", "panic: boom [recovered, repanicked]\n")
				s.addEvent(event{Action: actionFail, Package: pkg, Test: "TestListed"}).addAbortedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease ended before its tests had finished"},
		},
		{
			name: "a goroutine of a listed test panics",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTestStart(pkg, "TestListed").addOutput(pkg, "TestListed", "panic: boom\n").addAbortedPackage(pkg)
			},
			exitStatus: 1,
			wantUnexpected: []string{
				"fleet/lease.TestListed did not finish",
				"fleet/lease failed outside its tests",
				"KNOWN-RED.txt:1: no test fleet/lease.TestListed ran to completion",
			},
		},
		{
			name: "the process panics after its tests",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addOutput(pkg, "", "FAIL\n").addOutput(pkg, "", "panic: late\n").addAbortedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease ended before its tests had finished"},
		},
		{
			name: "an unlisted test times out after a listed test failed",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addTestStart(pkg, "TestSlow")
				s.addOutput(pkg, "TestSlow", "panic: test timed out after 10m0s\n").addAbortedPackage(pkg)
			},
			exitStatus: 1,
			wantUnexpected: []string{
				"fleet/lease.TestSlow did not finish",
				"fleet/lease ended before its tests had finished",
			},
		},
		{
			name: "a listed test reports a race",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTestStart(pkg, "TestListed").addOutput(pkg, "TestListed", "WARNING: DATA RACE\n")
				s.addTestEnd(pkg, "TestListed", "fail").addFailedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease reports a data race"},
		},
		{
			name: "a race is reported outside the tests",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addOutput(pkg, "", "WARNING: DATA RACE\n").addFailedPackage(pkg)
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/lease reports a data race"},
		},
		{
			name:           "a listed test does not exist",
			list:           listedEntry,
			events:         func(s *eventStream) { s.addTest(pkg, "TestA", "pass").addPassedPackage(pkg) },
			wantUnexpected: []string{"KNOWN-RED.txt:1: no test fleet/lease.TestListed ran to completion"},
		},
		{
			name:           "the package of a listed test does not exist",
			list:           "# c\n" + listedEntry,
			events:         func(s *eventStream) { s.addTest("fleet/quorum", "TestQ", "pass").addPassedPackage("fleet/quorum") },
			wantUnexpected: []string{"KNOWN-RED.txt:2: no package fleet/lease was tested"},
		},
		{
			name:           "go test fails although no package failed",
			events:         func(s *eventStream) { s.addTest(pkg, "TestA", "pass").addPassedPackage(pkg) },
			exitStatus:     1,
			wantUnexpected: []string{"go test exited with status 1 although 0 packages failed"},
		},
		{
			name:           "a signal ends go test",
			list:           listedEntry,
			events:         func(s *eventStream) { s.addTest(pkg, "TestListed", "fail").addFailedPackage(pkg) },
			exitStatus:     -1,
			wantUnexpected: []string{"go test exited with status -1 although 1 packages failed"},
		},
		{
			name: "the events end early",
			list: listedEntry,
			events: func(s *eventStream) {
				s.addTest(pkg, "TestListed", "fail").addFailedPackage(pkg).addTestStart("fleet/quorum", "TestQ")
			},
			exitStatus:     1,
			wantUnexpected: []string{"fleet/quorum did not finish"},
		},
		{
			name:           "no test ran",
			events:         func(s *eventStream) { s.addPassedPackage(pkg) },
			wantUnexpected: []string{"no test ran"},
		},
		{
			name: "a line is not an event",
			events: func(s *eventStream) {
				s.text.WriteString("fatal error\n{}\n")
				s.addTest(pkg, "TestA", "pass").addPassedPackage(pkg)
			},
			wantUnexpected: []string{
				`go test printed a line that is not an event: "fatal error"`,
				`go test printed a line that is not an event: "{}"`,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &eventStream{}
			test.events(s)
			ev, out, err := evaluateEvents(t, test.list, s, test.exitStatus)
			if diff := cmp.Diff(test.wantUnexpected, ev.unexpectedFailures); diff != "" {
				t.Error(diff)
			}
			if (err != nil) != (test.wantUnexpected != nil) {
				t.Errorf("report returned error %v", err)
			}
			if diff := cmp.Diff(test.rerun, ev.packagesWithKnownFailures()); diff != "" {
				t.Error(diff)
			}
			for _, failure := range test.wantUnexpected {
				if !strings.Contains(out, "unexpected failure: "+failure+"\n") {
					t.Errorf("output does not contain %q:\n%s", failure, out)
				}
			}
		})
	}
}

func TestEvaluator_output(t *testing.T) {
	s := &eventStream{}
	s.addEvent(event{Action: actionBuildOutput, Output: "relay.go:3: undefined: x\n"})
	s.addTest("fleet/lease", "TestA", "pass").addTestStart("fleet/lease", "TestB").addTest("fleet/lease", "TestB/sub", "fail")
	s.addTestEnd("fleet/lease", "TestB", "fail").addFailedPackage("fleet/lease")
	s.addTest("fleet/quorum", "TestQ", "pass").addPassedPackage("fleet/quorum")
	s.addOutput("fleet/wire", "", "?   \tfleet/wire\t[no test files]\n").addEvent(event{Action: actionSkip, Package: "fleet/wire"})
	_, out, _ := evaluateEvents(t, "", s, 1)
	const want = "relay.go:3: undefined: x\n" +
		"    printed by TestB/sub\n--- FAIL: TestB/sub (0.00s)\n--- FAIL: TestB (0.00s)\nFAIL\nFAIL\tfleet/lease\t0.1s\n" +
		"ok  \tfleet/quorum\t0.1s\n" +
		"?   \tfleet/wire\t[no test files]\n" +
		"unexpected failure: fleet/lease.TestB failed and is not listed\nFAIL\n"
	if diff := cmp.Diff(want, out); diff != "" {
		t.Error(diff)
	}
}
