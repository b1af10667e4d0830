package clientserver

import (
	"marblelane/internal/sidecar/inflight"
)

// Arrival tells the event loop of a new request.
type Arrival struct{ Call *inflight.Call }

// CallAbandoned tells the event loop that a request needs no answer any more: its client has gone, its body could not be
// received, or its answer was overdue.
type CallAbandoned struct{ Call *inflight.Call }
