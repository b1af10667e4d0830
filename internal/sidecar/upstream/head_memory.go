package upstream

import (
	"log/slog"
	"sync"
	"time"

	"marblelane/internal/sidecar/loglimit"
)

// headShortageLog logs responses that were dropped because the memory for heads was used up.
type headShortageLog struct {
	mu       sync.Mutex
	dropped  int // since the last line
	interval loglimit.Interval
}

// SetHeadMemory sets the memory for the heads of responses on all connections together, in bytes. Each connection has a
// little more beside it, which is enough for ordinary heads.
func (p *Pool) SetHeadMemory(bytes int64) { p.heads.SetLimit(bytes) }

// recordHeadShortage counts a dropped response and logs the count, unless it has done so recently.
func (p *Pool) recordHeadShortage(server *Server) {
	shortage := &p.headShortageLog
	shortage.mu.Lock()
	defer shortage.mu.Unlock()
	shortage.dropped++
	if !shortage.interval.Due(time.Now()) {
		return
	}
	used, limit := p.heads.Usage()
	slog.Warn("servers: the memory for response heads is used up, responses are dropped", "dropped", shortage.dropped,
		"server", server.Endpoint, "used_bytes", used, "limit_bytes", limit)
	shortage.dropped = 0
}
