package sidecar

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"marblelane/internal/retry"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

// logSignal is a writer for log lines that signals each line on its channel.
type logSignal chan struct{}

func (s logSignal) Write(p []byte) (int, error) {
	select {
	case s <- struct{}{}:
	default:
	}
	return len(p), nil
}

// An address that is in use at first is bound once the other process has closed it.
func TestStart_AddressFreedLater(t *testing.T) {
	for _, key := range []string{"listen", "management"} {
		t.Run(key, func(t *testing.T) {
			holder, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer holder.Close()
			c := configtest.NewConf("127.0.0.1:1")
			c[key] = holder.Addr().String()
			cfg, err := c.Load(t)
			if err != nil {
				t.Fatal(err)
			}
			failed, bound := make(logSignal, 1), make(chan error, 1)
			go func() {
				s, err := newSidecar(cfg, retry.NewStartRetrier(t.Context(), slog.New(slog.NewTextHandler(failed, nil))))
				if err == nil {
					s.listener.Close()
				}
				if err == nil && s.management != nil {
					s.management.Close()
				}
				bound <- err
			}()
			sidecartest.Receive(t, "a failing bind", failed)
			holder.Close()
			if err := sidecartest.Receive(t, "the start", bound); err != nil {
				t.Error(err)
			}
		})
	}
}

// An error that is not transient ends the start without a retry, and the error names the key.
func TestStart_ForeignAddress(t *testing.T) {
	for _, key := range []string{"listen", "management"} {
		t.Run(key, func(t *testing.T) {
			c := configtest.NewConf("127.0.0.1:1")
			c[key] = "192.0.2.1:0" // TEST-NET-1 (RFC 5737)
			cfg, err := c.Load(t)
			if err != nil {
				t.Fatal(err)
			}
			failed := make(logSignal, 1)
			_, err = newSidecar(cfg, retry.NewStartRetrier(t.Context(), slog.New(slog.NewTextHandler(failed, nil))))
			if !errors.Is(err, syscall.EADDRNOTAVAIL) || !strings.Contains(err.Error(), key) || len(failed) > 0 {
				t.Errorf("error %v, retried: %v", err, len(failed) > 0)
			}
		})
	}
}

// Binding the handover socket is retried as well.
func TestStart_HandoverSocketRetry(t *testing.T) {
	c := upgradable(t, sidecartest.NewFakeDiscovery(t).Addr(), sidecartest.NewBackend(t, "a", sidecartest.OK).Target)
	failure := sidecartest.FailTimes(3, syscall.ENFILE)
	old := start(t, c, func(s *Sidecar) {
		s.successors.Bind = func(network string, at *net.UnixAddr) (*net.UnixListener, error) {
			if err := failure(); err != nil {
				return nil, err
			}
			return net.ListenUnix(network, at)
		}
	})
	cfg, err := c.Load(t)
	if err != nil {
		t.Fatal(err)
	}
	sidecartest.Until(t, "the handover socket", func() bool {
		_, err := os.Lstat(cfg.HandoverSocket())
		return err == nil
	})
	next := start(t, c, func(s *Sidecar) { s.listTimeout = 0 })
	sidecartest.Until(t, "the successor to announce that it serves", func() bool { return old.successors.Serving.Load() == 1 })
	next.shutDown(t)
}
