package discovery

import (
	"bufio"
	"bytes"
	"io"
)

// readObject gives the next object, which may be spread over lines, or nothing for an empty line before it. At the end
// of the answer it gives what is left and io.EOF.
func (d *Client) readObject(in *bufio.Reader) ([]byte, error) {
	var text []byte
	var open nesting
	for {
		part, err := in.ReadSlice('\n')
		text = append(text, part...)
		open.add(part)
		switch {
		case len(text) > d.maxLine:
			return nil, errLineTooLong
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
	depth           int
	quoted, escaped bool
}

func (n *nesting) add(text []byte) {
	for _, c := range text {
		switch {
		case n.escaped:
			n.escaped = false
		case n.quoted && c == '\\':
			n.escaped = true
		case c == '"':
			n.quoted = !n.quoted
		case n.quoted:
		case c == '{' || c == '[':
			n.depth++
		case c == '}' || c == ']':
			n.depth--
		}
	}
}
