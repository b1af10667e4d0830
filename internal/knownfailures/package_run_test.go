package knownfailures

import "testing"

func TestResult_string(t *testing.T) {
	for r, want := range map[result]string{
		unfinished: "unfinished", passed: "passed", failed: "failed", skipped: "skipped", skipped + 1: "result(4)",
	} {
		if got := r.String(); got != want {
			t.Errorf("String() = %q, want %q", got, want)
		}
	}
}
