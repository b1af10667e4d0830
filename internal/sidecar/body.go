package sidecar

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	maxBody = 32 << 20 // of requests and answers
	// holdMost is the longest body, of a request or an answer, that is always held whole: then a request can be
	// sent again, and an answer that is cut short is a failed attempt and not the client's.
	holdMost = 64 << 10
	// holdMore is the longest body of a request that is held whole while there is memory for it.
	holdMore  = 1 << 20
	holdLeast = 4 << 10 // of a body where there is no memory left
	copySize  = 16 << 10

	// A client may send its body at 64 kB a second. This part of that is asked for, beside the time for a request.
	slowestBody = 48 << 10
	bodyWait    = time.Second     // at least, after the head
	stallWait   = 2 * time.Second // for the next bytes of a body
	largeWait   = time.Second     // for the rest of one that is too large: it may be 60 MB
	lingerWait  = 3 * time.Second // for the rest of a body, after its answer
)

var (
	errBodyLarge = errors.New("the body is larger than 32 MB")
	errBodySlow  = errors.New("the body does not come")
	errUnwanted  = errors.New("nobody wants the body any more")
	// errServiceEnded: nothing of the request has run.
	errServiceEnded = errors.New("the service ended before the body was whole")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// memory is what all bodies that are held take together.
type memory struct {
	mu         sync.Mutex
	most, used int64
}

// take reports whether there is room for n more bytes, and takes it.
func (m *memory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+int64(n) > m.most {
		return false
	}
	m.used += int64(n)
	return true
}

func (m *memory) give(n int) {
	m.mu.Lock()
	m.used -= int64(n)
	m.mu.Unlock()
}

func (m *memory) set(most int64) {
	m.mu.Lock()
	m.most = most
	m.mu.Unlock()
}

// pacedBody reads a client's body in time: it may be slow, but must go on. Only the time that is spent waiting for
// the client counts.
type pacedBody struct {
	body   io.Reader
	held   *heldBodies           // those that it is one of; nil: it is passed on
	until  func(time.Time) error // sets the read deadline
	left   time.Duration         // for waiting, beside what the bytes so far allow
	waited time.Duration
	read   int64
}

func newPacedBody(w http.ResponseWriter, r *http.Request, wait time.Duration) *pacedBody {
	left := wait
	if c, ok := r.Context().Value(connKey{}).(*headConn); ok {
		left = max(wait-time.Since(c.began()), min(wait, bodyWait))
	}
	return &pacedBody{body: r.Body, until: http.NewResponseController(w).SetReadDeadline, left: left}
}

func (p *pacedBody) Read(b []byte) (int, error) {
	began := time.Now()
	allowed := p.left + time.Duration(float64(p.read)/slowestBody*float64(time.Second)) - p.waited
	limit := began.Add(min(allowed, stallWait))
	if p.held == nil {
		p.until(limit)
	} else if !p.held.limit(p, limit) {
		return 0, errServiceEnded
	}
	n, err := p.body.Read(b)
	p.waited += time.Since(began)
	p.read += int64(n)
	switch {
	case p.read > maxBody:
		return 0, errBodyLarge
	case err == io.EOF:
		p.until(time.Time{})
	case err != nil && p.held != nil && p.held.over():
		err = errServiceEnded
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errBodySlow
	}
	return n, err
}

// heldBodies are the bodies that are being read before their requests begin. The end of service ends them.
type heldBodies struct {
	mu    sync.Mutex
	open  map[*pacedBody]struct{}
	ended bool
}

func (h *heldBodies) add(p *pacedBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil {
		h.open = map[*pacedBody]struct{}{}
	}
	h.open[p], p.held = struct{}{}, h
}

// remove lets a body go on by itself.
func (h *heldBodies) remove(p *pacedBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, p)
	p.held = nil
}

// limit sets the time by which more of a body has to come, and reports false after the end.
func (h *heldBodies) limit(p *pacedBody, by time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		p.until(by)
	}
	return !h.ended
}

func (h *heldBodies) over() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// end breaks off all that are open; what comes after it is broken off too.
func (h *heldBodies) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.open {
		p.until(pastDeadline)
	}
	h.ended = true
}

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
