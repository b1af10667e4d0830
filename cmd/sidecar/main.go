// Command sidecar is a client-side load balancer that runs beside an application. It accepts the application's requests
// and sends each to one of the servers that discovery lists.
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
	// By default these signals terminate the program, so their handlers stay installed until it exits.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	s, err := sidecar.Open(ctx, os.Getenv)
	if err != nil && ctx.Err() != nil {
		slog.Info("stopped by a signal before the sidecar was ready", "error", err)
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
