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

// Files of a state folder. Two generations alternate: Save never writes the one that holds the newest sound state.
const (
	tempFile = "state.tmp"
	lockFile = "state.lock"
)

var generations = [2]string{"state.0", "state.1"}

// noGeneration stands for an index into generations where no file holds a sound state.
const noGeneration = -1

// DefaultMaxBytes bounds a state file: ten times what 2,000 servers need.
const DefaultMaxBytes = 8 << 20

// Values of Options.User that are no user's number.
const (
	// CurrentUser accepts files of this process's user alone.
	CurrentUser = 0
	// AnyUser accepts files of all users.
	AnyUser = -1
)

var (
	// ErrLocked says that another process writes in the folder.
	ErrLocked = fsys.ErrLocked
	// ErrTooLarge says that a file or a state is longer than Options.MaxBytes.
	ErrTooLarge = errors.New("too long")
	// ErrForeign says that a state belongs to another fleet, process or user, or was learned under other settings.
	ErrForeign = errors.New("another's")
	// ErrClosed says that the store was closed.
	ErrClosed = errors.New("the store is closed")

	errNotRegularFile = errors.New("it is no regular file")
)

// Options configure a store.
type Options struct {
	Identity Identity // Load accepts states of this identity alone; Save writes it
	MaxBytes int64    // bound of a file; 0: DefaultMaxBytes
	FS       fsys.FS  // nil: the operating system's
	User     int      // number of the user whose files are read, CurrentUser or AnyUser
}

// FileError says why a state file was not used.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e FileError) Unwrap() error { return e.Err }

// Store keeps the states of one process in a folder. It is safe for concurrent use.
type Store struct {
	dir     string
	options Options
	files   fsys.FS

	mu     sync.Mutex
	closed bool
	lock   fsys.Lock // nil: not held
	// scanned says that newest and seqs describe the folder. That needs the lock: without it another process may write.
	scanned          bool
	newestGeneration int       // generation that holds the newest sound state and must not be written, or noGeneration
	seqs             [2]uint64 // sequence number of each generation, as far as its header can be read
}

// Open opens a state folder and creates it if its parent exists. The store is returned in any case and can Load. The
// error says why it cannot Save for now: ErrLocked, or an error of the file system. Each Save retries, so that a process
// whose predecessor still runs begins to write when the predecessor ends.
func Open(dir string, options Options) (*Store, error) {
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.User == CurrentUser {
		options.User = os.Geteuid()
	}
	s := &Store{dir: filepath.Clean(dir), options: options, files: options.FS, newestGeneration: noGeneration}
	if s.files == nil {
		s.files = fsys.OS{}
	}
	err := s.createFolder()
	if err == nil {
		err = s.acquireLock()
	}
	if err != nil {
		return s, fmt.Errorf("state folder %s: %w", s.dir, err)
	}
	return s, nil
}

// createFolder creates the folder and syncs its name. The name of an existing folder is synced too, as the process that
// created it may have been killed before it did so.
func (s *Store) createFolder() error {
	if err := s.files.Mkdir(s.dir); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	err := s.files.SyncDir(filepath.Dir(s.dir))
	if errors.Is(err, fs.ErrPermission) {
		return nil // this user cannot have created the folder
	}
	return err
}

// Close releases the folder. The states stay.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.releaseLock()
}

// acquireLock makes sure that this process holds the lock of the folder that has the name now. Another folder may have
// been put in the place of the one that was opened.
func (s *Store) acquireLock() error {
	if s.lock != nil && s.lock.Current() {
		return nil
	}
	if err := s.releaseLock(); err != nil {
		return err
	}
	lock, err := s.files.Lock(s.path(lockFile))
	if err != nil {
		return err
	}
	if !lock.Current() { // the file was replaced after it was opened; the next Save retries
		return errors.Join(fmt.Errorf("lock %s: replaced meanwhile", s.path(lockFile)), lock.Close())
	}
	s.lock = lock
	return nil
}

func (s *Store) releaseLock() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock, s.scanned = nil, false
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Load returns the newest sound state of the store's identity, or nil if there is none, and why other files were not
// used. It reads at most Options.MaxBytes of each file and writes nothing: a file that was not used stays until a Save
// replaces it.
func (s *Store) Load() (*Snapshot, []FileError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scanGenerations()
}

// scanGenerations reads both generations and notes which is the newest sound one. The caller holds s.mu.
func (s *Store) scanGenerations() (*Snapshot, []FileError) {
	var newest *Snapshot
	var unused []FileError
	s.newestGeneration, s.seqs = noGeneration, [2]uint64{}
	for i, name := range generations {
		state, seq, err := s.readState(s.path(name))
		s.seqs[i] = seq
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			unused = append(unused, FileError{File: s.path(name), Err: err})
		case newest == nil || state.Seq > newest.Seq:
			newest, s.newestGeneration = state, i
		}
	}
	s.scanned = s.lock != nil
	return newest, unused
}

