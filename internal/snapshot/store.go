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

// Names of the files in a state folder. Two generations alternate: Save never replaces the file with the newest valid
// state.
const (
	tempFile = "state.tmp"
	lockFile = "state.lock"
)

// generations are the names of the two state files.
var generations = [2]string{"state.0", "state.1"}

// noGeneration is used instead of an index into generations if neither file holds a valid state.
const noGeneration = -1

// DefaultMaxBytes is the default size limit of a state file: ten times the size for 2,000 servers.
const DefaultMaxBytes = 8 << 20

// Special values of Options.User.
const (
	// CurrentUser accepts only files that the user of this process owns.
	CurrentUser = 0
	// AnyUser accepts files of all users.
	AnyUser = -1
)

var (
	// ErrLocked reports that another process holds the lock of the folder.
	ErrLocked = fsys.ErrLocked
	// ErrTooLarge reports a file or an encoded state that exceeds Options.MaxBytes.
	ErrTooLarge = errors.New("too large")
	// ErrForeign reports a state of another fleet, process or user, or one that was learned under other settings.
	ErrForeign = errors.New("foreign state")
	// ErrClosed reports a Save after Close.
	ErrClosed = errors.New("store is closed")

	errNotRegularFile = errors.New("not a regular file")
)

// Options configures a store.
type Options struct {
	Identity Identity // identity that Save writes, and the only one that Load accepts
	MaxBytes int64    // size limit of a state file; 0 means DefaultMaxBytes
	FS       fsys.FS  // nil means the operating system's file system
	User     int      // ID of the user whose files are read, or CurrentUser or AnyUser
}

// FileError reports why Load did not use a state file.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns Err.
func (e FileError) Unwrap() error { return e.Err }

// Store saves and loads the states of one process in a folder. It is safe for concurrent use.
type Store struct {
	dir     string
	options Options
	files   fsys.FS

	mu     sync.Mutex // guards the fields below
	closed bool
	lock   fsys.Lock // lock of the folder; nil if not held
	// scanned reports whether newestGeneration and seqs describe the folder. It is only set while the lock is held,
	// since another process may write otherwise.
	scanned          bool
	newestGeneration int       // generation with the newest valid state, which must not be replaced, or noGeneration
	seqs             [2]uint64 // sequence number of each generation; 0 if its header is unreadable
}

// Open opens a state folder and creates it if its parent exists. The store is returned in any case and can Load. An
// error means that it cannot Save yet: ErrLocked, or an error of the file system. Each Save retries to lock the folder,
// so that a process whose predecessor is still running can save once the predecessor has ended.
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
		return s, fmt.Errorf("open state folder %s: %w", s.dir, err)
	}
	return s, nil
}

// createFolder creates the folder and syncs its parent. It also syncs the parent of an existing folder, as the process
// that created the folder may have been killed before its sync.
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

// Close releases the lock of the folder. The saved states remain. Further calls of Save return ErrClosed.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.releaseLock()
}

// acquireLock ensures that this process holds the lock of the folder that currently has the store's path. The folder
// may have been replaced since it was opened.
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
		return errors.Join(fmt.Errorf("lock %s: file was replaced while being locked", s.path(lockFile)), lock.Close())
	}
	s.lock = lock
	return nil
}

// releaseLock releases the lock if it is held.
func (s *Store) releaseLock() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock, s.scanned = nil, false
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Load returns the newest valid state of the store's identity, or nil if there is none, and an error for each file that
// it could not use. It reads at most Options.MaxBytes of each file and writes nothing: an unused file remains until a
// Save replaces it.
func (s *Store) Load() (*Snapshot, []FileError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scanGenerations()
}

// scanGenerations reads both generations and records which one has the newest valid state. The caller holds s.mu.
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
			unused = append(unused, FileError{Path: s.path(name), Err: err})
		case newest == nil || state.Seq > newest.Seq:
			newest, s.newestGeneration = state, i
		}
	}
	s.scanned = s.lock != nil
	return newest, unused
}

// readState reads a state file. If the header is valid, the sequence number is returned even with an error.
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

// readFile reads a regular file of at most maxBytes that the user owns and that no other user may write. It reads
// nothing of a larger file.
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

// othersWriteMask has the permission bits that let other users write a file.
const othersWriteMask fs.FileMode = 0o022

// checkReadable returns an error if a file must not be read because of its type, owner, permissions or size.
func checkReadable(info fsys.Info, maxBytes int64, user int) error {
	permissions := info.Mode.Perm()
	switch {
	case !info.Mode.IsRegular():
		return errNotRegularFile
	case user >= 0 && info.Owner != user:
		return fmt.Errorf("%w: file is owned by user %d, want user %d", ErrForeign, info.Owner, user)
	case user >= 0 && permissions&othersWriteMask != 0:
		return fmt.Errorf("%w: file is writable by other users (mode %v)", ErrForeign, permissions)
	}
	return checkSize(info.Size, maxBytes)
}

// checkSize returns ErrTooLarge if a size exceeds maxBytes.
func checkSize(size, maxBytes int64) error {
	if size > maxBytes {
		return fmt.Errorf("%w: %d bytes, limit is %d bytes", ErrTooLarge, size, maxBytes)
	}
	return nil
}

// withoutPath removes the path from a *fs.PathError, as FileError adds it again.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// Save writes a state to a temporary file, syncs it, renames it over the older generation and syncs the folder. If it
// returns nil, the state survives a loss of power. If it returns an error, the previous state does. The new state may
// then be on the disk as well, and if it is, it is complete. Save sets Seq and Identity of the state.
func (s *Store) Save(ctx context.Context, state *Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.save(ctx, state); err != nil {
		return fmt.Errorf("save state in %s: %w", s.dir, err)
	}
	return nil
}

// save implements Save. The caller holds s.mu.
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

// replaceGeneration renames the temporary file over a generation and syncs the folder.
func (s *Store) replaceGeneration(generation int, seq uint64) error {
	s.seqs[generation] = seq // set first: the new file may be on the disk even if a step below fails
	if err := s.files.Rename(s.path(tempFile), s.path(generations[generation])); err != nil {
		s.scanned = false
		return errors.Join(err, s.removeTemp())
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return err // newestGeneration is unchanged, so that the next Save replaces the same generation
	}
	s.newestGeneration = generation
	return nil
}

// nextGeneration returns the generation that the next Save replaces. It is never the one with the newest valid state.
// If neither is valid, it is the one with the lower sequence number.
func (s *Store) nextGeneration() int {
	if s.newestGeneration != noGeneration {
		return 1 - s.newestGeneration
	}
	if s.seqs[1] < s.seqs[0] {
		return 1
	}
	return 0
}

// writeTemp writes and syncs the temporary file. It always creates a new file, because after a failed sync the content
// of the old file on the disk is unknown.
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

// removeTemp removes the temporary file of an earlier Save, if any.
func (s *Store) removeTemp() error {
	if err := s.files.Remove(s.path(tempFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
