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

func encoded(t *testing.T, n int) []byte {
	s := crashcheck.State(n, 1)
	s.Seq = uint64(n)
	b, err := snapshot.Encode(s)
	require.NoError(t, err)
	return b
}

// unseen counts the flipped bits that a reader does not find.
func unseen(b []byte, decode func([]byte) error) (n int) {
	for i := range len(b) * 8 {
		b[i/8] ^= 1 << (i % 8)
		if decode(b) == nil {
			n++
		}
		b[i/8] ^= 1 << (i % 8)
	}
	return n
}

func TestEachFlippedBitIsFound(t *testing.T) {
	b := encoded(t, 1)
	require.NoError(t, func() error { _, err := snapshot.Decode(b); return err }())
	assert.Zero(t, unseen(b, func(b []byte) error { _, err := snapshot.Decode(b); return err }))
	assert.NotZero(t, unseen(b, func(b []byte) error { // the planted defect: checksums that leave out the header
		sections, err := snapshot.DecodeSections(b[:len(b)-digestBytes], stateSections)
		if err == nil {
			_, err = snapshot.Decode(snapshot.EncodeFile(1, 1, uint64(b[31]), sections))
		}
		return err
	}))
}

// Sectors of two sound files of one length make no third.
func TestMixturesAreFound(t *testing.T) {
	a, b := encoded(t, 1), encoded(t, 3)
	require.Len(t, b, len(a))
	const piece = 64
	for cut := piece; cut < len(a); cut += piece {
		_, err := snapshot.Decode(append(append([]byte{}, a[:cut]...), b[cut:]...))
		var damage *snapshot.DamageError
		require.ErrorAs(t, err, &damage, "cut at %d", cut)
		_, err = snapshot.Decode(a[:cut])
		require.ErrorAs(t, err, &damage, "ends at %d", cut)
	}
}

func TestOlderAndNewerPrograms(t *testing.T) {
	section := snapshot.NewSection
	head := section("head", true, `{"site":"stock","written_ms":5,"colour":"new"}`)
	more, must := section("more", false, "?"), section("more", true, "?")
	list := section("list", false, `{"rev":3,"x":1}`)
	listMust := section("list", false, `{"must":["x"],"x":1}`)
	listKnown := section("list", false, `{"must":["rev"],"rev":3}`)
	for name, c := range map[string]struct {
		format, least uint16
		more          []snapshot.Section
		refused       string
	}{
		"an older one's, without the rest":    {1, 1, nil, ""},
		"a newer one's that may be read":      {7, 1, []snapshot.Section{more, list}, ""},
		"a newer one's that must not":         {7, 2, []snapshot.Section{more}, "format 7, to be read from 2 on"},
		"a section that has to be understood": {7, 1, []snapshot.Section{must}, `section "more" has to be understood`},
		"a key that has to be understood":     {7, 1, []snapshot.Section{listMust}, `key "x" of section "list"`},
		"a key that has to be, and is":        {7, 1, []snapshot.Section{listKnown}, ""},
	} {
		s, err := snapshot.Decode(snapshot.EncodeFile(c.format, c.least, 4, append([]snapshot.Section{head}, c.more...)))
		if c.refused != "" {
			assert.ErrorIs(t, err, snapshot.ErrNewer, name)
			assert.ErrorContains(t, err, c.refused, name)
			continue
		}
		require.NoError(t, err, name)
		assert.Equal(t, "stock", s.Identity.Site, name)
		assert.EqualValues(t, 4, s.Seq, name)
	}
	_, err := snapshot.Decode(snapshot.EncodeFile(1, 1, 4, []snapshot.Section{list}))
	assert.ErrorContains(t, err, "none named head")
	_, err = snapshot.Decode(snapshot.EncodeFile(1, 1, 4, []snapshot.Section{head, section("list", false, `{"rev":"x"}`)}))
	assert.ErrorContains(t, err, `section "list"`)
}

