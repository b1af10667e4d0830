package inflight

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
)

// Statuses of the sidecar's own final responses. 429 and 503 promise the client that a retry does no harm, so the
// sidecar sends them only if no server can have run the request.
const (
	StatusRejected = http.StatusServiceUnavailable
	StatusFailed   = http.StatusBadGateway
	StatusTimedOut = http.StatusGatewayTimeout
)

// MaxTimeout is the largest timeout that a client may set in X-Timeout-Ms.
const MaxTimeout = time.Hour

// Call is a request of a client. It gets exactly one response, which is decided by the goroutine whose call of Finish
// returns true.
type Call struct {
	Request   balance.Request
	Outbound  *Outbound
	HeldBytes int           // bytes reserved for the body in the memory for held bodies
	Timeout   time.Duration // the client's timeout, which starts when it writes the last byte of the request
	Deadline  time.Time     // when the timeout expires; zero while the body is still being received
	Response  chan Response // the event loop sends at most one response; buffered for it; never closed

	// PollDisconnect reports without blocking whether the client is known to have disconnected. It is nil if the
	// connection cannot be checked.
	PollDisconnect func() bool
	disconnectSeen atomic.Bool

	finished atomic.Bool
	// Written is set once an attempt has written the last byte of the request: it may have run.
	Written atomic.Bool
	// WriteLock is held by an attempt from its last check before its first byte until it has written its last byte.
	WriteLock sync.Mutex
}

// Finish marks the call as finished. It returns true for the first caller only, which decides the response.
func (c *Call) Finish() bool { return c.finished.CompareAndSwap(false, true) }

// Finished reports whether the response has been decided.
func (c *Call) Finished() bool { return c.finished.Load() }

// ClientDisconnected polls the connection and reports whether the client has disconnected. Once it has returned true it
// always does, and no longer polls.
func (c *Call) ClientDisconnected() bool {
	if c.PollDisconnect != nil && !c.disconnectSeen.Load() && c.PollDisconnect() {
		c.disconnectSeen.Store(true)
	}
	return c.disconnectSeen.Load()
}

// DisconnectSeen reports whether ClientDisconnected has returned true before. It does not poll the connection.
func (c *Call) DisconnectSeen() bool { return c.disconnectSeen.Load() }

// UploadTimeLeft returns how much of the client's timeout remains at least for a request with a streamed body. The whole
// timeout remains while the client is known to be still writing.
func (c *Call) UploadTimeLeft() time.Duration {
	if end := c.Outbound.Upload.EarliestEnd(); !end.IsZero() {
		return time.Until(end.Add(c.Timeout))
	}
	return c.Timeout
}
