// Package fsys is the little of a file system that state on disk is written by, so that a simulated disk can take its
// place (internal/testutil/disk).
package fsys

import (
	"errors"
	"io"
	"io/fs"
)

// ErrHeld says that another process has the lock.
var ErrHeld = errors.New("held by another process")

// FS is a file system. Names are paths; errors name them.
type FS interface {
	// Open opens a file for reading. It follows no symbolic link and waits for nobody, a pipe's other end included.
	Open(name string) (File, error)
	// Create makes a file that is not there yet, for its owner alone.
	Create(name string) (File, error)
	// Rename gives a file another name of the same folder, in place of what has it.
	Rename(from, to string) error
	Remove(name string) error
	// Mkdir makes a folder for its owner alone.
	Mkdir(name string) error
	// SyncDir makes the names in a folder last over a loss of power.
	SyncDir(name string) error
	// Lock takes a lock that ends with the process at the latest, or says ErrHeld. It makes the file if need be.
	Lock(name string) (Lock, error)
}

// File is an open file. Sync makes what was written last over a loss of power; its name is SyncDir's.
type File interface {
	io.ReadWriteCloser
	Sync() error
	Stat() (Info, error)
}

// Info is what is known of a file without reading it.
type Info struct {
	Size  int64 // bytes
	Mode  fs.FileMode
	Owner int // its user's number
}

// Lock is a lock that is held.
type Lock interface {
	// Current reports whether the file that is locked still has its name: else another process may lock another.
	Current() bool
	Close() error
}
