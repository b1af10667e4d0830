// Package disk simulates a file system and the content of its disk after a power failure. In such a failure:
//
//   - unsynced writes may be lost, reordered, or torn at sector boundaries
//   - name changes (create, rename, remove) in a directory that was not synced may be lost
//   - a file may have its new length without the bytes that were written
//
// A Disk records each operation. CrashImages and SampleCrash return the images that a power failure may leave after any
// number of recorded operations. A Disk is safe for concurrent use.
package disk

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"

	"marblelane/internal/fsys"
)

// SectorBytes is the size of a sector in bytes. The write of a sector takes effect completely or not at all.
const SectorBytes = 512

// Unlimited as the value of Disk.FreeBytes means that the disk never becomes full.
const Unlimited = -1

// root is the path of the root directory.
const root = "/"

// Kind is the kind of an operation.
type Kind uint8

// The kinds of operations. Open changes nothing: it is passed to Disk.InjectError but not recorded.
const (
	Open Kind = iota
	Create
	Write
	Sync
	Rename
	Remove
	Mkdir
	SyncDir
	Lock
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	return [...]string{"open", "create", "write", "sync", "rename", "remove", "mkdir", "syncdir", "lock"}[k]
}

// fileID identifies a file or directory independently of its name. It is the index in Disk.contents.
type fileID int

// Op is an operation on the disk.
type Op struct {
	Kind    Kind
	Name    string // path of the file or directory
	NewName string // new path, set for a Rename
	file    fileID // file that the operation uses; not set for an Open or a SyncDir
	offset  int64  // position of a Write in the file, in bytes
	data    []byte // bytes of a Write
}

// Disk is a file system on a simulated disk.
type Disk struct {
	// InjectError is called before each operation, with the number of operations recorded so far. If it returns an
	// error, the operation fails with that error and has no effect. It must not call methods of the disk. Nil injects
	// no errors.
	InjectError func(opCount int, op Op) error
	// FreeBytes is the number of bytes that can be written before the disk is full, or Unlimited.
	FreeBytes int64

	mu          sync.Mutex
	initial     Image             // synced content at creation
	names       map[string]fileID // files by path, including unsynced name changes
	contents    [][]byte          // contents by fileID, including unsynced writes; nil for a directory
	lockedFiles map[string]fileID // locked files, by the path under which they were locked
	ops         []Op              // recorded operations, oldest first
}

// New returns a disk that holds an image. The complete image is synced.
func New(initial Image) *Disk {
	d := &Disk{FreeBytes: Unlimited, initial: initial, names: map[string]fileID{}, lockedFiles: map[string]fileID{}}
	for _, name := range initial.names() {
		d.names[name] = fileID(len(d.contents))
		d.contents = append(d.contents, slices.Clone(initial[name]))
	}
	return d
}

// OpCount returns the number of recorded operations.
func (d *Disk) OpCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ops)
}

// CurrentImage returns the content that processes see, including unsynced changes. It is the image that remains when a
// process is killed but the power does not fail.
func (d *Disk) CurrentImage() Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	image := Image{}
	for name, id := range d.names {
		image[name] = slices.Clone(d.contents[id])
	}
	return image
}

// recordOp records an operation. It returns an error instead if InjectError fails the operation. The caller holds d.mu.
func (d *Disk) recordOp(op Op) error {
	if d.InjectError != nil {
		if err := d.InjectError(len(d.ops), op); err != nil {
			return pathError(op.Kind, op.Name, err)
		}
	}
	if op.Kind != Open {
		d.ops = append(d.ops, op)
	}
	return nil
}

func pathError(kind Kind, name string, err error) error {
	return &fs.PathError{Op: kind.String(), Path: name, Err: err}
}

// lookup returns the file or directory with a path. The caller holds d.mu.
func (d *Disk) lookup(kind Kind, name string) (fileID, error) {
	id, ok := d.names[name]
	if !ok {
		return 0, pathError(kind, name, fs.ErrNotExist)
	}
	return id, nil
}

// createEntry creates a file, or a directory if content is nil. The caller holds d.mu.
func (d *Disk) createEntry(op Op, content []byte) (fileID, error) {
	if _, err := d.lookup(op.Kind, filepath.Dir(op.Name)); err != nil {
		return 0, err
	}
	if _, exists := d.names[op.Name]; exists {
		return 0, pathError(op.Kind, op.Name, fs.ErrExist)
	}
	op.file = fileID(len(d.contents))
	if err := d.recordOp(op); err != nil {
		return 0, err
	}
	d.names[op.Name] = op.file
	d.contents = append(d.contents, content)
	return op.file, nil
}

// Open implements fsys.FS.
func (d *Disk) Open(name string) (fsys.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, err := d.lookup(Open, name)
	if err != nil {
		return nil, err
	}
	if err := d.recordOp(Op{Kind: Open, Name: name}); err != nil {
		return nil, err
	}
	return &file{disk: d, name: name, id: id}, nil
}

// Create implements fsys.FS.
func (d *Disk) Create(name string) (fsys.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, err := d.createEntry(Op{Kind: Create, Name: name}, []byte{})
	if err != nil {
		return nil, err
	}
	return &file{disk: d, name: name, id: id}, nil
}

// Mkdir implements fsys.FS.
func (d *Disk) Mkdir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.createEntry(Op{Kind: Mkdir, Name: name}, nil)
	return err
}

// Rename implements fsys.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, err := d.lookup(Rename, from)
	if err != nil {
		return err
	}
	if err := d.recordOp(Op{Kind: Rename, Name: from, NewName: to, file: id}); err != nil {
		return err
	}
	d.names[to] = id
	delete(d.names, from)
	return nil
}

// Remove implements fsys.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, err := d.lookup(Remove, name)
	if err != nil {
		return err
	}
	if err := d.recordOp(Op{Kind: Remove, Name: name, file: id}); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

// SyncDir implements fsys.FS.
func (d *Disk) SyncDir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookup(SyncDir, name); err != nil {
		return err
	}
	return d.recordOp(Op{Kind: SyncDir, Name: name})
}

// Lock implements fsys.FS. A new disk has no locks, even if files of its image were locked: a lock ends with its
// process.
func (d *Disk) Lock(name string) (fsys.Lock, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, exists := d.names[name]
	if !exists {
		var err error
		if id, err = d.createEntry(Op{Kind: Lock, Name: name}, []byte{}); err != nil {
			return nil, err
		}
	}
	if locked, ok := d.lockedFiles[name]; ok && locked == id {
		return nil, fmt.Errorf("lock %s: %w", name, fsys.ErrLocked)
	}
	d.lockedFiles[name] = id
	return &lock{disk: d, name: name, id: id}, nil
}
