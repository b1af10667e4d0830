// Package statekey writes keys by which an exploration tells states apart.
package statekey

import "encoding/binary"

// AppendInts appends integers to a key. Two different lists of the same length have different keys.
func AppendInts(key []byte, values ...int64) []byte {
	for _, v := range values {
		key = binary.AppendVarint(key, v)
	}
	return key
}

// BoolInt is a boolean as an integer of a key: 1 or 0.
func BoolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
