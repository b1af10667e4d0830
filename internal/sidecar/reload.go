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

// Shortest and longest pause before a configuration that is unreadable or malformed is read again. With a file that is
// complete 2 s after the signal, maxReloadPause lets discovery use the new address well within 4 s of the signal.
const (
	minReloadPause = 20 * time.Millisecond
	maxReloadPause = 500 * time.Millisecond
)

// Reload reads the configuration file again and applies its addresses of discovery and of the routes. NODE_DISCOVERY is
// ignored, as it still holds the address that this process was started with. On an error nothing has changed. The error
// names the file and, if the fault is in one of its values, the key.
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
	if s.loop.Routing != nil && cfg.Routes != nil { // adding or removing the section takes a restart
		s.loop.Routing.Client.SetAddrs(cfg.Routes.Addrs)
	}
	if !config.SameMembership(s.cfg.Membership, cfg.Membership) {
		slog.Warn("reload: change of the section members not applied, restart required")
	}
	return nil
}

// ReloadOnSignal reloads the configuration at each signal, until ctx is cancelled. If that fails it tries again, after
// pauses that double from minReloadPause to maxReloadPause, until it succeeds or the next signal starts a new series of
// attempts.
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

// reloadUntilDone repeats a reload until it succeeds, ctx is cancelled or another signal arrives, which it reports. The
// first failure is logged, and later ones at most once per retry.LogInterval.
func reloadUntilDone(ctx context.Context, signals <-chan os.Signal, reload func() error) (again bool) {
	backoff := retry.Backoff{Min: minReloadPause, Max: maxReloadPause}
	var limiter retry.LogLimiter
	for attempts := 1; ; attempts++ {
		err := reload()
		if err == nil {
			if attempts > 1 {
				slog.Info("reload: configuration applied", "attempts", attempts)
			}
			return false
		}
		if ok, suppressed := limiter.Allow(); ok {
			slog.Error("reload: failed to apply the configuration, retrying", "err", err, "suppressed", suppressed)
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
