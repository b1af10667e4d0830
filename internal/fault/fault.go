// Package fault injects faults into a process that the lab cannot cause from outside: a stepped wall clock, a slow
// disk, a failing sync or a failing system call.
//
// A configuration key that only the lab sets names the fault file. Without the key there is no Injector, and a nil
// Injector injects nothing. The fault file may be replaced at any time. Its content applies from the next call of the
// Injector on.
//
// Faults of the machine's own clock and disk are no alternative: a step of its clock affects every process of the
// machine, and a slow or failing device needs privileges that a user of the lab does not have.
package fault

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marblelane/internal/tomlfile"
)

// SyncFault is the kind of failure of the sync of a write. The empty string is no fault.
type SyncFault string

// Values of SyncFault in the fault file.
const (
	SyncErrorPersisted SyncFault = "kept"    // the sync fails, but the write is on the disk
	SyncErrorLost      SyncFault = "lost"    // the sync fails, and the write is not on the disk
	SyncSilentLoss     SyncFault = "unheard" // as SyncErrorLost, but the process continues as if the sync had succeeded
)

// valid reports whether the value is allowed in a fault file.
func (f SyncFault) valid() bool {
	switch f {
	case "", SyncErrorPersisted, SyncErrorLost, SyncSilentLoss:
		return true
	}
	return false
}

// ErrSync is the error of an injected sync failure.
var ErrSync = errors.New("injected fault: disk sync failed")

// Names of the system calls that can fail. Not every program makes all of them through an Injector.
const (
	CallAccept = "accept"
	CallOpen   = "open"
	CallWrite  = "write" // injected by DiskWrite: the write fails, and none of it is on the disk
)

// Config is the content of a fault file. Durations in the file have a unit.
type Config struct {
	ClockStep tomlfile.Duration `toml:"clock"` // offset added to the wall clock; may be negative
	DiskDelay tomlfile.Duration `toml:"disk"`  // delay of each write
	SyncFault SyncFault         `toml:"sync"`
	// Calls maps each system call that fails to the name of its errno: accept = "ENOBUFS".
	Calls map[string]string `toml:"calls"`
}

// NewConfig returns a configuration with faults of the clock and the disk.
func NewConfig(clock, disk time.Duration, sync SyncFault) Config {
	return Config{ClockStep: tomlfile.Duration(clock), DiskDelay: tomlfile.Duration(disk), SyncFault: sync}
}

// Write atomically replaces the fault file at a path.
func (s Config) Write(path string) error {
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode fault file: %w", err)
	}
	temp := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temp, text, 0o644); err != nil {
		return fmt.Errorf("write fault file: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("replace fault file: %w", err)
	}
	return nil
}

// readConfig reads and validates a fault file.
func readConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read fault file: %w", err)
	}
	var config Config
	if _, err := tomlfile.Decode(path, text, &config); err != nil {
		return Config{}, fmt.Errorf("read fault file: %w", err)
	}
	if !config.SyncFault.valid() {
		return Config{}, fmt.Errorf("read fault file %s: sync: %q is not one of %s, %s, %s", path, config.SyncFault,
			SyncErrorPersisted, SyncErrorLost, SyncSilentLoss)
	}
	for call, name := range config.Calls {
		if _, ok := Errno(name); !ok {
			return Config{}, fmt.Errorf("read fault file %s: calls.%s: unknown errno %q", path, call, name)
		}
	}
	return config, nil
}

// Injector injects the faults of a fault file into a process. A nil Injector injects nothing. It is safe for concurrent
// use.
type Injector struct {
	path string

	mu       sync.Mutex  // guards the fields below
	readInfo os.FileInfo // describes the file that config was read from; nil if there was none
	config   Config
}

// Open returns an Injector for a fault file, or nil if the path is empty. A file that does not exist injects no faults.
func Open(path string) (*Injector, error) {
	if path == "" {
		return nil, nil
	}
	in := &Injector{path: path}
	if _, err := in.reload(); err != nil {
		return nil, err
	}
	return in, nil
}

// reload reads the fault file again if it has been replaced. It returns the current configuration. If the file cannot
// be read, that is the previous one, and reload returns an error too.
func (in *Injector) reload() (Config, error) {
	if in == nil {
		return Config{}, nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	info, err := os.Stat(in.path)
	if errors.Is(err, os.ErrNotExist) {
		in.readInfo, in.config = nil, Config{}
		return in.config, nil
	}
	if err != nil {
		return in.config, fmt.Errorf("stat fault file: %w", err)
	}
	if in.readInfo != nil && os.SameFile(info, in.readInfo) && info.ModTime().Equal(in.readInfo.ModTime()) {
		return in.config, nil
	}
	config, err := readConfig(in.path)
	if err != nil {
		return in.config, err
	}
	in.readInfo, in.config = info, config
	return in.config, nil
}

// currentConfig returns the configuration that applies now. If the file cannot be read, it is the previous one.
func (in *Injector) currentConfig() Config {
	config, _ := in.reload()
	return config
}

// ClockStep returns the offset that Now adds to the wall clock time.
func (in *Injector) ClockStep() time.Duration { return time.Duration(in.currentConfig().ClockStep) }

// Now returns the wall clock time plus ClockStep. The result has no monotonic part: elapsed times are measured with
// package time.
func (in *Injector) Now() time.Time {
	return time.Now().Round(0).Add(time.Duration(in.currentConfig().ClockStep))
}

// DiskWrite calls write with the injected disk faults applied. If undo is not nil, write has to undo its changes and
// fail with that error. If silent is true, the caller has to ignore the error.
func (in *Injector) DiskWrite(write func(undo error) error) (silent bool, err error) {
	config := in.currentConfig()
	if config.DiskDelay > 0 {
		time.Sleep(time.Duration(config.DiskDelay))
	}
	switch config.SyncFault {
	case SyncErrorPersisted:
		return false, errors.Join(write(nil), ErrSync)
	case SyncErrorLost:
		return false, write(ErrSync)
	case SyncSilentLoss:
		return true, write(ErrSync)
	}
	if err := in.CallError(CallWrite); err != nil {
		return false, write(err)
	}
	return false, write(nil)
}

// CallError returns the injected error of a system call, or nil if the call does not fail. If it returns an error, the
// caller must not make the system call. The error is an *os.SyscallError, as from packages net and os.
func (in *Injector) CallError(name string) error {
	errnoName, configured := in.currentConfig().Calls[name]
	if !configured {
		return nil
	}
	errno, _ := Errno(errnoName) // readConfig has validated the name
	return os.NewSyscallError(name, errno)
}
