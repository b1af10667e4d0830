// Package tomlfile reads TOML files strictly. Errors name file, line and key. An unknown key is an error, and so is a
// duration without a unit, which the decoder alone would take for nanoseconds.
package tomlfile

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads the text of a file into target, which points to a struct, and returns the lines of its keys. name stands
// for the file in errors, which are all of the type *Error.
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

// isDuration reports whether the field that a key is decoded into is a Duration.
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

// elementType is the type behind pointers and slices.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// fieldForKey finds the field of a struct that a key is decoded into: by its tag, or by its name if it has none.
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
