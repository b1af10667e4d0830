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
// well within 4 s to move where the file is complete 2 s after the signal.
const (
	minReloadPause = 20 * time.Millisecond
	maxReloadPause = 500 * time.Millisecond
)

// Reload applies a configuration file that was replaced: the addresses of discovery and of the routes. NODE_DISCOVERY is
// ignored, as it still names the address that this process was started with. An error names the file, and the key where
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
	if s.loop.Routing != nil && cfg.Routes != nil { // the section itself is added or removed by a restart
		s.loop.Routing.Client.SetAddrs(cfg.Routes.Addrs)
	}
	if !config.SameMembership(s.cfg.Membership, cfg.Membership) {
		slog.Warn("reload: the section members has changed; that holds from the next start")
	}
	return nil
}

// ReloadOnSignal reloads at each signal until ctx ends. A configuration that cannot be applied is read again, after pauses
// that double from minReloadPause to maxReloadPause, until it can be or the next signal starts anew.
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
			slog.Error("reload: the configuration stays as it was; it is read again", "err", err, "suppressed", suppressed)
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
