// Package storage keeps what a replica has to keep on its disk: the raft log with the term and the vote, and snapshots.
// It verifies all of it before a replica starts.
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
// one that the disk has spoilt stops the replica and is not replicated or applied.
//
// A failed write is reported on failed: raft relies on earlier writes, so the replica has to be closed. Nothing is
// written after the first failure, even if the disk works again: the kernel may drop pages of a failed sync and report
// the next sync as done. So the newest root in the file reaches only pages whose sync succeeded, whether or not that
// root itself is on the disk; the first transaction after the file is reopened settles this, as it syncs a root of its
// own.
type Store struct {
	db                    *bolt.DB
	mu                    sync.Mutex  // held during a write
	firstFailure          error       // first failure; every later write fails with it
	Failed                chan error  // receives the first failure
	OnFailure             func(error) // called with the first failure
	faults                *fault.Plan
	slowThreshold         time.Duration // a write that takes longer is a slow one
	lastWriteNanos        atomic.Int64  // duration of the last write
	writes                atomic.Int64  // since it was opened
	consecutiveSlowWrites atomic.Int64  // slow writes since the last fast one
}

var (
	logBucket   = []byte("log")
	valueBucket = []byte("values")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// fileLockTimeout bounds the wait for another process to release the lock of the file.
const fileLockTimeout = time.Second

// ErrCorrupt is a log entry that is not what was written.
var ErrCorrupt = errors.New("the log is corrupt")

// openBolt opens the file, which Recover has looked at: bbolt panics on a spoilt one.
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

// markTransaction records in a transaction that this version has made it.
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
	return SyncDir(filepath.Dir(path)) // without it a power loss takes the file away, with the votes in it
}

// OpenStore opens the file, and creates it if it is absent. A write that takes longer than slow counts as slow.
func OpenStore(path string, slow time.Duration, faults *fault.Plan) (*Store, error) {
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

// LastWriteDuration is how long the last write took; 0: there was none.
func (s *Store) LastWriteDuration() time.Duration { return time.Duration(s.lastWriteNanos.Load()) }

// WriteCount is the number of writes since the file was opened.
func (s *Store) WriteCount() int64 { return s.writes.Load() }

// SlowWritesInRow is the number of slow writes since the last fast one.
func (s *Store) SlowWritesInRow() int64 { return s.consecutiveSlowWrites.Load() }

// write changes the file; a failure is reported, and every later write fails with the same error.
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
		s.Failed <- err // has room for the only one
		s.OnFailure(err)
	}
	return err
}

// Failure is the write that failed; nil: none has.
func (s *Store) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstFailure
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// FirstIndex is the oldest entry's; 0: there is none.
func (s *Store) FirstIndex() (uint64, error) {
	return s.boundaryIndex((*bolt.Cursor).First)
}

// LastIndex is the newest entry's; 0: there is none.
func (s *Store) LastIndex() (uint64, error) {
	return s.boundaryIndex((*bolt.Cursor).Last)
}

func (s *Store) boundaryIndex(of func(*bolt.Cursor) ([]byte, []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if k, _ := of(tx.Bucket(logBucket).Cursor()); k != nil {
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

// readRaw is an entry as it stands in the file.
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
		return fmt.Errorf("%w: entry %d has another checksum", ErrCorrupt, index)
	}
	if len(v) == 4 || v[4] != '{' { // the first byte is the form; that of this one is JSON's
		return fmt.Errorf("%w: entry %d", ErrNewerVersion, index)
	}
	*l = raft.Log{}
	if err := json.Unmarshal(v[4:], l); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrCorrupt, index, err)
	}
	if l.Index != index {
		return fmt.Errorf("%w: entry %d stands at %d", ErrCorrupt, l.Index, index)
	}
	return nil
}

// StoreLog writes an entry.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries in one transaction, which is on the disk when it returns.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	return s.write(func(tx *bolt.Tx) error {
		b := tx.Bucket(logBucket)
		b.FillPercent = 0.9 // entries are appended
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

// DeleteRange removes entries from low to high, both with them.
func (s *Store) DeleteRange(low, high uint64) error {
	return s.write(func(tx *bolt.Tx) error {
		b := tx.Bucket(logBucket)
		t := readContentSum(tx.Bucket(metadataBucket))
		for i := low; i <= high; i++ { // a cursor must not be moved on from what it has deleted
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

// errNoValue has the text that raft takes for an absent value.
var errNoValue = errors.New("not found")

// Set keeps a value.
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

// SetUint64 keeps a number.
func (s *Store) SetUint64(name []byte, value uint64) error { return s.Set(name, key(value)) }

// GetUint64 reads a number.
func (s *Store) GetUint64(name []byte) (uint64, error) {
	v, err := s.Get(name)
	if err != nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%w: the value %s has %d bytes", ErrCorrupt, name, len(v))
	}
	return binary.BigEndian.Uint64(v), nil
}

// currentTermKey is the name under which raft keeps the term that a replica is in.
const currentTermKey = "CurrentTerm"

// TermStore stores raft's values, and hides from raft that its term could not be stored: raft would panic on a goroutine
// of its own and end the process.
//
// This is safe: the failed store rejects every vote and entry of the term as well, and a replica cannot lead without its
// own vote on disk. Before it is closed the replica may only report the new term; the quorum that voted in that term
// rejects earlier ones without this replica.
type TermStore struct{ *Store }

// SetUint64 keeps a number. Where that is the term and the store has failed, no error is given.
func (s TermStore) SetUint64(name []byte, value uint64) error {
	err := s.Store.SetUint64(name, value)
	if string(name) == currentTermKey && s.Failure() != nil {
		return nil
	}
	return err
}
