// Package fsys defines the file system operations that durable state needs as an interface, so that tests can replace
// the operating system's files with a simulated disk (internal/testutil/disk).
package fsys

import (
	"errors"
	"io"
	"io/fs"
)

// ErrLocked reports that another process holds the lock.
var ErrLocked = errors.New("held by another process")

// FS is a file system. Names are paths, and errors contain them.
type FS interface {
	// Open opens a file for reading. It does not follow symbolic links, and does not block on a pipe without a writer.
	Open(name string) (File, error)
	// Create creates a file that only its owner may read and write. It fails if the name exists.
	Create(name string) (File, error)
	// Rename renames a file within its folder. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Mkdir creates a folder that only its owner may access.
	Mkdir(name string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(name string) error
	// Lock locks a file, and creates the file if it does not exist. It returns ErrLocked if another process holds the
	// lock. The lock is released by Lock.Close, or when the process ends.
	Lock(name string) (Lock, error)
}

// File is an open file. Sync makes its content durable. FS.SyncDir makes its name durable.
type File interface {
	io.ReadWriteCloser
	Sync() error
	Stat() (Info, error)
}

// Info describes a file.
type Info struct {
	Size  int64 // size of the file, in bytes
	Mode  fs.FileMode
	Owner int // user ID of the owner, or UnknownOwner
}

// UnknownOwner is the owner of a file on a system that does not report file owners.
const UnknownOwner = -1

// Lock is a lock that this process holds.
type Lock interface {
	// Current reports whether the locked file still has its name. If not, another process may lock a new file there.
	Current() bool
	// Close releases the lock.
	Close() error
}
