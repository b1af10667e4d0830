package tomlfile

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error reports a file that cannot be decoded, or a value in it that is not allowed.
type Error struct {
	File string
	Line int    // line number; 0 if unknown
	Key  string // key with its tables; empty if unknown
	Text string // reason of the error
}

// Error returns the reason with the file, line and key in front, as far as they are known.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Text)
	}
	return position + ": " + e.Text
}

// decodeError converts an error of the TOML decoder to an Error with the line and key, as far as they are known.
func decodeError(file string, index Index, err error) *Error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Text: "unknown key"}
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		key := strings.Join(malformed.Key(), ".")
		if key == "" {
			key = index.keyAt(line)
		}
		return &Error{File: file, Line: line, Key: key, Text: strings.TrimPrefix(malformed.Error(), "toml: ")}
	}
	return &Error{File: file, Text: err.Error()}
}
