package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
)

// This file verifies the data directory before the replica votes.
//
// # Invariant
//
// raft requires that a replica keeps each entry and vote that it has acknowledged. One that lost any and continues
// under its name can lose committed entries, or vote twice in one term.
//
// A write is acknowledged when its transaction has returned. A transaction syncs twice: all its pages, and then the
// meta page that points to them. A power loss before the second sync returns leaves the transaction complete or absent,
// and it was never acknowledged. So a torn tail of the log is not reachable from the newest root and is dropped. All
// pages that the root reaches were synced before it. If any of them cannot be read, even that of the last entry, its
// content may have been acknowledged: the replica stops and has to rejoin under another name. The same holds for a
// corrupt meta page, as the other one points to the previous state.
//
// A snapshot repeats entries of the log. An unfinished snapshot is removed. A corrupt snapshot is set aside if an older
// snapshot and the log are complete without it. Otherwise the replica stops.
//
// Not detected here: a disk that reports a sync without doing it and leaves an older consistent state, and a directory
// that was rolled back to an old disk image. The leader detects some of these, see transport.RegressionDetector.

// CorruptionError reports that a data directory is corrupt and that a replica must not start from it.
type CorruptionError struct {
	Path string // path of the file, followed by the bucket and the key or index if they are known
	Err  error
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: %v; this replica must not start from it, as it may have acknowledged data that is lost: "+
		"move the directory away, start the replica under another name with join = true, and run replace-copy for the old "+
		"name against a running replica; if none runs, `marblelane registry restore` creates a cluster from a backup",
		e.Path, e.Err)
}

func (e *CorruptionError) Unwrap() error { return e.Err }

const (
	StoreFile    = "raft.db"
	SnapshotsDir = "snapshots"
	TempSuffix   = ".tmp"
	AsideSuffix  = ".damaged"
)

// Inspection describes the content of a replica's data directory.
type Inspection struct {
	Entries           int    // number of log entries
	First, Last       uint64 // indices of the first and the last log entry; 0 if there are none
	LowTerm, HighTerm uint64 // terms of the first and the last log entry
	Term, VotedTerm   uint64 // current term of the replica, and the last term in which it voted
	VotedFor          string // candidate of the last vote
	Snapshots         []SnapshotInfo
	Unfinished        []string // names of unfinished files, which the next start removes
	Notes             []string // observations that do not prevent a start
	Faults            []error

	values     map[string][]byte
	contentSum contentSum
}

// SnapshotInfo describes one snapshot.
type SnapshotInfo struct {
	Name        string
	Index, Term uint64
	Rev         int64
	Bytes       int64
	Fault       error // nil if the snapshot is valid
}

// Inspect reads a data directory and changes nothing. The error reports that reading failed. Faults of the content are
// in Inspection.Faults. each, if not nil, is called with each log entry in order.
func Inspect(dir string, each func(*raft.Log)) (*Inspection, error) {
	out := &Inspection{values: map[string][]byte{}}
	if err := out.readSnapshots(filepath.Join(dir, SnapshotsDir)); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, StoreFile)
	f, err := os.Open(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if _, err := os.Stat(filepath.Join(dir, SnapshotsDir)); err == nil {
			out.AddFault(path, errors.New("the file is missing, although "+SnapshotsDir+" exists"))
		}
		return out, nil
	case err != nil:
		return nil, err
	}
	defer f.Close()
	if err := LockFile(f, syscall.LOCK_SH); err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a regular file", path)
	}
	if err := out.readStore(path, f, info.Size(), each); err != nil {
		out.AddFault(path, err)
	}
	out.checkComplete(path)
	return out, nil
}

// LockFile locks a file or directory. It waits up to fileLockTimeout for another process to release the lock.
func LockFile(f *os.File, how int) error {
	for end := time.Now().Add(fileLockTimeout); ; time.Sleep(fileLockTimeout / 20) {
		err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			return fmt.Errorf("%s: lock: %w", f.Name(), err)
		case time.Now().After(end):
			return fmt.Errorf("%s is open in another process", f.Name())
		}
	}
}

