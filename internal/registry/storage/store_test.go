package storage

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	"go.uber.org/goleak"

	"marblelane/internal/fault"
	"marblelane/internal/registry/state"
	"marblelane/internal/testutil/testfile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newDataDir creates the data directory of a replica that has voted. It has two snapshots, and log entries after them.
func newDataDir(t *testing.T) string {
	t.Helper()
	const term = 2
	dir := t.TempDir()
	log, err := OpenStore(filepath.Join(dir, StoreFile), time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(log.SetUint64([]byte("CurrentTerm"), term), log.SetUint64([]byte("LastVoteTerm"), term),
		log.Set([]byte("LastVoteCand"), []byte("127.0.0.1:7001"))))
	cluster := raft.Configuration{Servers: []raft.Server{{ID: "one", Address: "127.0.0.1:7001"}}}
	require.NoError(t, log.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration,
		Data: raft.EncodeConfiguration(cluster)}))
	files, err := OpenSnapshots(dir, hclog.NewNullLogger(), quiet())
	require.NoError(t, err)
	_, wire := raft.NewInmemTransport("one")
	defer wire.Close()
	list := state.NewState(100)
	for index := uint64(2); index <= 15; index++ {
		command := state.Command{Op: state.OpBeginEpoch, Epoch: 5}
		if index > 2 {
			command = state.Command{Op: state.OpPut, Entry: &state.Entry{UID: fmt.Sprint("s", index), Endpoint: "127.0.0.1:1", State: state.Ready}}
		}
		_, err := list.Apply(&command)
		require.NoError(t, err)
		data, err := json.Marshal(&command)
		require.NoError(t, err)
		require.NoError(t, log.StoreLog(&raft.Log{Index: index, Term: term, Type: raft.LogCommand, Data: data}))
		if index == 7 || index == 11 {
			sink, err := files.Create(raft.SnapshotVersionMax, index, term, cluster, 1, wire)
			require.NoError(t, err)
			content, err := list.Snapshot()
			require.NoError(t, err)
			require.NoError(t, StateSnapshot{content}.Persist(sink))
		}
	}
	require.NoError(t, log.Close())
	return dir
}

// content returns the log entries and values of a data directory as text, and the result of its inspection.
func content(t *testing.T, dir string) (text string, found *Inspection) {
	t.Helper()
	var b strings.Builder
	found, err := Inspect(dir, func(l *raft.Log) { fmt.Fprintln(&b, l.Index, l.Term, l.Type, string(l.Data)) })
	require.NoError(t, err)
	fmt.Fprint(&b, found.values)
	return b.String(), found
}

// alter changes a store in a way that the program itself does not.
func alter(t *testing.T, dir string, do func(*bolt.Tx) error) {
	t.Helper()
	db, err := bolt.Open(filepath.Join(dir, StoreFile), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(db.Update(do), db.Close()))
}

// A flipped bit is detected unless it is in an unused part of the file, and a truncation is detected unless only unused
// pages are lost.
func TestStore_bitFlipsAndTruncation(t *testing.T) {
	t.Parallel()
	dir := newDataDir(t)
	path := filepath.Join(dir, StoreFile)
	good := testfile.Read(t, path)
	want, found := content(t, dir)
	require.Empty(t, found.Faults)
	require.NotEmpty(t, found.VotedFor)
	var bits []int
	for page := range 2 {
		for i := range metaSize * 8 {
			bits = append(bits, (page*os.Getpagesize()+metaOffset)*8+i)
		}
	}
	seed := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		bits = append(bits, seed.IntN(len(good)*8))
	}
	faults := 0
	for i, bit := range bits {
		bad := bytes.Clone(good)
		bad[bit/8] ^= 1 << (bit % 8)
		testfile.Write(t, path, bad)
		text, found := content(t, dir)
		if len(found.Faults) > 0 {
			faults++
			var u *CorruptionError
			if !errors.As(errors.Join(found.Faults...), &u) {
				assert.ErrorIs(t, errors.Join(found.Faults...), ErrNewerVersion, "bit %d", bit)
			}
		} else if text != want || i < 2*metaSize*8 {
			t.Fatalf("bit %d of page %d: the flipped bit was not detected", bit, bit/8/os.Getpagesize())
		}
	}
	assert.Greater(t, faults, 2*metaSize*8+20)
	used := 0
	for n := 0; n < len(good); n += 1024 {
		testfile.Write(t, path, good[:n])
		if _, found := content(t, dir); len(found.Faults) > 0 {
			used++
		} else {
			break // from here on only unused pages are missing
		}
	}
	assert.Greater(t, used, 4)
	testfile.Write(t, path, good)
	assert.NoError(t, Recover(dir, quiet()))
}

