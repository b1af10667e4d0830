package knownfailures

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strings"
)

// Runner runs a test command by a list.
type Runner struct {
	Dir    string // the module's; empty: the current one
	List   *List
	Out    io.Writer
	ErrOut io.Writer // what go itself says
}

// Run runs a command of the form `go test [flags] packages`, packages being one word, such as `go test -race ./...`.
// Its error tells that something failed beside the listed tests, or that the command cannot be run.
func (r *Runner) Run(ctx context.Context, command []string) error {
	flags, packages, err := splitCommand(command)
	if err != nil {
		return err
	}
	judge := NewJudge(r.List, r.Out)
	status, err := r.judged(ctx, judge, append(append([]string{"test", "-json"}, flags...), packages))
	if err != nil {
		return err
	}
	judge.Finish(status)
	for _, importPath := range judge.passedOver() {
		if err := r.without(ctx, judge, flags, importPath); err != nil {
			judge.problem("%s without its listed tests: %v", importPath, err)
		}
	}
	return judge.Report()
}

// splitCommand takes a test command apart into its flags and its packages.
func splitCommand(command []string) (flags []string, packages string, err error) {
	if len(command) < 3 || command[0] != "go" || command[1] != "test" {
		return nil, "", fmt.Errorf("the test command %q is not of the form `go test [flags] packages`", strings.Join(command, " "))
	}
	last := len(command) - 1
	for _, flag := range command[2:last] {
		if !strings.HasPrefix(flag, "-") {
			return nil, "", fmt.Errorf("the test command's %q is not a flag: write its values as -flag=value", flag)
		}
	}
	if strings.HasPrefix(command[last], "-") {
		return nil, "", fmt.Errorf("the test command's last word %q does not name packages", command[last])
	}
	return command[2:last], command[last], nil
}

// judged runs go, gives its events to the judge, and tells its exit status.
func (r *Runner) judged(ctx context.Context, judge *Judge, args []string) (int, error) {
	cmd := r.command(ctx, args)
	events, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	readErr := judge.Read(events)
	var exit *exec.ExitError
	err = cmd.Wait()
	if readErr != nil {
		return 0, readErr
	}
	if errors.As(err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, err
}

// without runs a package without its listed tests and prints what comes of it.
func (r *Runner) without(ctx context.Context, judge *Judge, flags []string, importPath string) error {
	var names []string
	for _, name := range r.List.of(importPath) {
		names = append(names, regexp.QuoteMeta(name))
	}
	args := append([]string{"test"}, flags...)
	args = append(args, "-skip=^("+strings.Join(names, "|")+")$", importPath)
	fmt.Fprintf(r.Out, "go %s\n", strings.Join(args, " "))
	output, err := r.command(ctx, args).Output()
	for line := range strings.Lines(string(output)) {
		fmt.Fprint(r.Out, line)
		judge.summarize(line)
	}
	return err
}

func (r *Runner) command(ctx context.Context, args []string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = r.Dir
	cmd.Stderr = r.ErrOut
	return cmd
}
