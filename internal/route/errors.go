package route

import (
	"fmt"
	"strings"
)

// FieldError reports an invalid field of a document.
type FieldError struct {
	Path   string // such as routes[2].share; empty: the whole document
	Reason string
}

func (e FieldError) Error() string {
	if e.Path == "" {
		return "document: " + e.Reason
	}
	return e.Path + ": " + e.Reason
}

// fieldErrorf returns a FieldError with a formatted reason.
func fieldErrorf(path, format string, args ...any) error {
	return FieldError{path, fmt.Sprintf(format, args...)}
}

// truncate shortens a value from a document for use in an error text.
func truncate(s string) string {
	if len(s) > maxShownBytes {
		return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
	}
	return s
}

// UnreadableError reports that a document requires a reader of a newer schema.
type UnreadableError struct {
	Schema int // schema of the document
	Reads  int // oldest schema whose readers interpret the document correctly
}

func (e UnreadableError) Error() string {
	return fmt.Sprintf("document: schema %d requires a reader of schema %d or newer", e.Schema, e.Reads)
}

// UnwritableError reports that a schema cannot express a table.
type UnwritableError struct {
	Version int
	Fields  []Finding
}

func (e UnwritableError) Error() string {
	var list []string
	for _, f := range e.Fields {
		list = append(list, f.Path+": "+f.Effect)
	}
	return fmt.Sprintf("schema %d cannot express the table: %s", e.Version, strings.Join(list, "; "))
}
