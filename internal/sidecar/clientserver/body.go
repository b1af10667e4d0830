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
	// MaxHeldIfMemory is the length up to which a request body is held in memory completely if the memory for held
	// bodies allows it, in bytes.
	MaxHeldIfMemory = 1 << 20

	// minBodyRate is the slowest accepted rate of a body, in bytes a second. It is below the 64 kB a second at which a
	// client may send.
	minBodyRate = 48 << 10
	// minBodyAllowance is the minimum time to wait for a body, however long the head took.
	minBodyAllowance = time.Second
	// maxStall is the maximum time to wait for the next bytes of a body.
	maxStall = 2 * time.Second
	// discardTimeout is how long the rest of a body that is too large is read and discarded.
	discardTimeout = time.Second
)

// The texts of these errors are sent to clients.
var (
	errBodyTooLarge = errors.New("the body is larger than 32 MB")
	errBodyTooSlow  = errors.New("the body does not come")
	// errServiceEnded means that no server has run the request.
	errServiceEnded = errors.New("the service ended before the body was whole")
)

// pacedBody reads a client's body and fails if it is received too slowly. Only the time that is spent waiting for the
// client counts, and each received byte extends that time, at a rate of minBodyRate.
type pacedBody struct {
	body        io.Reader
	open        *openBodies           // nil: AbortBodies does not affect this body
	setDeadline func(time.Time) error // sets the deadline of the next read
	allowance   time.Duration         // waiting time that is granted beside the time for the received bytes
	waited      time.Duration         // total time spent waiting for the client
	received    int64                 // bytes
}

func newPacedBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) *pacedBody {
	allowance := timeout
	if conn := headConn(r); conn != nil {
		allowance = max(timeout-time.Since(conn.StartedAt()), min(timeout, minBodyAllowance))
	}
	return &pacedBody{body: r.Body, setDeadline: http.NewResponseController(w).SetReadDeadline, allowance: allowance}
}

// Read reads the next bytes of the body. It fails if the body is too slow or too large, or was aborted.
func (p *pacedBody) Read(b []byte) (int, error) {
	startedAt := time.Now()
	deadline := startedAt.Add(min(p.remainingWait(), maxStall))
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

// remainingWait returns how much longer to wait for a client that sends nothing more.
func (p *pacedBody) remainingWait() time.Duration {
	extension := time.Duration(float64(p.received) / minBodyRate * float64(time.Second))
	return p.allowance + extension - p.waited
}

// openBodies is the set of bodies that are being read before their requests are passed to the event loop.
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

// remove removes a body from the set; abort no longer affects it.
func (o *openBodies) remove(p *pacedBody) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, p)
	p.open = nil
}

// setDeadline sets the time by which more of a body has to arrive. After abort it returns false and sets nothing.
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

// abort makes the reads of all bodies fail, including the reads of bodies that are added later.
func (o *openBodies) abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for p := range o.bodies {
		_ = p.setDeadline(netcall.PastDeadline)
	}
	o.aborted = true
}