// A file of format 1 as the first program wrote it: each later one has to read it.
func TestFormat1IsReadForever(t *testing.T) {
	b, err := os.ReadFile("testdata/format-1.state")
	require.NoError(t, err)
	got, err := snapshot.Decode(b)
	require.NoError(t, err)
	want := crashcheck.State(1, 1)
	want.Seq = 1
	assert.Empty(t, cmp.Diff(want, got))
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	figure := rapid.Float64Range(0, math.MaxFloat64)
	rapid.Check(t, func(t *rapid.T) {
		s := &snapshot.Snapshot{Seq: rapid.Uint64Range(0, 1<<53-1).Draw(t, "seq"), Identity: crashcheck.Identity(),
			Written: time.UnixMilli(rapid.Int64Range(1, 253402300799999).Draw(t, "written")).UTC()}
		s.Learned.Zones = rapid.MapOfN(rapid.StringMatching(`[a-zé"\\]+`), figure, 1, 5).Draw(t, "zones")
		for i, size := range rapid.SliceOfN(rapid.Float64(), 0, 5).Draw(t, "sizes") {
			s.Learned.Servers = append(s.Learned.Servers, snapshot.Server{UID: string(rune('a' + i)), Size: size,
				WarmingUp: rapid.Bool().Draw(t, "cold"), EjectionLeft: figure.Draw(t, "left")})
		}
		b, err := snapshot.Encode(s)
		require.NoError(t, err)
		got, err := snapshot.Decode(b)
		require.NoError(t, err)
		require.Empty(t, cmp.Diff(s, got))
	})
}

func TestAgeing(t *testing.T) {
	s := crashcheck.State(4, 1)
	s.Learned.Servers[0] = snapshot.Server{UID: "a", Size: 2, ConsecutiveErrors: 3, ErrorAge: 1000, Down: true, Ejections: 2,
		EjectionLeft: 5000, WarmingUp: true, WarmUpAge: 4000}
	by := snapshot.DefaultAgeing()
	at := func(away time.Duration) (snapshot.Server, *snapshot.Snapshot, snapshot.Age) {
		got, age := s.Aged(s.Written.Add(away), by)
		return got.Learned.Servers[0], got, age
	}
	v, got, age := at(2 * time.Second)
	assert.Equal(t, snapshot.Age{Elapsed: 2 * time.Second, Known: true, Weight: math.Exp2(-2.0 / 3600)}, age)
	assert.Equal(t, []float64{3000, 3000, 6000, 2000}, []float64{v.ErrorAge, v.EjectionLeft, v.WarmUpAge, got.List.Age})
	assert.Equal(t, s.Learned.Rates, got.Learned.Rates)
	v, got, _ = at(time.Hour)
	assert.Equal(t, snapshot.Server{UID: "a", Size: 1}, v, "half the size, and nothing of troubles")
	assert.Equal(t, snapshot.Rates{}, got.Learned.Rates)
	assert.Equal(t, 2.25, got.Learned.Kinds["big"])
	v, _, age = at(25 * time.Hour)
	assert.Zero(t, v.Size)
	assert.True(t, age.Known)
	_, _, age = at(-time.Second)
	assert.Equal(t, snapshot.Age{Known: true, Weight: 1}, age, "clocks are set by a little")
	v, got, age = at(-time.Hour)
	assert.Equal(t, snapshot.Age{Weight: 0.5}, age)
	assert.Equal(t, 1.0, v.Size)
	assert.Equal(t, s.Learned.Servers[0].EjectionLeft, v.EjectionLeft)
	assert.Equal(t, s.Learned.Servers[0].WarmUpAge, v.WarmUpAge)
	assert.Equal(t, snapshot.Rates{}, got.Learned.Rates)
	assert.Equal(t, 2.0, s.Learned.Servers[0].Size, "what was read stays as it is")
}
