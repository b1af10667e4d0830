// Package storage stores the persistent state of a replica: the raft log, the term, the vote, and snapshots. It
// verifies all of them before a replica starts.
package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"marblelane/internal/fault"
)

// Store keeps raft's log and its few values in one bbolt file. Each log entry and each value has a checksum, so that
// a corrupt one stops the replica instead of being replicated or applied.
//
// The first failed write is sent to Failed: raft relies on earlier writes, so the replica has to be closed. The store
// writes nothing after the first failure, even if the disk works again, as the kernel may drop the pages of a failed
// sync and report the next sync as done. So the newest root in the file reaches only pages whose sync succeeded. That
// root itself may or may not be on the disk. The first transaction after a reopen syncs a root of its own, which
// resolves this.
type Store struct {
	db                    *bolt.DB
	mu                    sync.Mutex  // held during a write
	firstFailure          error       // error of the first failed write, returned by every later write
	Failed                chan error  // receives the first write failure
	OnFailure             func(error) // called with the first write failure
	faults                *fault.Injector
	slowThreshold         time.Duration // a write that takes longer counts as slow
	lastWriteNanos        atomic.Int64  // duration of the last write
	writes                atomic.Int64  // number of writes since the file was opened
	consecutiveSlowWrites atomic.Int64  // number of slow writes since the last fast one
}

var (
	logBucket   = []byte("log")
	valueBucket = []byte("values")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// fileLockTimeout bounds the wait for another process to release the lock of the file.
const fileLockTimeout = time.Second

// ErrCorrupt reports a log entry or a value that differs from what was written.
var ErrCorrupt = errors.New("the log is corrupt")

// openBolt opens a file that Recover has verified. bbolt panics on a corrupt file.
func openBolt(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o600,
		&bolt.Options{Timeout: fileLockTimeout, FreelistType: bolt.FreelistMapType, NoFreelistSync: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is open in another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := db.Update(prepareBuckets); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return db, nil
}

// prepareBuckets creates the buckets, and adds checksums to values that an earlier version has written.
func prepareBuckets(tx *bolt.Tx) error {
	for _, name := range [][]byte{logBucket, valueBucket, metadataBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	metadata := tx.Bucket(metadataBucket)
	if string(metadata.Get(txKey)) != string(withChecksum(txKey, uint64(tx.ID()-1))) {
		var t contentSum
		if err := tx.Bucket(logBucket).ForEach(func(k, v []byte) error { t.add(k, v); return nil }); err != nil {
			return err
		}
		if err := metadata.Put(contentSumKey, t.bytes()); err != nil {
			return err
		}
	}
	err := tx.Bucket(valueBucket).ForEach(func(name, v []byte) error {
		return metadata.Put(sumKey(name), valueSum(name, v))
	})
	return errors.Join(err, metadata.Put(formKey, withChecksum(formKey, storeForm)), markTransaction(tx))
}

// markTransaction records the ID of a transaction in its metadata, which shows that this version made it.
func markTransaction(tx *bolt.Tx) error {
	return tx.Bucket(metadataBucket).Put(txKey, withChecksum(txKey, uint64(tx.ID())))
}

// createStore creates the file under a temporary name first, as a partly created file looks like a corrupt one.
func createStore(path string) error {
	temp := path + TempSuffix
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := openBolt(temp)
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	if err := os.Rename(temp, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path)) // without this sync a power loss can remove the file together with the votes in it
}

// OpenStore opens the file, and creates it if it is absent. A write that takes longer than slow counts as slow.
func OpenStore(path string, slow time.Duration, faults *fault.Injector) (*Store, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := createStore(path); err != nil {
			return nil, fmt.Errorf("%s: create: %w", path, err)
		}
	}
	db, err := openBolt(path)
	if err != nil {
		return nil, err
	}
	return &Store{db: db, Failed: make(chan error, 1), OnFailure: func(error) {}, slowThreshold: slow, faults: faults}, nil
}

// LastWriteDuration returns how long the last write took, or 0 before the first write.
func (s *Store) LastWriteDuration() time.Duration { return time.Duration(s.lastWriteNanos.Load()) }

// WriteCount returns the number of writes since the file was opened.
func (s *Store) WriteCount() int64 { return s.writes.Load() }

// SlowWritesInRow returns the number of slow writes since the last fast one.
func (s *Store) SlowWritesInRow() int64 { return s.consecutiveSlowWrites.Load() }

// write runs f in a transaction. The first failure is reported, and every later write fails with the same error.
func (s *Store) write(f func(*bolt.Tx) error) error {
	startedAt := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstFailure != nil {
		return s.firstFailure
	}
	silent, err := s.faults.DiskWrite(func(undo error) error {
		return s.db.Update(func(tx *bolt.Tx) error {
			return errors.Join(f(tx), markTransaction(tx), undo)
		})
	})
	took := time.Since(startedAt)
	s.lastWriteNanos.Store(int64(took))
	s.writes.Add(1)
	if took > s.slowThreshold {
		s.consecutiveSlowWrites.Add(1)
	} else {
		s.consecutiveSlowWrites.Store(0)
	}
	if err != nil && !silent {
		s.firstFailure = err
		s.Failed <- err // does not block: the buffer holds one error, and only the first failure is sent
		s.OnFailure(err)
	}
	return err
}

// Failure returns the error of the first failed write, or nil if no write has failed.
func (s *Store) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstFailure
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// FirstIndex returns the index of the oldest entry, or 0 if the log is empty.
func (s *Store) FirstIndex() (uint64, error) {
	return s.boundaryIndex((*bolt.Cursor).First)
}

// LastIndex returns the index of the newest entry, or 0 if the log is empty.
func (s *Store) LastIndex() (uint64, error) {
	return s.boundaryIndex((*bolt.Cursor).Last)
}

// boundaryIndex returns the index of the entry to which seek moves a cursor, or 0 if the log is empty.
func (s *Store) boundaryIndex(seek func(*bolt.Cursor) ([]byte, []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if k, _ := seek(tx.Bucket(logBucket).Cursor()); k != nil {
			index = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return index, err
}

// GetLog reads an entry.
func (s *Store) GetLog(index uint64, l *raft.Log) error {
	v, err := s.readRaw(index)
	if err != nil {
		return err
	}
	return decodeLog(index, v, l)
}

// readRaw returns an entry with its checksum, as stored in the file.
func (s *Store) readRaw(index uint64) (v []byte, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		value := tx.Bucket(logBucket).Get(key(index))
		if value == nil {
			return raft.ErrLogNotFound
		}
		v = append(v, value...)
		return nil
	})
	return v, err
}

func decodeLog(index uint64, v []byte, l *raft.Log) error {
	if len(v) < 4 || crc32.Checksum(v[4:], castagnoli) != binary.BigEndian.Uint32(v) {
		return fmt.Errorf("%w: entry %d: checksum mismatch", ErrCorrupt, index)
	}
	if len(v) == 4 || v[4] != '{' { // the first byte identifies the format; entries of this version are JSON objects
		return fmt.Errorf("%w: entry %d", ErrNewerVersion, index)
	}
	*l = raft.Log{}
	if err := json.Unmarshal(v[4:], l); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrCorrupt, index, err)
	}
	if l.Index != index {
		return fmt.Errorf("%w: entry %d is stored at index %d", ErrCorrupt, l.Index, index)
	}
	return nil
}

