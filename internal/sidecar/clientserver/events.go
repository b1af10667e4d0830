package clientserver

import (
	"marblelane/internal/sidecar/inflight"
)

// Arrival notifies the event loop of a new request.
type Arrival struct{ Call *inflight.Call }

// CallAbandoned notifies the event loop that a request no longer needs a response from it: the client has disconnected,
// the body could not be received, or the response was overdue.
type CallAbandoned struct{ Call *inflight.Call }
