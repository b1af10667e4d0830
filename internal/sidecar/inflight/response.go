package inflight

import (
	"errors"
	"io"
	"sync"
)

// CopyBufferSize is the size of the buffers for bodies that are streamed, in bytes.
const CopyBufferSize = 16 << 10

// CopyBuffers has buffers of CopySize for bodies that are streamed.
var CopyBuffers = sync.Pool{New: func() any { b := make([]byte, CopyBufferSize); return &b }}

// ErrClientWriteFailed ends an AnswerStream whose client does not read it.
var ErrClientWriteFailed = errors.New("the client does not take the answer")

// Response is what the client gets.
type Response struct {
	Status             int
	RetryAfter         float64 // milliseconds; 0: none
	ContentType        string
	Body               []byte
	Stream             *ResponseStream // in place of Body
	ClientDisconnected bool            // in place of all else: the client has gone
}

// ResponseStream is the body of an answer that is written to the client as it comes from the server.
type ResponseStream struct {
	Length      int64 // bytes; -1: not known
	Prefix      []byte
	Remaining   io.Reader  // what comes after First
	WriteResult chan error // the writer sends how the stream ended, once; nil: all of it was written; never closed
}
