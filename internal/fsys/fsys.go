// Package fsys is the part of a file system that durable state needs, as an interface, so that tests can replace the
// operating system's files by a simulated disk (internal/testutil/disk).
package fsys

import (
	"errors"
	"io"
	"io/fs"
)

// ErrLocked says that another process holds the lock.
var ErrLocked = errors.New("held by another process")

// FS is a file system. Names are paths, and errors name them.
type FS interface {
	// Open opens a file for reading. It follows no symbolic link and does not block, not even on a pipe without a writer.
	Open(name string) (File, error)
	// Create creates a file that its owner alone may read and write. It fails if the name exists.
	Create(name string) (File, error)
	// Rename renames a file within its folder and replaces a file that has the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Mkdir creates a folder for its owner alone.
	Mkdir(name string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(name string) error
	// Lock locks a file, which it creates if there is none, or returns ErrLocked. The lock ends with the process at the
	// latest.
	Lock(name string) (Lock, error)
}

// File is an open file. Sync makes its content durable; SyncDir does so for its name.
type File interface {
	io.ReadWriteCloser
	Sync() error
	Stat() (Info, error)
}

// Info describes a file.
type Info struct {
	Size  int64 // bytes
	Mode  fs.FileMode
	Owner int // number of its user; UnknownOwner: the system does not say
}

// UnknownOwner is the owner of a file whose system has no users.
const UnknownOwner = -1

// Lock is a lock that this process holds.
type Lock interface {
	// Current reports whether the locked file still has its name. If not, another process may lock a new file there.
	Current() bool
	// Close releases the lock.
	Close() error
}