// AddFault records a fault of a file or of its content.
func (out *Inspection) AddFault(path string, err error) {
	if errors.Is(err, ErrNewerVersion) {
		out.Faults = append(out.Faults, fmt.Errorf("%s: %w: start that version; the directory is unchanged", path, err))
		return
	}
	out.Faults = append(out.Faults, &CorruptionError{path, err})
}

// ErrNewerVersion reports data that a newer version of the program wrote and this version cannot read.
var ErrNewerVersion = errors.New("written by a newer version of this program")

// readStore reads the log and the values of the store.
func (out *Inspection) readStore(path string, f io.ReaderAt, size int64, each func(*raft.Log)) error {
	p, err := openPages(f, size)
	if err != nil {
		return err
	}
	metadata := map[string][]byte{}
	buckets := map[string]visitor{
		string(logBucket): func(k, v []byte, _ bool) error { return out.readEntry(path, k, v, each) },
		string(valueBucket): func(k, v []byte, _ bool) error {
			out.values[string(k)] = append([]byte{}, v...)
			return nil
		},
		string(metadataBucket): func(k, v []byte, _ bool) error {
			metadata[string(k)] = append([]byte{}, v...)
			return nil
		},
	}
	var unknown error
	err = p.walk(p.root, func(name, value []byte, isBucket bool) error {
		if visit := buckets[string(name)]; visit != nil && isBucket {
			return p.bucket(value, visit)
		}
		unknown = fmt.Errorf("bucket %q: unknown bucket", name)
		return nil
	})
	if err != nil {
		return err
	}
	if ours, err := checkMetadata(metadata, out.values, &out.contentSum, p.txid); err != nil {
		return err
	} else if !ours {
		out.Notes = append(out.Notes, "this version did not make the last write to the log: an older version made "+
			"it, or the disk lost a page whose sync it reported as done")
	}
	if unknown != nil {
		return unknown
	}
	return out.readOwnValues()
}

func entryAt(path string, index uint64) string {
	return fmt.Sprintf("%s: bucket log, entry %d", path, index)
}

// readEntry verifies a log entry and adds it to the inspection.
func (out *Inspection) readEntry(path string, k, v []byte, each func(*raft.Log)) error {
	if len(k) != 8 {
		return fmt.Errorf("bucket log: key %x is not an index", k)
	}
	index := binary.BigEndian.Uint64(k)
	out.contentSum.add(k, v)
	var l raft.Log
	if err := decodeLog(index, v, &l); err != nil {
		out.AddFault(entryAt(path, index), err)
		l = raft.Log{Index: index, Term: out.HighTerm}
	}
	if l.Term < out.HighTerm {
		out.AddFault(entryAt(path, index), fmt.Errorf("has term %d, but an earlier entry has term %d", l.Term, out.HighTerm))
	}
	if out.Entries == 0 {
		out.First, out.LowTerm = index, l.Term
	}
	// A gap that a snapshot covers is no fault: a replica that received a snapshot keeps older entries.
	if covered := out.Covered(); out.Entries > 0 && index != out.Last+1 && index > covered+1 {
		out.AddFault(entryAt(path, max(out.Last, covered)+1), fmt.Errorf("entries up to %d are missing", index-1))
	}
	out.Entries, out.Last, out.HighTerm = out.Entries+1, index, l.Term
	if each != nil {
		each(&l)
	}
	return nil
}

// Covered returns the index of the last entry that the newest valid snapshot includes, or 0 without a valid snapshot.
func (out *Inspection) Covered() uint64 {
	for _, s := range out.Snapshots {
		if s.Fault == nil {
			return s.Index
		}
	}
	return 0
}

