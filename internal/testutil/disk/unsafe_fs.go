package disk

import "marblelane/internal/fsys"

// UnsafeFS is a file system that leaves out or delays syncs. Each of its defects has to be found by a test that checks
// CrashImages.
type UnsafeFS struct {
	fsys.FS
	NoFileSync   bool // files are not synced
	NoDirSync    bool // folders are not synced, except for the root
	LateSync     bool // files are synced after they are renamed
	lastUnsynced fsys.File
}

// Create implements fsys.FS.
func (u *UnsafeFS) Create(name string) (fsys.File, error) {
	file, err := u.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return unsafeFile{file, u}, nil
}

// Rename implements fsys.FS.
func (u *UnsafeFS) Rename(from, to string) error {
	err := u.FS.Rename(from, to)
	if u.LateSync && err == nil {
		err = u.lastUnsynced.Sync()
	}
	return err
}

// SyncDir implements fsys.FS.
func (u *UnsafeFS) SyncDir(name string) error {
	if u.NoDirSync && name != root {
		return nil
	}
	return u.FS.SyncDir(name)
}

type unsafeFile struct {
	fsys.File
	fs *UnsafeFS
}

// Sync implements fsys.File.
func (f unsafeFile) Sync() error {
	f.fs.lastUnsynced = f.File
	if f.fs.NoFileSync || f.fs.LateSync {
		return nil
	}
	return f.File.Sync()
}
