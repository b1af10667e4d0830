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
// raft requires that a replica keeps each entry and vote that it has acknowledged. One that lost any and continues under
// its name can lose committed entries, or vote twice in one term.
//
// A write is acknowledged when its transaction has returned, and that is after two syncs: of all its pages, and of the
// meta page that points to them. A power loss before the second returns leaves the transaction whole or not there, and
// it was never acknowledged. So a torn tail of the log is not reachable from the newest root; it is removed, as it was
// never acknowledged. What the root reaches was synced before; if any of it cannot be read, even the last entry, it may
// have been acknowledged. Then the replica stops and has to rejoin under another name. The same holds for a corrupt meta
// page, as the other one points to the previous state.
//
// A snapshot repeats entries of the log. An unfinished one is removed. A corrupt one is set aside if an older one and
// the log are complete without it; otherwise the replica stops.
//
// Not detected: a disk that reports a sync without doing it and leaves an older consistent state; a directory rolled
// back to an old disk image. See transport.RegressionDetector for how the leader detects these.

// CorruptionError is a data directory from which a replica must not start.
type CorruptionError struct {
	Path string // file, with the bucket and the key or the index where there is one
	Err  error
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: %v; this copy must not start from it, as it may have acknowledged what is lost: move the "+
		"folder away, start the copy under another name with join = true, and ask a copy that runs to replace-copy the old "+
		"name; where none runs any more, `marblelane registry restore` founds a cluster from a backup", e.Path, e.Err)
}

func (e *CorruptionError) Unwrap() error { return e.Err }

const (
	StoreFile    = "raft.db"
	SnapshotsDir = "snapshots"
	TempSuffix   = ".tmp"
	AsideSuffix  = ".damaged"
)

// Inspection is what a replica's folder has.
type Inspection struct {
	Entries           int    // in the log
	First, Last       uint64 // their indices; 0: there are none
	LowTerm, HighTerm uint64 // terms of the first and of the last
	Term, VotedTerm   uint64 // the replica's own, and the last in which it voted
	VotedFor          string // for whom
	Snapshots         []SnapshotInfo
	Unfinished        []string // unfinished files; a start removes them
	Notes             []string // remarks that are no faults
	Faults            []error

	values     map[string][]byte
	contentSum contentSum
}

// SnapshotInfo is one snapshot.
type SnapshotInfo struct {
	Name        string
	Index, Term uint64
	Rev         int64
	Bytes       int64
	Fault       error // nil: it is sound
}

// Inspect reads a folder and changes nothing. The error is of the reading itself; faults of what was read are in Found.
// each, if not nil, is given each entry of the log in order.
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
			out.AddFault(path, errors.New("is not there, and "+SnapshotsDir+" is"))
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
		return nil, fmt.Errorf("%s: is no file", path)
	}
	if err := out.readStore(path, f, info.Size(), each); err != nil {
		out.AddFault(path, err)
	}
	out.checkComplete(path)
	return out, nil
}

// LockFile takes a file or a folder, and waits for a bounded time for another process that has it.
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

// AddFault records a fault of a file.
func (out *Inspection) AddFault(path string, err error) {
	if errors.Is(err, ErrNewerVersion) {
		out.Faults = append(out.Faults, fmt.Errorf("%s: %w: start that program; the folder stays as it is", path, err))
		return
	}
	out.Faults = append(out.Faults, &CorruptionError{path, err})
}

// ErrNewerVersion is what a later program wrote and this one does not read.
var ErrNewerVersion = errors.New("written by a later program")

// Store reads the log and the values.
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
		unknown = fmt.Errorf("bucket %q: is none of this program's", name)
		return nil
	})
	if err != nil {
		return err
	}
	if ours, err := checkMetadata(metadata, out.values, &out.contentSum, p.txid); err != nil {
		return err
	} else if !ours {
		out.Notes = append(out.Notes, "the last write to the log is not this program's: an earlier program made it, or the "+
			"disk has lost a page that it said was synced")
	}
	if unknown != nil {
		return unknown
	}
	return out.readOwnValues()
}

func entryAt(path string, index uint64) string {
	return fmt.Sprintf("%s: bucket log, entry %d", path, index)
}

// readEntry takes in an readEntry of the log.
func (out *Inspection) readEntry(path string, k, v []byte, each func(*raft.Log)) error {
	if len(k) != 8 {
		return fmt.Errorf("bucket log: the key %x is no index", k)
	}
	index := binary.BigEndian.Uint64(k)
	out.contentSum.add(k, v)
	var l raft.Log
	if err := decodeLog(index, v, &l); err != nil {
		out.AddFault(entryAt(path, index), err)
		l = raft.Log{Index: index, Term: out.HighTerm}
	}
	if l.Term < out.HighTerm {
		out.AddFault(entryAt(path, index), fmt.Errorf("is of term %d, after one of term %d", l.Term, out.HighTerm))
	}
	if out.Entries == 0 {
		out.First, out.LowTerm = index, l.Term
	}
	// A hole is one only where the snapshots do not cover it: a replica that was sent one keeps older entries.
	if covered := out.Covered(); out.Entries > 0 && index != out.Last+1 && index > covered+1 {
		out.AddFault(entryAt(path, max(out.Last, covered)+1), fmt.Errorf("entries up to %d are missing", index-1))
	}
	out.Entries, out.Last, out.HighTerm = out.Entries+1, index, l.Term
	if each != nil {
		each(&l)
	}
	return nil
}

