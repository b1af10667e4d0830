package inflight

import (
	"errors"
	"io"
	"sync"
)

// CopySize is the size of the buffers for bodies that are streamed, in bytes.
const CopySize = 16 << 10

// CopyBuffers has buffers of CopySize for bodies that are streamed.
var CopyBuffers = sync.Pool{New: func() any { b := make([]byte, CopySize); return &b }}

// ErrClientGone ends an AnswerStream whose client does not read it.
var ErrClientGone = errors.New("the client does not take the answer")

// Answer is what the client gets.
type Answer struct {
	Status      int
	RetryAfter  float64 // milliseconds; 0: none
	ContentType string
	Body        []byte
	Stream      *AnswerStream // in place of Body
	ClientLeft  bool          // in place of all else: the client has gone
}

// AnswerStream is the body of an answer that is written to the client as it comes from the server.
type AnswerStream struct {
	Length    int64 // bytes; -1: not known
	First     []byte
	Remaining io.Reader  // what comes after First
	Ended     chan error // the writer sends how the stream ended, once; nil: all of it was written; never closed
}
