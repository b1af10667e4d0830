package knownfailures

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// Runner runs a test command and passes over the failures of the listed tests.
type Runner struct {
	Dir    string // of the module; empty for the current one
	List   *List
	Out    io.Writer // gets the output of the tests and the report
	ErrOut io.Writer // gets the standard error of the go command
}

// Run runs a command of the form `go test [flags] packages`, packages being one word, such as `go test -race ./...`.
// It returns an error if something failed beside the listed tests, or if the command cannot be run.
func (r *Runner) Run(ctx context.Context, words []string) error {
	command, err := parseTestCommand(words)
	if err != nil {
		return err
	}
	ev := newEvaluator(r.List, r.Out)
	exitStatus, err := r.runTests(ctx, ev, command)
	if err != nil {
		return err
	}
	ev.checkRun(exitStatus)
	for _, importPath := range ev.passedOver() {
		if err := r.rerunUnlisted(ctx, ev, command.flags, importPath); err != nil {
			ev.addFailure("%s without its listed tests: %v", importPath, err)
		}
	}
	return ev.report()
}

// testCommand is a command of the form `go test [flags] packages`.
type testCommand struct {
	flags    []string // each with its value, as -flag=value
	packages string   // import path or pattern
}

// args are the arguments of go.
func (c testCommand) args() []string {
	return slices.Concat([]string{"test"}, c.flags, []string{c.packages})
}

// parseTestCommand reads the words of a test command.
func parseTestCommand(words []string) (testCommand, error) {
	if len(words) < 3 || words[0] != "go" || words[1] != "test" {
		return testCommand{}, fmt.Errorf("the test command %q is not of the form `go test [flags] packages`",
			strings.Join(words, " "))
	}
	last := len(words) - 1
	flags, packages := words[2:last], words[last]
	for _, flag := range flags {
		if !strings.HasPrefix(flag, "-") {
			return testCommand{}, fmt.Errorf("the test command's %q is not a flag: write its values as -flag=value", flag)
		}
	}
	if strings.HasPrefix(packages, "-") {
		return testCommand{}, fmt.Errorf("the test command's last word %q does not name packages", packages)
	}
	return testCommand{flags: flags, packages: packages}, nil
}

// runTests runs the test command, lets the evaluator read its events, and returns the exit status of go.
func (r *Runner) runTests(ctx context.Context, ev *evaluator, command testCommand) (exitStatus int, err error) {
	command.flags = slices.Concat([]string{"-json"}, command.flags)
	cmd := r.goCommand(ctx, command)
	events, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	readErr := ev.readEvents(events)
	waitErr := cmd.Wait()
	if readErr != nil {
		return 0, readErr
	}
	var exit *exec.ExitError
	if errors.As(waitErr, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, waitErr
}

// rerunUnlisted runs the tests of a package that are not listed, and prints their output. It returns an error if one of
// them, or a check after them, fails.
func (r *Runner) rerunUnlisted(ctx context.Context, ev *evaluator, flags []string, importPath string) error {
	var names []string
	for _, name := range r.List.testNames(importPath) {
		names = append(names, regexp.QuoteMeta(name))
	}
	skip := "-skip=^(" + strings.Join(names, "|") + ")$"
	command := testCommand{flags: slices.Concat(flags, []string{skip}), packages: importPath}
	fmt.Fprintf(r.Out, "go %s\n", strings.Join(command.args(), " "))
	output, err := r.goCommand(ctx, command).Output()
	for line := range strings.Lines(string(output)) {
		fmt.Fprint(r.Out, line)
		ev.addSummary(line)
	}
	return err
}

func (r *Runner) goCommand(ctx context.Context, command testCommand) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "go", command.args()...)
	cmd.Dir = r.Dir
	cmd.Stderr = r.ErrOut
	return cmd
}
