package route

import (
	"fmt"
	"strings"
)

// FieldError says which field of a document is invalid, and why.
type FieldError struct {
	Path   string // such as routes[2].share; empty: the document itself
	Reason string
}

func (e FieldError) Error() string {
	if e.Path == "" {
		return "document: " + e.Reason
	}
	return e.Path + ": " + e.Reason
}

// fieldErrorf makes a FieldError.
func fieldErrorf(path, format string, args ...any) error {
	return FieldError{path, fmt.Sprintf(format, args...)}
}

// truncate bounds a value from a document that an error shows.
func truncate(s string) string {
	if len(s) > maxShownBytes {
		return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
	}
	return s
}

// UnreadableError says that a document is for readers of a newer schema only.
type UnreadableError struct {
	Schema int // in which the document is written
	Reads  int // the oldest schema whose readers read it the same
}

func (e UnreadableError) Error() string {
	return fmt.Sprintf("document: it is of schema %d and needs a reader of schema %d or newer", e.Schema, e.Reads)
}

// UnwritableError says that a schema cannot express what a table means.
type UnwritableError struct {
	Version int
	Fields  []Finding
}

func (e UnwritableError) Error() string {
	var list []string
	for _, f := range e.Fields {
		list = append(list, f.Path+": "+f.Effect)
	}
	return fmt.Sprintf("schema %d cannot tell what the table means: %s", e.Version, strings.Join(list, "; "))
}
