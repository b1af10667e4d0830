package sidecar

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"

	"marblelane/balance"
	"marblelane/internal/sidecar/config"
)

// budget is what all processes of a sidecar may use together.
type budget struct{ management, clients, servers, requests int }

// divideLimits divides what this sidecar may use among its processes.
func (s *Sidecar) divideLimits() {
	parts := 1 + s.older + s.newer
	if s.older+s.newer > 0 {
		slog.Info("upgrade: this sidecar shares its limits", "processes", parts)
	}
	if s.management != nil {
		s.management.SetLimit(max(s.budget.management/parts, 1))
	}
	clients := s.budget.clients / parts
	s.listener.SetLimit(clients)
	s.clients.SetKeepAliveLimit(int(float64(clients) * keepAliveFraction))
	s.clients.SetRequestLimit(max(s.budget.requests/parts, 1))
	s.loop.Pool.SetLimit(s.budget.servers / parts)
	s.clients.SetBodyMemory(s.cfg.BodyMemory() / int64(parts))
	s.loop.Post(balance.ProcessCount{Processes: parts})
	limitMemory(s.cfg, parts)
}

// predecessorAlive tells whether the process before this one is still there.
func (s *Sidecar) predecessorAlive() bool {
	s.siblings.Lock()
	defer s.siblings.Unlock()
	return s.older > 0
}

// setSiblings takes in how many older or newer processes are alive beside this one.
func (s *Sidecar) setSiblings(which *int, alive int) {
	s.siblings.Lock()
	defer s.siblings.Unlock()
	*which = alive
	s.divideLimits()
}

// Limit tells the runtime what the configuration allows this process.
func Limit(cfg *config.Config) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.MemoryLimit(1))
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
}

// limitMemory holds to a part what Limit has limited.
func limitMemory(cfg *config.Config, parts int) {
	before := debug.SetMemoryLimit(-1)
	if before == math.MaxInt64 || before == cfg.MemoryLimit(parts) {
		return
	}
	debug.SetMemoryLimit(cfg.MemoryLimit(parts))
	if parts > 1 {
		debug.FreeOSMemory()
	}
}