// StoreLog writes an entry.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries in one transaction, which is synced to disk before StoreLogs returns.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	return s.write(func(tx *bolt.Tx) error {
		b := tx.Bucket(logBucket)
		b.FillPercent = 0.9 // entries are only appended, so pages need little free space
		t := readContentSum(tx.Bucket(metadataBucket))
		for _, l := range logs {
			data, err := json.Marshal(l)
			if err != nil {
				return fmt.Errorf("log entry %d: %w", l.Index, err)
			}
			v := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), crc32.Checksum(data, castagnoli))
			k, v := key(l.Index), append(v, data...)
			if old := b.Get(k); old != nil {
				t.remove(k, old)
			}
			t.add(k, v)
			if err := b.Put(k, v); err != nil {
				return fmt.Errorf("log entry %d: %w", l.Index, err)
			}
		}
		return tx.Bucket(metadataBucket).Put(contentSumKey, t.bytes())
	})
}

// DeleteRange removes the entries from low to high, inclusive.
func (s *Store) DeleteRange(low, high uint64) error {
	return s.write(func(tx *bolt.Tx) error {
		b := tx.Bucket(logBucket)
		t := readContentSum(tx.Bucket(metadataBucket))
		for i := low; i <= high; i++ { // no cursor: it must not be advanced from an entry that was deleted
			k := key(i)
			if old := b.Get(k); old != nil {
				t.remove(k, old)
			}
			if err := b.Delete(k); err != nil {
				return err
			}
		}
		return tx.Bucket(metadataBucket).Put(contentSumKey, t.bytes())
	})
}

// errNoValue has the text by which raft recognizes an absent value.
var errNoValue = errors.New("not found")

// Set stores a value and its checksum.
func (s *Store) Set(name, value []byte) error {
	return s.write(func(tx *bolt.Tx) error {
		return errors.Join(tx.Bucket(valueBucket).Put(name, value),
			tx.Bucket(metadataBucket).Put(sumKey(name), valueSum(name, value)))
	})
}

// Get reads a value.
func (s *Store) Get(name []byte) (value []byte, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		v := tx.Bucket(valueBucket).Get(name)
		if v == nil {
			return errNoValue
		}
		value = append(value, v...)
		return nil
	})
	return value, err
}

// SetUint64 stores a number.
func (s *Store) SetUint64(name []byte, value uint64) error { return s.Set(name, key(value)) }

// GetUint64 reads a number.
func (s *Store) GetUint64(name []byte) (uint64, error) {
	v, err := s.Get(name)
	if err != nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%w: value %s has %d bytes, want 8", ErrCorrupt, name, len(v))
	}
	return binary.BigEndian.Uint64(v), nil
}

// currentTermKey is the key under which raft stores the current term of a replica.
const currentTermKey = "CurrentTerm"

// TermStore stores raft's values, and hides from raft that its term could not be stored: raft would panic on a
// goroutine of its own and end the process.
//
// This is safe: the failed store also rejects every vote and entry of the term, and a replica cannot become leader
// without its own vote on disk. Until it is closed the replica can only report the new term to others. The quorum that
// voted in that term rejects earlier terms without this replica.
type TermStore struct{ *Store }

// SetUint64 stores a number. It returns no error for the term if the store has failed.
func (s TermStore) SetUint64(name []byte, value uint64) error {
	err := s.Store.SetUint64(name, value)
	if string(name) == currentTermKey && s.Failure() != nil {
		return nil
	}
	return err
}
