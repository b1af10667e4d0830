package storage

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/registry/state"
	"marblelane/internal/testutil/testfile"
)

// goldenSnapshot is the snapshot in the golden data directory, goldenRev the revision after all of its log.
const (
	goldenSnapshot = "2-11-1796295118628"
	goldenRev      = 130054562512904
)

// goldenData copies the data directory that an earlier version has written.
func goldenData(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "golden", "data"))))
	return dir
}

func TestGoldenBuckets(t *testing.T) {
	dir := goldenData(t)
	before, found := content(t, dir)
	require.Empty(t, found.Faults)
	require.Empty(t, found.Notes, "the metadata bucket is that of the last transaction")
	assert.EqualValues(t, 1, found.First)
	assert.EqualValues(t, 13, found.Last)
	assert.Equal(t, 13, found.Entries)
	assert.EqualValues(t, 2, found.Term)
	assert.EqualValues(t, 2, found.VotedTerm)
	assert.NotEmpty(t, found.VotedFor)
	old, err := OpenStore(filepath.Join(dir, StoreFile), time.Second, nil)
	require.NoError(t, err)
	again, err := OpenStore(filepath.Join(t.TempDir(), StoreFile), time.Second, nil)
	require.NoError(t, err)
	defer again.Close()
	list := state.NewState(100)
	for index := found.First; index <= found.Last; index++ {
		var entry raft.Log
		require.NoError(t, old.GetLog(index, &entry))
		require.NoError(t, again.StoreLog(&entry))
		want, err := old.readRaw(index)
		require.NoError(t, err)
		got, err := again.readRaw(index)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "the same entry has the same bytes")
		if entry.Type == raft.LogCommand {
			var command state.Command
			require.NoError(t, json.Unmarshal(entry.Data, &command))
			_, err := list.Apply(&command)
			require.NoError(t, err)
		}
	}
	assert.EqualValues(t, goldenRev, list.Rev())
	require.NoError(t, old.Close())
	after, found := content(t, dir)
	assert.Empty(t, found.Faults)
	assert.Equal(t, before, after, "opening the store changes no entry and no value")
}

func TestGoldenSnapshotSeal(t *testing.T) {
	stored := filepath.Join("testdata", "golden", "data", SnapshotsDir, goldenSnapshot)
	dir := t.TempDir()
	testfile.Write(t, filepath.Join(dir, metaFile), testfile.Read(t, filepath.Join(stored, metaFile)))
	require.NoError(t, seal(dir))
	assert.Equal(t, string(testfile.Read(t, filepath.Join(stored, sealFile))), string(testfile.Read(t, filepath.Join(dir, sealFile))))
}

func TestGoldenSnapshotMeta(t *testing.T) {
	files, err := OpenSnapshots(goldenData(t), hclog.NewNullLogger(), quiet())
	require.NoError(t, err)
	all, err := files.List()
	require.NoError(t, err)
	require.Len(t, all, 1)
	assert.Equal(t, goldenSnapshot, all[0].ID)
	assert.EqualValues(t, 11, all[0].Index)
	assert.EqualValues(t, 2, all[0].Term)
	assert.EqualValues(t, 1013, all[0].Size)
	assert.Equal(t, []raft.Server{{ID: "copy-a", Address: "127.0.0.1:26540"}}, all[0].Configuration.Servers)
	_, content, err := files.Open(goldenSnapshot)
	require.NoError(t, err)
	defer content.Close()
	text, err := io.ReadAll(content)
	require.NoError(t, err)
	var saved state.Snapshot
	require.NoError(t, json.Unmarshal(text, &saved))
	list := state.NewState(100)
	require.NoError(t, list.Restore(&saved))
	assert.Equal(t, string(text), goldenBytes(t, list), "what is written again")
}
