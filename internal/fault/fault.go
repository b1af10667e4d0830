// Package fault plants in a copy what the lab cannot do to it from outside: a wall clock that is stepped, a disk that
// is slow, a sync that fails while the write was kept or lost, a system call that fails.
//
// A copy is given the file of its faults by a configuration key that is the lab's alone; without it there is no Plan,
// and a nil Plan plants nothing and costs one comparison. The file may be replaced at any time; what it says holds from
// the next look.
//
// The way not taken: the machine's own clock and disk. A step of the clock would reach every process of the machine, and
// a slow or failing device needs rights that a user of the lab does not have.
package fault

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"marblelane/internal/tomlfile"
)

// The ways a sync can go wrong.
const (
	SyncKept    = "kept"    // it fails, though what was written is on the disk
	SyncLost    = "lost"    // it fails, and nothing of it is on the disk
	SyncUnheard = "unheard" // planted: lost, and the copy goes on as if nothing were the matter
)

// ErrSync is the failure that is planted.
var ErrSync = errors.New("planted: the disk does not sync")

// Set is what a file of faults says. Times are Go's, with their units.
type Set struct {
	Clock tomlfile.Duration `toml:"clock"` // by which the wall clock is off, either way
	Disk  tomlfile.Duration `toml:"disk"`  // by which each write is later
	Sync  string            `toml:"sync"`  // SyncKept, SyncLost, SyncUnheard; empty: it does not fail
	// Calls are the system calls that fail, each with the name of its errno: accept = "ENOBUFS".
	Calls map[string]string `toml:"calls"`
}

// The system calls that a copy asks for by name. Not each program asks for all of them.
const (
	CallAccept = "accept"
	CallOpen   = "open"
	CallWrite  = "write" // by Plan.Disk: the write fails, and nothing of it is on the disk
)

// NewSet makes what a file says.
func NewSet(clock, disk time.Duration, sync string) Set {
	return Set{Clock: tomlfile.Duration(clock), Disk: tomlfile.Duration(disk), Sync: sync}
}

// Write puts the set in a file's place, whole.
func (s Set) Write(path string) error {
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

// Plan is a file of faults as a copy sees it.
type Plan struct {
	path string
	mu   sync.Mutex
	seen os.FileInfo
	set  Set
}

// Open reads a file of faults; no path, no plan. A file that is not there yet plants nothing.
func Open(path string) (*Plan, error) {
	if path == "" {
		return nil, nil
	}
	p := &Plan{path: path}
	if _, err := p.look(); err != nil {
		return nil, err
	}
	return p, nil
}

// look reads the file again if it has been replaced.
func (p *Plan) look() (Set, error) {
	if p == nil {
		return Set{}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.path)
	if errors.Is(err, os.ErrNotExist) {
		p.seen, p.set = nil, Set{}
		return p.set, nil
	}
	if err != nil {
		return p.set, fmt.Errorf("faults: %w", err)
	}
	if p.seen != nil && os.SameFile(info, p.seen) && info.ModTime().Equal(p.seen.ModTime()) {
		return p.set, nil
	}
	text, err := os.ReadFile(p.path)
	if err != nil {
		return p.set, fmt.Errorf("faults: %w", err)
	}
	var fresh Set
	if _, err := tomlfile.Decode(p.path, text, &fresh); err != nil {
		return p.set, fmt.Errorf("faults %w", err)
	}
	switch fresh.Sync {
	case "", SyncKept, SyncLost, SyncUnheard:
	default:
		return p.set, fmt.Errorf("faults %s: sync: %q is none of %s, %s, %s", p.path, fresh.Sync, SyncKept, SyncLost, SyncUnheard)
	}
	for call, name := range fresh.Calls {
		if _, ok := Errno(name); !ok {
			return p.set, fmt.Errorf("faults %s: calls.%s: %q is no errno", p.path, call, name)
		}
	}
	p.seen, p.set = info, fresh
	return fresh, nil
}

// now is what holds at this moment; a file that cannot be read leaves what held before.
func (p *Plan) now() Set {
	s, _ := p.look()
	return s
}

// Now is the wall clock, stepped. It has no monotonic part: who wants what has truly passed asks package time.
func (p *Plan) Now() time.Time { return time.Now().Round(0).Add(time.Duration(p.now().Clock)) }

// Disk carries out a write under the faults of the disk. do is given the error with which to undo it, or nil. unheard
// says that the failure is not to be noticed.
func (p *Plan) Disk(do func(undo error) error) (unheard bool, err error) {
	set := p.now()
	if set.Disk > 0 {
		time.Sleep(time.Duration(set.Disk))
	}
	switch set.Sync {
	case SyncKept:
		return false, errors.Join(do(nil), ErrSync)
	case SyncLost:
		return false, do(ErrSync)
	case SyncUnheard:
		return true, do(ErrSync)
	}
	if err := p.Call(CallWrite); err != nil {
		return false, do(err)
	}
	return false, do(nil)
}

// highestErrno is above the number of each errno of Linux (errno(3)).
const highestErrno = 134

// Errno is the error number of a name such as "ENOBUFS"; ok is false where the system has none of that name.
func Errno(name string) (errno syscall.Errno, ok bool) {
	for errno = 1; errno < highestErrno; errno++ {
		if unix.ErrnoName(errno) == name {
			return errno, true
		}
	}
	return 0, false
}

// Call is the planted failure of a system call, which is not made then; nil: it is made. The error is an
// *os.SyscallError, as package net and package os give it.
func (p *Plan) Call(name string) error {
	planted, ok := p.now().Calls[name]
	if !ok {
		return nil
	}
	errno, _ := Errno(planted) // checked as the file was read
	return os.NewSyscallError(name, errno)
}
