package snapshot_test

import (
	"bufio"
	"context"
	"encoding/binary"
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

// helperDir names the folder in which this program, as a helper process, saves until it is killed.
const helperDir = "SNAPSHOT_TEST_DIR"

func TestMain(m *testing.M) {
	dir := os.Getenv(helperDir)
	if dir == "" {
		os.Exit(m.Run())
	}
	st, err := crashcheck.Open(dir, nil)
	for err == nil {
		s, _ := st.Load()
		if s == nil {
			s = &snapshot.Snapshot{}
		}
		s = crashcheck.State(int(s.Seq)+1, 20)
		if err = st.Save(context.Background(), s); err == nil {
			fmt.Println(s.Seq)
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func TestKilledProcessLeavesASoundState(t *testing.T) {
	for lane := range 4 {
		t.Run(fmt.Sprint(lane), func(t *testing.T) {
			t.Parallel()
			dir, rng, last := filepath.Join(t.TempDir(), "state"), rand.New(rand.NewPCG(uint64(lane), 1)), uint64(0)
			amid := 0
			for kill := range 30 {
				cmd := exec.Command(os.Args[0])
				cmd.Env, cmd.Stderr = append(os.Environ(), helperDir+"="+dir), os.Stderr
				out, err := cmd.StdoutPipe()
				require.NoError(t, err)
				require.NoError(t, cmd.Start())
				lines := bufio.NewScanner(out)
				require.True(t, lines.Scan(), "the helper saves")
				timer := time.AfterFunc(time.Duration(rng.IntN(8000))*time.Microsecond, func() { _ = cmd.Process.Kill() })
				for more := true; more; more = lines.Scan() {
					_, err := fmt.Sscan(lines.Text(), &last)
					require.NoError(t, err)
				}
				_ = cmd.Wait()
				timer.Stop()
				if _, err := os.Stat(filepath.Join(dir, "state.tmp")); err == nil {
					amid++
				}
				st, err := crashcheck.Open(dir, nil)
				require.NoError(t, err, "kill %d", kill)
				got, asides := st.Load()
				require.NoError(t, st.Close())
				require.Empty(t, asides, "kill %d", kill)
				require.NotNil(t, got)
				require.Contains(t, []uint64{last, last + 1}, got.Seq, "kill %d", kill)
				want := crashcheck.State(int(got.Seq), 20)
				want.Seq = got.Seq
				require.Empty(t, cmp.Diff(want, got))
			}
			assert.Greater(t, last, uint64(30))
			t.Logf("%d saves, %d of 30 kills while a file was written", last, amid)
		})
	}
}

func TestFilesThatAreSetAside(t *testing.T) {
	sound, err := snapshot.Encode(&snapshot.Snapshot{Seq: 9, Identity: crashcheck.Identity(), Written: time.Unix(1, 0)})
	require.NoError(t, err)
	other := crashcheck.Identity()
	other.Site = "elsewhere"
	foreign, err := snapshot.Encode(&snapshot.Snapshot{Seq: 9, Identity: other, Written: time.Unix(1, 0)})
	require.NoError(t, err)
	file := func(b []byte) func(string) error { return func(n string) error { return os.WriteFile(n, b, 0o600) } }
	for name, c := range map[string]struct {
		make func(string) error
		want string
	}{
		"empty":     {file(nil), "the file is empty"},
		"cut":       {file(sound[:len(sound)-1]), "it tells of"},
		"long":      {file(append(append([]byte{}, sound...), 0)), "it tells of"},
		"no state":  {file(make([]byte, 1<<20)), "it does not begin as a state does"},
		"future":    {file(snapshot.EncodeFile(3, 2, 9, nil)), "from a newer program: format 3"},
		"elsewhere": {file(foreign), `another's: its site is "elsewhere", here it is "stock"`},
		"writable": {func(n string) error {
			_ = os.WriteFile(n, sound, 0o600)
			return os.Chmod(n, 0o666)
		}, "other users may write it"},
		"sparse": {func(n string) error {
			_ = os.WriteFile(n, sound, 0o600)
			return os.Truncate(n, 10<<30)
		}, "too long: 10737418240 bytes"},
		"link": {func(n string) error { return os.Symlink("/dev/zero", n) }, "too many levels of symbolic links"},
		"pipe": {func(n string) error { return syscall.Mkfifo(n, 0o600) }, "it is no regular file"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			st, err := crashcheck.Open(dir, nil)
			require.NoError(t, err)
			defer st.Close()
			first := crashcheck.State(1, 3)
			require.NoError(t, st.Save(context.Background(), first))
			bad := filepath.Join(dir, "state.1")
			require.NoError(t, c.make(bad))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, asides := st.Load()
			runtime.ReadMemStats(&after)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8<<20), "reading is bounded")
			require.Empty(t, cmp.Diff(first, got))
			require.Len(t, asides, 1)
			assert.Contains(t, asides[0].Error(), bad+": ")
			assert.Contains(t, asides[0].Error(), c.want)
			require.NoError(t, st.Save(context.Background(), crashcheck.State(2, 3)))
			got, asides = st.Load()
			require.Empty(t, asides)
			assert.Equal(t, crashcheck.State(2, 3).List, got.List)
		})
	}
}

func TestAnotherUsersState(t *testing.T) {
	st, err := snapshot.Open(t.TempDir(), snapshot.Options{Identity: crashcheck.Identity(), User: os.Geteuid() + 1})
	require.NoError(t, err)
	defer st.Close()
	require.NoError(t, st.Save(context.Background(), crashcheck.State(1, 0)))
	got, asides := st.Load()
	assert.Nil(t, got)
	require.Len(t, asides, 1)
	assert.ErrorIs(t, asides[0], snapshot.ErrForeign)
}

func TestTwoProcessesInOneFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	older, err := crashcheck.Open(dir, nil)
	require.NoError(t, err)
	require.NoError(t, older.Save(context.Background(), crashcheck.State(1, 0)))
	newer, err := crashcheck.Open(dir, nil)
	require.ErrorIs(t, err, snapshot.ErrLocked)
	require.Contains(t, err.Error(), dir)
	got, _ := newer.Load()
	require.EqualValues(t, 1, got.Seq, "it reads")
	require.ErrorIs(t, newer.Save(context.Background(), crashcheck.State(9, 0)), snapshot.ErrLocked)
	require.NoError(t, older.Save(context.Background(), crashcheck.State(2, 0)))
	require.NoError(t, older.Close())
	require.ErrorIs(t, older.Save(context.Background(), crashcheck.State(9, 0)), snapshot.ErrClosed)
	third := crashcheck.State(3, 0)
	require.NoError(t, newer.Save(context.Background(), third))
	assert.EqualValues(t, 3, third.Seq, "it goes on from what the other wrote after its Load")
	require.NoError(t, newer.Close())
}

