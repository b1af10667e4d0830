package snapshot_test

import (
	"bufio"
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/snapshot"
	"marblelane/internal/snapshot/crashcheck"
)

const (
	// helperDirVar is an environment variable. If it is set, the test program is a helper process that saves states in
	// the folder of that name until it is killed.
	helperDirVar = "SNAPSHOT_TEST_DIR"
	// helperServers is the number of servers in the states of the helper process.
	helperServers = 20
)

func TestMain(m *testing.M) {
	dir := os.Getenv(helperDirVar)
	if dir == "" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, saveForever(dir))
	os.Exit(1)
}

// saveForever saves states until an error, which it returns. It prints the sequence number of each state after its Save
// has returned.
func saveForever(dir string) error {
	store, err := crashcheck.Open(dir, nil)
	if err != nil {
		return err
	}
	for {
		number := 1
		if last, _ := store.Load(); last != nil {
			number = int(last.Seq) + 1
		}
		state := crashcheck.State(number, helperServers)
		if err := store.Save(context.Background(), state); err != nil {
			return err
		}
		fmt.Println(state.Seq)
	}
}

// openStore opens a store in a folder of the operating system and closes it when the test ends.
func openStore(t *testing.T, dir string) *snapshot.Store {
	t.Helper()
	store, err := crashcheck.Open(dir, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	return store
}

// save saves a new state without servers.
func save(t *testing.T, store *snapshot.Store, number int) error {
	t.Helper()
	return store.Save(t.Context(), crashcheck.State(number, 0))
}

// runAndKill runs the helper process and kills it the given time after its first save. It returns the sequence number
// of the last save that the process reported.
func runAndKill(t *testing.T, dir string, after time.Duration) (lastSeq uint64) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), helperDirVar+"="+dir), os.Stderr
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(out)
	require.True(t, lines.Scan(), "the helper process reports its first save")
	timer := time.AfterFunc(after, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	for more := true; more; more = lines.Scan() {
		_, err := fmt.Sscan(lines.Text(), &lastSeq)
		require.NoError(t, err)
	}
	_ = cmd.Wait()
	return lastSeq
}

func TestSave_killedProcess(t *testing.T) {
	const kills, maxRunMicroseconds = 30, 8000
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir, rng := filepath.Join(t.TempDir(), "state"), rand.New(rand.NewPCG(seed, 1))
			lastSeq, killedInWrite := uint64(0), 0
			for kill := range kills {
				lastSeq = runAndKill(t, dir, time.Duration(rng.IntN(maxRunMicroseconds))*time.Microsecond)
				if _, err := os.Stat(filepath.Join(dir, "state.tmp")); err == nil {
					killedInWrite++
				}
				store, err := crashcheck.Open(dir, nil)
				require.NoError(t, err, "kill %d", kill)
				got, unused := store.Load()
				require.NoError(t, store.Close())
				require.Empty(t, unused, "kill %d", kill)
				require.NotNil(t, got)
				require.Contains(t, []uint64{lastSeq, lastSeq + 1}, got.Seq, "kill %d", kill)
				want := crashcheck.State(int(got.Seq), helperServers)
				want.Seq = got.Seq
				require.Empty(t, cmp.Diff(want, got))
			}
			assert.Greater(t, lastSeq, uint64(kills))
			t.Logf("%d saves, %d of %d kills during the write of a file", lastSeq, killedInWrite, kills)
		})
	}
}

// unusableFile is a file that Load must reject.
type unusableFile struct {
	create  func(name string) error
	wantErr string
}

// unusableFiles returns the files that Load must reject, by name of the test case.
func unusableFiles(t *testing.T) map[string]unusableFile {
	t.Helper()
	sound, err := snapshot.Encode(&snapshot.Snapshot{Seq: 9, Identity: crashcheck.Identity(), Written: time.Unix(1, 0)})
	require.NoError(t, err)
	otherSite := crashcheck.Identity()
	otherSite.Site = "elsewhere"
	foreign, err := snapshot.Encode(&snapshot.Snapshot{Seq: 9, Identity: otherSite, Written: time.Unix(1, 0)})
	require.NoError(t, err)
	write := func(content []byte) func(string) error {
		return func(name string) error { return os.WriteFile(name, content, 0o600) }
	}
	writeThen := func(change func(name string) error) func(string) error {
		return func(name string) error {
			if err := os.WriteFile(name, sound, 0o600); err != nil {
				return err
			}
			return change(name)
		}
	}
	return map[string]unusableFile{
		"empty":     {write(nil), "file is empty"},
		"cut":       {write(sound[:len(sound)-1]), "size mismatch: header says"},
		"long":      {write(append(append([]byte{}, sound...), 0)), "size mismatch: header says"},
		"no state":  {write(make([]byte, 1<<20)), "unknown magic number"},
		"future":    {write(snapshot.EncodeFile(3, 2, 9, nil)), "written by a newer version of this program: format 3"},
		"elsewhere": {write(foreign), `foreign state: site is "elsewhere", want "stock"`},
		"writable": {writeThen(func(name string) error { return os.Chmod(name, 0o666) }),
			"file is writable by other users"},
		"sparse": {writeThen(func(name string) error { return os.Truncate(name, 10<<30) }),
			"too large: 10737418240 bytes"},
		"link": {func(name string) error { return os.Symlink("/dev/zero", name) }, "too many levels of symbolic links"},
		"pipe": {func(name string) error { return syscall.Mkfifo(name, 0o600) }, "not a regular file"},
	}
}

