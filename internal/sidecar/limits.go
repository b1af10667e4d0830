package sidecar

// This file divides what a sidecar may use, by its configuration, among its processes.

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"

	"marblelane/balance"
)

// budget is what all processes of a sidecar may use together.
type budget struct{ manage, clients, servers, taken int }

// share divides what this sidecar may use among its processes.
func (s *Sidecar) share() {
	parts := 1 + s.older + s.newer
	if s.older+s.newer > 0 {
		slog.Info("upgrade: this sidecar shares its limits", "processes", parts)
	}
	if s.manager != nil {
		s.manager.setMost(max(s.budget.manage/parts, 1))
	}
	clients := s.budget.clients / parts
	s.listener.setMost(clients)
	s.frontend.maxConns.Store(int64(float64(clients) * keepShare))
	s.frontend.maxTaken.Store(int64(max(s.budget.taken/parts, 1)))
	s.loop.pool.setMost(s.budget.servers / parts)
	s.frontend.memory.set(s.cfg.bodyMemory() / int64(parts))
	s.loop.post(balance.ProcessCount{Processes: parts})
	limitMemory(s.cfg, parts)
}

// follows tells whether the process before this one is still there.
func (s *Sidecar) follows() bool {
	s.sharing.Lock()
	defer s.sharing.Unlock()
	return s.older > 0
}

// beside takes in how many older or newer processes are alive beside this one.
func (s *Sidecar) beside(which *int, alive int) {
	s.sharing.Lock()
	defer s.sharing.Unlock()
	*which = alive
	s.share()
}

// Limit tells the runtime what the configuration allows this process.
func Limit(cfg *Config) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.memory(1))
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
}

// limitMemory holds to a part what Limit has limited.
func limitMemory(cfg *Config, parts int) {
	before := debug.SetMemoryLimit(-1)
	if before == math.MaxInt64 || before == cfg.memory(parts) {
		return
	}
	debug.SetMemoryLimit(cfg.memory(parts))
	if parts > 1 {
		debug.FreeOSMemory()
	}
}
