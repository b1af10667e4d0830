package registry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"marblelane/internal/registry/state"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
)

// folder makes the folder of a replica that has led, with two snapshots and entries that are in none.
func folder(t *testing.T) (dir string, cfg Config) {
	t.Helper()
	one := cluster(t, 1, nil)[0]
	for i := range 12 {
		put(t, one, fmt.Sprint("s", i), 1, 0)
		if i == 4 || i == 8 {
			require.NoError(t, one.node.raft.Snapshot().Error())
		}
	}
	one.end(t)
	return one.cfg.Dir, one.cfg
}

// content is all that a folder's log and values say; found is what was thought of it.
func content(t *testing.T, dir string) (text string, found *Found) {
	t.Helper()
	var b strings.Builder
	found, err := inspect(dir, func(l *raft.Log) { fmt.Fprintln(&b, l.Index, l.Term, l.Type, string(l.Data)) })
	require.NoError(t, err)
	fmt.Fprint(&b, found.values)
	return b.String(), found
}

// copied is a copy of a folder.
func copied(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	require.NoError(t, os.CopyFS(to, os.DirFS(dir)))
	return to
}

// alter changes a store as another program would.
func alter(t *testing.T, dir string, do func(*bolt.Tx) error) {
	t.Helper()
	db, err := bolt.Open(filepath.Join(dir, storeFile), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(db.Update(do), db.Close()))
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func write(t *testing.T, path string, text []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, text, 0o644))
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return text
}

// A flipped bit is found, or stands where nothing is read; a cut is found.
func TestStore_bitFlipsAndTruncation(t *testing.T) {
	t.Parallel()
	dir, _ := folder(t)
	path := filepath.Join(dir, storeFile)
	good := read(t, path)
	want, found := content(t, dir)
	require.Empty(t, found.Faults)
	require.NotEmpty(t, found.Vote)
	var bits []int
	for page := range 2 {
		for i := range metaSize * 8 {
			bits = append(bits, (page*os.Getpagesize()+metaAt)*8+i)
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
		write(t, path, bad)
		text, found := content(t, dir)
		if len(found.Faults) > 0 {
			faults++
			var u *corruptionError
			if !errors.As(errors.Join(found.Faults...), &u) {
				assert.ErrorIs(t, errors.Join(found.Faults...), errNewerVersion, "bit %d", bit)
			}
		} else if text != want || i < 2*metaSize*8 {
			t.Fatalf("bit %d of page %d: is not found", bit, bit/8/os.Getpagesize())
		}
	}
	assert.Greater(t, faults, 2*metaSize*8+20)
	used := 0
	for n := 0; n < len(good); n += 1024 {
		write(t, path, good[:n])
		if _, found := content(t, dir); len(found.Faults) > 0 {
			used++
		} else {
			break // only pages that are not in use are missing from here on
		}
	}
	assert.Greater(t, used, 4)
	write(t, path, good)
	assert.NoError(t, recoverDir(dir, quiet()))
}

// bbolt goes on from the state before when the newest meta page is spoilt; this program does not.
func TestStore_corruptMetaPage(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), storeFile)
	s, err := openStore(path, time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, s.SetUint64([]byte("CurrentTerm"), 1))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 1, Term: 1}))
	require.NoError(t, s.StoreLog(&raft.Log{Index: 2, Term: 1}))
	require.NoError(t, s.Close())
	bad := read(t, path)
	p, err := openPages(bytes.NewReader(bad), int64(len(bad)))
	require.NoError(t, err)
	bad[int64(p.txid%2)*p.page+metaAt+metaSum] ^= 1
	write(t, path, bad)
	err = recoverDir(filepath.Dir(path), quiet())
	assert.ErrorContains(t, err, "meta page")
	assert.ErrorContains(t, err, "replace-copy")
	db, err := bolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	defer db.Close()
	s = &store{db: db}
	last, err := s.LastIndex()
	require.NoError(t, err)
	assert.EqualValues(t, 1, last, "the defect is there: an acknowledged entry is gone in silence")
}

