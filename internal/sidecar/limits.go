package sidecar

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"

	"marblelane/balance"
	"marblelane/internal/sidecar/config"
)

const (
	// A part of the sockets is reserved for the listeners, discovery, the log, the runtime and the management address.
	reserveFraction    = 1. / 6
	maxReserve         = 64
	managementFraction = 0.25 // of the reserve, for connections to the management address
	clientFraction     = 0.55 // of the rest, for clients; servers have what is left
	keepAliveFraction  = 0.75 // of the client connections: beyond it they are closed between requests

	requestFraction = 0.5      // of the memory limit, for all but held bodies of requests
	requestMemory   = 96 << 10 // bytes that a long body or answer takes on its way: buffers, connections and stacks
	bytesPerMB      = 1 << 20
	gcPercent       = 400 // garbage is small beside the limit, and there is one core
)

// budget is what all processes of a sidecar may use together: connections, and requests at a time.
type budget struct{ management, clients, servers, requests int }

// newBudget divides the limits of the configuration.
func newBudget(cfg *config.Config) budget {
	reserve := min(max(int(float64(cfg.Sockets)*reserveFraction), config.MinReserve), maxReserve)
	free := cfg.Sockets - reserve
	b := budget{
		management: int(float64(reserve) * managementFraction),
		clients:    int(float64(free) * clientFraction),
	}
	b.servers = free - b.clients
	b.requests = b.servers
	if cfg.MemoryMB > 0 {
		b.requests = min(b.requests, int(float64(cfg.MemoryMB)*requestFraction*bytesPerMB/requestMemory))
	}
	if cfg.MaxOpen > 0 {
		b.requests = min(b.requests, cfg.MaxOpen)
	}
	return b
}

// divideLimits divides the budget among the processes of this sidecar. The caller holds processMu, or is alone.
func (s *Sidecar) divideLimits() {
	processes := 1 + s.olderProcesses + s.newerProcesses
	if processes > 1 {
		slog.Info("upgrade: this sidecar shares its limits", "processes", processes)
	}
	if s.management != nil {
		s.management.SetLimit(max(s.budget.management/processes, 1))
	}
	clients := s.budget.clients / processes
	s.listener.SetLimit(clients)
	s.clients.SetKeepAliveLimit(int(float64(clients) * keepAliveFraction))
	s.clients.SetRequestLimit(max(s.budget.requests/processes, 1))
	s.loop.Pool.SetLimit(s.budget.servers / processes)
	s.clients.SetBodyMemory(s.cfg.BodyMemory() / int64(processes))
	s.loop.Post(balance.ProcessCount{Processes: processes})
	limitMemory(s.cfg, processes)
}

// predecessorAlive reports whether the predecessor still runs.
func (s *Sidecar) predecessorAlive() bool {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	return s.olderProcesses > 0
}

// setProcessCount sets olderProcesses or newerProcesses, and divides the limits anew.
func (s *Sidecar) setProcessCount(which *int, alive int) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	*which = alive
	s.divideLimits()
}

// SetRuntimeLimits tells the runtime what the configuration allows this process.
func SetRuntimeLimits(cfg *config.Config) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.MemoryLimit(1))
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
}

// limitMemory sets the runtime's limit to this process's part, if Limit has set one.
func limitMemory(cfg *config.Config, processes int) {
	current := debug.SetMemoryLimit(-1) // a negative value only reads it
	if current == math.MaxInt64 || current == cfg.MemoryLimit(processes) {
		return
	}
	debug.SetMemoryLimit(cfg.MemoryLimit(processes))
	if processes > 1 {
		debug.FreeOSMemory()
	}
}
