package knownfailures

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestReport_listedTests(t *testing.T) {
	const list = "fleet/lease.TestRed | go test -run TestRed ./... -args -seed 7 | late | issue 1\n" +
		"fleet/lease.TestGreen | go test fleet/lease | early | issue 2\n"
	s := &eventStream{}
	s.addTest("fleet/lease", "TestRed", "fail").addTest("fleet/lease", "TestGreen", "pass")
	s.addFailedPackage("fleet/lease")
	s.addTest("fleet/quorum", "TestQ", "pass").addPassedPackage("fleet/quorum")
	_, out, err := evaluateEvents(t, list, s, 1)
	if err != nil {
		t.Error(err)
	}
	const want = "tests listed in KNOWN-RED.txt:\n" +
		"    fleet/lease.TestRed failed, as listed (issue 1)\n" +
		"        command: go test -run TestRed ./... -args -seed 7\n        observed: late\n" +
		"    fleet/lease.TestGreen PASSED: if its fault is fixed, remove its entry (issue 2)\n" +
		"        command: go test fleet/lease\n        observed: early\n" +
		"FAIL\tfleet/lease\t0.1s\nok  \tfleet/quorum\t0.1s\n"
	if !strings.HasSuffix(out, want) {
		t.Errorf("output does not end with\n%s\ngot\n%s", want, out)
	}
}

func TestReport_allPass(t *testing.T) {
	s := &eventStream{}
	s.addTest("fleet/lease", "TestListed", "pass").addPassedPackage("fleet/lease")
	_, out, err := evaluateEvents(t, listedEntry, s, 0)
	if err != nil {
		t.Error(err)
	}
	const want = "ok  \tfleet/lease\t0.1s\n" +
		"tests listed in KNOWN-RED.txt:\n" +
		"    fleet/lease.TestListed PASSED: if its fault is fixed, remove its entry (issue 22)\n" +
		"        command: go test -run TestListed ./...\n" +
		"        observed: the lease outlives its holder\n" +
		"ok  \tfleet/lease\t0.1s\n"
	if diff := cmp.Diff(want, out); diff != "" {
		t.Error(diff)
	}
}
