package fault

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// clockTolerance is the maximum time that a test may take between two reads of the clock.
const clockTolerance = time.Second

// openTestInjector opens an Injector for a fault file that does not exist yet.
func openTestInjector(t *testing.T) (injector *Injector, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "faults.toml")
	injector, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return injector, path
}

// checkClock checks that the injected clock differs from the real one by step.
func checkClock(t *testing.T, injector *Injector, step time.Duration) {
	t.Helper()
	if off := time.Until(injector.Now()) - step; off > clockTolerance || off < -clockTolerance {
		t.Errorf("clock is off by %v, want %v", off+step, step)
	}
}

func TestInjector_noFaults(t *testing.T) {
	withoutFile, _ := openTestInjector(t)
	for name, injector := range map[string]*Injector{"nil": nil, "no file": withoutFile} {
		t.Run(name, func(t *testing.T) {
			undo := errors.New("not called")
			silent, err := injector.DiskWrite(func(e error) error { undo = e; return nil })
			if silent || err != nil || undo != nil {
				t.Errorf("silent %v, error %v, undo %v, want no fault", silent, err, undo)
			}
			checkClock(t, injector, 0)
		})
	}
}

func TestInjector_diskAndClock(t *testing.T) {
	injector, path := openTestInjector(t)
	for _, test := range []struct {
		name                 string
		set                  Config
		undone, silent, fail bool
		step                 time.Duration // of the wall clock
	}{
		{name: "write on the disk", set: NewConfig(-time.Hour, 0, SyncErrorPersisted), fail: true, step: -time.Hour},
		{
			name: "write lost", set: NewConfig(time.Hour, time.Millisecond, SyncErrorLost),
			undone: true, fail: true, step: time.Hour,
		},
		{name: "silent loss", set: NewConfig(0, 0, SyncSilentLoss), undone: true, silent: true, fail: true},
		{name: "no space", set: Config{Calls: map[string]string{CallWrite: "ENOSPC"}}, undone: true, fail: true},
		{name: "no fault", set: Config{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.set.Write(path); err != nil {
				t.Fatal(err)
			}
			var undo error
			started := time.Now()
			silent, err := injector.DiskWrite(func(e error) error { undo = e; return e })
			elapsed := time.Since(started)
			if (undo != nil) != test.undone || silent != test.silent || (err != nil) != test.fail {
				t.Errorf("undo %v, silent %v, error %v", undo, silent, err)
			}
			if delay := time.Duration(test.set.DiskDelay); elapsed < delay {
				t.Errorf("write took %v, want at least %v", elapsed, delay)
			}
			checkClock(t, injector, test.step)
		})
	}
}

func TestOpen_malformed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "faults.toml")
	for _, test := range []struct{ name, text, want string }{
		{"a duration without a unit", `clock = 3`, "clock"},
		{"an unknown fault of a sync", `sync = "sometimes"`, "sync"},
		{"an unknown key", `disc = "1s"`, "faults"},
		{"an unknown errno", "[calls]\naccept = \"EMOOD\"", "calls.accept"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(test.text), 0o644); err != nil {
				t.Fatal(err)
			}
			if _, err := Open(path); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q in it", err, test.want)
			}
		})
	}
}

func TestInjector_callError(t *testing.T) {
	injector, path := openTestInjector(t)
	if err := injector.CallError(CallAccept); err != nil {
		t.Errorf("accept without a fault file: %v", err)
	}
	if err := (Config{Calls: map[string]string{CallAccept: "ENOBUFS"}}).Write(path); err != nil {
		t.Fatal(err)
	}
	var callErr *os.SyscallError
	if err := injector.CallError(CallAccept); !errors.Is(err, syscall.ENOBUFS) || !errors.As(err, &callErr) {
		t.Errorf("accept: %v", err)
	}
	if err := injector.CallError(CallOpen); err != nil {
		t.Errorf("open: %v", err)
	}
}