// Covered is the index up to which the newest sound snapshot has everything.
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
			return fmt.Errorf("bucket values, %s: has %d bytes", key, len(v))
		}
		if ok {
			*to = binary.BigEndian.Uint64(v)
		}
	}
	out.VotedFor = string(out.values["LastVoteCand"])
	switch {
	case out.HighTerm > out.Term:
		return fmt.Errorf("bucket values, CurrentTerm: is %d, and the log has an entry of term %d", out.Term, out.HighTerm)
	case out.VotedTerm > out.Term:
		return fmt.Errorf("bucket values, LastVoteTerm: is %d, and the copy is in term %d", out.VotedTerm, out.Term)
	}
	return nil
}

// checkComplete reports entries that neither the log nor a valid snapshot has.
func (out *Inspection) checkComplete(path string) {
	covered := out.Covered()
	var newest *SnapshotInfo // the newest of all, sound or not
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

// Recover prepares a data directory for a start. It fails where the invariant above requires it, and removes unfinished
// files. It may be interrupted at any point and run again.
func Recover(dir string, log *slog.Logger) error {
	found, err := Inspect(dir, nil)
	if err != nil {
		return err
	}
	if n := len(found.Faults); n > 1 {
		return fmt.Errorf("%w (and %d more, which `marblelane registry verify %s` tells)", found.Faults[0], n-1, dir)
	} else if n == 1 {
		return found.Faults[0]
	}
	for _, name := range found.Unfinished {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("cut what was not finished: %w", err)
		}
		log.Warn("registry: was not finished when the copy ended, and is cut; nothing of it was acknowledged",
			"file", filepath.Join(dir, name))
	}
	for _, s := range found.Snapshots {
		if s.Fault == nil {
			continue
		}
		at := filepath.Join(dir, SnapshotsDir, s.Name)
		if s.Index < found.Covered() { // its removal may have been cut off
			if err := os.RemoveAll(at); err != nil {
				return fmt.Errorf("cut an old snapshot: %w", err)
			}
			log.Warn("registry: an old snapshot is spoilt and cut; a newer one is sound", "file", at, "error", s.Fault)
			continue
		}
		if err := setAside(at); err != nil {
			return fmt.Errorf("set a spoilt snapshot aside: %w", err)
		}
		log.Error("registry: a snapshot is spoilt and set aside; an older one and the log have all of it",
			"file", at, "error", s.Fault)
	}
	for _, n := range found.Notes {
		log.Info("registry: " + n)
	}
	return nil
}

// setAside renames a spoilt snapshot, over what was set aside under the same name. raft takes all folders for snapshots
// except those that end like unfinished ones.
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

// SyncDir puts the names in a folder on the disk.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// The form of the store as a whole; a later one is refused.
const storeForm = 2

// Keys of the metadata bucket. Form 1 of the store has no such bucket.
var (
	metadataBucket = []byte("about")
	formKey        = []byte("form")
	txKey          = []byte("tx") // of the last transaction that this program made
	contentSumKey  = []byte("log")
)

// contentSum is how many entries the log has, and the sum of their checksums: an old page in a new one's place, which a
// disk leaves that says it has synced and has not, is sound in itself and shows here alone.
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

// checkMetadata compares the values with their checksums. An earlier program writes values and no checksums: that the last
// transaction was its own shows in its number, which is not the one that stands in the bucket.
func checkMetadata(metadata, values map[string][]byte, log *contentSum, txid uint64) (ours bool, err error) {
	if len(metadata) == 0 {
		return false, nil
	}
	form, tx := metadata[string(formKey)], metadata[string(txKey)]
	if len(form) != 12 || len(tx) != 12 || string(valueSum(formKey, form[:8])) != string(form[8:]) ||
		string(valueSum(txKey, tx[:8])) != string(tx[8:]) {
		return false, errors.New("bucket about: has another checksum")
	}
	if f := binary.BigEndian.Uint64(form); f > storeForm {
		return false, fmt.Errorf("%w: form %d, this one reads up to %d", ErrNewerVersion, f, storeForm)
	}
	if binary.BigEndian.Uint64(tx) != txid {
		return false, nil
	}
	if string(metadata[string(contentSumKey)]) != string(log.bytes()) {
		return false, fmt.Errorf("bucket log: its %d entries are not those that were written last", log.count)
	}
	for name, v := range values {
		if string(metadata[string(sumKey([]byte(name)))]) != string(valueSum([]byte(name), v)) {
			return false, fmt.Errorf("bucket values, %s: has another checksum", name)
		}
	}
	for name := range metadata {
		if at, ok := strings.CutPrefix(name, sumPrefix); ok {
			if _, there := values[at]; !there {
				return false, fmt.Errorf("bucket values, %s: is missing", at)
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

// readJSON reads a small file.
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
