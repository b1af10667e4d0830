// Package fault injects faults into a process that the lab cannot cause from outside: a wall clock that is stepped, a
// disk that is slow, a sync that fails, a system call that fails.
//
// A configuration key that only the lab sets names a file of faults. Without it there is no Plan, and a nil Plan injects
// nothing. The file may be replaced at any time; its content applies from the next call of the Plan on.
//
// The machine's own clock and disk cannot serve: a step of the clock would reach every process of the machine, and a slow
// or failing device needs rights that a user of the lab does not have.
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

// SyncFault is how the sync of a write goes wrong. The empty string is no fault.
type SyncFault string

// The faults of a sync, as the file of faults writes them.
const (
	SyncErrorPersisted SyncFault = "kept"    // it fails, although the write is on the disk
	SyncErrorLost      SyncFault = "lost"    // it fails, and the write is not on the disk
	SyncSilentLoss     SyncFault = "unheard" // as SyncErrorLost, but the process is to go on as if it had succeeded
)

// valid reports whether a file of faults may have this value.
func (f SyncFault) valid() bool {
	switch f {
	case "", SyncErrorPersisted, SyncErrorLost, SyncSilentLoss:
		return true
	}
	return false
}

// ErrSync is the error of a sync that fails by plan.
var ErrSync = errors.New("planted: the disk does not sync")

// The system calls that a process asks a Plan for. Not every program asks for all of them.
const (
	CallAccept = "accept"
	CallOpen   = "open"
	CallWrite  = "write" // by Plan.DiskWrite: the write fails, and nothing of it is on the disk
)

// Config is the content of a file of faults. Durations have a unit.
type Config struct {
	ClockStep tomlfile.Duration `toml:"clock"` // added to the wall clock; may be negative
	DiskDelay tomlfile.Duration `toml:"disk"`  // delays each write
	SyncFault SyncFault         `toml:"sync"`
	// Calls are the system calls that fail, each with the name of its errno: accept = "ENOBUFS".
	Calls map[string]string `toml:"calls"`
}

// NewConfig returns a set with faults of the clock and the disk.
func NewConfig(clock, disk time.Duration, sync SyncFault) Config {
	return Config{ClockStep: tomlfile.Duration(clock), DiskDelay: tomlfile.Duration(disk), SyncFault: sync}
}

// Write replaces the file of faults at a path atomically.
func (s Config) Write(path string) error {
	text, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	temp := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temp, text, 0o644); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	return nil
}

// readConfig reads and checks a file of faults.
func readConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("faults: %w", err)
	}
	var config Config
	if _, err := tomlfile.Decode(path, text, &config); err != nil {
		return Config{}, fmt.Errorf("faults %w", err)
	}
	if !config.SyncFault.valid() {
		return Config{}, fmt.Errorf("faults %s: sync: %q is none of %s, %s, %s", path, config.SyncFault,
			SyncErrorPersisted, SyncErrorLost, SyncSilentLoss)
	}
	for call, name := range config.Calls {
		if _, ok := Errno(name); !ok {
			return Config{}, fmt.Errorf("faults %s: calls.%s: %q is no errno", path, call, name)
		}
	}
	return config, nil
}

// Injector is a file of faults as the process that it is for reads it. A nil Injector injects nothing. It is safe for concurrent
// use.
type Injector struct {
	path string

	mu       sync.Mutex  // guards the fields below
	readInfo os.FileInfo // of the file that set was read from; nil: there was none
	config   Config
}

// Open reads a file of faults; without a path there is no plan. A file that does not exist yet injects nothing.
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

// reload reads the file again if it has been replaced. With an error it returns the set that was read before.
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
		return in.config, fmt.Errorf("faults: %w", err)
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

// currentConfig returns the faults of this moment. If the file cannot be read, the previous ones apply.
func (in *Injector) currentConfig() Config {
	set, _ := in.reload()
	return set
}

// Now returns the wall clock, stepped by the plan. It has no monotonic part: elapsed times are measured by package time.
func (in *Injector) Now() time.Time {
	return time.Now().Round(0).Add(time.Duration(in.currentConfig().ClockStep))
}

// DiskWrite carries out a write under the faults of the disk. write is called with the error with which it has to undo
// its changes, or with nil. If silent is true, the caller is to ignore the error.
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

// CallError returns the planned error of a system call, which is not to be made then, or nil if it is to be made. The error is
// an *os.SyscallError, as from packages net and os.
func (in *Injector) CallError(name string) error {
	errnoName, configured := in.currentConfig().Calls[name]
	if !configured {
		return nil
	}
	errno, _ := Errno(errnoName) // readSet has checked the name
	return os.NewSyscallError(name, errno)
}