// With a corrupt newest meta page bbolt silently continues from the previous state, which lacks an acknowledged entry.
// Recover rejects such a store.
func TestStore_corruptMetaPage(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), StoreFile)
	s, err := OpenStore(path, time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, s.SetUint64([]byte("CurrentTerm"), 1))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 1, Term: 1}))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 2, Term: 1}))
	require.NoError(t, s.Close())
	bad := testfile.Read(t, path)
	p, err := openPages(bytes.NewReader(bad), int64(len(bad)))
	require.NoError(t, err)
	bad[int64(p.txid%2)*p.pageSize+metaOffset+metaSumOffset] ^= 1
	testfile.Write(t, path, bad)
	err = Recover(filepath.Dir(path), quiet())
	assert.ErrorContains(t, err, "meta page")
	assert.ErrorContains(t, err, "replace-copy")
	db, err := bolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	defer db.Close()
	s = &Store{db: db}
	last, err := s.LastIndex()
	require.NoError(t, err)
	assert.EqualValues(t, 1, last, "bbolt no longer drops the acknowledged entry silently")
}

// A power loss at any point of a transaction leaves the store with the state before or after it. bbolt writes the
// pages, syncs, writes the meta page and syncs again. Any subset of the unsynced sectors of 512 bytes may be on the
// disk.
func TestStore_powerLoss(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := filepath.Join(dir, StoreFile)
	s, err := OpenStore(path, time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, s.SetUint64([]byte("CurrentTerm"), 1))
	type restored struct {
		file []byte
		text string
	}
	note := func() restored { // bbolt has the file open, so a copy of it is read
		at := t.TempDir()
		b := testfile.Read(t, path)
		testfile.Write(t, filepath.Join(at, StoreFile), b)
		text, found := content(t, at)
		require.Empty(t, found.Faults)
		return restored{b, text}
	}
	states := []restored{note()}
	for i := uint64(1); i <= 20; i++ {
		first, logs := i-i%3, []*raft.Log{}
		for at := max(1, first); at <= i; at++ {
			logs = append(logs, &raft.Log{Index: at, Term: 1, Data: bytes.Repeat([]byte{byte(i)}, 40*int(i))})
		}
		require.NoError(t, s.DeleteRange(first, i)) // as a follower does on a log conflict
		states = append(states, note())
		require.NoError(t, s.StoreLogs(logs))
		states = append(states, note())
		require.NoError(t, s.SetUint64([]byte("CurrentTerm"), i))
		states = append(states, note())
	}
	require.NoError(t, s.Close())
	const sector = 512
	seed := rand.New(rand.NewPCG(3, 4))
	lied, found := 0, 0
	for i := range 600 {
		n := 1 + seed.IntN(len(states)-1)
		old, next := states[n-1], states[n]
		b := bytes.Clone(next.file) // the file grew earlier, with a sync of its own
		synced, lie := seed.IntN(3) == 0, i%4 == 0
		for at := 0; at < len(b); at += sector {
			meta := at < 2*os.Getpagesize()
			drop := seed.IntN(2) == 0
			if meta && !synced && !lie || !meta && (!synced || lie) && drop || meta && synced && !lie && drop {
				clear(b[at : at+sector])
				copy(b[at:at+sector], old.file[min(at, len(old.file)):])
			}
		}
		at := t.TempDir()
		testfile.Write(t, filepath.Join(at, StoreFile), b)
		if lie { // injected fault: the disk reported the pages as synced and lost some
			lied++
			if text, f := content(t, at); len(f.Faults)+len(f.Notes) > 0 {
				found++ // a complete old root looks like the write of another version, which is noted
			} else if text != next.text {
				t.Fatalf("run %d: the pages that the disk lost after a reported sync were not detected", i)
			}
			continue
		}
		require.NoError(t, Recover(at, quiet()), "run %d", i)
		text, _ := content(t, at)
		if text != old.text && (text != next.text || !synced) {
			t.Fatalf("run %d: transaction %d is partly applied", i, n)
		}
	}
	assert.Greater(t, found, lied/4)
}

