package sidecar

// This file is a request's body that is passed on as it comes.

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	maxBody = 32 << 20 // of requests and answers
	// holdMost is the longest body, of a request or an answer, that is always held whole: then a request can be
	// sent again, and an answer that is cut short is a failed attempt and not the client's.
	holdMost  = 64 << 10
	holdLeast = 4 << 10 // of a body where there is no memory left
	copySize  = 16 << 10

	lingerWait = 3 * time.Second // for the rest of a body, after its answer
)

var errUnwanted = errors.New("nobody wants the body any more")

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// upload is a request's body that is passed on as it comes. Its first part is held, and until more of it has gone
// out it can be sent again.
type upload struct {
	length int64 // -1: not known
	first  []byte

	mu       sync.Mutex
	changed  sync.Cond
	next     []byte // what came after the first part and waits to go out
	used     bool   // some of that has gone out
	dropped  bool   // nothing more goes out
	ended    error  // io.EOF: it is whole
	received time.Time
}

func newUpload(length int64, first []byte) *upload {
	u := &upload{length: length, first: first}
	u.changed.L = &u.mu
	return u
}

// feed passes the rest on until it ends. What nobody wants is read all the same, for a while: a client that is
// still sending would not see its answer.
func (u *upload) feed(body io.Reader) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var unwanted time.Time
	for {
		n, err := body.Read(*buf)
		if !u.put((*buf)[:n], err) && unwanted.IsZero() {
			unwanted = time.Now()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case !unwanted.IsZero() && time.Since(unwanted) > lingerWait:
			return errUnwanted
		}
	}
}

// put hands bytes on and waits until they are taken.
func (u *upload) put(b []byte, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next = b
	if err != nil {
		u.ended, u.received = err, time.Now()
	}
	u.changed.Broadcast()
	for len(u.next) > 0 && !u.dropped {
		u.changed.Wait()
	}
	return !u.dropped
}

// drop ends the passing on.
func (u *upload) drop() {
	u.mu.Lock()
	u.dropped = true
	u.changed.Broadcast()
	u.mu.Unlock()
}

func (u *upload) spent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used
}

// broken tells that the client did not send all of it.
func (u *upload) broken() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended != nil && u.ended != io.EOF
}

// whole tells when the last byte came.
func (u *upload) whole() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// uploadReader gives the whole body to one attempt.
type uploadReader struct {
	*upload
	first   []byte
	stopped bool
}

func (u *upload) reader() *uploadReader { return &uploadReader{upload: u, first: u.first} }

func (r *uploadReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
		return 0, errUnwanted
	case len(r.next) == 0:
		return 0, r.ended
	}
	n := copy(p, r.next)
	r.next = r.next[n:]
	r.used = true
	r.changed.Broadcast()
	return n, nil
}

// stop ends a reading that may be waiting.
func (r *uploadReader) stop() {
	r.mu.Lock()
	r.stopped = true
	r.changed.Broadcast()
	r.mu.Unlock()
}

// stream is an answer that is passed on as it comes. Whoever writes it to the client tells how that ended.
type stream struct {
	length int64 // -1: not known
	first  []byte
	rest   io.Reader
	ended  chan error // nil: all of it was passed on
}

var errClient = errors.New("the client does not take the answer")
