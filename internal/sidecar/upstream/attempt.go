package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"marblelane/internal/sidecar/inflight"
	"marblelane/internal/sidecar/routing"
)

// Attempt is one send of a call to a server.
type Attempt struct {
	Call           *inflight.Call
	Number         int
	Server         *Server
	RouteCheck     *routing.Check // nil: no route has a say
	StartedAt      float64        // when the module decided, or the body was whole
	FirstByteAfter float64        // until a streamed answer began; 0: none did
	Deadline       time.Time      // zero: by the time when the body is whole
	Written        atomic.Bool    // its last byte is written
	Context        context.Context
	Cancel         context.CancelFunc
}
