package inflight

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// MaxBody is the longest body of a request or an answer, in bytes.
	MaxBody = 32 << 20
	// MaxHeldBody is the longest body, of a request or an answer, that is always held completely, in bytes: such a
	// request can be sent again, and such an answer, if it is cut short, is a failed attempt that the client does not see.
	MaxHeldBody = 64 << 10
	// MinHeldBody is how much of a body is held where there is no memory left, in bytes.
	MinHeldBody = 4 << 10

	// discardWait is for reading on behind the answer to a body.
	discardWait = 3 * time.Second
)

// ErrBodyNotNeeded ends a body after which the request was answered, or an answer after which its call was.
var ErrBodyNotNeeded = errors.New("nobody wants the body any more")

// Upload is a request's body that is streamed to the server. Its first part is held: until more of it has been sent it
// can be sent again.
type Upload struct {
	Length int64 // bytes; -1: not known
	prefix []byte

	mu          sync.Mutex // guards the fields below
	changed     sync.Cond
	pending     []byte // behind the first part, not sent yet
	consumed    bool   // some bytes behind the first part were sent
	aborted     bool   // nothing more is sent
	endErr      error  // io.EOF: the body is complete; nil: more of it comes
	completedAt time.Time
}

// NewUpload is a body of which the first part has come.
func NewUpload(length int64, first []byte) *Upload {
	u := &Upload{Length: length, prefix: first}
	u.changed.L = &u.mu
	return u
}

// Feed streams what is still to come of the body until it ends. After Abort it reads on for discardWait: a client that is
// still sending would not see its answer.
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
		case !abortedAt.IsZero() && time.Since(abortedAt) > discardWait:
			return ErrBodyNotNeeded
		}
	}
}

// Put gives bytes to the reader and waits until it has read them. A non-nil error ends the body; io.EOF: it is complete.
// Put reports false after Abort.
func (u *Upload) Put(b []byte, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = b
	if err != nil {
		u.endErr, u.completedAt = err, time.Now()
	}
	u.changed.Broadcast()
	for len(u.pending) > 0 && !u.aborted {
		u.changed.Wait()
	}
	return !u.aborted
}

// Abort makes readers fail and Put return.
func (u *Upload) Abort() {
	u.mu.Lock()
	u.aborted = true
	u.changed.Broadcast()
	u.mu.Unlock()
}

// Consumed reports whether more than the first part was sent, so that the body cannot be sent again.
func (u *Upload) Consumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consumed
}

// Failed reports whether the client did not send all of the body.
func (u *Upload) Failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endErr != nil && u.endErr != io.EOF
}

// CompletedAt is when the last byte came; zero: not yet.
func (u *Upload) CompletedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completedAt
}

// SetCompletedAt changes the time of the last byte, so that tests can let a client's time pass.
func (u *Upload) SetCompletedAt(at time.Time) {
	u.mu.Lock()
	u.completedAt = at
	u.mu.Unlock()
}

// UploadReader reads the body, from its first byte, for one attempt.
type UploadReader struct {
	*Upload
	prefix  []byte
	stopped bool // under Upload.mu
}

// NewReader is a reader for the next attempt. There is one at a time.
func (u *Upload) NewReader() *UploadReader { return &UploadReader{Upload: u, prefix: u.prefix} }

// Read waits for bytes of the body. It fails with ErrBodyUnwanted after Stop or Abort.
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

// Stop ends a Read that may be waiting.
func (r *UploadReader) Stop() {
	r.mu.Lock()
	r.stopped = true
	r.changed.Broadcast()
	r.mu.Unlock()
}
