package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/state"
)

// writeConfig writes the configuration of a cluster of one replica with a folder and returns its path.
func writeConfig(t *testing.T, listen, raft, data string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "one.toml")
	text := fmt.Sprintf("name = \"one\"\nlisten = %q\nraft = %q\ndir = %q\nbeat = \"50ms\"\n", listen, raft, data)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	return path
}

// putEntry registers the server s-1 as soon as the replica leads.
func putEntry(t *testing.T, addr string) {
	t.Helper()
	require.Eventually(t, func() bool {
		code, _, _ := execute(t, "registry", "put", "s-1", "127.0.0.1:81", "--addr", addr)
		return code == exitOK
	}, 20*time.Second, 10*time.Millisecond)
}

// epochAt waits until a replica leads and returns the epoch of its revision.
func epochAt(t *testing.T, addr string) int64 {
	t.Helper()
	var status listserver.Status
	require.Eventually(t, func() bool {
		code, out, _ := execute(t, "registry", "status", "--addr", addr)
		return code == exitOK && json.Unmarshal([]byte(out), &status) == nil && status.Leads && status.Rev > 0
	}, 20*time.Second, 10*time.Millisecond)
	return state.EpochOf(status.Rev)
}

func TestRegistryVerify_killedCopy(t *testing.T) {
	data := filepath.Join(t.TempDir(), "data")
	addr, copyProcess := startReplica(t, writeConfig(t, "127.0.0.1:0", "127.0.0.1:0", data))
	putEntry(t, addr)
	require.NoError(t, copyProcess.Process.Kill())
	_ = copyProcess.Wait()

	code, out, errOut := execute(t, "registry", "verify", data)
	require.Equal(t, exitOK, code, out+errOut)
	assert.Regexp(t, `^log: \d+ entries(.|\n)*revision \d+ of epoch \d+(.|\n)*\nsound\n$`, out)
	assert.Empty(t, errOut)

	store := filepath.Join(data, "raft.db")
	content, err := os.ReadFile(store)
	require.NoError(t, err)
	spoilt := bytes.ReplaceAll(content, []byte(`"Data":"`), []byte(`"Bata":"`)) // in every page with log entries
	require.False(t, bytes.Equal(content, spoilt))
	require.NoError(t, os.WriteFile(store, spoilt, 0o644))
	code, out, _ = execute(t, "registry", "verify", data)
	assert.Equal(t, exitFail, code, out)
	assert.Contains(t, out, "UNSOUND: "+store+": bucket log, entry ")
	assert.NotContains(t, out, "\nsound\n")
	after, err := os.ReadFile(store)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(spoilt, after), "verify changes nothing")
}

func TestRegistryVerify_unreadable(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	code, out, errOut := execute(t, "registry", "verify", missing)
	assert.Equal(t, exitUsage, code)
	assert.Empty(t, out)
	assert.Contains(t, errOut, "verify: stat "+missing+": no such file or directory")

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o644))
	code, out, errOut = execute(t, "registry", "verify", file)
	assert.Equal(t, exitUsage, code, out)
	assert.Contains(t, errOut, file)
}

func TestRegistryRestore_fromSnapshot(t *testing.T) {
	dir, at := t.TempDir(), freeAddrs(t, 2)
	backup := filepath.Join(dir, "backup.json")
	addr, oldCopy := startReplica(t, writeConfig(t, at[0], at[1], filepath.Join(dir, "old")))
	putEntry(t, addr)
	before := epochAt(t, addr)
	code, _, errOut := execute(t, "registry", "snapshot", backup, "--addr", addr)
	require.Equal(t, exitOK, code, errOut)

	fresh := filepath.Join(dir, "fresh")
	config := writeConfig(t, at[0], at[1], fresh)
	code, _, errOut = execute(t, "registry", "restore", backup, "--config", config)
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, errOut, "restore: one at "+at[0]+" still answers; stop the old cluster first")
	assert.NoDirExists(t, fresh, "a refused restore writes nothing")

	require.NoError(t, oldCopy.Process.Kill())
	_ = oldCopy.Wait()
	code, out, errOut := execute(t, "registry", "restore", backup, "--config", config)
	require.Equal(t, exitOK, code, errOut)
	assert.Contains(t, out, "restored 1 entries of revision ")
	assert.Contains(t, out, "start one, then the other replicas")
	addr, _ = startReplica(t, config)
	assert.Greater(t, epochAt(t, addr), before)
	code, out, errOut = execute(t, "registry", "list", "--addr", addr)
	require.Equal(t, exitOK, code, errOut)
	assert.Contains(t, out, `"uid":"s-1","endpoint":"127.0.0.1:81"`)
}

func TestRegistryRestore_writtenBackup(t *testing.T) {
	dir, at := t.TempDir(), freeAddrs(t, 2)
	backup, data := filepath.Join(dir, "backup"), filepath.Join(dir, "data")
	config := writeConfig(t, at[0], at[1], data)
	require.NoError(t, os.WriteFile(backup, []byte(`{"form":1,"rev":268435457,"items":[{"entry":{"uid":"s-1",`+
		`"endpoint":"127.0.0.1:1",`+
		`"state":"Ready"},"changed":268435457}],"members":{"old":"127.0.0.1:2"}}`), 0o644))
	code, out, errOut := execute(t, "registry", "restore", backup, "--config", config)
	require.Equal(t, exitOK, code, errOut)
	assert.Contains(t, out, "restored 1 entries of revision 268435457 as epoch ")
	code, _, errOut = execute(t, "registry", "restore", backup, "--config", config)
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, errOut, "already has state")

	code, out, _ = execute(t, "registry", "verify", data)
	require.Equal(t, exitOK, code, out)
	assert.Regexp(t, `log: 0 entries, index 0 to 0(.|\n)*snapshot (.|\n)*revision \d+ of epoch \d+(.|\n)*sound\n$`, out)
	require.NoError(t, os.Truncate(filepath.Join(data, "raft.db"), 12_000))
	code, out, errOut = execute(t, "registry", "verify", data)
	assert.Equal(t, exitFail, code)
	assert.Empty(t, strings.TrimSpace(errOut))
	assert.Contains(t, out, "UNSOUND: "+filepath.Join(data, "raft.db")+": the file is cut short")
}
