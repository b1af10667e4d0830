package upstream

import (
	"marblelane/internal/sidecar/inflight"
)

// BodyComplete is posted to the event loop when the last byte of a forwarded body has arrived.
type BodyComplete struct{ Call *inflight.Call }

// ResponseStarted is posted to the event loop when a response starts that is forwarded as it arrives.
type ResponseStarted struct {
	Attempt  *Attempt
	Response inflight.Response
}

// Connecting is posted to the event loop when an attempt starts to wait for a new connection, and again when the
// attempt has got one.
type Connecting struct {
	Attempt     *Attempt
	Established bool // false when the wait starts, true when the attempt has its connection
}

// ConnectionReady is posted to the event loop for a new connection that no attempt is waiting for.
type ConnectionReady struct{ Server *Server }
