// Package disk simulates a disk below a file system, and what it may hold after a loss of power: unsynced writes may be
// lost, reordered and torn at sectors, changes of names in a folder that was not synced may be lost, and a file may have
// its length without its bytes. A Disk records each operation; CrashImages and SampleCrash then return what may be left
// after any number of them. A Disk is safe for concurrent use.
package disk

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"

	"marblelane/internal/fsys"
)

// SectorBytes is the unit in which a disk writes: all of a sector or nothing.
const SectorBytes = 512

// Unlimited as Disk.FreeBytes is a disk that never becomes full.
const Unlimited = -1

// root is the path of the root folder.
const root = "/"

// Kind is the kind of an operation.
type Kind uint8

// The operations. Open changes nothing: it is passed to Disk.Fail, but not recorded.
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

// String returns the name of the operation.
func (k Kind) String() string {
	return [...]string{"open", "create", "write", "sync", "rename", "remove", "mkdir", "syncdir", "lock"}[k]
}

// fileID identifies a file or folder whatever its name: its index in Disk.contents.
type fileID int

// Op is one operation.
type Op struct {
	Kind    Kind
	Name    string
	NewName string // new name, of a Rename
	file    fileID
	offset  int64  // of a Write
	data    []byte // of a Write
}

// Disk is a file system on a simulated disk.
type Disk struct {
	// InjectError is called before each operation, with the number of operations done before. If it returns an error, the
	// operation fails with it and does nothing. It must not call the disk. Nil: no operation fails.
	InjectError func(done int, op Op) error
	// FreeBytes is how many bytes can be written until the disk is full, or Unlimited.
	FreeBytes int64

	mu          sync.Mutex
	initial     Image
	names       map[string]fileID
	contents    [][]byte // as processes see them; nil: a folder
	lockedFiles map[string]fileID
	ops         []Op
}

// New returns a disk that holds an image, all of it synced.
func New(initial Image) *Disk {
	d := &Disk{FreeBytes: Unlimited, initial: initial, names: map[string]fileID{}, lockedFiles: map[string]fileID{}}
	for _, name := range initial.names() {
		d.names[name] = fileID(len(d.contents))
		d.contents = append(d.contents, slices.Clone(initial[name]))
	}
	return d
}

// OpCount returns how many operations were recorded.
func (d *Disk) OpCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ops)
}

// CurrentImage returns what processes see, synced or not. It is what a killed process leaves if the power does not fail.
func (d *Disk) CurrentImage() Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	image := Image{}
	for name, id := range d.names {
		image[name] = slices.Clone(d.contents[id])
	}
	return image
}

// recordOp records an operation, unless Fail lets it fail. The caller holds d.mu.
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

// lookup returns the file that has a name. The caller holds d.mu.
func (d *Disk) lookup(kind Kind, name string) (fileID, error) {
	id, ok := d.names[name]
	if !ok {
		return 0, pathError(kind, name, fs.ErrNotExist)
	}
	return id, nil
}

// createEntry creates a file or, if the content is nil, a folder. The caller holds d.mu.
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

// Lock implements fsys.FS. A new disk has no locks, whatever its image was taken from: locks end with their processes.
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