// readOwnValues reads the term and the vote of the replica.
func (out *Inspection) readOwnValues() error {
	for key, to := range map[string]*uint64{"CurrentTerm": &out.Term, "LastVoteTerm": &out.VotedTerm} {
		v, ok := out.values[key]
		if ok && len(v) != 8 {
			return fmt.Errorf("bucket values, %s: has %d bytes, want 8", key, len(v))
		}
		if ok {
			*to = binary.BigEndian.Uint64(v)
		}
	}
	out.VotedFor = string(out.values["LastVoteCand"])
	switch {
	case out.HighTerm > out.Term:
		return fmt.Errorf("bucket values, CurrentTerm: is %d, but the log has an entry of term %d", out.Term, out.HighTerm)
	case out.VotedTerm > out.Term:
		return fmt.Errorf("bucket values, LastVoteTerm: is %d, but the replica is in term %d", out.VotedTerm, out.Term)
	}
	return nil
}

// checkComplete records a fault for entries that neither the log nor a valid snapshot has.
func (out *Inspection) checkComplete(path string) {
	covered := out.Covered()
	var newest *SnapshotInfo // newest snapshot, valid or not
	for i := range out.Snapshots {
		if s := &out.Snapshots[i]; newest == nil || s.Index > newest.Index {
			newest = s
		}
	}
	if out.Entries > 0 && out.First > covered+1 {
		out.AddFault(entryAt(path, covered+1), fmt.Errorf("entries up to %d are missing", out.First-1))
	}
	for _, s := range out.Snapshots {
		if errors.Is(s.Fault, ErrNewerVersion) {
			out.AddFault(filepath.Join(filepath.Dir(path), SnapshotsDir, s.Name), s.Fault)
		}
	}
	if newest != nil && newest.Fault != nil && max(covered, out.Last) < newest.Index {
		out.AddFault(filepath.Join(filepath.Dir(path), SnapshotsDir, newest.Name),
			fmt.Errorf("%w, and the log ends at entry %d", newest.Fault, out.Last))
	}
}

// Recover prepares a data directory for a start: it removes unfinished files and sets corrupt snapshots aside. It
// returns an error if the invariant above forbids the start. It may be interrupted at any point and run again.
func Recover(dir string, log *slog.Logger) error {
	found, err := Inspect(dir, nil)
	if err != nil {
		return err
	}
	if n := len(found.Faults); n > 1 {
		return fmt.Errorf("%w (and %d more faults; `marblelane registry verify %s` lists them)", found.Faults[0], n-1, dir)
	} else if n == 1 {
		return found.Faults[0]
	}
	for _, name := range found.Unfinished {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("remove unfinished file: %w", err)
		}
		log.Warn("registry: removed an unfinished file; none of its content was acknowledged",
			"file", filepath.Join(dir, name))
	}
	for _, s := range found.Snapshots {
		if s.Fault == nil {
			continue
		}
		at := filepath.Join(dir, SnapshotsDir, s.Name)
		if s.Index < found.Covered() { // the removal of the snapshot may have been interrupted
			if err := os.RemoveAll(at); err != nil {
				return fmt.Errorf("remove corrupt old snapshot: %w", err)
			}
			log.Warn("registry: removed a corrupt old snapshot; a newer snapshot is valid", "file", at, "error", s.Fault)
			continue
		}
		if err := setAside(at); err != nil {
			return fmt.Errorf("set corrupt snapshot aside: %w", err)
		}
		log.Error("registry: set a corrupt snapshot aside; an older snapshot and the log have all its entries",
			"file", at, "error", s.Fault)
	}
	for _, n := range found.Notes {
		log.Info("registry: " + n)
	}
	return nil
}

// setAside renames a corrupt snapshot, and replaces one that was set aside under the same name. raft treats every
// directory as a snapshot unless its name has the suffix of unfinished ones, so the new name ends with that suffix.
func setAside(at string) error {
	to := at + AsideSuffix + TempSuffix
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	if err := os.Rename(at, to); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(at))
}

