// Package tomlfile decodes TOML files strictly. Errors contain the file, line and key. An unknown key is an error. So
// is a duration without a unit, which the TOML decoder would read as nanoseconds.
package tomlfile

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes the text of a file into target, a pointer to a struct, and returns the lines of the file's keys. name
// is the file name used in errors. All errors have the type *Error.
func Decode(name string, text []byte, target any) (Index, error) {
	index, numericKeys := indexFile(text)
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return index, decodeError(name, index, err)
	}
	for _, key := range numericKeys {
		if isDuration(reflect.TypeOf(target), key) {
			return index, &Error{File: name, Line: index[key], Key: key, Text: "a bare number" + durationHint}
		}
	}
	return index, nil
}

// isDuration reports whether a key is decoded into a field of type Duration or a pointer to it.
func isDuration(target reflect.Type, key string) bool {
	for part := range strings.SplitSeq(key, ".") {
		name, _, _ := strings.Cut(part, "[")
		field, ok := fieldForKey(elementType(target), name)
		if !ok {
			return false
		}
		target = field.Type
	}
	for target.Kind() == reflect.Pointer {
		target = target.Elem()
	}
	return target == reflect.TypeFor[Duration]()
}

// elementType returns the type that remains after pointers and slices are removed from t.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// fieldForKey returns the struct field that a key is decoded into. A field is found by its toml tag, or by its name if
// it has no tag.
func fieldForKey(t reflect.Type, key string) (field reflect.StructField, ok bool) {
	if t.Kind() != reflect.Struct {
		return reflect.StructField{}, false
	}
	for i := range t.NumField() {
		field := t.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if strings.EqualFold(tag, key) || tag == "" && strings.EqualFold(field.Name, key) {
			return field, true
		}
	}
	return reflect.StructField{}, false
}