// readState reads a state file. The sequence number is returned with an error too, if the header is sound.
func (s *Store) readState(name string) (state *Snapshot, seq uint64, err error) {
	content, err := readFile(s.files, name, s.options.MaxBytes, s.options.User)
	if err != nil {
		return nil, 0, err
	}
	header, err := decodeHeader(content)
	if err != nil {
		return nil, 0, err
	}
	seq = min(header.seq, maxSeq)
	state, err = Decode(content)
	if err != nil {
		return nil, seq, err
	}
	if err := s.options.Identity.accepts(state.Identity); err != nil {
		return nil, seq, err
	}
	return state, seq, nil
}

// readFile reads a regular file of at most maxBytes that belongs to the user and that no other user may write. Of a
// longer file it reads nothing.
func readFile(files fsys.FS, name string, maxBytes int64, user int) ([]byte, error) {
	file, err := files.Open(name)
	if err != nil {
		return nil, withoutPath(err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, withoutPath(err)
	}
	if err := checkReadable(info, maxBytes, user); err != nil {
		return nil, err
	}
	content := bytes.NewBuffer(make([]byte, 0, info.Size+bytes.MinRead))
	if _, err := content.ReadFrom(io.LimitReader(file, info.Size)); err != nil {
		return nil, withoutPath(err)
	}
	return content.Bytes(), nil
}

// othersWriteMask are the permission bits that let other users write a file.
const othersWriteMask fs.FileMode = 0o022

// checkReadable says why a file must not be read, if so.
func checkReadable(info fsys.Info, maxBytes int64, user int) error {
	permissions := info.Mode.Perm()
	switch {
	case !info.Mode.IsRegular():
		return errNotRegularFile
	case user >= 0 && info.Owner != user:
		return fmt.Errorf("%w: it belongs to user %d, this process to %d", ErrForeign, info.Owner, user)
	case user >= 0 && permissions&othersWriteMask != 0:
		return fmt.Errorf("%w: other users may write it (mode %v)", ErrForeign, permissions)
	}
	return checkSize(info.Size, maxBytes)
}

func checkSize(size, maxBytes int64) error {
	if size > maxBytes {
		return fmt.Errorf("%w: %d bytes, and %d is the most", ErrTooLarge, size, maxBytes)
	}
	return nil
}

// withoutPath removes the file's name from an error that FileError puts it before again.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// Save writes a state to a temporary file, syncs it, renames it over the older generation and syncs the folder. When it
// returns without an error, the state survives a loss of power. Otherwise the state before it does; the new one may be
// there as well, and is then complete. Save sets Seq and Identity of the state. The caller decides how often to save.
func (s *Store) Save(ctx context.Context, state *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.save(ctx, state); err != nil {
		return fmt.Errorf("save a state in %s: %w", s.dir, err)
	}
	return nil
}

func (s *Store) save(ctx context.Context, state *Snapshot) error {
	if s.closed {
		return ErrClosed
	}
	if err := s.acquireLock(); err != nil {
		return err
	}
	if !s.scanned {
		s.scanGenerations()
	}
	state.Seq, state.Identity = max(s.seqs[0], s.seqs[1])+1, s.options.Identity
	content, err := Encode(state)
	if err != nil {
		return err
	}
	if err := checkSize(int64(len(content)), s.options.MaxBytes); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := s.writeTemp(content); err != nil {
		return errors.Join(err, s.removeTemp())
	}
	return s.replaceGeneration(s.nextGeneration(), state.Seq)
}

// replaceGeneration puts the temporary file in the place of a generation.
func (s *Store) replaceGeneration(generation int, seq uint64) error {
	s.seqs[generation] = seq // even after an error below the disk may have it
	if err := s.files.Rename(s.path(tempFile), s.path(generations[generation])); err != nil {
		s.scanned = false
		return errors.Join(err, s.removeTemp())
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return err // s.newest stays: the next Save writes the same generation again
	}
	s.newestGeneration = generation
	return nil
}

// nextGeneration is the one that the next Save replaces: never the newest sound one. If neither is sound, it is the one
// of the lower sequence number.
func (s *Store) nextGeneration() int {
	if s.newestGeneration != noGeneration {
		return 1 - s.newestGeneration
	}
	if s.seqs[1] < s.seqs[0] {
		return 1
	}
	return 0
}

// writeTemp writes and syncs the temporary file. It always creates a new file: after a failed sync it is unknown
// what the disk holds of the old one.
func (s *Store) writeTemp(content []byte) error {
	if err := s.removeTemp(); err != nil {
		return err
	}
	file, err := s.files.Create(s.path(tempFile))
	if err != nil {
		return err
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// removeTemp removes the temporary file that an earlier Save may have left.
func (s *Store) removeTemp() error {
	if err := s.files.Remove(s.path(tempFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
