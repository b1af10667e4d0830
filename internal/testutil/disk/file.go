package disk

import (
	"errors"
	"io"
	"os"
	"slices"
	"syscall"

	"marblelane/internal/fsys"
)

var errIsDirectory = errors.New("is a directory")

// lock is a held lock on a path.
type lock struct {
	disk *Disk
	name string
	id   fileID
}

// Current implements fsys.Lock.
func (l *lock) Current() bool {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	id, exists := l.disk.names[l.name]
	return exists && id == l.id
}

// Close implements fsys.Lock.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.disk.lockedFiles[l.name] == l.id {
		delete(l.disk.lockedFiles, l.name)
	}
	return nil
}

// file is an open file.
type file struct {
	disk   *Disk
	name   string
	id     fileID
	offset int64 // position of the next Read or Write, in bytes
}

// Read implements io.Reader.
func (f *file) Read(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	content := f.disk.contents[f.id]
	if f.offset >= int64(len(content)) {
		return 0, io.EOF
	}
	n := copy(p, content[f.offset:])
	f.offset += int64(n)
	return n, nil
}

// Write implements io.Writer. If the disk has too little space, it writes the bytes that fit and returns ENOSPC.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	var errFull error
	if f.disk.FreeBytes >= 0 && int64(len(p)) > f.disk.FreeBytes {
		p, errFull = p[:f.disk.FreeBytes], pathError(Write, f.name, syscall.ENOSPC)
	}
	op := Op{Kind: Write, Name: f.name, file: f.id, offset: f.offset, data: slices.Clone(p)}
	if err := f.disk.recordOp(op); err != nil {
		return 0, err
	}
	f.disk.contents[f.id] = applyWrite(f.disk.contents[f.id], op)
	f.offset += int64(len(p))
	if f.disk.FreeBytes >= 0 {
		f.disk.FreeBytes -= int64(len(p))
	}
	return len(p), errFull
}

// applyWrite applies a write to a content and returns the result. It may change the content in place.
func applyWrite(content []byte, write Op) []byte {
	if missing := write.end() - int64(len(content)); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[write.offset:], write.data)
	return content
}

// end returns the offset after the last byte of a write.
func (op Op) end() int64 { return op.offset + int64(len(op.data)) }

// Sync implements fsys.File.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.disk.recordOp(Op{Kind: Sync, Name: f.name, file: f.id})
}

// Stat implements fsys.File. All files are owned by the user of this process.
func (f *file) Stat() (fsys.Info, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	content := f.disk.contents[f.id]
	if content == nil {
		return fsys.Info{}, errIsDirectory
	}
	return fsys.Info{Size: int64(len(content)), Mode: 0o600, Owner: os.Geteuid()}, nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
