package storage

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/crc64"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"marblelane/internal/registry/state"
)

// Snapshots keeps raft's snapshots. raft's own store gives the state a checksum and its description none, and does not
// sync the folder in which both stand; raft then drops from the log what the snapshot has. So a seal is written beside
// them, and both names and seal are synced before raft goes on.
//
// A snapshot that fails, on a full disk or at a sync, leaves the older ones and nothing of its own; raft retries at
// its next interval.
type Snapshots struct {
	*raft.FileSnapshotStore
	dir string
	log *slog.Logger

	mu         sync.Mutex
	inProgress map[string]bool // IDs of those that are being written
}

// OpenSnapshots opens the snapshots of a data directory.
func OpenSnapshots(dir string, raftLog hclog.Logger, log *slog.Logger) (*Snapshots, error) {
	files, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, raftLog)
	if err != nil {
		return nil, err
	}
	return &Snapshots{FileSnapshotStore: files, dir: filepath.Join(dir, SnapshotsDir), log: log,
		inProgress: map[string]bool{}}, SyncDir(dir)
}

// Create begins a snapshot.
func (s *Snapshots) Create(version raft.SnapshotVersion, index, term uint64, c raft.Configuration, cIndex uint64,
	t raft.Transport) (raft.SnapshotSink, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sink, err := s.FileSnapshotStore.Create(version, index, term, c, cIndex, t)
	if err != nil {
		s.handleFailure(err)
		return nil, err
	}
	s.inProgress[sink.ID()] = true
	return &sealingSink{SnapshotSink: sink, store: s, dir: filepath.Join(s.dir, sink.ID())}, nil
}

// finished records that a snapshot was written or cancelled, or why it failed.
func (s *Snapshots) finished(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, id)
	if err != nil {
		s.handleFailure(err)
	}
}

// handleFailure logs that a snapshot handleFailure and removes unfinished ones, which raft leaves behind at each attempt; s.mu is held.
func (s *Snapshots) handleFailure(err error) {
	s.log.Error("registry: a snapshot failed; the older ones stay, and it is tried again", "dir", s.dir, "error", err)
	all, err := os.ReadDir(s.dir)
	for _, e := range all {
		id, unfinished := strings.CutSuffix(e.Name(), TempSuffix)
		if unfinished && !s.inProgress[id] && !strings.HasSuffix(id, AsideSuffix) {
			err = errors.Join(err, os.RemoveAll(filepath.Join(s.dir, e.Name())))
		}
	}
	if err != nil { // removed at the next failure or start
		s.log.Warn("registry: an unfinished snapshot is left", "error", err)
	}
}

// sealingSink writes the seal when the snapshot is complete. raft closes a sink more than once.
type sealingSink struct {
	raft.SnapshotSink
	store  *Snapshots
	dir    string
	closed bool
	err    error // why it failed
}

// Write adds to the state.
func (s *sealingSink) Write(b []byte) (int, error) {
	n, err := s.SnapshotSink.Write(b)
	if s.err == nil {
		s.err = err
	}
	return n, err
}

// Close puts the snapshot in place. One that fails is not there, or its seal is on the disk.
func (s *sealingSink) Close() error {
	if s.closed {
		return s.err
	}
	s.closed = true
	if s.err = s.SnapshotSink.Close(); s.err == nil {
		s.err = seal(s.dir)
	}
	if s.err != nil {
		s.err = errors.Join(s.err, markUnfinished(s.dir))
	}
	s.store.finished(s.ID(), s.err)
	return s.err
}

