package snapshot

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"marblelane/internal/fsys"
)

// Names of the files in a folder. A writing goes to the generation that does not hold the newest sound one.
const (
	nameTemp = "state.tmp"
	nameLock = "state.lock"
)

var generations = [2]string{"state.0", "state.1"}

// DefaultMost is how long a file may be, in bytes: ten times what 2,000 servers need.
const DefaultMost = 8 << 20

var (
	// ErrHeld says that another process writes in the folder.
	ErrHeld = fsys.ErrHeld
	// ErrTooBig says that a file is longer than it may be.
	ErrTooBig = errors.New("too long")
	// ErrForeign says that a state is another fleet's, name's, user's, or of other settings.
	ErrForeign = errors.New("another's")
	// ErrClosed says that the store was closed.
	ErrClosed = errors.New("the store is closed")
)

// Options are what a store is opened with.
type Options struct {
	Identity Identity // whose states are read; Save writes under it
	Most     int64    // bytes of a file; 0: DefaultMost
	FS       fsys.FS  // nil: the system's
	User     int      // whose files are read; 0: those of this process's user alone, below 0: anybody's
}

// Aside says why a file was not taken.
type Aside struct {
	File string
	Err  error
}

// Error implements error.
func (a Aside) Error() string { return fmt.Sprintf("%s: %v", a.File, a.Err) }

// Unwrap gives the cause.
func (a Aside) Unwrap() error { return a.Err }

// Store keeps the states of one process in a folder. It is safe for concurrent use.
type Store struct {
	dir string
	o   Options
	fs  fsys.FS

	mu     sync.Mutex
	lock   fsys.Lock // nil: not held
	known  bool      // the two below are what is in the folder, and only this process writes there
	keep   int       // generation that holds the newest sound state, and must not be written; -1: none does
	newest [2]uint64 // seq of each generation, as far as its header tells
	closed bool
}

// Open takes a folder for a process's states, and makes it where its parent is there. The store is there in any case,
// and can Load; the error says why it cannot Save for now: ErrHeld, or what the system says. Each Save tries again, so
// that a process whose predecessor still runs writes once that is gone.
func Open(dir string, o Options) (*Store, error) {
	if o.Most == 0 {
		o.Most = DefaultMost
	}
	if o.User == 0 {
		o.User = os.Geteuid()
	}
	s := &Store{dir: filepath.Clean(dir), o: o, fs: o.FS, keep: -1}
	if s.fs == nil {
		s.fs = fsys.OS{}
	}
	err := s.fs.Mkdir(s.dir)
	if err == nil || errors.Is(err, fs.ErrExist) { // a process that made it may have been killed before it synced it
		if err = s.fs.SyncDir(filepath.Dir(s.dir)); errors.Is(err, fs.ErrPermission) {
			err = nil // so it was made by somebody else, and long ago
		}
	}
	if err == nil {
		err = s.hold()
	}
	if err != nil {
		return s, fmt.Errorf("state folder %s: %w", s.dir, err)
	}
	return s, nil
}

// Close gives the folder up. States stay.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.release()
}

func (s *Store) release() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock, s.known = nil, false
	return err
}

// hold sees to it that this process has the lock, and that it is the one that others would ask for: a folder may have
// been put in the place of another.
func (s *Store) hold() error {
	if s.lock != nil && s.lock.Current() {
		return nil
	}
	if err := s.release(); err != nil {
		return err
	}
	lock, err := s.fs.Lock(s.path(nameLock))
	if err != nil {
		return err
	}
	if !lock.Current() { // it was replaced between being opened and locked; the next Save tries again
		return errors.Join(fmt.Errorf("lock %s: replaced meanwhile", s.path(nameLock)), lock.Close())
	}
	s.lock = lock
	return nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Load gives the newest sound state that is this process's own, nil if there is none, and why files were set aside. It
// reads no more than Options.Most of each, and writes nothing: what is set aside stays until a Save needs its place.
func (s *Store) Load() (*Snapshot, []Aside) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Store) load() (*Snapshot, []Aside) {
	var best *Snapshot
	var asides []Aside
	s.keep, s.newest = -1, [2]uint64{}
	for i, name := range generations {
		snap, seq, err := s.read(s.path(name))
		s.newest[i] = seq
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			asides = append(asides, Aside{File: s.path(name), Err: err})
		case best == nil || snap.Seq > best.Seq:
			best, s.keep = snap, i
		}
	}
	s.known = s.lock != nil // else another process may write after this
	return best, asides
}

