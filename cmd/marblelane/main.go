// Command marblelane serves and administers the list service, inspects membership and saved state, and runs the lab.
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

// Exit codes of the command.
const (
	exitOK    = 0
	exitFail  = 1 // an expectation or an invariant failed, or a check found a problem
	exitUsage = 2 // the arguments or a file are invalid, or the operation could not be carried out
	exitLate  = 3 // the lab missed its schedule, so the run does not count
)

// exitError is the exit code of a command that has already printed its outcome.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// cli holds the global flags and the commands.
type cli struct {
	LogFormat string `help:"Format of the log on standard error: ${enum}." enum:"text,json" default:"text"`
	LogLevel  string `help:"Minimum level that is logged: ${enum}." enum:"debug,info,warn,error" default:"warn"`

	Lab      labCmd      `cmd:"" help:"Run sidecars between stand-in clients and servers, inject faults, and measure."`
	Members  membersCmd  `cmd:"" help:"Show and change the members of a fleet, as its processes see them."`
	Register registerCmd `cmd:"" help:"Keep a server on the list: register it once it is healthy, renew its lease, and drain and remove it on SIGTERM."`
	State    stateCmd    `cmd:"" help:"Show and verify the state that processes keep on disk across restarts."`
	Registry registryCmd `cmd:"" help:"Run a replica of the list service that sidecars follow, or send requests to one."`
}

// app is the environment that commands run in.
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

// run parses the arguments, runs the command and returns its exit code.
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
		fmt.Fprintf(errOut, "marblelane: %v; use --help after a command for its usage\n", err)
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
	_ = level.UnmarshalText([]byte(c.LogLevel)) // kong has validated the level
	o := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
