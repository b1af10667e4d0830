package disk

import (
	"cmp"
	"maps"
	"slices"
)

// Image is the content of a disk: the content of each file by path. The content of a directory is nil.
type Image map[string][]byte

// names returns the paths sorted, so that a directory comes before its entries.
func (image Image) names() []string { return slices.SortedFunc(maps.Keys(image), cmp.Compare[string]) }

// Key returns a key for comparisons. Equal images have equal keys.
func (image Image) Key() string {
	var key []byte
	for _, name := range image.names() {
		key = append(append(key, name...), 0)
		key = append(append(key, image[name]...), 0)
	}
	return string(key)
}
