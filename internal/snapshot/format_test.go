package snapshot_test

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marblelane/internal/snapshot"
	"marblelane/internal/snapshot/crashcheck"
)

// encoded returns the file of a state with one server.
func encoded(t *testing.T, number int) []byte {
	t.Helper()
	state := crashcheck.State(number, 1)
	state.Seq = uint64(number)
	file, err := snapshot.Encode(state)
	require.NoError(t, err)
	return file
}

// decodeError returns the error of Decode.
func decodeError(file []byte) error {
	_, err := snapshot.Decode(file)
	return err
}

// undetectedFlips flips each bit of a file in turn and returns the number of flips that decode does not detect.
func undetectedFlips(file []byte, decode func([]byte) error) (undetected int) {
	for i := range len(file) * 8 {
		file[i/8] ^= 1 << (i % 8)
		if decode(file) == nil {
			undetected++
		}
		file[i/8] ^= 1 << (i % 8)
	}
	return undetected
}

func TestDecode_flippedBits(t *testing.T) {
	file := encoded(t, 1)
	require.NoError(t, decodeError(file))
	assert.Zero(t, undetectedFlips(file, decodeError))
	const lastSeqByte = 31
	assert.NotZero(t, undetectedFlips(file, func(file []byte) error { // planted defect: no checksum covers the header
		sections, err := snapshot.DecodeSections(file[:len(file)-digestBytes], stateSections)
		if err != nil {
			return err
		}
		return decodeError(snapshot.EncodeFile(1, 1, uint64(file[lastSeqByte]), sections))
	}))
}

// Decode rejects mixtures of two valid files of the same length, and truncated files.
func TestDecode_mixtures(t *testing.T) {
	a, b := encoded(t, 1), encoded(t, 3)
	require.Len(t, b, len(a))
	const step = 64
	for cut := step; cut < len(a); cut += step {
		var damage *snapshot.DamageError
		require.ErrorAs(t, decodeError(append(append([]byte{}, a[:cut]...), b[cut:]...)), &damage, "mixed at %d", cut)
		require.ErrorAs(t, decodeError(a[:cut]), &damage, "ends at %d", cut)
	}
}

func TestDecode_otherPrograms(t *testing.T) {
	section := snapshot.NewSection
	head := section("head", true, `{"site":"stock","written_ms":5,"colour":"new"}`)
	unknown, critical := section("more", false, "?"), section("more", true, "?")
	list := section("list", false, `{"rev":3,"x":1}`)
	unknownKey := section("list", false, `{"must":["x"],"x":1}`)
	knownKey := section("list", false, `{"must":["rev"],"rev":3}`)
	for name, c := range map[string]struct {
		format, minReader uint16
		sections          []snapshot.Section // sections after the head
		wantErr           string
	}{
		"older, fewer sections":         {1, 1, nil, ""},
		"newer, readable":               {7, 1, []snapshot.Section{unknown, list}, ""},
		"newer, not readable":           {7, 2, []snapshot.Section{unknown}, "format 7 requires a reader of format 2"},
		"newer, critical section":       {7, 1, []snapshot.Section{critical}, `unknown critical section "more"`},
		"newer, required key":           {7, 1, []snapshot.Section{unknownKey}, `unknown required key "x" in section "list"`},
		"newer, required key, is known": {7, 1, []snapshot.Section{knownKey}, ""},
	} {
		sections := append([]snapshot.Section{head}, c.sections...)
		state, err := snapshot.Decode(snapshot.EncodeFile(c.format, c.minReader, 4, sections))
		if c.wantErr != "" {
			assert.ErrorIs(t, err, snapshot.ErrNewerVersion, name)
			assert.ErrorContains(t, err, c.wantErr, name)
			continue
		}
		require.NoError(t, err, name)
		assert.Equal(t, "stock", state.Identity.Site, name)
		assert.EqualValues(t, 4, state.Seq, name)
	}
	err := decodeError(snapshot.EncodeFile(1, 1, 4, []snapshot.Section{list}))
	assert.ErrorContains(t, err, `missing section "head"`)
	wrongType := section("list", false, `{"rev":"x"}`)
	err = decodeError(snapshot.EncodeFile(1, 1, 4, []snapshot.Section{head, wrongType}))
	assert.ErrorContains(t, err, `section "list"`)
}

// Every version of the program has to read a file of format 1.
func TestDecode_format1(t *testing.T) {
	file, err := os.ReadFile("testdata/format-1.state")
	require.NoError(t, err)
	got, err := snapshot.Decode(file)
	require.NoError(t, err)
	want := crashcheck.State(1, 1)
	want.Seq = 1
	assert.Empty(t, cmp.Diff(want, got))
}

func TestDecode_encoded(t *testing.T) {
	amount := rapid.Float64Range(0, math.MaxFloat64)
	rapid.Check(t, func(t *rapid.T) {
		state := &snapshot.Snapshot{
			Seq:      rapid.Uint64Range(0, 1<<53-1).Draw(t, "seq"),
			Identity: crashcheck.Identity(),
			Written:  time.UnixMilli(rapid.Int64Range(1, 253402300799999).Draw(t, "written")).UTC(),
		}
		state.Learned.Zones = rapid.MapOfN(rapid.StringMatching(`[a-zé"\\]+`), amount, 1, 5).Draw(t, "zones")
		for i, size := range rapid.SliceOfN(rapid.Float64(), 0, 5).Draw(t, "sizes") {
			state.Learned.Servers = append(state.Learned.Servers, snapshot.Server{UID: string(rune('a' + i)), Size: size,
				WarmingUp: rapid.Bool().Draw(t, "warming up"), EjectionRemaining: amount.Draw(t, "ejection left")})
		}
		file, err := snapshot.Encode(state)
		require.NoError(t, err)
		got, err := snapshot.Decode(file)
		require.NoError(t, err)
		require.Empty(t, cmp.Diff(state, got))
	})
}