// Power is lost at any point of a transaction. bbolt writes pages, syncs, writes the meta page, syncs; sectors of 512
// bytes that no sync has covered are on the disk or not, in any mix.
func TestStore_powerLoss(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := filepath.Join(dir, storeFile)
	s, err := openStore(path, time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, s.SetUint64([]byte("CurrentTerm"), 1))
	type restored struct {
		file []byte
		text string
	}
	note := func() restored { // bbolt has the file open, so a replica is read
		at := t.TempDir()
		b := read(t, path)
		write(t, filepath.Join(at, storeFile), b)
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
		require.NoError(t, s.DeleteRange(first, i)) // what a follower does in a conflict
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
		b := bytes.Clone(next.file) // it has grown before, with a sync of its own
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
		write(t, filepath.Join(at, storeFile), b)
		if lie { // planted: the disk said that the pages were synced, and lost some
			lied++
			if text, f := content(t, at); len(f.Faults)+len(f.Notes) > 0 {
				found++ // a whole old root shows as another program's write, which is said
			} else if text != next.text {
				t.Fatalf("play %d: what a lying disk lost was not found", i)
			}
			continue
		}
		require.NoError(t, recoverDir(at, quiet()), "play %d", i)
		text, _ := content(t, at)
		if text != old.text && (text != next.text || !synced) {
			t.Fatalf("play %d: transaction %d is there in part", i, n)
		}
	}
	assert.Greater(t, found, lied/4)
}

func TestSnapshots_checked(t *testing.T) {
	t.Parallel()
	dir, cfg := folder(t)
	_, found := content(t, dir)
	require.Len(t, found.Snapshots, 2)
	newest := filepath.Join(dir, snapshotsDir, found.Snapshots[0].Name)
	for _, name := range []string{metaFile, sealFile, stateFile} {
		path := filepath.Join(newest, name)
		good := read(t, path)
		step := 1
		if name == stateFile { // a CRC that raft checks as well
			step = 13
		}
		for bit := 0; bit < len(good)*8; bit += step {
			bad := bytes.Clone(good)
			bad[bit/8] ^= 1 << (bit % 8)
			write(t, path, bad)
			var s FoundSnapshot
			_, _ = fmt.Sscanf(filepath.Base(newest), "%d-%d-", &s.Term, &s.Index)
			if _, err := s.read(newest); err == nil {
				t.Fatalf("%s: bit %d is not found", name, bit)
			}
		}
		write(t, path, good)
	}
	seal := read(t, filepath.Join(newest, sealFile))
	require.NoError(t, os.Remove(filepath.Join(newest, sealFile))) // power was lost before it, or the program is older
	require.NoError(t, recoverDir(dir, quiet()))
	assert.DirExists(t, newest)
	// What a later program wrote is neither set aside nor called damaged.
	restored := read(t, filepath.Join(newest, stateFile))
	mark := sealed{Form: sealForm + 1}
	mark.Sum = mark.sum()
	text, err := json.Marshal(mark)
	require.NoError(t, err)
	write(t, filepath.Join(newest, sealFile), text)
	assert.ErrorIs(t, recoverDir(dir, quiet()), errNewerVersion)
	write(t, filepath.Join(newest, sealFile), seal)
	// An old one that is spoilt is needless beside a newer one.
	other, old := copied(t, dir), filepath.Join(snapshotsDir, found.Snapshots[1].Name)
	require.NoError(t, os.Remove(filepath.Join(other, old, stateFile)))
	require.NoError(t, recoverDir(other, quiet()))
	assert.NoDirExists(t, filepath.Join(other, old))
	// A spoilt one is set aside while the older one and the log have everything; what was not finished is cut.
	write(t, filepath.Join(newest, stateFile), restored[:len(restored)/2])
	unfinished := filepath.Join(dir, snapshotsDir, "9-9-9"+tempSuffix)
	require.NoError(t, os.Mkdir(unfinished, 0o755))
	write(t, filepath.Join(dir, storeFile+tempSuffix), []byte("half"))
	require.NoError(t, os.MkdirAll(filepath.Join(newest+asideSuffix+tempSuffix, "x"), 0o755)) // a recovery was cut off
	less := copied(t, dir)
	again := &copyOf{cfg: cfg}
	again.start(t)
	leader(t, []*copyOf{again})
	until(t, "the last entry", func() bool { return strings.Contains(uids(t, again), "s11=Ready") })
	again.end(t)
	assert.NoDirExists(t, unfinished)
	assert.NoFileExists(t, filepath.Join(dir, storeFile+tempSuffix))
	assert.NoDirExists(t, newest)
	// Without the entries that it had, the replica stops.
	s, err := openStore(filepath.Join(less, storeFile), time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(s.DeleteRange(1, found.Snapshots[0].Index), s.Close()))
	_, found = content(t, less)
	require.NotZero(t, found.Entries)
	assert.ErrorContains(t, recoverDir(less, quiet()), "are missing")
}

