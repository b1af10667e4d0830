package disk

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// write makes /f with two sectors in two writes, the second over a part of the first.
func write(t *testing.T, d *Disk) {
	f, err := d.Create("/f")
	require.NoError(t, err)
	for _, part := range []string{strings.Repeat("a", Sector), strings.Repeat("b", 10)} {
		_, err = f.Write([]byte(part))
		require.NoError(t, err)
	}
}

func TestExhaustLosesWhatIsNotSynced(t *testing.T) {
	d := New(Image{"/": nil})
	write(t, d)
	seen := map[string]bool{}
	for im := range d.Exhaust(d.Ops()) {
		content, there := im["/f"]
		seen[map[bool]string{true: "there "}[there]+string(content)] = true
	}
	a, b, zeros := strings.Repeat("a", Sector), strings.Repeat("b", 10), strings.Repeat("\x00", Sector)
	for name, want := range map[string]string{
		"no name": "", "empty": "there ", "first alone": "there " + a, "first, and the length": "there " + a + zeros[:10],
		"second alone": "there " + zeros + b, "length alone": "there " + zeros + zeros[:10], "whole": "there " + a + b,
	} {
		assert.True(t, seen[want], name)
	}
	assert.Len(t, seen, 7)
	by := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		content, there := d.Sample(d.Ops(), by)["/f"]
		assert.True(t, seen[map[bool]string{true: "there "}[there]+string(content)])
	}
}

func TestExhaustKeepsWhatIsSynced(t *testing.T) {
	d := New(Image{"/": nil})
	write(t, d)
	f, err := d.Open("/f")
	require.NoError(t, err)
	require.NoError(t, f.Sync())
	require.NoError(t, d.SyncDir("/"))
	require.NoError(t, d.Rename("/f", "/g"))
	whole := strings.Repeat("a", Sector) + strings.Repeat("b", 10)
	var names []string
	for im := range d.Exhaust(d.Ops()) {
		var here []string
		for _, name := range im.names()[1:] {
			assert.Equal(t, whole, string(im[name]))
			here = append(here, name)
		}
		names = append(names, strings.Join(here, " "))
	}
	assert.ElementsMatch(t, []string{"/f", "/g", "/f /g"}, names)
}

func TestFullDisk(t *testing.T) {
	d := New(Image{"/": nil})
	d.Space = 3
	f, err := d.Create("/f")
	require.NoError(t, err)
	n, err := f.Write([]byte("12345"))
	assert.Equal(t, 3, n)
	assert.ErrorIs(t, err, syscall.ENOSPC)
	assert.Equal(t, "123", string(d.Now()["/f"]))
}
