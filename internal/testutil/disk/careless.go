package disk

import "marblelane/internal/fsys"

// Careless is a file system through which a program leaves out what makes its files last: the defects that a proof by
// Exhaust has to find.
type Careless struct {
	fsys.FS
	NoFileSync bool // files are not synced
	NoDirSync  bool // folders are not, but for the root
	LateSync   bool // files are synced after they are renamed
	waiting    fsys.File
}

// Create implements fsys.FS.
func (c *Careless) Create(name string) (fsys.File, error) {
	f, err := c.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return carelessFile{f, c}, nil
}

// Rename implements fsys.FS.
func (c *Careless) Rename(from, to string) error {
	err := c.FS.Rename(from, to)
	if c.LateSync && err == nil {
		err = c.waiting.Sync()
	}
	return err
}

// SyncDir implements fsys.FS.
func (c *Careless) SyncDir(name string) error {
	if c.NoDirSync && name != "/" {
		return nil
	}
	return c.FS.SyncDir(name)
}

type carelessFile struct {
	fsys.File
	c *Careless
}

// Sync implements fsys.File.
func (f carelessFile) Sync() error {
	if f.c.waiting = f.File; f.c.NoFileSync || f.c.LateSync {
		return nil
	}
	return f.File.Sync()
}