// Each state of a folder from which a replica must not start ends in one clear line, within a bounded time.
func TestRecover_rejectedDirectories(t *testing.T) {
	t.Parallel()
	made, cfg := folder(t)
	change := func(do func(*bolt.Tx) error) func(string) error {
		return func(dir string) error { alter(t, dir, do); return nil }
	}
	for name, c := range map[string]struct {
		do   func(dir string) error
		says string
	}{
		"0 bytes":  {func(dir string) error { return os.Truncate(filepath.Join(dir, storeFile), 0) }, "the file is empty"},
		"no store": {func(dir string) error { return os.Remove(filepath.Join(dir, storeFile)) }, "is not there"},
		"a folder for a store": {func(dir string) error {
			return errors.Join(os.Remove(filepath.Join(dir, storeFile)), os.Mkdir(filepath.Join(dir, storeFile), 0o755))
		}, "is no file"},
		"a hole": {change(func(tx *bolt.Tx) error {
			k, _ := tx.Bucket(logBucket).Cursor().Last()
			return tx.Bucket(logBucket).Delete(key(binary.BigEndian.Uint64(k) - 1))
		}), "bucket log, entry"},
		"a spoilt last entry": {change(func(tx *bolt.Tx) error {
			k, v := tx.Bucket(logBucket).Cursor().Last()
			v = bytes.Clone(v)
			v[len(v)/2] ^= 4
			return tx.Bucket(logBucket).Put(k, v)
		}), "another checksum"},
		"a lost term": {change(func(tx *bolt.Tx) error {
			return tx.Bucket(valueBucket).Delete([]byte("CurrentTerm"))
		}), "CurrentTerm: is 0"},
		"a later form": {change(func(tx *bolt.Tx) error {
			return tx.Bucket(aboutBucket).Put(formKey, summed(formKey, storeForm+1))
		}), errNewerVersion.Error()},
		"a later entry": {change(func(tx *bolt.Tx) error {
			later := []byte("\x02later")
			return tx.Bucket(logBucket).Put(key(99), append(valueSum(nil, later), later...))
		}), errNewerVersion.Error()},
	} {
		dir := copied(t, made)
		require.NoError(t, c.do(dir), name)
		cfg.Dir, cfg.Listen = dir, "127.0.0.1:0"
		n, err := Open(cfg)
		if assert.Error(t, err, name) {
			assert.ErrorContains(t, err, c.says, name)
			assert.ErrorContains(t, err, dir, name)
		} else {
			n.shut()
		}
	}
	cfg.Dir = made
	cfg.Raft, cfg.Peers = freePort(t), nil
	n, err := Open(cfg)
	require.NoError(t, err)
	startedAt := time.Now()
	_, err = Open(cfg)
	assert.ErrorContains(t, err, "is open in another process")
	assert.Less(t, time.Since(startedAt), patience)
	_, err = Verify(made)
	assert.ErrorContains(t, err, "is open in another process")
	n.shut()
	if os.Geteuid() != 0 {
		t.Skip("to be nobody for a moment takes root")
	}
	require.NoError(t, os.Chmod(made, 0o555))
	runtime.LockOSThread() // the rest runs on a thread that may not write there
	defer runtime.UnlockOSThread()
	require.NoError(t, syscall.Setfsuid(65534))
	_, err = Open(cfg)
	require.NoError(t, syscall.Setfsuid(0))
	assert.ErrorIs(t, err, os.ErrPermission)
}

