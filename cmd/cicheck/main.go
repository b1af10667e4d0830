// Command cicheck runs a test command and passes over exactly the failures of the tests that a list names; the package
// knownfailures has the rules. It exits with 0 if nothing else failed, with 1 if something did or the command cannot be
// run, and with 2 if the list cannot be read or no command is given.
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
	statusPassed = 0
	statusFailed = 1
	statusUsage  = 2 // the list or the arguments are wrong
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run carries out the program with its arguments, and returns its exit status.
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
