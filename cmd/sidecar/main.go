// Command sidecar is a client-side load-balancing sidecar: it takes its application's requests and
// sends each to one of the servers that discovery names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"marblelane/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	// Unhandled these end the program, so they stay handled up to its end.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	s, err := sidecar.Open(ctx, os.Getenv)
	if err != nil && ctx.Err() != nil {
		slog.Info("ended before it was ready", "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go s.ReloadOnSignal(running, reload, os.Getenv)
	return s.Run(ctx)
}
