// Command cicheck runs a test command and accepts exactly the failures of the tests in a list. Package knownfailures
// documents the rules. The exit status is 0 if there is no other failure, 1 if there is one or the command cannot be
// run, and 2 if the list cannot be read or no command is given.
//
//	cicheck KNOWN-RED.txt go test -race ./...
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"marblelane/internal/knownfailures"
)

// The exit statuses of the program.
const (
	statusPassed = 0 // no unexpected failure
	statusFailed = 1 // an unexpected failure, or the command cannot be run
	statusUsage  = 2 // the list or the arguments are invalid
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs the command with the given arguments and returns its exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) < 2 {
		fmt.Fprintln(errOut, "usage: cicheck LIST go test [flags] packages")
		return statusUsage
	}
	list, err := knownfailures.ReadList(args[0])
	if err != nil {
		fmt.Fprintln(errOut, err)
		return statusUsage
	}
	runner := &knownfailures.Runner{List: list, Out: out, ErrOut: errOut}
	if err := runner.Run(ctx, args[1:]); err != nil {
		fmt.Fprintln(errOut, err)
		return statusFailed
	}
	return statusPassed
}
