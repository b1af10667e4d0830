package sidecar

import (
	"context"
	"log/slog"
	"os"
	"time"

	"marblelane/internal/retry"
	"marblelane/internal/sidecar/config"
	"marblelane/internal/sidecar/netcall"
)

// The pauses between two readings of a configuration that cannot be read, or is malformed. The longest leaves discovery
// well within 4 s to move where the file is whole 2 s after the signal.
const (
	minReloadPause = 20 * time.Millisecond
	maxReloadPause = 500 * time.Millisecond
)

// Reload takes in a configuration file that was replaced: the address of discovery. The environment still
// names the address that this process was started with, so the file counts. An error names the file, and the key where
// there is one; nothing has changed then.
func (s *Sidecar) Reload(getenv func(string) string) error {
	cfg, err := config.LoadWith(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}, func(path string) ([]byte, error) { return netcall.ReadFile(path, s.cfg.Faults) })
	if err != nil {
		return err
	}
	s.loop.Discovery.SetAddrs(cfg.ListAddrs())
	if s.loop.Routing != nil && cfg.Routes != nil { // the section itself comes and goes with a process
		s.loop.Routing.Client.Move(cfg.Routes.Addrs)
	}
	if !config.SameMembership(s.cfg.Membership, cfg.Membership) {
		slog.Warn("reload: the section members has changed; that holds from the next start")
	}
	return nil
}

// ReloadOnSignal reloads at each signal until ctx ends. A configuration that cannot be taken in is read again, at
// intervals of 20 ms that double to 500 ms, until it can be or the next signal begins anew.
func (s *Sidecar) ReloadOnSignal(ctx context.Context, signals <-chan os.Signal, getenv func(string) string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for reloadUntilDone(ctx, signals, func() error { return s.Reload(getenv) }) {
		}
	}
}

// reloadUntilDone repeats a reload until it succeeds or ctx ends, and reports whether another signal came before that.
// The first failure is logged, and later ones once each retry.LogInterval.
func reloadUntilDone(ctx context.Context, signals <-chan os.Signal, reload func() error) (again bool) {
	backoff := retry.Backoff{Min: minReloadPause, Max: maxReloadPause}
	var limiter retry.LogLimiter
	for attempts := 1; ; attempts++ {
		err := reload()
		if err == nil {
			if attempts > 1 {
				slog.Info("reload: the configuration was taken in", "attempts", attempts)
			}
			return false
		}
		if ok, suppressed := limiter.Allow(); ok {
			slog.Error("reload: the configuration stays as it was; it is read again", "error", err, "suppressed", suppressed)
		}
		pause := time.NewTimer(backoff.Next())
		select {
		case <-pause.C:
		case <-signals:
			pause.Stop()
			return true
		case <-ctx.Done():
			pause.Stop()
			return false
		}
	}
}
