package knownfailures

import (
	"encoding/json"
	"strings"
)

// eventStream builds the output of `go test -json`. Its methods append events.
type eventStream struct{ text strings.Builder }

func (s *eventStream) addEvent(e event) *eventStream {
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	s.text.Write(append(line, '\n'))
	return s
}

func (s *eventStream) addOutput(importPath, test, text string) *eventStream {
	return s.addEvent(event{Action: actionOutput, Package: importPath, Test: test, Output: text})
}

// addTestStart adds the start of a test.
func (s *eventStream) addTestStart(importPath, test string) *eventStream {
	return s.addEvent(event{Action: actionRun, Package: importPath, Test: test}).
		addOutput(importPath, test, "=== RUN   "+test+"\n")
}

// addTest adds a test that starts, prints a line and ends with a result, which is an action such as actionPass.
func (s *eventStream) addTest(importPath, test, result string) *eventStream {
	s.addTestStart(importPath, test).addOutput(importPath, test, "    printed by "+test+"\n")
	return s.addTestEnd(importPath, test, result)
}

// addTestEnd adds the end of a test that has started.
func (s *eventStream) addTestEnd(importPath, test, result string) *eventStream {
	return s.addOutput(importPath, test, "--- "+strings.ToUpper(result)+": "+test+" (0.00s)\n").
		addEvent(event{Action: result, Package: importPath, Test: test})
}

// addPassedPackage adds the end of a package whose tests passed.
func (s *eventStream) addPassedPackage(importPath string) *eventStream {
	return s.addOutput(importPath, "", "PASS\n").addOutput(importPath, "", "ok  \t"+importPath+"\t0.1s\n").
		addEvent(event{Action: actionPass, Package: importPath})
}

// addFailedPackage adds the end of a package that fails after all its tests have finished.
func (s *eventStream) addFailedPackage(importPath string) *eventStream {
	return s.addOutput(importPath, "", "FAIL\n").addAbortedPackage(importPath)
}

// addAbortedPackage adds the end of a package that fails without printing failLine, as if its tests had not finished.
func (s *eventStream) addAbortedPackage(importPath string) *eventStream {
	return s.addOutput(importPath, "", "FAIL\t"+importPath+"\t0.1s\n").
		addEvent(event{Action: actionFail, Package: importPath})
}
