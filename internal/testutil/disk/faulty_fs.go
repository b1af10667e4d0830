package disk

import "marblelane/internal/fsys"

// FaultyFS is a file system that leaves out or delays syncs. Each of its defects has to be found by a test that checks
// CrashImages.
type FaultyFS struct {
	fsys.FS
	SkipFileSync    bool // files are not synced
	SkipDirSync     bool // folders are not synced, except for the root
	SyncAfterRename bool // files are synced after they are renamed
	lastSyncedFile  fsys.File
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
	if f.SyncAfterRename && err == nil {
		err = f.lastSyncedFile.Sync()
	}
	return err
}

// SyncDir implements fsys.FS.
func (f *FaultyFS) SyncDir(name string) error {
	if f.SkipDirSync && name != root {
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
	f.fs.lastSyncedFile = f.File
	if f.fs.SkipFileSync || f.fs.SyncAfterRename {
		return nil
	}
	return f.File.Sync()
}
