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

// Snapshots stores raft's snapshots. raft's own store writes a checksum for the state but none for its description, and
// does not sync the directory of both files. After a snapshot raft deletes the entries that it includes from the log.
// So this store writes a seal file beside them, and syncs the file names and the seal before raft continues.
//
// A snapshot that fails, for example on a full disk or at a sync, is removed and leaves the older ones in place. raft
// retries at its next interval.
type Snapshots struct {
	*raft.FileSnapshotStore
	dir string
	log *slog.Logger

	mu         sync.Mutex
	inProgress map[string]bool // IDs of the snapshots that are being written
}

// OpenSnapshots opens the snapshot store of a data directory, and creates it if it is absent.
func OpenSnapshots(dir string, raftLog hclog.Logger, log *slog.Logger) (*Snapshots, error) {
	files, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, raftLog)
	if err != nil {
		return nil, err
	}
	return &Snapshots{FileSnapshotStore: files, dir: filepath.Join(dir, SnapshotsDir), log: log,
		inProgress: map[string]bool{}}, SyncDir(dir)
}

// Create starts a snapshot and returns the sink for its state.
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

// finished records the end of a snapshot. err is nil unless the snapshot failed.
func (s *Snapshots) finished(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, id)
	if err != nil {
		s.handleFailure(err)
	}
}

// handleFailure logs that a snapshot failed, and removes unfinished snapshots, which raft leaves behind at each failed
// attempt. The caller holds s.mu.
func (s *Snapshots) handleFailure(err error) {
	s.log.Error("registry: failed to write a snapshot; older snapshots are kept, and raft retries",
		"dir", s.dir, "error", err)
	all, err := os.ReadDir(s.dir)
	for _, e := range all {
		id, unfinished := strings.CutSuffix(e.Name(), TempSuffix)
		if unfinished && !s.inProgress[id] && !strings.HasSuffix(id, AsideSuffix) {
			err = errors.Join(err, os.RemoveAll(filepath.Join(s.dir, e.Name())))
		}
	}
	if err != nil { // the next failure or start removes the unfinished snapshot
		s.log.Warn("registry: failed to remove an unfinished snapshot", "error", err)
	}
}

// sealingSink writes the seal when the snapshot is complete. raft may close a sink more than once.
type sealingSink struct {
	raft.SnapshotSink
	store  *Snapshots
	dir    string
	closed bool
	err    error // first error of the snapshot
}

// Write appends to the state file.
func (s *sealingSink) Write(b []byte) (int, error) {
	n, err := s.SnapshotSink.Write(b)
	if s.err == nil {
		s.err = err
	}
	return n, err
}

// Close completes the snapshot and writes its seal. If it fails, the snapshot is marked as unfinished.
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

// markUnfinished gives a snapshot the name of an unfinished one. It does nothing if raft has not renamed the snapshot
// into place yet.
func markUnfinished(dir string) error {
	if err := os.Rename(dir, dir+TempSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Cancel discards the snapshot.
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

// sealed is the content of a seal file. A newer format version is rejected.
type sealed struct {
	Form int    `json:"form"`
	Meta uint32 `json:"meta"` // CRC-32C of meta.json
	Sum  uint32 `json:"sum"`  // CRC-32C of Form and Meta, written as decimal text
}

func (s *sealed) sum() uint32 {
	return crc32.Checksum(fmt.Appendf(nil, "%d %d", s.Form, s.Meta), castagnoli)
}

// seal writes the seal file of a snapshot and syncs its directory.
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

// description holds the fields of raft's meta.json that are verified.
type description struct {
	Version     raft.SnapshotVersion
	Index, Term uint64
	Size        int64
	CRC         []byte
}

// readSnapshots reads and verifies all snapshots, and sorts them with the newest first.
func (out *Inspection) readSnapshots(dir string) error {
	all, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, e := range all {
		switch name := e.Name(); {
		case strings.HasSuffix(name, AsideSuffix+TempSuffix):
			out.Notes = append(out.Notes, "a corrupt snapshot was set aside earlier: "+name)
		case strings.HasSuffix(name, TempSuffix):
			out.Unfinished = append(out.Unfinished, filepath.Join(SnapshotsDir, name))
		case e.IsDir():
			s := SnapshotInfo{Name: name}
			// The directory name has the term and the index, even if meta.json is lost.
			_, _ = fmt.Sscanf(name, "%d-%d-", &s.Term, &s.Index)
			unsealed, err := s.verify(filepath.Join(dir, name))
			if s.Fault = err; err == nil && unsealed {
				out.Notes = append(out.Notes, "a snapshot has no seal, as older versions do not write one: "+name)
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
	var stored sealed
	text, err := readJSON(filepath.Join(dir, sealFile), &stored)
	encoded, err2 := json.Marshal(stored) // the JSON decoder also accepts other encodings of the same values
	switch {
	case errors.Is(err, fs.ErrNotExist):
		unsealed = true
	case err != nil || err2 != nil:
		return false, fmt.Errorf("%s: %w", sealFile, errors.Join(err, err2))
	case stored.Sum != stored.sum():
		return false, fmt.Errorf("%s: checksum mismatch", sealFile)
	case stored.Form > sealForm:
		return false, fmt.Errorf("%s: %w: format %d, this version reads up to format %d", sealFile, ErrNewerVersion,
			stored.Form, sealForm)
	case string(text) != string(encoded):
		return false, fmt.Errorf("%s: differs from the encoding that was written", sealFile)
	case stored.Meta != crc32.Checksum(meta, castagnoli):
		return false, fmt.Errorf("%s: checksum mismatch", metaFile)
	}
	if d.Index != s.Index || d.Term != s.Term {
		return false, fmt.Errorf("%s: term %d and index %d do not match the directory name", metaFile, d.Term, d.Index)
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
		return false, fmt.Errorf("%s: checksum or size mismatch", StateFile)
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
		return false, fmt.Errorf("%s: %w: format %d, this version reads up to format %d", StateFile, ErrNewerVersion,
			in.Form, state.SnapshotForm)
	}
	s.Rev = in.Rev
	return unsealed, nil
}