// markUnfinished renames a snapshot to an unfinished one; it may not be in place yet.
func markUnfinished(dir string) error {
	if err := os.Rename(dir, dir+TempSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Cancel gives the snapshot up.
func (s *sealingSink) Cancel() error {
	if s.closed {
		return nil
	}
	s.closed = true
	err := s.SnapshotSink.Cancel()
	s.err = errors.Join(s.err, err)
	s.store.finished(s.ID(), s.err)
	return err
}

const (
	metaFile  = "meta.json"
	StateFile = "state.bin"
	sealFile  = "seal.json"
	sealForm  = 1
)

// sealed is the content of a seal. A later form is rejected.
type sealed struct {
	Form int    `json:"form"`
	Meta uint32 `json:"meta"` // CRC-32C of the description
	Sum  uint32 `json:"sum"`  // CRC-32C of the two before, as text
}

func (s *sealed) sum() uint32 {
	return crc32.Checksum(fmt.Appendf(nil, "%d %d", s.Form, s.Meta), castagnoli)
}

// seal writes the seal of a snapshot and syncs its directory.
func seal(dir string) error {
	meta, err := os.ReadFile(filepath.Join(dir, metaFile))
	if err != nil {
		return fmt.Errorf("seal: %w", err)
	}
	s := sealed{Form: sealForm, Meta: crc32.Checksum(meta, castagnoli)}
	s.Sum = s.sum()
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("seal: %w", err)
	}
	if err := writeSynced(filepath.Join(dir, sealFile), text); err != nil {
		return fmt.Errorf("seal: %w", err)
	}
	return nil
}

// writeSynced writes a file under a temporary name, syncs it and renames it into place.
func writeSynced(path string, text []byte) error {
	temp := path + TempSuffix
	f, err := os.Create(temp)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(temp, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// description is the part of raft's meta.json that is checked.
type description struct {
	Version     raft.SnapshotVersion
	Index, Term uint64
	Size        int64
	CRC         []byte
}

// Snapshots reads all readSnapshots, newest first.
func (out *Inspection) readSnapshots(dir string) error {
	all, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, e := range all {
		switch name := e.Name(); {
		case strings.HasSuffix(name, AsideSuffix+TempSuffix):
			out.Notes = append(out.Notes, "a spoilt snapshot was set aside earlier: "+name)
		case strings.HasSuffix(name, TempSuffix):
			out.Unfinished = append(out.Unfinished, filepath.Join(SnapshotsDir, name))
		case e.IsDir():
			s := SnapshotInfo{Name: name}
			// The folder's name has term and index even where the description is lost.
			_, _ = fmt.Sscanf(name, "%d-%d-", &s.Term, &s.Index)
			unsealed, err := s.verify(filepath.Join(dir, name))
			if s.Fault = err; err == nil && unsealed {
				out.Notes = append(out.Notes, "a snapshot has no seal, as an earlier program writes it: "+name)
			}
			out.Snapshots = append(out.Snapshots, s)
		}
	}
	slices.SortFunc(out.Snapshots, func(a, b SnapshotInfo) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), cmp.Compare(b.Index, a.Index), cmp.Compare(b.Name, a.Name))
	})
	if _, err := os.Stat(filepath.Join(filepath.Dir(dir), StoreFile+TempSuffix)); err == nil {
		out.Unfinished = append(out.Unfinished, StoreFile+TempSuffix)
	}
	return nil
}

// verify checks one snapshot.
func (s *SnapshotInfo) verify(dir string) (unsealed bool, err error) {
	var d description
	meta, err := readJSON(filepath.Join(dir, metaFile), &d)
	if err != nil {
		return false, fmt.Errorf("%s: %w", metaFile, err)
	}
	var mark sealed
	text, err := readJSON(filepath.Join(dir, sealFile), &mark)
	exact, err2 := json.Marshal(mark) // JSON's reader takes other spellings, too
	switch {
	case errors.Is(err, fs.ErrNotExist):
		unsealed = true
	case err != nil || err2 != nil:
		return false, fmt.Errorf("%s: %w", sealFile, errors.Join(err, err2))
	case mark.Sum != mark.sum():
		return false, fmt.Errorf("%s: has another checksum", sealFile)
	case mark.Form > sealForm:
		return false, fmt.Errorf("%s: %w: form %d, this one reads up to %d", sealFile, ErrNewerVersion, mark.Form, sealForm)
	case string(text) != string(exact):
		return false, fmt.Errorf("%s: is not as it was written", sealFile)
	case mark.Meta != crc32.Checksum(meta, castagnoli):
		return false, fmt.Errorf("%s: has another checksum", metaFile)
	}
	if d.Index != s.Index || d.Term != s.Term {
		return false, fmt.Errorf("%s: is of term %d and index %d", metaFile, d.Term, d.Index)
	}
	f, err := os.Open(filepath.Join(dir, StateFile))
	if err != nil {
		return false, err
	}
	defer f.Close()
	sum := crc64.New(crc64.MakeTable(crc64.ECMA))
	if s.Bytes, err = io.Copy(sum, f); err != nil {
		return false, err
	}
	if string(sum.Sum(nil)) != string(d.CRC) || s.Bytes != d.Size {
		return false, fmt.Errorf("%s: has another checksum", StateFile)
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return false, err
	}
	var in struct {
		Form int   `json:"form"`
		Rev  int64 `json:"rev"`
	}
	if err := json.NewDecoder(f).Decode(&in); err != nil {
		return false, fmt.Errorf("%s: %w", StateFile, err)
	}
	if in.Form > state.SnapshotForm {
		return false, fmt.Errorf("%s: %w: form %d, this one reads up to %d", StateFile, ErrNewerVersion, in.Form, state.SnapshotForm)
	}
	s.Rev = in.Rev
	return unsealed, nil
}