func TestSnapshots_checked(t *testing.T) {
	t.Parallel()
	dir := newDataDir(t)
	_, found := content(t, dir)
	require.Len(t, found.Snapshots, 2)
	newest := filepath.Join(dir, SnapshotsDir, found.Snapshots[0].Name)
	for _, name := range []string{metaFile, sealFile, StateFile} {
		path := filepath.Join(newest, name)
		good := testfile.Read(t, path)
		step := 1
		if name == StateFile { // raft verifies a CRC of this file too, so every 13th bit is enough
			step = 13
		}
		for bit := 0; bit < len(good)*8; bit += step {
			bad := bytes.Clone(good)
			bad[bit/8] ^= 1 << (bit % 8)
			testfile.Write(t, path, bad)
			var s SnapshotInfo
			_, _ = fmt.Sscanf(filepath.Base(newest), "%d-%d-", &s.Term, &s.Index)
			if _, err := s.verify(newest); err == nil {
				t.Fatalf("%s: the flipped bit %d was not detected", name, bit)
			}
		}
		testfile.Write(t, path, good)
	}
	seal := testfile.Read(t, filepath.Join(newest, sealFile))
	require.NoError(t, os.Remove(filepath.Join(newest, sealFile))) // as after a power loss, or from an older version
	require.NoError(t, Recover(dir, quiet()))
	assert.DirExists(t, newest)
	// A snapshot of a newer version is neither set aside nor reported as corrupt.
	restored := testfile.Read(t, filepath.Join(newest, StateFile))
	mark := sealed{Form: sealForm + 1}
	mark.Sum = mark.sum()
	text, err := json.Marshal(mark)
	require.NoError(t, err)
	testfile.Write(t, filepath.Join(newest, sealFile), text)
	assert.ErrorIs(t, Recover(dir, quiet()), ErrNewerVersion)
	testfile.Write(t, filepath.Join(newest, sealFile), seal)
	// A corrupt old snapshot is removed if a newer one is valid.
	other, old := testfile.CopyDir(t, dir), filepath.Join(SnapshotsDir, found.Snapshots[1].Name)
	require.NoError(t, os.Remove(filepath.Join(other, old, StateFile)))
	require.NoError(t, Recover(other, quiet()))
	assert.NoDirExists(t, filepath.Join(other, old))
	// A corrupt newest snapshot is set aside if the older one and the log have all its entries. Unfinished files are
	// removed.
	testfile.Write(t, filepath.Join(newest, StateFile), restored[:len(restored)/2])
	unfinished := filepath.Join(dir, SnapshotsDir, "9-9-9"+TempSuffix)
	require.NoError(t, os.Mkdir(unfinished, 0o755))
	testfile.Write(t, filepath.Join(dir, StoreFile+TempSuffix), []byte("half"))
	require.NoError(t, os.MkdirAll(filepath.Join(newest+AsideSuffix+TempSuffix, "x"), 0o755)) // an interrupted recovery
	less := testfile.CopyDir(t, dir)
	require.NoError(t, Recover(dir, quiet()))
	assert.NoDirExists(t, unfinished)
	assert.NoFileExists(t, filepath.Join(dir, StoreFile+TempSuffix))
	assert.NoDirExists(t, newest)
	// Without the log entries of the corrupt snapshot the replica stops.
	s, err := OpenStore(filepath.Join(less, StoreFile), time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(s.DeleteRange(1, found.Snapshots[0].Index), s.Close()))
	_, found = content(t, less)
	require.NotZero(t, found.Entries)
	assert.ErrorContains(t, Recover(less, quiet()), "are missing")
}

