package knownfailures

import "fmt"

// report prints the results of the listed tests, the summary line of each package, and the unexpected failures. It
// returns an error if there are unexpected failures.
func (ev *evaluator) report() error {
	if len(ev.list.Entries) > 0 {
		ev.reportEntries()
		for _, line := range ev.summaryLines {
			fmt.Fprint(ev.out, line)
		}
	}
	if len(ev.unexpectedFailures) == 0 {
		return nil
	}
	for _, failure := range ev.unexpectedFailures {
		fmt.Fprintln(ev.out, "unexpected failure:", failure)
	}
	fmt.Fprint(ev.out, failLine)
	return fmt.Errorf("%d unexpected failures, not covered by %s", len(ev.unexpectedFailures), ev.list.File)
}

// reportEntries prints each listed test with its result, including tests that passed.
func (ev *evaluator) reportEntries() {
	fmt.Fprintf(ev.out, "tests listed in %s:\n", ev.list.File)
	for _, entry := range ev.list.Entries {
		fmt.Fprintf(ev.out, "    %s %s (%s)\n", entry.Test, describeListedResult(ev.testResult(entry.Test)), entry.Issue)
		fmt.Fprintf(ev.out, "        command: %s\n", entry.Command)
		fmt.Fprintf(ev.out, "        observed: %s\n", entry.Observed)
	}
}

// describeListedResult returns the result of a listed test as a phrase for the report.
func describeListedResult(r result) string {
	switch r {
	case failed:
		return "failed, as listed"
	case passed:
		return "PASSED: if its fault is fixed, remove its entry"
	case skipped:
		return "was skipped"
	default:
		return "did not run to completion"
	}
}
