package sidecar

// This file is a client's request from its arrival to its one final answer, with its attempts.

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marblelane/balance"
)

// Final answers other than 200. 429 and 503 tell the client that trying again is harmless, so nothing else
// here may answer with them.
const (
	statusRefused  = http.StatusServiceUnavailable
	statusFailed   = http.StatusBadGateway
	statusTimedOut = http.StatusGatewayTimeout
)

// maxWait is the longest X-Timeout-Ms.
const maxWait = time.Hour

// call is a client's request. Who sets final owes the client the one answer.
type call struct {
	ev       balance.Request
	out      *outbound
	held     int           // of the memory for bodies
	wait     time.Duration // the client's, from its last byte
	deadline time.Time     // zero while its body is still coming
	answers  chan answer   // takes the loop's answer without blocking

	clientGone func() bool // reports without waiting whether the client is known to have gone; nil: unknown
	left       atomic.Bool // it has

	final   atomic.Bool
	writing sync.Mutex // held from the last check before an attempt's first byte to its last byte
}

// finish reports whether the caller is the one to answer.
func (c *call) finish() bool { return c.final.CompareAndSwap(false, true) }

// gone reports whether the client is known to have gone. One that has does not come back.
func (c *call) gone() bool {
	if c.clientGone != nil && !c.left.Load() && c.clientGone() {
		c.left.Store(true)
	}
	return c.left.Load()
}

// uploadLeft is the time that the client of a body that is passed on has left: all of it until the last byte has come.
func (c *call) uploadLeft() time.Duration {
	if received := c.out.upload.whole(); !received.IsZero() {
		return time.Until(received.Add(c.wait))
	}
	return c.wait
}

// answer is what the client gets.
type answer struct {
	status      int
	retryAfter  float64 // ms; 0: none
	contentType string
	body        []byte
	stream      *stream // in place of body: it is passed on as it comes
	clientLeft  bool    // in place of all else: the client has gone
}

// attempt is one send of a call to a server.
type attempt struct {
	call   *call
	number int
	up     *upstream
	look   *routeCheck // nil: no route has a say
	from   float64     // when the module decided, or the body was whole
	took   float64     // until a streamed answer began; 0: none did
	cut    time.Time   // zero: by the time when the body is whole
	sent   atomic.Bool // its last byte is written
	ctx    context.Context
	cancel context.CancelFunc
}
