package disk

import "marblelane/internal/fsys"

// FaultyFS is a file system that leaves out or delays syncs. Each of its defects has to be found by a test that checks
// CrashImages.
type FaultyFS struct {
	fsys.FS
	NoFileSync   bool // files are not synced
	NoDirSync    bool // folders are not synced, except for the root
	LateSync     bool // files are synced after they are renamed
	lastUnsynced fsys.File
}

// Create implements fsys.FS.
func (f *FaultyFS) Create(name string) (fsys.File, error) {
	file, err := f.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f}, nil
}

// Rename implements fsys.FS.
func (f *FaultyFS) Rename(from, to string) error {
	err := f.FS.Rename(from, to)
	if f.LateSync && err == nil {
		err = f.lastUnsynced.Sync()
	}
	return err
}

// SyncDir implements fsys.FS.
func (f *FaultyFS) SyncDir(name string) error {
	if f.NoDirSync && name != root {
		return nil
	}
	return f.FS.SyncDir(name)
}

type faultyFile struct {
	fsys.File
	fs *FaultyFS
}

// Sync implements fsys.File.
func (f faultyFile) Sync() error {
	f.fs.lastUnsynced = f.File
	if f.fs.NoFileSync || f.fs.LateSync {
		return nil
	}
	return f.File.Sync()
}
