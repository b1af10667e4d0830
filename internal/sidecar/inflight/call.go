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
	Response  chan Response // has the event loop's answer: one at most, with a buffer for it; never closed

	// PollDisconnect reports without waiting whether the client is known to have gone; nil: that cannot be known.
	PollDisconnect func() bool
	disconnectSeen atomic.Bool

	finished atomic.Bool
	// WriteLock is held from the last check before an attempt's first byte to its last byte.
	WriteLock sync.Mutex
}

// Finish finishes the call, and reports whether the caller is the one to answer: the first one is.
func (c *Call) Finish() bool { return c.finished.CompareAndSwap(false, true) }

// Finished reports whether the answer is decided.
func (c *Call) Finished() bool { return c.finished.Load() }

// ClientDisconnected checks whether the client is known to have gone. One that has does not come back.
func (c *Call) ClientDisconnected() bool {
	if c.PollDisconnect != nil && !c.disconnectSeen.Load() && c.PollDisconnect() {
		c.disconnectSeen.Store(true)
	}
	return c.disconnectSeen.Load()
}

// DisconnectSeen reports whether some ClientLeft was true, and does not check again.
func (c *Call) DisconnectSeen() bool { return c.disconnectSeen.Load() }

// UploadTimeLeft is the time that the client of a streamed body has left: all of it until the last byte has come.
func (c *Call) UploadTimeLeft() time.Duration {
	if completedAt := c.Outbound.Upload.CompletedAt(); !completedAt.IsZero() {
		return time.Until(completedAt.Add(c.Timeout))
	}
	return c.Timeout
}
