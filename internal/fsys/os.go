package fsys

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// OS is the operating system's file system.
type OS struct{}

// Permissions that grant access only to the owner.
const (
	ownerFile   = 0o600
	ownerFolder = 0o700
)

// osFile implements File.
type osFile struct{ *os.File }

// Stat implements File.
func (f osFile) Stat() (Info, error) {
	stat, err := f.File.Stat()
	if err != nil {
		return Info{}, err
	}
	info := Info{Size: stat.Size(), Mode: stat.Mode(), Owner: UnknownOwner}
	if sys, ok := stat.Sys().(*syscall.Stat_t); ok {
		info.Owner = int(sys.Uid)
	}
	return info, nil
}

// Open implements FS.
func (OS) Open(name string) (File, error) {
	return open(name, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK)
}

// Create implements FS.
func (OS) Create(name string) (File, error) { return open(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL) }

// open opens a file with flags of os.OpenFile.
func open(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, ownerFile)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Mkdir implements FS.
func (OS) Mkdir(name string) error { return os.Mkdir(name, ownerFolder) }

// SyncDir implements FS.
func (OS) SyncDir(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// osLock implements Lock with the locked file.
type osLock struct{ *os.File }

// Lock implements FS with flock(2). The system releases the lock when the process ends, even if it is killed.
func (OS) Lock(name string) (Lock, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, ownerFile)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("lock %s: %w", name, err)
	}
	return osLock{f}, nil
}

// Current implements Lock.
func (l osLock) Current() bool {
	locked, lockedErr := l.Stat()
	named, namedErr := os.Stat(l.Name())
	return lockedErr == nil && namedErr == nil && os.SameFile(locked, named)
}

// Close implements Lock. It unlocks explicitly, because a child process that is being started shares the open file, and
// thus the lock, until it executes its program.
func (l osLock) Close() error {
	return errors.Join(syscall.Flock(int(l.Fd()), syscall.LOCK_UN), l.File.Close())
}
