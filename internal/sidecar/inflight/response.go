package inflight

import (
	"errors"
	"io"
	"sync"
)

// CopyBufferSize is the size of the buffers for streamed bodies, in bytes.
const CopyBufferSize = 16 << 10

// CopyBuffers holds buffers of CopyBufferSize bytes for streamed bodies.
var CopyBuffers = sync.Pool{New: func() any { b := make([]byte, CopyBufferSize); return &b }}

// ErrClientWriteFailed is the result of a ResponseStream that could not be written to the client.
var ErrClientWriteFailed = errors.New("response could not be written to the client")

// Response is the response to a client's request.
type Response struct {
	Status             int
	RetryAfter         float64 // value of the Retry-After header, in milliseconds; 0: the header is not sent
	ContentType        string
	Body               []byte
	Stream             *ResponseStream // replaces Body if the body is streamed; otherwise nil
	ClientDisconnected bool            // the client has disconnected; the other fields are not set
}

// ResponseStream is a response body that is written to the client while it is received from the server.
type ResponseStream struct {
	Length    int64     // total length in bytes; -1: unknown
	Prefix    []byte    // the bytes that have been received so far
	Remaining io.Reader // reads the bytes that follow Prefix

	// WriteResult receives exactly one value, when the stream ends: nil if the whole body was written to the client, or
	// the reason why it was not. It is never closed.
	WriteResult chan error
}
