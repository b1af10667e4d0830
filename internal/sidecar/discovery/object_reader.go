package discovery

import (
	"bufio"
	"bytes"
	"io"
)

// objectReader splits a response into its JSON objects and empty lines.
type objectReader struct {
	in       *bufio.Reader
	maxBytes int // size limit of an object
}

// newObjectReader returns a reader that fails for objects of more than maxBytes.
func newObjectReader(in io.Reader, maxBytes int) *objectReader {
	return &objectReader{in: bufio.NewReader(in), maxBytes: maxBytes}
}

// next returns the next object, which may span several lines, or an empty slice for an empty line between objects. At
// the end of the response it returns the remaining text and io.EOF.
func (r *objectReader) next() ([]byte, error) {
	var text []byte
	var open nesting
	for {
		part, err := r.in.ReadSlice('\n')
		text = append(text, part...)
		open.add(part)
		switch {
		case len(text) > r.maxBytes:
			return nil, errObjectTooLarge
		case err == bufio.ErrBufferFull:
		case err == io.EOF && open.depth > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil || open.depth <= 0:
			return bytes.TrimSpace(text), err
		}
	}
}

// nesting tracks the depth of nested objects and arrays while it scans a JSON text.
type nesting struct {
	depth             int
	inString, escaped bool // the scan is inside a string; the last character there was a backslash
}

// add scans the next part of the text.
func (n *nesting) add(text []byte) {
	for _, c := range text {
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString && c == '\\':
			n.escaped = true
		case c == '"':
			n.inString = !n.inString
		case n.inString:
		case c == '{' || c == '[':
			n.depth++
		case c == '}' || c == ']':
			n.depth--
		}
	}
}
