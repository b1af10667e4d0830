package knownfailures

import (
	"encoding/json"
	"strings"
)

// eventStream builds the output of `go test -json`.
type eventStream struct{ text strings.Builder }

func (s *eventStream) add(e event) *eventStream {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	s.text.Write(append(line, '\n'))
	return s
}

func (s *eventStream) output(importPath, test, text string) *eventStream {
	return s.add(event{Action: actionOutput, Package: importPath, Test: test, Output: text})
}

// startTest is a test that has started.
func (s *eventStream) startTest(importPath, test string) *eventStream {
	return s.add(event{Action: actionRun, Package: importPath, Test: test}).
		output(importPath, test, "=== RUN   "+test+"\n")
}

// test is a test that starts, prints a line and ends with a result.
func (s *eventStream) test(importPath, test, result string) *eventStream {
	s.startTest(importPath, test).output(importPath, test, "    printed by "+test+"\n")
	return s.endTest(importPath, test, result)
}

// endTest is the end of a test that has started.
func (s *eventStream) endTest(importPath, test, result string) *eventStream {
	return s.output(importPath, test, "--- "+strings.ToUpper(result)+": "+test+" (0.00s)\n").
		add(event{Action: result, Package: importPath, Test: test})
}

func (s *eventStream) passed(importPath string) *eventStream {
	return s.output(importPath, "", "PASS\n").output(importPath, "", "ok  \t"+importPath+"\t0.1s\n").
		add(event{Action: actionPass, Package: importPath})
}

func (s *eventStream) failed(importPath string) *eventStream {
	return s.output(importPath, "", "FAIL\n").aborted(importPath)
}

// aborted is a package that fails without the line that is printed once all its tests have finished.
func (s *eventStream) aborted(importPath string) *eventStream {
	return s.output(importPath, "", "FAIL\t"+importPath+"\t0.1s\n").
		add(event{Action: actionFail, Package: importPath})
}
