package sidecar

import (
	"context"
	"errors"
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

// maxSupersededReads is the number of configurations in a row that are not applied because a signal arrived while they
// were read. The next one is applied even so: signals in quick succession must not postpone a change for ever.
const maxSupersededReads = 8

// errSuperseded is the result of a reload whose configuration was not applied, as a signal arrived while it was read: the
// file may have been replaced since.
var errSuperseded = errors.New("another signal arrived while the configuration was read")

// Reload reads the configuration file again and applies its addresses of discovery and of the routes. On an error nothing
// has changed. The error names the file and, if the fault is in one of its values, the key.
func (s *Sidecar) Reload(getenv func(string) string) error {
	cfg, err := s.readConfig(getenv)
	if err != nil {
		return err
	}
	s.applyConfig(cfg)
	return nil
}

// readConfig reads the configuration file. NODE_DISCOVERY is ignored, as it still holds the address that this process was
// started with.
func (s *Sidecar) readConfig(getenv func(string) string) (*config.Config, error) {
	return config.LoadWith(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}, func(path string) ([]byte, error) { return netcall.ReadFile(path, s.cfg.Faults) })
}

// applyConfig applies the addresses of discovery and of the routes.
func (s *Sidecar) applyConfig(cfg *config.Config) {
	s.loop.Discovery.SetAddrs(cfg.ListAddrs())
	if s.loop.Routing != nil && cfg.Routes != nil { // adding or removing the section takes a restart
		s.loop.Routing.Client.SetAddrs(cfg.Routes.Addrs)
	}
	if !config.SameMembership(s.cfg.Membership, cfg.Membership) {
		slog.Warn("reload: change of the section members not applied, restart required")
	}
}

// ReloadOnSignal reloads the configuration at each signal, until ctx is cancelled. If that fails it tries again, after
// pauses that double from minReloadPause to maxReloadPause, until it succeeds or the next signal starts a new series of
// attempts. A configuration during whose reading a signal arrived is not applied, but read again.
func (s *Sidecar) ReloadOnSignal(ctx context.Context, signals <-chan os.Signal, getenv func(string) string) {
	superseded := 0
	reload := func() error {
		cfg, err := s.readConfig(getenv)
		if err != nil {
			return err
		}
		if len(signals) > 0 && superseded < maxSupersededReads {
			superseded++
			return errSuperseded
		}
		superseded = 0
		s.applyConfig(cfg)
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for reloadUntilDone(ctx, signals, reload) {
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
		if errors.Is(err, errSuperseded) {
			slog.Info("reload: configuration not applied, reading it again", "reason", err)
		} else if ok, suppressed := limiter.Allow(); ok {
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