// read reads one file, and its seq as far as the header tells it.
func (s *Store) read(name string) (*Snapshot, uint64, error) {
	b, err := readFile(s.fs, name, s.o.Most, s.o.User)
	if err != nil {
		return nil, 0, err
	}
	h, err := readHeader(b)
	if err != nil {
		return nil, 0, err
	}
	seq := min(h.seq, maxSeq)
	snap, err := Decode(b)
	if err != nil {
		return nil, seq, err
	}
	got, own := snap.Identity, s.o.Identity
	for _, f := range [][3]string{
		{"site", got.Site, own.Site}, {"name", got.Name, own.Name}, {"settings", got.Settings, own.Settings},
	} {
		if f[1] != f[2] {
			return nil, seq, fmt.Errorf("%w: its %s is %q, here it is %q", ErrForeign, f[0], f[1], f[2])
		}
	}
	return snap, seq, nil
}

// readFile reads a regular file of at most so many bytes; of a longer one it reads nothing.
func readFile(from fsys.FS, name string, most int64, user int) ([]byte, error) {
	f, err := from.Open(name)
	if err != nil {
		return nil, cause(err)
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, cause(err)
	case !info.Mode.IsRegular():
		return nil, errors.New("it is no regular file")
	case user >= 0 && info.Owner != user:
		return nil, fmt.Errorf("%w: it belongs to user %d, this process to %d", ErrForeign, info.Owner, user)
	case user >= 0 && info.Mode.Perm()&0o022 != 0:
		return nil, fmt.Errorf("%w: other users may write it (mode %v)", ErrForeign, info.Mode.Perm())
	case info.Size > most:
		return nil, fmt.Errorf("%w: %d bytes, and %d is the most", ErrTooBig, info.Size, most)
	}
	b := bytes.NewBuffer(make([]byte, 0, info.Size+bytes.MinRead))
	if _, err := b.ReadFrom(io.LimitReader(f, info.Size)); err != nil {
		return nil, cause(err)
	}
	return b.Bytes(), nil
}

// cause leaves the file's name out of an error that will name it again.
func cause(err error) error {
	if e := (*fs.PathError)(nil); errors.As(err, &e) {
		return e.Err
	}
	return err
}

// Save writes a state: whole to a file of its own, which is synced, renamed over the older generation, and the folder
// synced. Once it has returned without an error the state outlasts a loss of power. Else the one before it does; the
// new one may be there, too, whole. It sets the state's Seq and Identity. How often it is called is the caller's
// matter.
func (s *Store) Save(ctx context.Context, snap *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.save(ctx, snap); err != nil {
		return fmt.Errorf("save a state in %s: %w", s.dir, err)
	}
	return nil
}

func (s *Store) save(ctx context.Context, snap *Snapshot) error {
	if s.closed {
		return ErrClosed
	}
	if err := s.hold(); err != nil {
		return err
	}
	if !s.known {
		s.load()
	}
	snap.Seq, snap.Identity = max(s.newest[0], s.newest[1])+1, s.o.Identity
	b, err := Encode(snap)
	if err != nil {
		return err
	}
	if int64(len(b)) > s.o.Most {
		return fmt.Errorf("%w: %d bytes, and %d is the most", ErrTooBig, len(b), s.o.Most)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	into := s.older()
	if err := s.write(b); err != nil {
		return errors.Join(err, s.drop())
	}
	// From here on the seq may be on the disk.
	s.newest[into] = snap.Seq
	if err := s.fs.Rename(s.path(nameTemp), s.path(generations[into])); err != nil {
		s.known = false
		return errors.Join(err, s.drop())
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return err // the generation kept is still the one before: the next Save writes here again
	}
	s.keep = into
	return nil
}

// older is the generation to write: not the newest sound one; of two that are not sound the one of the lower seq.
func (s *Store) older() int {
	if s.keep >= 0 {
		return 1 - s.keep
	}
	if s.newest[1] < s.newest[0] {
		return 1
	}
	return 0
}

// write writes the temporary file and syncs it. After a sync that failed nobody knows what the disk has, so that a file
// is never tried again: the next Save begins another.
func (s *Store) write(b []byte) error {
	if err := s.drop(); err != nil {
		return err
	}
	f, err := s.fs.Create(s.path(nameTemp))
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// drop removes a temporary file that a writing before has left.
func (s *Store) drop() error {
	if err := s.fs.Remove(s.path(nameTemp)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