// An older version writes values without checksums. The next start accepts these values and adds their checksums.
func TestStore_earlierVersionInBetween(t *testing.T) {
	t.Parallel()
	dir := newDataDir(t)
	alter(t, dir, func(tx *bolt.Tx) error { return tx.Bucket(valueBucket).Put([]byte("CurrentTerm"), key(77)) })
	require.NoError(t, Recover(dir, quiet()))
	s, err := OpenStore(filepath.Join(dir, StoreFile), time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	_, found := content(t, dir)
	assert.Empty(t, found.Faults)
	assert.EqualValues(t, 77, found.Term)
}

func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	s, err := OpenStore(path, time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(path, time.Second, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second OpenStore of the same file: %v", err)
	}
	var logs []*raft.Log
	for i := uint64(1); i <= 500; i++ {
		logs = append(logs, &raft.Log{Index: i, Term: 3, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	if err := s.StoreLogs(logs); err != nil {
		t.Fatal(err)
	}
	if err := s.DeleteRange(1, 100); err != nil {
		t.Fatal(err)
	}
	if err := s.DeleteRange(401, 500); err != nil {
		t.Fatal(err)
	}
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first != 101 || last != 400 {
		t.Errorf("the log has entries %d to %d", first, last)
	}
	var l raft.Log
	for i := uint64(101); i <= 400; i++ {
		if err := s.GetLog(i, &l); err != nil || string(l.Data) != fmt.Sprintf("entry %d", i) || l.Term != 3 {
			t.Fatalf("entry %d: %+v, %v", i, l, err)
		}
	}
	if err := s.GetLog(100, &l); !errors.Is(err, raft.ErrLogNotFound) {
		t.Errorf("GetLog of a removed entry: %v", err)
	}
	if _, err := s.GetUint64([]byte("none")); err == nil || err.Error() != "not found" {
		t.Errorf("GetUint64 of an absent value: %v", err)
	}
	if err := s.SetUint64([]byte("term"), 7); err != nil {
		t.Fatal(err)
	}
	if v, err := s.GetUint64([]byte("term")); v != 7 || err != nil {
		t.Errorf("GetUint64 of a stored value: %d, %v", v, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// Every flipped bit of a log entry is detected.
func TestStore_corruptEntry(t *testing.T) {
	dir := t.TempDir()
	s, err := OpenStore(filepath.Join(dir, "raft.db"), time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.StoreLog(&raft.Log{Index: 1, Term: 1, Data: []byte("precious")}); err != nil {
		t.Fatal(err)
	}
	good, err := s.readRaw(1)
	if err != nil {
		t.Fatal(err)
	}
	var l raft.Log
	for bit := range 8 * len(good) {
		bad := bytes.Clone(good)
		bad[bit/8] ^= 1 << (bit % 8)
		if err := decodeLog(1, bad, &l); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("bit %d: %v", bit, err)
		}
	}
}

// After a failed write the store rejects all writes, even if the disk works again: a later successful sync does not
// prove that the earlier pages were written.
func TestStore_rejectsAfterFailedWrite(t *testing.T) {
	dir := t.TempDir()
	faults := filepath.Join(dir, "faults.toml")
	plan, err := fault.Open(faults)
	require.NoError(t, err)
	path := filepath.Join(dir, StoreFile)
	s, err := OpenStore(path, time.Second, plan)
	require.NoError(t, err)
	require.NoError(t, s.SetUint64([]byte(currentTermKey), 1))
	require.NoError(t, fault.NewConfig(0, 0, fault.SyncErrorLost).Write(faults))
	require.ErrorIs(t, s.SetUint64([]byte("number"), 1), fault.ErrSync)
	require.NoError(t, fault.Config{}.Write(faults))
	require.ErrorIs(t, s.SetUint64([]byte("number"), 2), fault.ErrSync)
	assert.NoError(t, TermStore{s}.SetUint64([]byte(currentTermKey), 2), "raft panics on an error for the term")
	assert.ErrorIs(t, TermStore{s}.SetUint64([]byte("LastVoteTerm"), 2), fault.ErrSync)
	require.NoError(t, s.Close())
	s, err = OpenStore(path, time.Second, plan)
	require.NoError(t, err)
	defer s.Close()
	term, err := s.GetUint64([]byte(currentTermKey))
	require.NoError(t, err)
	assert.Equal(t, uint64(1), term)
	assert.NoError(t, s.SetUint64([]byte("number"), 3), "a reopened store accepts writes")
}
