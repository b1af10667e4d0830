package clientserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/netcall"
)

const (
	// MaxHeldIfMemory is the longest body of a request that is held completely while there is memory for it, in bytes.
	MaxHeldIfMemory = 1 << 20

	// minBodyRate is in bytes a second: part of the 64 kB a second at which a client may send.
	minBodyRate = 48 << 10
	// minBodyWait is for waiting for a body in any case, however long its head took.
	minBodyWait = time.Second
	// maxStall is for the next bytes of a body.
	maxStall = 2 * time.Second
	// discardWait is for reading on behind a body that is too large.
	discardWait = time.Second
)

// The texts of these errors go to clients.
var (
	errBodyTooLarge = errors.New("the body is larger than 32 MB")
	errBodyTooSlow  = errors.New("the body does not come")
	// errServiceEnded: nothing of the request has run.
	errServiceEnded = errors.New("the service ended before the body was whole")
)

// bodyMemory bounds what all bodies that are held take together.
type bodyMemory struct {
	mu          sync.Mutex
	limit, used int64 // bytes
}

// reserve takes memory for a body, and reports whether there is as much.
func (m *bodyMemory) reserve(bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+int64(bytes) > m.limit {
		return false
	}
	m.used += int64(bytes)
	return true
}

// release gives back what reserve has taken.
func (m *bodyMemory) release(bytes int) {
	m.mu.Lock()
	m.used -= int64(bytes)
	m.mu.Unlock()
}

// setLimit changes the bound. What is reserved stays so.
func (m *bodyMemory) setLimit(bytes int64) {
	m.mu.Lock()
	m.limit = bytes
	m.mu.Unlock()
}

// pacedBody reads a client's body, which may come slowly but has to go on. Only the time that is spent waiting for the
// client counts, and each byte buys more of it.
type pacedBody struct {
	body        io.Reader
	open        *openBodies           // nil: AbortBodies does not concern it
	setDeadline func(time.Time) error // for the next read
	allowance   time.Duration         // for waiting, beside what the bytes so far have bought
	waited      time.Duration
	received    int64 // bytes
}

func newPacedBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) *pacedBody {
	allowance := timeout
	if conn := headConn(r); conn != nil {
		allowance = max(timeout-time.Since(conn.StartedAt()), min(timeout, minBodyWait))
	}
	return &pacedBody{body: r.Body, setDeadline: http.NewResponseController(w).SetReadDeadline, allowance: allowance}
}

// Read reads what has come of the body, and fails where it is too slow or too large, or was aborted.
func (p *pacedBody) Read(b []byte) (int, error) {
	startedAt := time.Now()
	deadline := startedAt.Add(min(p.waitLeft(), maxStall))
	if p.open == nil {
		_ = p.setDeadline(deadline)
	} else if !p.open.setDeadline(p, deadline) {
		return 0, errServiceEnded
	}
	n, err := p.body.Read(b)
	p.waited += time.Since(startedAt)
	p.received += int64(n)
	switch {
	case p.received > inflight.MaxBody:
		return 0, errBodyTooLarge
	case err == io.EOF:
		_ = p.setDeadline(time.Time{})
	case err != nil && p.open != nil && p.open.isAborted():
		err = errServiceEnded
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errBodyTooSlow
	}
	return n, err
}

// waitLeft is for how much longer the client is waited for, if it sends nothing more.
func (p *pacedBody) waitLeft() time.Duration {
	bought := time.Duration(float64(p.received) / minBodyRate * float64(time.Second))
	return p.allowance + bought - p.waited
}

// openBodies are the bodies that are being read before the event loop knows their requests.
type openBodies struct {
	mu      sync.Mutex
	bodies  map[*pacedBody]struct{}
	aborted bool
}

func (o *openBodies) add(p *pacedBody) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bodies == nil {
		o.bodies = map[*pacedBody]struct{}{}
	}
	o.bodies[p], p.open = struct{}{}, o
}

// remove makes a body independent of abort.
func (o *openBodies) remove(p *pacedBody) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, p)
	p.open = nil
}

// setDeadline sets the time by which more of a body has to come, and reports false after abort.
func (o *openBodies) setDeadline(p *pacedBody, deadline time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.aborted {
		_ = p.setDeadline(deadline)
	}
	return !o.aborted
}

func (o *openBodies) isAborted() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.aborted
}

// abort ends the reads of all bodies, also of those that are added later.
func (o *openBodies) abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for p := range o.bodies {
		_ = p.setDeadline(netcall.PastDeadline)
	}
	o.aborted = true
}