// An earlier program writes values without their checksums; the next start takes them in and gives them theirs.
func TestStore_earlierVersionInBetween(t *testing.T) {
	t.Parallel()
	dir, cfg := folder(t)
	alter(t, dir, func(tx *bolt.Tx) error { return tx.Bucket(valueBucket).Put([]byte("CurrentTerm"), key(77)) })
	require.NoError(t, recoverDir(dir, quiet()))
	s, err := openStore(filepath.Join(cfg.Dir, storeFile), time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	_, found := content(t, dir)
	assert.Empty(t, found.Faults)
	assert.EqualValues(t, 77, found.Term)
}

// A follower whose folder was put back from an old image is noticed by the leader, and has everything again.
func TestNotice_oldDiskImage(t *testing.T) {
	t.Parallel()
	all := cluster(t, 3, nil)
	lead := leader(t, all)
	var f *copyOf
	for _, c := range all {
		if c != lead {
			f = c
		}
	}
	put(t, lead, "s1", 1, 0)
	until(t, "s1", func() bool { return strings.Contains(uids(t, f), "s1=") })
	f.end(t)
	image := copied(t, f.cfg.Dir)
	f.start(t)
	for i := range 5 {
		put(t, lead, fmt.Sprint("late", i), 1, 0)
	}
	until(t, "late4", func() bool { return strings.Contains(uids(t, f), "late4=") })
	assert.False(t, lead.node.regressions.regressed(raft.ServerID(f.cfg.Name)), "it only was away")
	f.end(t)
	f.cfg.Dir = image
	f.start(t)
	until(t, "the leader's notice", func() bool { return lead.node.regressions.regressed(raft.ServerID(f.cfg.Name)) })
	until(t, "late4 again", func() bool { return strings.Contains(uids(t, f), "late4=") })
}

// A founding that was cut off between raft's two writes is finished by the next start.
func TestRecover_interruptedBootstrap(t *testing.T) {
	t.Parallel()
	one := &copyOf{cfg: Config{Name: "one", Listen: freePort(t), Raft: freePort(t), Dir: t.TempDir(), Beat: 50 * time.Millisecond}}
	s, err := openStore(filepath.Join(one.cfg.Dir, storeFile), time.Second, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(s.SetUint64([]byte("CurrentTerm"), 1), s.Close()))
	one.start(t)
	defer one.end(t)
	leader(t, []*copyOf{one})
}

// All replicas were put back from old images. A reader that has seen more makes them begin a new history; one that only
// asked a replica that lagged, or comes from another epoch, does not.
func TestNotice_allReplicasRolledBack(t *testing.T) {
	t.Parallel()
	all := cluster(t, 3, nil)
	put(t, leader(t, all), "s1", 1, 0)
	for _, c := range all {
		until(t, "s1", func() bool { return strings.Contains(uids(t, c), "s1=") })
	}
	var images []string
	for _, c := range all {
		c.end(t)
		images = append(images, copied(t, c.cfg.Dir))
	}
	for _, c := range all {
		c.start(t)
	}
	put(t, leader(t, all), "lost", 1, 0)
	seen := leader(t, all).node.rev()
	for i, c := range all {
		c.end(t)
		c.cfg.Dir = images[i]
	}
	for _, c := range all {
		c.start(t)
	}
	lead := leader(t, all)
	until(t, "all that there is", func() bool { return lead.node.Term() != 0 && strings.Contains(uids(t, lead), "s1=") })
	before := lead.node.rev()
	require.Less(t, before, seen)
	lead.node.readers.take(before)
	lead.node.readers.take(seen + 7<<state.CountBits)
	assert.False(t, lead.node.beginAgain())
	assert.Equal(t, before, lead.node.rev())
	for _, c := range all {
		if c != lead { // a follower passes it on
			w := watch(t, c.cfg.Listen, seen)
			until(t, "the new history", func() bool { return state.EpochOf(w.next(t).Rev) > state.EpochOf(seen) })
			break
		}
	}
}

func TestRestore(t *testing.T) {
	t.Parallel()
	one := cluster(t, 1, nil)[0]
	put(t, one, "s1", 1, 0)
	_, backup := call(t, "GET", one.cfg.Listen, "/registry/snapshot", "")
	before := one.node.Server().Status().Rev
	assert.Len(t, OldCopies(one.cfg, time.Second), 2, "its own address, and as a peer")
	one.end(t)
	assert.Empty(t, OldCopies(one.cfg, time.Second))
	now := time.Now()
	_, err := Restore(strings.NewReader(backup), one.cfg, 0, now.Add(time.Hour))
	assert.ErrorIs(t, err, ErrHasState)
	cfg := one.cfg
	cfg.Name, cfg.Raft, cfg.Peers, cfg.Listen = "n0", freePort(t), nil, freePort(t)
	cfg.Dir = filepath.Join(t.TempDir(), "n0")
	_, err = Restore(strings.NewReader(backup), cfg, 0, now.Add(-time.Hour))
	assert.ErrorContains(t, err, "set the clock", "a clock before the backup's")
	for _, bad := range []string{"", backup[:len(backup)/2], backup + "{}", `{"form":9,"rev":1}`,
		strings.Replace(backup, `"uid":"s1"`, `"uid":""`, 1)} {
		_, err = Restore(strings.NewReader(bad), cfg, 0, now.Add(time.Hour))
		assert.Error(t, err, bad)
		assert.NoDirExists(t, cfg.Dir)
	}
	left := filepath.Join(filepath.Dir(cfg.Dir), ".n0.restore") // by one that was cut off
	require.NoError(t, os.MkdirAll(filepath.Join(left, snapshotsDir), 0o755))
	write(t, filepath.Join(left, storeFile), []byte("half"))
	seen := (state.EpochOf(before) + 1_000_000) << state.CountBits // by clients, of a history that the backup does not know
	out, err := Restore(strings.NewReader(backup), cfg, seen, now)
	require.NoError(t, err)
	assert.Greater(t, out.Epoch, state.EpochOf(seen))
	assert.NoDirExists(t, left)
	_, err = Restore(strings.NewReader(backup), cfg, seen, now)
	assert.ErrorIs(t, err, ErrHasState)
	found, err := Verify(cfg.Dir)
	require.NoError(t, err)
	assert.True(t, found.Sound())
	assert.Equal(t, out.Epoch, found.Epoch)

	first := &copyOf{cfg: cfg}
	first.start(t)
	defer first.end(t)
	leader(t, []*copyOf{first})
	assert.Equal(t, out.Epoch, first.node.Server().Status().Epoch)
	l := watch(t, first.cfg.Listen, before).next(t) // a client of the old history
	assert.True(t, l.All)
	assert.Greater(t, l.Rev, before)
	second := &copyOf{cfg: cfg}
	second.cfg.Name, second.cfg.Raft, second.cfg.Listen, second.cfg.Join = "n1", freePort(t), freePort(t), true
	second.cfg.Dir = filepath.Join(t.TempDir(), "n1")
	second.start(t)
	defer second.end(t)
	require.NoError(t, first.node.Add(Peer{Name: "n1", Raft: second.cfg.Raft, Serve: second.cfg.Listen}))
	until(t, "the backup's entry at the second copy", func() bool { return strings.Contains(uids(t, second), "s1=Ready") })
}

// childEnv is the configuration's file of a replica that TestChild serves, childRoom the bytes by which a full one may
// grow.
const childEnv, childFileLimit = "MARBLELANE_CHILD", 256 << 10

func TestChild(t *testing.T) {
	path, full := strings.CutPrefix(os.Getenv(childEnv), "full:")
	if path == "" {
		t.Skip("is run by others")
	}
	cfg, err := LoadConfig(path)
	require.NoError(t, err)
	if full {
		info, err := os.Stat(filepath.Join(cfg.Dir, storeFile))
		require.NoError(t, err)
		signal.Ignore(syscall.SIGXFSZ)
		limit := uint64(info.Size()) + childFileLimit
		require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: limit}))
	}
	n, err := Open(cfg)
	if err == nil {
		fmt.Println("ready")
		err = n.Run(t.Context())
	}
	fmt.Println("ended:", err)
	os.Exit(1)
}

