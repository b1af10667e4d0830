package inflight

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
)

// Final answers other than 200. 429 and 503 promise the client that a retry does no harm, so that no other answer of the
// sidecar may have those statuses.
const (
	StatusRejected = http.StatusServiceUnavailable
	StatusFailed   = http.StatusBadGateway
	StatusTimedOut = http.StatusGatewayTimeout
)

// MaxTimeout is the longest X-Timeout-Ms.
const MaxTimeout = time.Hour

// Call is a client's request. The goroutine whose Finish is true decides the one answer.
type Call struct {
	Request   balance.Request
	Outbound  *Outbound
	HeldBytes int           // of the memory for bodies
	Timeout   time.Duration // the client's, from its last byte
	Deadline  time.Time     // zero while the body is still coming
	Answers   chan Answer   // has the event loop's answer: one at most, with a buffer for it; never closed

	// ClientGone reports without waiting whether the client is known to have gone; nil: that cannot be known.
	ClientGone func() bool
	seenGone   atomic.Bool

	finished atomic.Bool
	// Writing is held from the last check before an attempt's first byte to its last byte.
	Writing sync.Mutex
}

// Finish finishes the call, and reports whether the caller is the one to answer: the first one is.
func (c *Call) Finish() bool { return c.finished.CompareAndSwap(false, true) }

// Finished reports whether the answer is decided.
func (c *Call) Finished() bool { return c.finished.Load() }

// ClientLeft checks whether the client is known to have gone. One that has does not come back.
func (c *Call) ClientLeft() bool {
	if c.ClientGone != nil && !c.seenGone.Load() && c.ClientGone() {
		c.seenGone.Store(true)
	}
	return c.seenGone.Load()
}

// SeenGone reports whether some ClientLeft was true, and does not check again.
func (c *Call) SeenGone() bool { return c.seenGone.Load() }

// UploadTimeLeft is the time that the client of a streamed body has left: all of it until the last byte has come.
func (c *Call) UploadTimeLeft() time.Duration {
	if completedAt := c.Outbound.Upload.CompletedAt(); !completedAt.IsZero() {
		return time.Until(completedAt.Add(c.Timeout))
	}
	return c.Timeout
}
