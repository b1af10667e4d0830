// Package disk simulates a disk below a file system, and what it may hold after a loss of power: unsynced writes that
// are dropped, reordered and torn at 512 bytes, names that were changed in a folder that was not synced, a file that
// has its length without its bytes. It records what is done; Exhaust and Sample then give what may be left after each
// operation. A Disk is safe for concurrent use.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"marblelane/internal/fsys"
)

// Sector is how many bytes reach the disk together or not at all.
const Sector = 512

// Kind is what an operation does.
type Kind uint8

// The operations. Open is told to Fail alone, as it changes nothing.
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

// Op is one operation.
type Op struct {
	Kind     Kind
	Name, To string // To: of a Rename
	file     int    // of files and folders, in the order in which they were made
	off      int64
	data     []byte
}

// Image is what is on a disk: files by path, and folders, which are nil.
type Image map[string][]byte

// Disk is a file system over a simulated disk.
type Disk struct {
	// Fail is asked before each operation, with how many were done before it (Ops); its error is the operation's, which
	// then does nothing. It must not call the disk. Nil: all goes well.
	Fail func(done int, op Op) error
	// Space is how many bytes may be written yet before the disk is full; below 0: as many as one likes.
	Space int64

	mu    sync.Mutex
	from  Image
	names map[string]int // file by path
	files [][]byte       // as programs see them; nil: a folder
	locks map[string]int
	ops   []Op
}

// New returns a disk that holds an image, all of it synced.
func New(from Image) *Disk {
	d := &Disk{Space: -1, from: from, names: map[string]int{}, locks: map[string]int{}}
	for _, name := range from.names() {
		d.names[name] = len(d.files)
		d.files = append(d.files, slices.Clone(from[name]))
	}
	return d
}

// Ops is how many operations have been done. Open is none.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ops)
}

// Op returns an operation that was done.
func (d *Disk) Op(i int) Op {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops[i]
}

// Now is what programs see, synced or not: what is left when a process is killed and the system lives on.
func (d *Disk) Now() Image {
	d.mu.Lock()
	defer d.mu.Unlock()
	im := Image{}
	for name, i := range d.names {
		im[name] = slices.Clone(d.files[i])
	}
	return im
}

// do asks for leave and records an operation. The lock is held.
func (d *Disk) do(op Op) error {
	if d.Fail != nil {
		if err := d.Fail(len(d.ops), op); err != nil {
			return &fs.PathError{Op: op.Kind.String(), Path: op.Name, Err: err}
		}
	}
	if op.Kind != Open {
		d.ops = append(d.ops, op)
	}
	return nil
}

// find gives the file that has a name, or the error.
func (d *Disk) find(op Kind, name string) (int, error) {
	i, ok := d.names[name]
	if !ok {
		return 0, &fs.PathError{Op: op.String(), Path: name, Err: fs.ErrNotExist}
	}
	return i, nil
}

// Open implements fsys.FS.
func (d *Disk) Open(name string) (fsys.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, err := d.find(Open, name)
	if err == nil {
		err = d.do(Op{Kind: Open, Name: name})
	}
	if err != nil {
		return nil, err
	}
	return &file{d: d, name: name, i: i}, nil
}

// Create implements fsys.FS.
func (d *Disk) Create(name string) (fsys.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, err := d.add(Op{Kind: Create, Name: name}, []byte{})
	if err != nil {
		return nil, err
	}
	return &file{d: d, name: name, i: i}, nil
}

// Mkdir implements fsys.FS.
func (d *Disk) Mkdir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.add(Op{Kind: Mkdir, Name: name}, nil)
	return err
}

