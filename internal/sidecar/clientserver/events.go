package clientserver

import (
	"time"

	"marblelane/internal/sidecar/inflight"
)

// Arrival notifies the event loop of a new request.
type Arrival struct{ Call *inflight.Call }

// TimeStarted notifies the event loop that the client's time for a request with a streamed body runs: its last byte was
// received, or the time would be over if the last byte waits to be read.
type TimeStarted struct {
	Call *inflight.Call
	At   time.Time // earliest time at which the client can have written the last byte
}

// CallAbandoned notifies the event loop that a request no longer needs a response from it: the client has disconnected,
// the body could not be received, or the response was overdue.
type CallAbandoned struct{ Call *inflight.Call }
