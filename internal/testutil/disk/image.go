package disk

import (
	"cmp"
	"maps"
	"slices"
)

// Image is the content of a disk: files by path, and folders, which are nil.
type Image map[string][]byte

// names returns the paths in order: a folder comes before what is in it.
func (image Image) names() []string { return slices.SortedFunc(maps.Keys(image), cmp.Compare[string]) }

// Key identifies the image: equal images have equal keys.
func (image Image) Key() string {
	var key []byte
	for _, name := range image.names() {
		key = append(append(key, name...), 0)
		key = append(append(key, image[name]...), 0)
	}
	return string(key)
}
