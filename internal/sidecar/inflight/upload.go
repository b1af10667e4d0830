package inflight

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	MaxBody = 32 << 20 // of requests and answers
	// MaxHeldBody is the longest body, of a request or an answer, that is always held whole: then a request can be
	// sent again, and an answer that is cut short is a failed attempt and not the client's.
	MaxHeldBody = 64 << 10
	MinHeldBody = 4 << 10 // of a body where there is no memory left
	CopySize    = 16 << 10

	lingerWait = 3 * time.Second // for the rest of a body, after its answer
)

var ErrBodyUnwanted = errors.New("nobody wants the body any more")

var CopyBuffers = sync.Pool{New: func() any { b := make([]byte, CopySize); return &b }}

// Upload is a request's body that is passed on as it comes. Its first part is held, and until more of it has gone
// out it can be sent again.
type Upload struct {
	Length int64 // -1: not known
	first  []byte

	Mu       sync.Mutex
	changed  sync.Cond
	next     []byte // what came after the first part and waits to go out
	used     bool   // some of that has gone out
	dropped  bool   // nothing more goes out
	ended    error  // io.EOF: it is whole
	Received time.Time
}

func NewUpload(length int64, first []byte) *Upload {
	u := &Upload{Length: length, first: first}
	u.changed.L = &u.Mu
	return u
}

// Feed passes the rest on until it ends. What nobody wants is read all the same, for a while: a client that is
// still sending would not see its answer.
func (u *Upload) Feed(body io.Reader) error {
	buf := CopyBuffers.Get().(*[]byte)
	defer CopyBuffers.Put(buf)
	var unwanted time.Time
	for {
		n, err := body.Read(*buf)
		if !u.Put((*buf)[:n], err) && unwanted.IsZero() {
			unwanted = time.Now()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case !unwanted.IsZero() && time.Since(unwanted) > lingerWait:
			return ErrBodyUnwanted
		}
	}
}

// Put hands bytes on and waits until they are taken.
func (u *Upload) Put(b []byte, err error) bool {
	u.Mu.Lock()
	defer u.Mu.Unlock()
	u.next = b
	if err != nil {
		u.ended, u.Received = err, time.Now()
	}
	u.changed.Broadcast()
	for len(u.next) > 0 && !u.dropped {
		u.changed.Wait()
	}
	return !u.dropped
}

// Abort ends the passing on.
func (u *Upload) Abort() {
	u.Mu.Lock()
	u.dropped = true
	u.changed.Broadcast()
	u.Mu.Unlock()
}

func (u *Upload) Consumed() bool {
	u.Mu.Lock()
	defer u.Mu.Unlock()
	return u.used
}

// Broken tells that the client did not send all of it.
func (u *Upload) Broken() bool {
	u.Mu.Lock()
	defer u.Mu.Unlock()
	return u.ended != nil && u.ended != io.EOF
}

// CompletedAt tells when the last byte came.
func (u *Upload) CompletedAt() time.Time {
	u.Mu.Lock()
	defer u.Mu.Unlock()
	return u.Received
}

// UploadReader gives the whole body to one attempt.
type UploadReader struct {
	*Upload
	first   []byte
	stopped bool
}

func (u *Upload) NewReader() *UploadReader { return &UploadReader{Upload: u, first: u.first} }

func (r *UploadReader) Read(p []byte) (int, error) {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	if len(r.first) > 0 && !r.stopped {
		n := copy(p, r.first)
		r.first = r.first[n:]
		return n, nil
	}
	for len(r.next) == 0 && r.ended == nil && !r.stopped && !r.dropped {
		r.changed.Wait()
	}
	switch {
	case r.stopped || r.dropped:
		return 0, ErrBodyUnwanted
	case len(r.next) == 0:
		return 0, r.ended
	}
	n := copy(p, r.next)
	r.next = r.next[n:]
	r.used = true
	r.changed.Broadcast()
	return n, nil
}

// Stop ends a reading that may be waiting.
func (r *UploadReader) Stop() {
	r.Mu.Lock()
	r.stopped = true
	r.changed.Broadcast()
	r.Mu.Unlock()
}

// AnswerStream is an answer that is passed on as it comes. Whoever writes it to the client tells how that ended.
type AnswerStream struct {
	Length int64 // -1: not known
	First  []byte
	Rest   io.Reader
	Ended  chan error // nil: all of it was passed on
}

var ErrClientGone = errors.New("the client does not take the answer")
