package disk

import "marblelane/internal/fsys"

// FaultyFS is a file system that skips or delays syncs. A test that checks CrashImages must detect each of its defects.
type FaultyFS struct {
	fsys.FS
	SkipFileSync    bool      // file syncs are skipped
	SkipDirSync     bool      // directory syncs are skipped, except those of the root
	SyncAfterRename bool      // file syncs are delayed until after the next rename
	lastSyncedFile  fsys.File // file whose Sync was called last
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

// faultyFile is a file whose syncs are skipped or delayed as set in its FaultyFS.
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
