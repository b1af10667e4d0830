package clientserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"marblelane/internal/sidecar/framing"
	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

const (
	// HoldMore is the longest body of a request that is held whole while there is memory for it.
	HoldMore = 1 << 20

	// A client may send its body at 64 kB a second. This part of that is asked for, beside the time for a request.
	slowestBody = 48 << 10
	bodyWait    = time.Second     // at least, after the head
	stallWait   = 2 * time.Second // for the next bytes of a body
	largeWait   = time.Second     // for the rest of one that is too large: it may be 60 MB
)

var (
	errBodyLarge = errors.New("the body is larger than 32 MB")
	errBodySlow  = errors.New("the body does not come")
	// errServiceEnded: nothing of the request has run.
	errServiceEnded = errors.New("the service ended before the body was whole")
)

// Memory is what all bodies that are held take together.
type Memory struct {
	mu          sync.Mutex
	limit, used int64
}

// reserve reports whether there is room for n more bytes, and takes it.
func (m *Memory) reserve(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+int64(n) > m.limit {
		return false
	}
	m.used += int64(n)
	return true
}

func (m *Memory) release(n int) {
	m.mu.Lock()
	m.used -= int64(n)
	m.mu.Unlock()
}

func (m *Memory) SetLimit(most int64) {
	m.mu.Lock()
	m.limit = most
	m.mu.Unlock()
}

// pacedBody reads a client's body in time: it may be slow, but must go on. Only the time that is spent waiting for
// the client counts.
type pacedBody struct {
	body   io.Reader
	held   *HeldBodies           // those that it is one of; nil: it is passed on
	until  func(time.Time) error // sets the read deadline
	left   time.Duration         // for waiting, beside what the bytes so far allow
	waited time.Duration
	read   int64
}

func newPacedBody(w http.ResponseWriter, r *http.Request, wait time.Duration) *pacedBody {
	left := wait
	if c, ok := r.Context().Value(connKey{}).(*framing.HeadConn); ok {
		left = max(wait-time.Since(c.StartedAt()), min(wait, bodyWait))
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
	case p.read > inflight.MaxBody:
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

// HeldBodies are the bodies that are being read before their requests begin. The end of service ends them.
type HeldBodies struct {
	mu    sync.Mutex
	open  map[*pacedBody]struct{}
	ended bool
}

func (h *HeldBodies) add(p *pacedBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil {
		h.open = map[*pacedBody]struct{}{}
	}
	h.open[p], p.held = struct{}{}, h
}

// remove lets a body go on by itself.
func (h *HeldBodies) remove(p *pacedBody) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, p)
	p.held = nil
}

// limit sets the time by which more of a body has to come, and reports false after the end.
func (h *HeldBodies) limit(p *pacedBody, by time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		p.until(by)
	}
	return !h.ended
}

func (h *HeldBodies) over() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// End breaks off all that are open; what comes after it is broken off too.
func (h *HeldBodies) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.open {
		p.until(netcall.PastDeadline)
	}
	h.ended = true
}
