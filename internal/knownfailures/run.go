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
func (r *Runner) Run(ctx context.Context, args []string) error {
	command, err := parseTestCommand(args)
	if err != nil {
		return err
	}
	ev := newEvaluator(r.List, r.Out)
	exitStatus, err := r.runAndEvaluate(ctx, ev, command)
	if err != nil {
		return err
	}
	ev.checkWholeRun(exitStatus)
	for _, importPath := range ev.packagesWithKnownFailures() {
		if err := r.rerunWithoutListedTests(ctx, ev, command.flags, importPath); err != nil {
			ev.addUnexpectedFailure("%s without its listed tests: %v", importPath, err)
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
func parseTestCommand(args []string) (testCommand, error) {
	if len(args) < 3 || args[0] != "go" || args[1] != "test" {
		return testCommand{}, fmt.Errorf("the test command %q is not of the form `go test [flags] packages`",
			strings.Join(args, " "))
	}
	last := len(args) - 1
	flags, packages := args[2:last], args[last]
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

// runAndEvaluate runs the test command, lets the evaluator read its events, and returns the exit status of go.
func (r *Runner) runAndEvaluate(ctx context.Context, ev *evaluator, command testCommand) (exitStatus int, err error) {
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

// rerunWithoutListedTests runs the tests of a package that are not listed, and prints their output. It returns an error if one of
// them, or a check after them, fails.
func (r *Runner) rerunWithoutListedTests(ctx context.Context, ev *evaluator, flags []string, importPath string) error {
	var names []string
	for _, name := range r.List.testNames(importPath) {
		names = append(names, regexp.QuoteMeta(name))
	}
	skipFlag := "-skip=^(" + strings.Join(names, "|") + ")$"
	command := testCommand{flags: slices.Concat(flags, []string{skipFlag}), packages: importPath}
	fmt.Fprintf(r.Out, "go %s\n", strings.Join(command.args(), " "))
	output, err := r.goCommand(ctx, command).Output()
	for line := range strings.Lines(string(output)) {
		fmt.Fprint(r.Out, line)
		ev.addSummaryLine(line)
	}
	return err
}

func (r *Runner) goCommand(ctx context.Context, command testCommand) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "go", command.args()...)
	cmd.Dir = r.Dir
	cmd.Stderr = r.ErrOut
	return cmd
}