// SyncDir syncs a directory, so that its file names survive a power loss.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// storeForm is the format version of the whole store. A newer one is rejected.
const storeForm = 2

// Keys of the metadata bucket. Format version 1 of the store has no such bucket.
var (
	metadataBucket = []byte("about")
	formKey        = []byte("form")
	txKey          = []byte("tx") // ID of the last transaction made by a version that writes this key
	contentSumKey  = []byte("log")
)

// contentSum holds the number of log entries and the sum of their checksums. It detects an old page in the place of a
// newer one, which is left by a disk that reports a sync without doing it. Such a page is valid in itself, and no other
// check finds it.
type contentSum struct{ count, sum uint64 }

func (t *contentSum) add(k, v []byte) {
	t.count++
	t.sum += uint64(binary.BigEndian.Uint32(valueSum(k, v)))
}

func (t *contentSum) remove(k, v []byte) {
	t.count--
	t.sum -= uint64(binary.BigEndian.Uint32(valueSum(k, v)))
}

func (t *contentSum) bytes() []byte {
	b := binary.BigEndian.AppendUint64(key(t.count), t.sum)
	return append(b, valueSum(contentSumKey, b)...)
}

func readContentSum(metadata *bolt.Bucket) (t contentSum) {
	if b := metadata.Get(contentSumKey); len(b) == 20 {
		t = contentSum{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])}
	}
	return t
}

const sumPrefix = "sum "

func sumKey(name []byte) []byte { return append([]byte(sumPrefix), name...) }

func valueSum(name, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(name, castagnoli), castagnoli, value)
	return binary.BigEndian.AppendUint32(nil, sum)
}

// checkMetadata compares the values with their checksums. ours is false if an older version of the program, which
// writes no checksums, made the last transaction: the ID of that transaction is then not the one in the metadata
// bucket.
func checkMetadata(metadata, values map[string][]byte, log *contentSum, txid uint64) (ours bool, err error) {
	if len(metadata) == 0 {
		return false, nil
	}
	form, tx := metadata[string(formKey)], metadata[string(txKey)]
	if len(form) != 12 || len(tx) != 12 || string(valueSum(formKey, form[:8])) != string(form[8:]) ||
		string(valueSum(txKey, tx[:8])) != string(tx[8:]) {
		return false, errors.New("bucket about: checksum mismatch")
	}
	if f := binary.BigEndian.Uint64(form); f > storeForm {
		return false, fmt.Errorf("%w: format %d, this version reads up to format %d", ErrNewerVersion, f, storeForm)
	}
	if binary.BigEndian.Uint64(tx) != txid {
		return false, nil
	}
	if string(metadata[string(contentSumKey)]) != string(log.bytes()) {
		return false, fmt.Errorf("bucket log: its %d entries do not match the checksum of the last write", log.count)
	}
	for name, v := range values {
		if string(metadata[string(sumKey([]byte(name)))]) != string(valueSum([]byte(name), v)) {
			return false, fmt.Errorf("bucket values, %s: checksum mismatch", name)
		}
	}
	for name := range metadata {
		if at, ok := strings.CutPrefix(name, sumPrefix); ok {
			if _, there := values[at]; !there {
				return false, fmt.Errorf("bucket values, %s: value is missing", at)
			}
		}
	}
	return true, nil
}

// withChecksum encodes a number with its checksum.
func withChecksum(name []byte, value uint64) []byte {
	v := key(value)
	return append(v, valueSum(name, v)...)
}

// readJSON reads a whole JSON file, decodes it into to and returns its text.
func readJSON(path string, to any) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return text, json.Unmarshal(text, to)
}

// LockDir creates the directory if it is absent, and locks it against other processes until release is called.
func LockDir(dir string) (release func() error, err error) {
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		if err := SyncDir(filepath.Dir(filepath.Clean(dir))); err != nil {
			return nil, err
		}
	}
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	if err := LockFile(d, syscall.LOCK_EX); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d.Close, nil
}
