package sidecar

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/sidecar/configtest"
	"marblelane/internal/sidecar/sidecartest"
)

// failingReload is a reload that fails until a given time. It counts its calls.
type failingReload struct {
	until time.Time
	calls int
}

func (f *failingReload) reload() error {
	f.calls++
	if time.Now().Before(f.until) {
		return errors.New("malformed")
	}
	return nil
}

func TestReload_RetriesUntilComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		file := failingReload{until: startedAt.Add(2 * time.Second)}
		if again := reloadUntilDone(t.Context(), nil, file.reload); again {
			t.Error("reported a signal without one")
		}
		if late := time.Since(file.until); late < 0 || late > maxReloadPause {
			t.Errorf("applied %v after the file was complete, want within %v", late, maxReloadPause)
		}
		if file.calls > 12 {
			t.Errorf("read %d times in 2 s", file.calls)
		}
	})
}

func TestReload_NewerSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 1)
		file := failingReload{until: time.Now().Add(time.Hour)}
		time.AfterFunc(10*time.Second+time.Millisecond, func() { signals <- syscall.SIGHUP })
		startedAt := time.Now()
		if again := reloadUntilDone(t.Context(), signals, file.reload); !again || time.Since(startedAt) != 10*time.Second+time.Millisecond {
			t.Errorf("again: %v after %v, want at the signal", again, time.Since(startedAt))
		}
	})
}

func TestReload_ContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		file := failingReload{until: time.Now().Add(time.Hour)}
		startedAt := time.Now()
		if again := reloadUntilDone(ctx, nil, file.reload); again || time.Since(startedAt) != time.Minute {
			t.Errorf("again: %v after %v, want at the end of the context", again, time.Since(startedAt))
		}
	})
}

// A configuration during whose reading another signal arrived may be outdated, so it is not applied. A change is applied
// in the end even if a signal arrives during every reading.
func TestReload_signalDuringRead(t *testing.T) {
	for name, c := range map[string]struct {
		signals    int64 // number of readings during which a signal arrives
		wantsStale bool
	}{"twice": {2, false}, "always": {1 << 20, true}} {
		t.Run(name, func(t *testing.T) {
			before, stale, last := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
			conf := configtest.NewConf(before.Addr())
			s := start(t, conf)
			sidecartest.Receive(t, "the watch", before.Calls)
			stalePath, lastPath := withDiscovery(conf, stale.Addr()).Write(t), withDiscovery(conf, last.Addr()).Write(t)
			signals, reads := make(chan os.Signal, 1), atomic.Int64{}
			env := func(name string) string {
				if name != "NODE_CONFIG" {
					return ""
				}
				n := reads.Add(1)
				if n == 2 && !c.wantsStale { // a stale configuration that was applied has time to show
					select {
					case <-stale.Calls:
						t.Error("an outdated configuration was applied")
					case <-time.After(200 * time.Millisecond):
					}
				}
				if n > c.signals {
					return lastPath
				}
				signals <- syscall.SIGHUP
				return stalePath
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.ReloadOnSignal(ctx, signals, env)
			}()
			signals <- syscall.SIGHUP
			if c.wantsStale {
				sidecartest.Receive(t, "the watch at the stale address", stale.Calls)
			} else {
				sidecartest.Receive(t, "the watch at the last address", last.Calls)
			}
			cancel()
			<-ended
		})
	}
}

// One signal is enough: a file that cannot be opened or is half written is read again until discovery can use its
// address.
func TestReload_MovesOnceReadable(t *testing.T) {
	for name, failure := range map[string]struct {
		errno string // with which opening the file fails; empty: it does not fail
		text  string // content of the file
	}{
		"no descriptor left in the system": {errno: "ENFILE"},
		"no permission at first":           {errno: "EACCES"},
		"half written":                     {text: `{"listen":`},
		"empty":                            {text: ""},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := sidecartest.NewFakeDiscovery(t), sidecartest.NewFakeDiscovery(t)
			faults := filepath.Join(t.TempDir(), "faults.toml")
			c := configtest.NewConf(before.Addr())
			c["faults"] = faults
			s := start(t, c)
			sidecartest.Receive(t, "the watch", before.Calls)
			path := withDiscovery(c, after.Addr()).Write(t)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			replace := func(text []byte) {
				t.Helper()
				if err := os.WriteFile(path, text, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if failure.errno == "" {
				replace([]byte(failure.text))
			} else {
				planFault(t, faults, fault.CallOpen, failure.errno)
			}
			var reads atomic.Int64
			env := func(name string) string {
				if name != "NODE_CONFIG" {
					return ""
				}
				reads.Add(1)
				return path
			}
			if err := s.Reload(env); err == nil {
				t.Fatal("the reload did not fail")
			}
			ctx, cancel := context.WithCancel(t.Context())
			signals, ended := make(chan os.Signal, 1), make(chan struct{})
			go func() {
				defer close(ended)
				s.ReloadOnSignal(ctx, signals, env)
			}()
			signals <- syscall.SIGHUP
			sidecartest.Until(t, "a second reading after the signal", func() bool { return reads.Load() >= 3 })
			if err := (fault.Config{}).Write(faults); err != nil {
				t.Fatal(err)
			}
			replace(text)
			sidecartest.Receive(t, "the watch at the new address", after.Calls)
			cancel()
			<-ended
		})
	}
}
