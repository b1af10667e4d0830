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

// Runner runs a test command and accepts the failures of the listed tests.
type Runner struct {
	Dir    string    // directory of the module, empty for the current directory
	List   *List     // list of the known failures
	Out    io.Writer // receives the output of the tests and the report
	ErrOut io.Writer // receives the standard error of the go command
}

// Run runs a command of the form `go test [flags] packages`, such as `go test -race ./...`. The packages are a single
// argument, an import path or a pattern. Run returns an error if there are unexpected failures or if the command cannot
// be run.
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
			ev.addUnexpectedFailure("rerun of %s without its listed tests: %v", importPath, err)
		}
	}
	return ev.report()
}

// testCommand is a command of the form `go test [flags] packages`.
type testCommand struct {
	flags    []string // each flag includes its value: -flag=value
	packages string   // import path or pattern
}

// args returns the arguments of the go command.
func (c testCommand) args() []string {
	return slices.Concat([]string{"test"}, c.flags, []string{c.packages})
}

// parseTestCommand parses a command of the form `go test [flags] packages`.
func parseTestCommand(args []string) (testCommand, error) {
	if len(args) < 3 || args[0] != "go" || args[1] != "test" {
		return testCommand{}, fmt.Errorf("the test command %q is not of the form `go test [flags] packages`",
			strings.Join(args, " "))
	}
	last := len(args) - 1
	flags, packages := args[2:last], args[last]
	for _, flag := range flags {
		if !strings.HasPrefix(flag, "-") {
			return testCommand{}, fmt.Errorf(
				"the test command's argument %q is not a flag: write flags with a value as -flag=value", flag)
		}
	}
	if strings.HasPrefix(packages, "-") {
		return testCommand{}, fmt.Errorf("the test command's last argument %q does not name packages", packages)
	}
	return testCommand{flags: flags, packages: packages}, nil
}

// runAndEvaluate runs the test command, passes its events to the evaluator, and returns the exit status of the go
// command.
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

// rerunWithoutListedTests runs the unlisted tests of a package and prints their output. It returns an error if one of
// them or a check after the tests fails.
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
