package snapshot_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/snapshot"
	"marblelane/internal/snapshot/crashcheck"
	"marblelane/internal/testutil/disk"
)

const (
	digestBytes   = 32 // size of the digest at the end of a state file
	stateSections = 3  // number of sections of a state file
)

// golden reads a file of testdata/golden. The files there have the stored form of format 1 and must not change, because
// later versions of the program have to read them.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return content
}

// fullState returns a state with a non-zero value in each stored field.
func fullState() *snapshot.Snapshot {
	return &snapshot.Snapshot{
		Seq:      1,
		Identity: snapshot.Identity{Site: "fleet-a", Name: "process-7", Settings: "0123abcd", Program: "1.2.3"},
		Written:  time.UnixMilli(1_700_000_000_123).UTC(),
		Learned: snapshot.Learned{
			Servers: []snapshot.Server{
				{UID: "server-0", Size: -0.125, ConsecutiveErrors: 3, ErrorAge: 250.5, Ejections: 2,
					EjectionRemaining: 1500, Down: true, WarmingUp: true, WarmUpAge: 4000, BootUnixMS: 1_699_999_990_000},
				{UID: "server-1"},
			},
			Kinds: map[string]float64{"large": 1.5, "small <&> \"kind\"": -2e-7},
			Zones: map[string]float64{"zone-é": 0.25},
			Rates: snapshot.Rates{Requests: 120.5, Responses: 118.25, MinLatencyRatio: 0.75, Classes: map[string]snapshot.Class{
				"lookup": {Responses: 1000, Mean: 12.5, Deviation: 3.25}, "write": {}}},
		},
		List: snapshot.List{Rev: 1<<28 + 5, Epoch: 1, Age: 1250, Source: "127.0.0.1:7000", Servers: []snapshot.Entry{
			{UID: "server-0", Endpoint: "127.0.0.1:8080", Zone: "zone-é", Model: "large", PodGroup: 4, State: "Ready",
				Capacity: 1.5, BootMS: 1.7e12},
			{UID: "server-1", Endpoint: "127.0.0.1:8081", State: "Terminating"},
		}},
	}
}

// emptyState returns a state with only the values that every state requires.
func emptyState() *snapshot.Snapshot { return &snapshot.Snapshot{Written: time.UnixMilli(1).UTC()} }

func TestGoldenFiles(t *testing.T) {
	for name, want := range map[string]*snapshot.Snapshot{"full": fullState(), "empty": emptyState()} {
		t.Run(name, func(t *testing.T) {
			stored := golden(t, name+".state")
			got, err := snapshot.Decode(stored)
			require.NoError(t, err)
			assert.Empty(t, cmp.Diff(want, got))
			again, err := snapshot.Encode(got)
			require.NoError(t, err)
			assert.Equal(t, stored, again, "the same state has the same bytes")
		})
	}
}

func TestGoldenSections(t *testing.T) {
	for _, name := range []string{"full", "empty"} {
		t.Run(name, func(t *testing.T) {
			stored := golden(t, name+".state")
			sections, err := snapshot.DecodeSections(stored[:len(stored)-digestBytes], stateSections)
			require.NoError(t, err)
			assert.Equal(t, []snapshot.Section{
				snapshot.NewSection("head", true, string(golden(t, name+".head.json"))),
				snapshot.NewSection("lrnd", false, string(golden(t, name+".lrnd.json"))),
				snapshot.NewSection("list", false, string(golden(t, name+".list.json"))),
			}, sections)
		})
	}
}

func TestGoldenFolder(t *testing.T) {
	const dir, file = "/s", "/s/state.0"
	stored, want := golden(t, "full.state"), fullState()
	open := func(d *disk.Disk) *snapshot.Store {
		store, err := snapshot.Open(dir, snapshot.Options{Identity: want.Identity, FS: d})
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, store.Close()) })
		return store
	}
	got, unused := open(disk.New(disk.Image{"/": nil, dir: nil, file: stored})).Load()
	assert.Empty(t, unused)
	assert.Empty(t, cmp.Diff(want, got))

	written := disk.New(disk.Image{"/": nil})
	require.NoError(t, open(written).Save(t.Context(), fullState()))
	assert.Equal(t, disk.Image{"/": nil, dir: nil, dir + "/state.lock": {}, file: stored}, written.CurrentImage())
}

func TestGoldenFormat1Rewritten(t *testing.T) {
	stored, err := os.ReadFile("testdata/format-1.state")
	require.NoError(t, err)
	state := crashcheck.State(1, 1)
	state.Seq = 1
	again, err := snapshot.Encode(state)
	require.NoError(t, err)
	assert.Equal(t, stored, again)
}
