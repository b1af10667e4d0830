package disk

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	firstSector        = strings.Repeat("a", SectorBytes)
	partOfSecondSector = strings.Repeat("b", 10)
)

// writeTwoSectors creates /f, writes its first sector, and then writes a part of its second sector.
func writeTwoSectors(t *testing.T, d *Disk) {
	t.Helper()
	file, err := d.Create("/f")
	require.NoError(t, err)
	for _, part := range []string{firstSector, partOfSecondSector} {
		_, err = file.Write([]byte(part))
		require.NoError(t, err)
	}
}

// describeFile returns the content of /f in a form that distinguishes a missing file from an empty one.
func describeFile(image Image) string {
	content, exists := image["/f"]
	if !exists {
		return "missing"
	}
	return "exists " + string(content)
}

func TestCrashImages_unsynced(t *testing.T) {
	d := New(Image{root: nil})
	writeTwoSectors(t, d)
	seen := map[string]bool{}
	for image := range d.CrashImages(d.OpCount()) {
		seen[describeFile(image)] = true
	}
	zeros := strings.Repeat("\x00", SectorBytes)
	for name, want := range map[string]string{
		"no file":                      "missing",
		"empty file":                   "exists ",
		"only the first sector":        "exists " + firstSector,
		"first sector and full length": "exists " + firstSector + zeros[:len(partOfSecondSector)],
		"only the second sector":       "exists " + zeros + partOfSecondSector,
		"only the full length":         "exists " + zeros + zeros[:len(partOfSecondSector)],
		"both sectors":                 "exists " + firstSector + partOfSecondSector,
	} {
		assert.True(t, seen[want], name)
	}
	assert.Len(t, seen, 7)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		assert.True(t, seen[describeFile(d.SampleCrash(d.OpCount(), rng))])
	}
}

func TestCrashImages_synced(t *testing.T) {
	d := New(Image{root: nil})
	writeTwoSectors(t, d)
	file, err := d.Open("/f")
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	require.NoError(t, d.SyncDir(root))
	require.NoError(t, d.Rename("/f", "/g"))
	var nameLists []string
	for image := range d.CrashImages(d.OpCount()) {
		names := image.names()[1:] // without the root
		for _, name := range names {
			assert.Equal(t, firstSector+partOfSecondSector, string(image[name]))
		}
		nameLists = append(nameLists, strings.Join(names, " "))
	}
	assert.ElementsMatch(t, []string{"/f", "/g", "/f /g"}, nameLists)
}

func TestDisk_full(t *testing.T) {
	d := New(Image{root: nil})
	d.FreeBytes = 3
	file, err := d.Create("/f")
	require.NoError(t, err)
	n, err := file.Write([]byte("12345"))
	assert.Equal(t, 3, n)
	assert.ErrorIs(t, err, syscall.ENOSPC)
	assert.Equal(t, "123", string(d.CurrentImage()["/f"]))
}
