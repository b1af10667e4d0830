package fsys

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// OS is the system's own file system.
type OS struct{}

type osFile struct{ *os.File }

// Stat tells size, mode and owner.
func (f osFile) Stat() (Info, error) {
	st, err := f.File.Stat()
	if err != nil {
		return Info{}, err
	}
	info := Info{Size: st.Size(), Mode: st.Mode(), Owner: -1}
	if sys, ok := st.Sys().(*syscall.Stat_t); ok {
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

func open(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, 0o600)
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
func (OS) Mkdir(name string) error { return os.Mkdir(name, 0o700) }

// SyncDir implements FS.
func (OS) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

type osLock struct{ *os.File }

// Lock implements FS by flock(2): the system gives it back when the process ends, however it ends.
func (OS) Lock(name string) (Lock, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrHeld
		}
		return nil, fmt.Errorf("lock %s: %w", name, err)
	}
	return osLock{f}, nil
}

// Current implements Lock.
func (l osLock) Current() bool {
	own, err := l.Stat()
	now, err2 := os.Stat(l.Name())
	return err == nil && err2 == nil && os.SameFile(own, now)
}

// Close implements Lock. It unlocks by word: where the process is starting another one just now, that has the open file
// too, and with it the lock, until it has become its own program.
func (l osLock) Close() error {
	return errors.Join(syscall.Flock(int(l.Fd()), syscall.LOCK_UN), l.File.Close())
}