func TestFolderThatVanishes(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	st, err := crashcheck.Open(dir, nil)
	require.NoError(t, err)
	require.NoError(t, st.Save(context.Background(), crashcheck.State(1, 0)))
	require.NoError(t, os.RemoveAll(dir))
	require.ErrorIs(t, st.Save(context.Background(), crashcheck.State(2, 0)), fs.ErrNotExist)
	got, asides := st.Load()
	require.Nil(t, got)
	require.Empty(t, asides)
	other, err := crashcheck.Open(dir, nil) // another process makes it anew
	require.NoError(t, err)
	require.ErrorIs(t, st.Save(context.Background(), crashcheck.State(2, 0)), snapshot.ErrLocked)
	require.NoError(t, other.Close())
	require.NoError(t, st.Save(context.Background(), crashcheck.State(2, 0)))
	require.NoError(t, st.Close())
	none, err := crashcheck.Open(filepath.Join(dir, "not", "there"), nil)
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.ErrorIs(t, none.Save(context.Background(), crashcheck.State(1, 0)), fs.ErrNotExist)
}

func TestSaveRefusesWhatLoadWould(t *testing.T) {
	st, err := snapshot.Open(t.TempDir(), snapshot.Options{Identity: crashcheck.Identity(), MaxBytes: 1 << 10})
	require.NoError(t, err)
	defer st.Close()
	require.ErrorIs(t, st.Save(context.Background(), crashcheck.State(1, 100)), snapshot.ErrTooLarge)
	twice := crashcheck.State(1, 1)
	twice.Learned.Servers = append(twice.Learned.Servers, twice.Learned.Servers[0])
	require.ErrorContains(t, st.Save(context.Background(), twice), "learned.servers[1]")
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, st.Save(gone, crashcheck.State(1, 0)), context.Canceled)
}

func BenchmarkState(b *testing.B) {
	for _, servers := range []int{200, 2000} {
		st, err := crashcheck.Open(b.TempDir(), nil)
		require.NoError(b, err)
		s := crashcheck.State(1, servers)
		for i := range s.Learned.Servers {
			s.Learned.Servers[i].UID = fmt.Sprintf("stock-%08x-%04d", binary.BigEndian.Uint32([]byte("abcd")), i)
			s.Learned.Servers[i].Size = rand.NormFloat64()
			s.List.Servers[i] = snapshot.Entry{UID: s.Learned.Servers[i].UID, Endpoint: "10.0.0.1:8080", Zone: "eu-west-1a",
				Model: "m5.large", PodGroup: i, State: "Ready", Capacity: 1, BootMS: 1.7e12}
		}
		encoded, err := snapshot.Encode(s)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("Save/%d", servers), func(b *testing.B) {
			for b.Loop() {
				require.NoError(b, st.Save(context.Background(), s))
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
		b.Run(fmt.Sprintf("Load/%d", servers), func(b *testing.B) { // of both generations
			for b.Loop() {
				if got, asides := st.Load(); got == nil || len(asides) > 0 {
					b.Fatal(asides)
				}
			}
		})
		require.NoError(b, st.Close())
	}
}
