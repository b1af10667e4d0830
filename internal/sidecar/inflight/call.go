package inflight

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
)

// Final answers other than 200. 429 and 503 tell the client that trying again is harmless, so nothing else
// here may answer with them.
const (
	StatusRejected = http.StatusServiceUnavailable
	StatusFailed   = http.StatusBadGateway
	StatusTimedOut = http.StatusGatewayTimeout
)

// MaxTimeout is the longest X-Timeout-Ms.
const MaxTimeout = time.Hour

// Call is a client's request. Who sets final owes the client the one answer.
type Call struct {
	Request   balance.Request
	Outbound  *Outbound
	HeldBytes int           // of the memory for bodies
	Timeout   time.Duration // the client's, from its last byte
	Deadline  time.Time     // zero while its body is still coming
	Answers   chan Answer   // takes the loop's answer without blocking

	ClientGone func() bool // reports without waiting whether the client is known to have gone; nil: unknown
	Left       atomic.Bool // it has

	Final   atomic.Bool
	Writing sync.Mutex // HeldBytes from the last check before an attempt's first byte to its last byte
}

// Finish reports whether the caller is the one to answer.
func (c *Call) Finish() bool { return c.Final.CompareAndSwap(false, true) }

// ClientLeft reports whether the client is known to have gone. One that has does not come back.
func (c *Call) ClientLeft() bool {
	if c.ClientGone != nil && !c.Left.Load() && c.ClientGone() {
		c.Left.Store(true)
	}
	return c.Left.Load()
}

// UploadTimeLeft is the time that the client of a body that is passed on has left: all of it until the last byte has come.
func (c *Call) UploadTimeLeft() time.Duration {
	if received := c.Outbound.Upload.CompletedAt(); !received.IsZero() {
		return time.Until(received.Add(c.Timeout))
	}
	return c.Timeout
}

// Answer is what the client gets.
type Answer struct {
	Status      int
	RetryAfter  float64 // ms; 0: none
	ContentType string
	Body        []byte
	Stream      *AnswerStream // in place of body: it is passed on as it comes
	ClientLeft  bool          // in place of all else: the client has gone
}
