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
)

// logSignal tells of each line that is logged.
type logSignal chan struct{}

func (s logSignal) Write(p []byte) (int, error) {
	select {
	case s <- struct{}{}:
	default:
	}
	return len(p), nil
}

// An address that another process gives up a moment later is bound.
func TestAddressThatIsFreeAMomentLater(t *testing.T) {
	for _, key := range []string{"listen", "management"} {
		t.Run(key, func(t *testing.T) {
			holder, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer holder.Close()
			c := newConf("127.0.0.1:1")
			c[key] = holder.Addr().String()
			cfg, err := c.load(t)
			if err != nil {
				t.Fatal(err)
			}
			failed, bound := make(logSignal, 1), make(chan error, 1)
			go func() {
				s, err := newSidecar(cfg, retry.NewStart(t.Context(), slog.New(slog.NewTextHandler(failed, nil))))
				if err == nil {
					s.listener.Close()
				}
				if err == nil && s.manager != nil {
					s.manager.Close()
				}
				bound <- err
			}()
			receive(t, "a bind that fails", failed)
			holder.Close()
			if err := receive(t, "the start", bound); err != nil {
				t.Error(err)
			}
		})
	}
}

// What cannot heal ends the start at once, and the error names the key.
func TestAddressThatIsNotOurs(t *testing.T) {
	for _, key := range []string{"listen", "management"} {
		t.Run(key, func(t *testing.T) {
			c := newConf("127.0.0.1:1")
			c[key] = "192.0.2.1:0" // TEST-NET-1 (RFC 5737)
			cfg, err := c.load(t)
			if err != nil {
				t.Fatal(err)
			}
			failed := make(logSignal, 1)
			_, err = newSidecar(cfg, retry.NewStart(t.Context(), slog.New(slog.NewTextHandler(failed, nil))))
			if !errors.Is(err, syscall.EADDRNOTAVAIL) || !strings.Contains(err.Error(), key) || len(failed) > 0 {
				t.Errorf("%v, tried again: %v", err, len(failed) > 0)
			}
		})
	}
}

func TestConfigurationThatCannotBeReadForAMoment(t *testing.T) {
	path := newConf("127.0.0.1:1").write(t)
	env := func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EINTR, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			tries := 0
			read := func(path string) ([]byte, error) {
				if tries++; tries < 3 {
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return os.ReadFile(path)
			}
			start := retry.NewStart(t.Context(), slog.New(slog.DiscardHandler))
			if _, err := loadConfig(env, patientRead(start, read)); err != nil || tries != 3 {
				t.Errorf("%v after %d tries", err, tries)
			}
		})
	}
}

// The place where a newer process meets this one is bound a moment later, too.
func TestMeetingPlaceThatCannotBeBoundForAMoment(t *testing.T) {
	c := upgradable(t, newRegistry(t).addr(), newBackend(t, "a", ok).target)
	failure := failTimes(3, syscall.ENFILE)
	old := start(t, c, func(s *Sidecar) {
		s.after.bind = func(network string, at *net.UnixAddr) (*net.UnixListener, error) {
			if err := failure(); err != nil {
				return nil, err
			}
			return net.ListenUnix(network, at)
		}
	})
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the meeting place", func() bool {
		_, err := os.Lstat(cfg.meetingPlace())
		return err == nil
	})
	next := start(t, c, func(s *Sidecar) { s.listWait = 0 })
	until(t, "the next process's word", func() bool { return old.after.serve.Load() == 1 })
	next.end(t)
}
