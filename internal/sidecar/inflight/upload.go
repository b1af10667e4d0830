package inflight

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// MaxBody is the maximum length of a request or response body, in bytes.
	MaxBody = 32 << 20
	// MaxHeldBody is the length up to which a request or response body is always held in memory completely, in bytes. A
	// request that is held completely can be sent again. A response that is held completely and is cut short is a
	// failed attempt that the client does not see.
	MaxHeldBody = 64 << 10
	// MinHeldBody is how many bytes of a request body are held even if the memory for held bodies is used up.
	MinHeldBody = 4 << 10

	// discardTimeout is how long the rest of a request body is read and discarded after Upload.Abort.
	discardTimeout = 3 * time.Second
)

// ErrBodyNotNeeded ends the transfer of a request body or response body because the response to the request has already
// been decided, or because the attempt that read the body has ended.
var ErrBodyNotNeeded = errors.New("body is no longer needed")

// Upload is a request body that is streamed to the server. Its prefix is kept in memory, so that the body can be sent
// again until an attempt has read more than the prefix.
type Upload struct {
	Length int64 // total length in bytes; -1: unknown
	prefix []byte

	// Input tells when the client wrote what is received. nil stands for a client of which every byte is received as soon
	// as it is written.
	Input Input

	mu          sync.Mutex // guards the fields below
	changed     sync.Cond  // signals changes of the fields below
	pending     []byte     // bytes after the prefix that were received and not yet read by an attempt
	received    int64      // number of bytes that were received, with the prefix
	consumed    bool       // an attempt has read bytes after the prefix
	aborted     bool       // Abort was called
	endErr      error      // io.EOF: the whole body was received; nil: more bytes are expected; otherwise the receive error
	completedAt time.Time  // when the client can have written the last byte at the earliest; zero: it was not received
}

// Input is the connection that a body is received from.
type Input interface {
	// LastByteNotBefore returns the earliest time at which the client can have written the last byte of the body, of which
	// at least remaining bytes were not received, or the zero time if it has not written that byte.
	LastByteNotBefore(remaining int64) time.Time
	// LastReadNotBefore returns the earliest time at which the client can have written the last byte that was received.
	LastReadNotBefore() time.Time
}

// NewUpload returns the upload of a body of which the prefix has been received.
func NewUpload(length int64, prefix []byte) *Upload {
	u := &Upload{Length: length, prefix: prefix, received: int64(len(prefix))}
	u.changed.L = &u.mu
	return u
}

// Feed passes the rest of the body to the attempts until it ends. After Abort it reads and discards the body for up to
// discardTimeout, because a client that is still sending would not see its response.
func (u *Upload) Feed(body io.Reader) error {
	buf := CopyBuffers.Get().(*[]byte)
	defer CopyBuffers.Put(buf)
	var abortedAt time.Time
	for {
		n, err := body.Read(*buf)
		if !u.Put((*buf)[:n], err) && abortedAt.IsZero() {
			abortedAt = time.Now()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case !abortedAt.IsZero() && time.Since(abortedAt) > discardTimeout:
			return ErrBodyNotNeeded
		}
	}
}

// Put passes bytes to the reader and blocks until it has read them or Abort is called. An error that is not nil ends
// the body; io.EOF means that the body is complete. Put returns false after Abort.
func (u *Upload) Put(b []byte, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = b
	u.received += int64(len(b))
	if err != nil {
		u.endErr, u.completedAt = err, u.lastReadNotBefore()
	}
	u.changed.Broadcast()
	for len(u.pending) > 0 && !u.aborted {
		u.changed.Wait()
	}
	return !u.aborted
}

// Abort makes all reads fail and all calls of Put return.
func (u *Upload) Abort() {
	u.mu.Lock()
	u.aborted = true
	u.changed.Broadcast()
	u.mu.Unlock()
}

// Consumed reports whether an attempt has read more than the prefix, so that the body cannot be sent again.
func (u *Upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consumed
}

// Failed reports whether receiving the body from the client ended before the body was complete.
func (u *Upload) Failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endErr != nil && u.endErr != io.EOF
}

// EarliestEnd returns the earliest time at which the client can have written the last byte of the body. It is zero as long
// as the client is known to be still writing.
func (u *Upload) EarliestEnd() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.completedAt.IsZero() {
		return u.completedAt
	}
	if u.Input == nil {
		return time.Time{}
	}
	return u.Input.LastByteNotBefore(max(u.Length-u.received, 0))
}

// lastReadNotBefore returns the earliest time at which the client can have written the last byte that was received. The
// caller holds the lock.
func (u *Upload) lastReadNotBefore() time.Time {
	if u.Input == nil {
		return time.Now()
	}
	return cmp.Or(u.Input.LastReadNotBefore(), time.Now())
}

// Received returns the number of bytes of the body that were received.
func (u *Upload) Received() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// CompletedAt returns when the client's time started: the earliest time at which it can have written the last byte, or the
// time at which receiving the body failed. It is zero until the last byte was received.
func (u *Upload) CompletedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completedAt
}

// SetCompletedAt replaces the time at which the client's time started. Tests use it to let a client's timeout expire.
func (u *Upload) SetCompletedAt(at time.Time) {
	u.mu.Lock()
	u.completedAt = at
	u.mu.Unlock()
}

// UploadReader reads the body from its first byte on, for one attempt.
type UploadReader struct {
	*Upload
	prefix  []byte // the part of Upload.prefix that this reader has not returned yet
	stopped bool   // Stop was called; guarded by Upload.mu
}

// NewReader returns a reader for the next attempt. Only one reader may be in use at a time.
func (u *Upload) NewReader() *UploadReader { return &UploadReader{Upload: u, prefix: u.prefix} }

// Read blocks until bytes of the body are available. It returns ErrBodyNotNeeded after Stop, and after Abort once the
// prefix has been read.
func (r *UploadReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.prefix) > 0 && !r.stopped {
		n := copy(p, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	for len(r.pending) == 0 && r.endErr == nil && !r.stopped && !r.aborted {
		r.changed.Wait()
	}
	switch {
	case r.stopped || r.aborted:
		return 0, ErrBodyNotNeeded
	case len(r.pending) == 0:
		return 0, r.endErr
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	r.consumed = true
	r.changed.Broadcast()
	return n, nil
}

// Stop makes a blocked Read and all later ones return ErrBodyNotNeeded.
func (r *UploadReader) Stop() {
	r.mu.Lock()
	r.stopped = true
	r.changed.Broadcast()
	r.mu.Unlock()
}
