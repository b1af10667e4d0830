// Package statekey encodes keys that identify the states of a state-space exploration.
package statekey

import "encoding/binary"

// AppendInts appends integers to a key. Different lists of the same length result in different keys.
func AppendInts(key []byte, values ...int64) []byte {
	for _, v := range values {
		key = binary.AppendVarint(key, v)
	}
	return key
}

// BoolInt returns 1 for true and 0 for false, for use with AppendInts.
func BoolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
