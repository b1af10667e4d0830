package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
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

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/recovery"
	"marblelane/internal/registry/state"
	"marblelane/internal/registry/storage"
	"marblelane/internal/testutil/testfile"
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

// alter changes a store as another program would.
func alter(t *testing.T, dir string, do func(*bolt.Tx) error) {
	t.Helper()
	db, err := bolt.Open(filepath.Join(dir, storage.StoreFile), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, errors.Join(db.Update(do), db.Close()))
}

// bigEndian and checksum encode numbers and checksums as the store does.
func bigEndian(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func checksum(name, value []byte) []byte {
	sum := crc32.Checksum(append(bytes.Clone(name), value...), crc32.MakeTable(crc32.Castagnoli))
	return binary.BigEndian.AppendUint32(nil, sum)
}

// A replica sets a spoilt newest snapshot aside at its start, removes what was not finished, and has all entries.
func TestRecover_spoiltSnapshot(t *testing.T) {
	t.Parallel()
	dir, cfg := folder(t)
	found, err := recovery.Verify(dir)
	require.NoError(t, err)
	require.Len(t, found.Snapshots, 2)
	newest := filepath.Join(dir, storage.SnapshotsDir, found.Snapshots[0].Name)
	stored := testfile.Read(t, filepath.Join(newest, storage.StateFile))
	testfile.Write(t, filepath.Join(newest, storage.StateFile), stored[:len(stored)/2])
	unfinished := filepath.Join(dir, storage.SnapshotsDir, "9-9-9"+storage.TempSuffix)
	require.NoError(t, os.Mkdir(unfinished, 0o755))
	testfile.Write(t, filepath.Join(dir, storage.StoreFile+storage.TempSuffix), []byte("half"))
	require.NoError(t, os.MkdirAll(filepath.Join(newest+storage.AsideSuffix+storage.TempSuffix, "x"), 0o755)) // a recovery was cut off
	again := &copyOf{cfg: cfg}
	again.start(t)
	leader(t, []*copyOf{again})
	until(t, "the last entry", func() bool { return strings.Contains(uids(t, again), "s11=Ready") })
	again.end(t)
	assert.NoDirExists(t, unfinished)
	assert.NoFileExists(t, filepath.Join(dir, storage.StoreFile+storage.TempSuffix))
	assert.NoDirExists(t, newest)
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
		"0 bytes":  {func(dir string) error { return os.Truncate(filepath.Join(dir, storage.StoreFile), 0) }, "the file is empty"},
		"no store": {func(dir string) error { return os.Remove(filepath.Join(dir, storage.StoreFile)) }, "the file is missing"},
		"a folder for a store": {func(dir string) error {
			return errors.Join(os.Remove(filepath.Join(dir, storage.StoreFile)), os.Mkdir(filepath.Join(dir, storage.StoreFile), 0o755))
		}, "not a regular file"},
		"a hole": {change(func(tx *bolt.Tx) error {
			k, _ := tx.Bucket([]byte("log")).Cursor().Last()
			return tx.Bucket([]byte("log")).Delete(bigEndian(binary.BigEndian.Uint64(k) - 1))
		}), "bucket log, entry"},
		"a spoilt last entry": {change(func(tx *bolt.Tx) error {
			k, v := tx.Bucket([]byte("log")).Cursor().Last()
			v = bytes.Clone(v)
			v[len(v)/2] ^= 4
			return tx.Bucket([]byte("log")).Put(k, v)
		}), "checksum mismatch"},
		"a lost term": {change(func(tx *bolt.Tx) error {
			return tx.Bucket([]byte("values")).Delete([]byte("CurrentTerm"))
		}), "CurrentTerm: is 0"},
		"a later form": {change(func(tx *bolt.Tx) error {
			return tx.Bucket([]byte("about")).Put([]byte("form"), append(bigEndian(3), checksum([]byte("form"), bigEndian(3))...))
		}), storage.ErrNewerVersion.Error()},
		"a later entry": {change(func(tx *bolt.Tx) error {
			later := []byte("\x02later")
			return tx.Bucket([]byte("log")).Put(bigEndian(99), append(checksum(nil, later), later...))
		}), storage.ErrNewerVersion.Error()},
	} {
		dir := testfile.CopyDir(t, made)
		require.NoError(t, c.do(dir), name)
		cfg.Dir, cfg.Listen = dir, "127.0.0.1:0"
		n, err := Open(cfg)
		if assert.Error(t, err, name) {
			assert.ErrorContains(t, err, c.says, name)
			assert.ErrorContains(t, err, dir, name)
		} else {
			n.closeAll()
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
	_, err = recovery.Verify(made)
	assert.ErrorContains(t, err, "is open in another process")
	n.closeAll()
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
	image := testfile.CopyDir(t, f.cfg.Dir)
	f.start(t)
	for i := range 5 {
		put(t, lead, fmt.Sprint("late", i), 1, 0)
	}
	until(t, "late4", func() bool { return strings.Contains(uids(t, f), "late4=") })
	assert.False(t, lead.node.regressions.Regressed(raft.ServerID(f.cfg.Name)), "it only was away")
	f.end(t)
	f.cfg.Dir = image
	f.start(t)
	until(t, "the leader's notice", func() bool { return lead.node.regressions.Regressed(raft.ServerID(f.cfg.Name)) })
	until(t, "late4 again", func() bool { return strings.Contains(uids(t, f), "late4=") })
}

// A founding that was cut off between raft's two writes is finished by the next start.
func TestRecover_interruptedBootstrap(t *testing.T) {
	t.Parallel()
	one := &copyOf{cfg: Config{Name: "one", Listen: freePort(t), Raft: freePort(t), Dir: t.TempDir(), Beat: 50 * time.Millisecond}}
	s, err := storage.OpenStore(filepath.Join(one.cfg.Dir, storage.StoreFile), time.Second, nil)
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
		images = append(images, testfile.CopyDir(t, c.cfg.Dir))
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
	lead.node.readers.observe(before)
	lead.node.readers.observe(seen + 7<<state.CountBits)
	assert.False(t, lead.node.beginNewEpoch())
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
	assert.Len(t, recovery.RunningReplicas(one.cfg.Endpoints(), time.Second), 2, "its own address, and as a peer")
	one.end(t)
	assert.Empty(t, recovery.RunningReplicas(one.cfg.Endpoints(), time.Second))
	now := time.Now()
	_, err := recovery.Restore(strings.NewReader(backup), one.cfg.RecoveryTarget(), 0, now.Add(time.Hour))
	assert.ErrorIs(t, err, recovery.ErrDirNotEmpty)
	cfg := one.cfg
	cfg.Name, cfg.Raft, cfg.Peers, cfg.Listen = "n0", freePort(t), nil, freePort(t)
	cfg.Dir = filepath.Join(t.TempDir(), "n0")
	_, err = recovery.Restore(strings.NewReader(backup), cfg.RecoveryTarget(), 0, now.Add(-time.Hour))
	assert.ErrorContains(t, err, "set the clock", "a clock before the backup's")
	for _, bad := range []string{"", backup[:len(backup)/2], backup + "{}", `{"form":9,"rev":1}`,
		strings.Replace(backup, `"uid":"s1"`, `"uid":""`, 1)} {
		_, err = recovery.Restore(strings.NewReader(bad), cfg.RecoveryTarget(), 0, now.Add(time.Hour))
		assert.Error(t, err, bad)
		assert.NoDirExists(t, cfg.Dir)
	}
	left := filepath.Join(filepath.Dir(cfg.Dir), ".n0.restore") // by one that was cut off
	require.NoError(t, os.MkdirAll(filepath.Join(left, storage.SnapshotsDir), 0o755))
	testfile.Write(t, filepath.Join(left, storage.StoreFile), []byte("half"))
	seen := (state.EpochOf(before) + 1_000_000) << state.CountBits // by clients, of a history that the backup does not know
	out, err := recovery.Restore(strings.NewReader(backup), cfg.RecoveryTarget(), seen, now)
	require.NoError(t, err)
	assert.Greater(t, out.Epoch, state.EpochOf(seen))
	assert.NoDirExists(t, left)
	_, err = recovery.Restore(strings.NewReader(backup), cfg.RecoveryTarget(), seen, now)
	assert.ErrorIs(t, err, recovery.ErrDirNotEmpty)
	found, err := recovery.Verify(cfg.Dir)
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
	require.NoError(t, first.node.Add(listserver.Peer{Name: "n1", Raft: second.cfg.Raft, Serve: second.cfg.Listen}))
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
		info, err := os.Stat(filepath.Join(cfg.Dir, storage.StoreFile))
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
	testfile.Write(t, path, fmt.Appendf(nil, "name = \"one\"\nlisten = %q\nraft = %q\ndir = %q\nbeat = \"20ms\"\nbatch = \"1ms\"\n",
		addr, freePort(t), filepath.Join(dir, "one")))
	defer func() {
		if t.Failed() {
			t.Logf("the copies said:\n%s", testfile.Read(t, path+".said"))
		}
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	uid := 0
	acked := map[string]bool{}
	one := func(pad int) (took, there bool) { // there: somebody answered
		uid++
		name := fmt.Sprint("s", uid)
		resp, err := client.Post("http://"+addr+listserver.ListPath+"/"+name, "", strings.NewReader(
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
		_, list := call(t, "GET", addr, listserver.ListPath, "")
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
	assert.Contains(t, string(testfile.Read(t, path+".said")), "the disk takes no more")
	_, kill := spawn(t, "", path)
	defer kill()
	serves()
	check("disk full")
}

// A replica whose snapshot fails goes on, keeps its log, and takes the snapshot once its folder works again.
func TestSnapshots_failureKeepsReplica(t *testing.T) {
	one := cluster(t, 1, nil)[0]
	put(t, one, "s1", 1, 0)
	require.NoError(t, one.node.raft.Snapshot().Error())
	put(t, one, "s2", 1, 0)
	dir := filepath.Join(one.cfg.Dir, storage.SnapshotsDir)
	require.NoError(t, os.Rename(dir, dir+".away"))
	require.NoError(t, os.WriteFile(dir, nil, 0o600))
	require.Error(t, one.node.raft.Snapshot().Error())
	put(t, one, "s3", 1, 0)
	require.NoError(t, os.Remove(dir))
	require.NoError(t, os.Rename(dir+".away", dir))
	require.NoError(t, one.node.raft.Snapshot().Error())
	one.end(t)
	found, err := recovery.Verify(one.cfg.Dir)
	require.NoError(t, err)
	require.True(t, found.Sound())
	require.Len(t, found.Snapshots, 2)
	one.start(t)
	until(t, "all entries", func() bool { return uids(t, one) == "s1=Ready s2=Ready s3=Ready" })
}