func (d *Disk) add(op Op, content []byte) (int, error) {
	if _, err := d.find(op.Kind, filepath.Dir(op.Name)); err != nil {
		return 0, err
	}
	if _, err := d.find(op.Kind, op.Name); err == nil {
		return 0, &fs.PathError{Op: op.Kind.String(), Path: op.Name, Err: fs.ErrExist}
	}
	op.file = len(d.files)
	if err := d.do(op); err != nil {
		return 0, err
	}
	d.names[op.Name] = op.file
	d.files = append(d.files, content)
	return op.file, nil
}

// Rename implements fsys.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, err := d.find(Rename, from)
	if err == nil {
		err = d.do(Op{Kind: Rename, Name: from, To: to, file: i})
	}
	if err != nil {
		return err
	}
	d.names[to] = i
	delete(d.names, from)
	return nil
}

// Remove implements fsys.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, err := d.find(Remove, name)
	if err == nil {
		err = d.do(Op{Kind: Remove, Name: name, file: i})
	}
	if err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

// SyncDir implements fsys.FS.
func (d *Disk) SyncDir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.find(SyncDir, name); err != nil {
		return err
	}
	return d.do(Op{Kind: SyncDir, Name: name})
}

// Lock implements fsys.FS. A disk made from another's image has no locks: they end with the processes.
func (d *Disk) Lock(name string) (fsys.Lock, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, err := d.find(Lock, name)
	if err != nil {
		i, err = d.add(Op{Kind: Lock, Name: name}, []byte{})
	}
	if err != nil {
		return nil, err
	}
	if held, ok := d.locks[name]; ok && held == i {
		return nil, fmt.Errorf("lock %s: %w", name, fsys.ErrHeld)
	}
	d.locks[name] = i
	return &lock{d: d, name: name, i: i}, nil
}

type lock struct {
	d    *Disk
	name string
	i    int
}

// Current implements fsys.Lock.
func (l *lock) Current() bool {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	i, ok := l.d.names[l.name]
	return ok && i == l.i
}

// Close implements fsys.Lock.
func (l *lock) Close() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if l.d.locks[l.name] == l.i {
		delete(l.d.locks, l.name)
	}
	return nil
}

type file struct {
	d    *Disk
	name string
	i    int
	at   int64
}

// Read implements io.Reader.
func (f *file) Read(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	content := f.d.files[f.i]
	if f.at >= int64(len(content)) {
		return 0, io.EOF
	}
	n := copy(p, content[f.at:])
	f.at += int64(n)
	return n, nil
}

// Write implements io.Writer. What fits a disk that becomes full is written.
func (f *file) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	var full error
	if f.d.Space >= 0 && int64(len(p)) > f.d.Space {
		p, full = p[:f.d.Space], &fs.PathError{Op: Write.String(), Path: f.name, Err: syscall.ENOSPC}
	}
	op := Op{Kind: Write, Name: f.name, file: f.i, off: f.at, data: slices.Clone(p)}
	if err := f.d.do(op); err != nil {
		return 0, err
	}
	f.d.files[f.i] = over(f.d.files[f.i], op)
	f.at += int64(len(p))
	if f.d.Space >= 0 {
		f.d.Space -= int64(len(p))
	}
	return len(p), full
}

// over is a content after a write.
func over(content []byte, op Op) []byte {
	if more := op.off + int64(len(op.data)) - int64(len(content)); more > 0 {
		content = append(content, make([]byte, more)...)
	}
	copy(content[op.off:], op.data)
	return content
}

// Sync implements fsys.File.
func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return f.d.do(Op{Kind: Sync, Name: f.name, file: f.i})
}

// Stat implements fsys.File. Files are this process's user's.
func (f *file) Stat() (fsys.Info, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.files[f.i] == nil {
		return fsys.Info{}, errors.New("is a folder")
	}
	return fsys.Info{Size: int64(len(f.d.files[f.i])), Mode: 0o600, Owner: os.Geteuid()}, nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }

// String names a kind of operation.
func (k Kind) String() string {
	return [...]string{"open", "create", "write", "sync", "rename", "remove", "mkdir", "syncdir", "lock"}[k]
}
