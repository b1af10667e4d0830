// Command cicheck runs a test command and passes over the failures of the tests that a list names, and over nothing
// else; the package knownfailures has the rules. It ends with 0 if nothing else failed, with 1 if something did, and with 2
// if the list or the command is wrong.
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

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

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
	return 0
}
