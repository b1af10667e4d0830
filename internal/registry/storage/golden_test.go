package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/audit"
	"marblelane/internal/registry/state"
	"marblelane/internal/rollout"
	"marblelane/internal/route"
)

// The stored forms of raft's log entries and of snapshots must not change: an earlier program's folder is read, and two
// programs share a cluster during an upgrade.

func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return content
}

// goldenListCommands are the commands that change the list; after them a snapshot has the form without routes.
func goldenListCommands() []state.Command {
	unchanged, changed := int64(0), int64(5<<state.CountBits+1)
	return []state.Command{
		{Op: state.OpBegin, Epoch: 5},
		{Op: state.OpPut, LeaseMS: 30_000, If: &unchanged, Entry: &state.Entry{UID: "server-0", Endpoint: "127.0.0.1:8080", Zone: "zone-é",
			Model: "large <&>", PodGroup: 4, State: state.Ready, Capacity: 1.5, BootMS: 1_700_000_000_000}},
		{Op: state.OpPut, Entry: &state.Entry{UID: "server-1", Endpoint: "127.0.0.1:8081", State: state.Ready}},
		{Op: state.OpPut, Entry: &state.Entry{UID: "server-2", Endpoint: "127.0.0.1:8082", State: state.Ready}, LeaseMS: 5},
		{Op: state.OpPut, Entry: &state.Entry{UID: "server-3", Endpoint: "127.0.0.1:8083", State: state.Ready}},
		{Op: state.OpDrain, UID: "server-0", If: &changed},
		{Op: state.OpRemove, UID: "server-1"},
		{Op: state.OpExpire, Expired: map[string]int64{"server-2": 5<<state.CountBits + 3, "server-9": 7}, Term: 2},
		{Op: state.OpMember, UID: "copy-a", Address: "127.0.0.1:7000"},
		{Op: state.OpMember, UID: "copy-b", Address: "127.0.0.2:7000"},
	}
}

// goldenRouteCommands are the commands that a snapshot has the form with routes after.
func goldenRouteCommands() []state.Command {
	process := route.Process{Name: "process-0", Start: 9}
	return []state.Command{
		{Op: state.OpTerm, TermMS: 15_000, Term: 2},
		{Op: state.OpRoutes, Routes: &rollout.Command{Op: rollout.OpPost, AtMS: 1_700_000_001_000, Spec: &rollout.Spec{
			Tenant: "checkout", Name: "one", SubsetName: "next", Canary: route.Subset{Model: []string{"new"}}, Budget: 10,
			Steps: []rollout.Step{{CanaryFraction: 0.5, HoldMS: 1000, MinAttempts: 3}}, AtEnd: rollout.AtEndReturn}}},
		{Op: state.OpRoutes, Routes: &rollout.Command{Op: rollout.OpLedger, AtMS: 1_700_000_002_000, Entries: []rollout.LedgerEntry{
			{Process: process, Tenant: "checkout", Rollout: "one", Granted: 4},
			{Process: process, Tenant: "checkout", Rollout: "one", Granted: 4, Spent: 1}}}},
		{Op: state.OpAudit, Seen: []state.SchemaSupport{{Process: process, Schemas: []int{1, 2, 3}, AtMS: 1_700_000_002_500}},
			Audit: []audit.Transition{
				{Process: process, AtMS: 1_700_000_002_000, Kind: audit.FirstReport, Rev: 5<<state.CountBits + 1},
				{Process: process, AtMS: 1_700_000_003_000, Kind: audit.Gone, Rev: 5<<state.CountBits + 1, Attempts: 7, Note: "silent"}}},
	}
}

// goldenLog has an entry for each command and one of raft's own.
func goldenLog(t *testing.T) []*raft.Log {
	cluster := raft.Configuration{Servers: []raft.Server{{ID: "copy-a", Address: "127.0.0.1:7001"},
		{ID: "copy-b", Address: "127.0.0.2:7001", Suffrage: raft.Nonvoter}}}
	log := []*raft.Log{{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(cluster)}}
	for _, command := range append(goldenListCommands(), goldenRouteCommands()...) {
		data, err := json.Marshal(&command)
		require.NoError(t, err)
		log = append(log, &raft.Log{Index: uint64(len(log) + 1), Term: 2, Type: raft.LogCommand, Data: data,
			AppendedAt: time.UnixMilli(1_700_000_000_123).UTC()})
	}
	return log
}

func goldenEntryName(index uint64) string { return fmt.Sprintf("log-%02d.entry", index) }

func TestGoldenLogEntries(t *testing.T) {
	store, err := OpenStore(filepath.Join(t.TempDir(), "raft.db"), time.Second, nil)
	require.NoError(t, err)
	defer store.Close()
	for _, want := range goldenLog(t) {
		stored := goldenFile(t, goldenEntryName(want.Index))
		var got raft.Log
		require.NoError(t, decodeLog(want.Index, stored, &got))
		require.Equal(t, *want, got)
		require.NoError(t, store.StoreLog(&got))
		again, err := store.readRaw(want.Index)
		require.NoError(t, err)
		require.Equal(t, string(stored), string(again), "the same entry has the same bytes")
		require.NoError(t, store.GetLog(want.Index, &got))
		require.Equal(t, *want, got)
	}
}

// goldenSink takes a snapshot in memory.
type goldenSink struct{ bytes.Buffer }

func (*goldenSink) ID() string    { return "golden" }
func (*goldenSink) Close() error  { return nil }
func (*goldenSink) Cancel() error { return nil }

// goldenBytes is the state as a snapshot on disk has it.
func goldenBytes(t *testing.T, s *state.State) string {
	t.Helper()
	form, err := s.Snapshot()
	require.NoError(t, err)
	var sink goldenSink
	require.NoError(t, StateSnapshot{form}.Persist(&sink))
	return sink.String()
}

func TestGoldenSnapshots(t *testing.T) {
	for name, commands := range map[string][]state.Command{
		"snapshot-empty.json":  nil,
		"snapshot-form-1.json": goldenListCommands(),
		"snapshot-form-2.json": append(goldenListCommands(), goldenRouteCommands()...),
	} {
		t.Run(name, func(t *testing.T) {
			want, got := state.NewState(100), state.NewState(100)
			for _, command := range commands {
				_, err := want.Apply(&command)
				require.NoError(t, err, command.Op)
			}
			stored := goldenFile(t, name)
			assert.Equal(t, string(stored), goldenBytes(t, want), "what the commands make")
			var form state.Snapshot
			require.NoError(t, json.Unmarshal(stored, &form))
			require.NoError(t, got.Restore(&form))
			assert.Equal(t, string(stored), goldenBytes(t, got), "what is written again")
			assert.Equal(t, want.All(), got.All())
			assert.Equal(t, want.Members(), got.Members())
		})
	}
}
