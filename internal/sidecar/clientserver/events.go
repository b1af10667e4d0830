package clientserver

import (
	"marblelane/internal/sidecar/inflight"
)

// This file has what clients' connections tell the event loop.

// Arrival is a new request.
type Arrival struct{ Call *inflight.Call }

// ClientGone tells that the client is gone, or its answer was overdue.
type ClientGone struct{ Call *inflight.Call }
