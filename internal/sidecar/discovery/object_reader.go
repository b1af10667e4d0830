package discovery

import (
	"bufio"
	"bytes"
	"io"
)

// objectReader reads an answer object by object.
type objectReader struct {
	in       *bufio.Reader
	maxBytes int // of an object
}

// newObjectReader returns a reader of objects of up to maxBytes.
func newObjectReader(in io.Reader, maxBytes int) *objectReader {
	return &objectReader{in: bufio.NewReader(in), maxBytes: maxBytes}
}

// next returns the next object, which may be spread over lines, or nothing for an empty line before it. At the end of the
// answer it returns what is left, and io.EOF.
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

// nesting follows how deep in objects and arrays a JSON text is.
type nesting struct {
	depth             int
	inString, escaped bool // inside a string; behind a backslash of it
}

// add goes on over the next part of the text.
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
