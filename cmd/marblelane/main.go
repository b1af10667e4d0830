// Command marblelane is what operators and developers run beside the sidecar: the list service and the lab.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// The ways a command ends.
const (
	exitOK    = 0
	exitFail  = 1 // an expectation or a rule was broken
	exitUsage = 2 // the call or a file cannot be meant, or the run could not be played
	exitLate  = 3 // the lab was late, the run does not count
)

// exitError carries how a command that has already said all ends.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// cli is all that the command takes.
type cli struct {
	LogFormat string `help:"Form of the log on standard error: ${enum}." enum:"text,json" default:"text"`
	LogLevel  string `help:"Least level that is logged: ${enum}." enum:"debug,info,warn,error" default:"warn"`

	Lab      labCmd      `cmd:"" help:"Run copies of the sidecar between stand-ins, with faults between them, and measure."`
	Members  membersCmd  `cmd:"" help:"Show and change who is in a fleet, as its processes see it."`
	Register registerCmd `cmd:"" help:"Keep a server on the list: register it once it is healthy, renew, drain and remove it at SIGTERM."`
	State    stateCmd    `cmd:"" help:"Show and verify what processes keep on disk over restarts."`
	Registry registryCmd `cmd:"" help:"Serve a copy of the list service that sidecars follow, or ask one."`
}

// app is what commands are given.
type app struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
	log    *slog.Logger
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run is main without the process around it.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	exitCode := -1
	parser, err := kong.New(&c, kong.Name("marblelane"), kong.Writers(out, errOut),
		kong.Description("Client-side load balancing for fleets that keep running while things break."),
		kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		fmt.Fprintln(errOut, "marblelane:", err)
		return exitUsage
	}
	k, err := parser.Parse(args)
	if exitCode >= 0 { // --help was given
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(errOut, "marblelane: %v; --help after a command shows how it is called\n", err)
		return exitUsage
	}
	err = k.Run(&app{ctx: ctx, out: out, errOut: errOut, log: c.logger(errOut)})
	var exit exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return int(exit)
	default:
		fmt.Fprintln(errOut, "marblelane:", err)
		return exitUsage
	}
}

func (c *cli) logger(w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.LogLevel)) // kong has checked it
	o := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