func TestLoad_unusableFiles(t *testing.T) {
	for name, c := range unusableFiles(t) {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			store := openStore(t, dir)
			first := crashcheck.State(1, 3)
			require.NoError(t, store.Save(t.Context(), first))
			unusable := filepath.Join(dir, "state.1")
			require.NoError(t, c.create(unusable))

			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, unused := store.Load()
			runtime.ReadMemStats(&after)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8<<20), "reading is bounded")
			require.Empty(t, cmp.Diff(first, got))
			require.Len(t, unused, 1)
			assert.Contains(t, unused[0].Error(), unusable+": ")
			assert.Contains(t, unused[0].Error(), c.wantErr)

			require.NoError(t, store.Save(t.Context(), crashcheck.State(2, 3)))
			got, unused = store.Load()
			require.Empty(t, unused)
			assert.Equal(t, crashcheck.State(2, 3).List, got.List)
		})
	}
}

func TestLoad_otherUser(t *testing.T) {
	options := snapshot.Options{Identity: crashcheck.Identity(), User: os.Geteuid() + 1}
	store, err := snapshot.Open(t.TempDir(), options)
	require.NoError(t, err)
	defer store.Close()
	require.NoError(t, save(t, store, 1))
	got, unused := store.Load()
	assert.Nil(t, got)
	require.Len(t, unused, 1)
	assert.ErrorIs(t, unused[0], snapshot.ErrForeign)
}

func TestStore_twoProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	older := openStore(t, dir)
	require.NoError(t, save(t, older, 1))
	newer, err := crashcheck.Open(dir, nil)
	require.ErrorIs(t, err, snapshot.ErrLocked)
	require.Contains(t, err.Error(), dir)
	got, _ := newer.Load()
	require.EqualValues(t, 1, got.Seq, "the newer process can load without the lock")
	require.ErrorIs(t, save(t, newer, 9), snapshot.ErrLocked)

	require.NoError(t, save(t, older, 2))
	require.NoError(t, older.Close())
	require.ErrorIs(t, save(t, older, 9), snapshot.ErrClosed)
	third := crashcheck.State(3, 0)
	require.NoError(t, newer.Save(t.Context(), third))
	assert.EqualValues(t, 3, third.Seq, "the sequence continues from the last save of the older process")
	require.NoError(t, newer.Close())
}

func TestStore_removedFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	store := openStore(t, dir)
	require.NoError(t, save(t, store, 1))
	require.NoError(t, os.RemoveAll(dir))
	require.ErrorIs(t, save(t, store, 2), fs.ErrNotExist)
	got, unused := store.Load()
	require.Nil(t, got)
	require.Empty(t, unused)

	other := openStore(t, dir) // another process creates the folder again
	require.ErrorIs(t, save(t, store, 2), snapshot.ErrLocked)
	require.NoError(t, other.Close())
	require.NoError(t, save(t, store, 2))
	require.NoError(t, store.Close())

	withoutParent, err := crashcheck.Open(filepath.Join(dir, "not", "there"), nil)
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.ErrorIs(t, save(t, withoutParent, 1), fs.ErrNotExist)
}

func TestSave_invalidState(t *testing.T) {
	store, err := snapshot.Open(t.TempDir(), snapshot.Options{Identity: crashcheck.Identity(), MaxBytes: 1 << 10})
	require.NoError(t, err)
	defer store.Close()
	require.ErrorIs(t, store.Save(t.Context(), crashcheck.State(1, 100)), snapshot.ErrTooLarge)
	duplicate := crashcheck.State(1, 1)
	duplicate.Learned.Servers = append(duplicate.Learned.Servers, duplicate.Learned.Servers[0])
	require.ErrorContains(t, store.Save(t.Context(), duplicate), "learned.servers[1]")
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, store.Save(canceled, crashcheck.State(1, 0)), context.Canceled)
}

// realisticState returns a state whose names and numbers are as long as those of a real fleet.
func realisticState(servers int) *snapshot.Snapshot {
	state := crashcheck.State(1, servers)
	for i := range servers {
		uid := fmt.Sprintf("stock-61626364-%04d", i)
		state.Learned.Servers[i].UID = uid
		state.Learned.Servers[i].Size = rand.NormFloat64()
		state.List.Servers[i] = snapshot.Entry{UID: uid, Endpoint: "10.0.0.1:8080", Zone: "eu-west-1a",
			Model: "m5.large", PodGroup: i, State: "Ready", Capacity: 1, BootMS: 1.7e12}
	}
	return state
}

func BenchmarkState(b *testing.B) {
	for _, servers := range []int{200, 2000} {
		store, err := crashcheck.Open(b.TempDir(), nil)
		require.NoError(b, err)
		state := realisticState(servers)
		file, err := snapshot.Encode(state)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("Save/%d", servers), func(b *testing.B) {
			for b.Loop() {
				require.NoError(b, store.Save(context.Background(), state))
			}
			b.ReportMetric(float64(len(file)), "bytes")
		})
		b.Run(fmt.Sprintf("Load/%d", servers), func(b *testing.B) { // reads both generations
			for b.Loop() {
				if got, unused := store.Load(); got == nil || len(unused) > 0 {
					b.Fatal(unused)
				}
			}
		})
		require.NoError(b, store.Close())
	}
}