// spawn starts a child that adds what it says to a file beside its configuration.
func spawn(t *testing.T, full, path string) (wait, kill func()) {
	t.Helper()
	said, err := os.OpenFile(path+".said", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(t, err)
	defer said.Close()
	c := exec.Command(os.Args[0], "-test.run=^TestChild$")
	c.Env, c.Stdout, c.Stderr = append(os.Environ(), childEnv+"="+full+path), said, said
	require.NoError(t, c.Start())
	wait = func() { _ = c.Wait() }
	return wait, func() { _ = c.Process.Kill(); wait() }
}

// A replica is killed at random points, of its recovery too, and has every write that it acknowledged; one whose disk is
// full ends with a line, and has them as well once there is room.
func TestRecover_killedAndDiskFull(t *testing.T) { // by itself: a child holds the listeners of others until it has begun
	dir := t.TempDir()
	path, addr := filepath.Join(dir, "one.toml"), freePort(t)
	write(t, path, fmt.Appendf(nil, "name = \"one\"\nlisten = %q\nraft = %q\ndir = %q\nbeat = \"20ms\"\nbatch = \"1ms\"\n",
		addr, freePort(t), filepath.Join(dir, "one")))
	defer func() {
		if t.Failed() {
			t.Logf("the copies said:\n%s", read(t, path+".said"))
		}
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	uid := 0
	acked := map[string]bool{}
	one := func(pad int) (took, there bool) { // there: somebody answered
		uid++
		name := fmt.Sprint("s", uid)
		resp, err := client.Post("http://"+addr+listPath+"/"+name, "", strings.NewReader(
			fmt.Sprintf(`{"endpoint":"127.0.0.1:1","az":%q}`, strings.Repeat("z", pad))))
		if err != nil {
			return false, false
		}
		defer resp.Body.Close()
		acked[name] = resp.StatusCode == http.StatusOK
		return acked[name], true
	}
	serves := func() {
		until(t, "the copy's first write", func() bool { took, _ := one(0); return took })
	}
	check := func(when string) {
		_, list := call(t, "GET", addr, listPath, "")
		for name, took := range acked {
			if took && !strings.Contains(list, fmt.Sprintf("%q", name)) {
				t.Fatalf("%s: %s was acknowledged and is gone", when, name)
			}
		}
	}
	seed := rand.New(rand.NewPCG(5, 6))
	kills := 6
	for play := range kills {
		for range 3 { // a loop of starts that are cut off
			_, kill := spawn(t, "", path)
			time.Sleep(time.Duration(seed.IntN(60)) * time.Millisecond)
			kill()
		}
		_, kill := spawn(t, "", path)
		serves()
		check(fmt.Sprint("kill ", play))
		dead := make(chan struct{})
		time.AfterFunc(time.Duration(seed.IntN(150))*time.Millisecond, func() { kill(); close(dead) })
		for there := true; there; {
			_, there = one(0)
		}
		<-dead
	}
	ended, _ := spawn(t, "full:", path)
	serves()
	for there := true; there; {
		_, there = one(4000)
	}
	ended()
	assert.Contains(t, string(read(t, path+".said")), "the disk takes no more")
	_, kill := spawn(t, "", path)
	defer kill()
	serves()
	check("disk full")
}
